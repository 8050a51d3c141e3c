package node

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// chunkedReader reads a message in chunks, one with each call of Read, and then returns err; io.EOF is a normal end.
type chunkedReader struct {
	chunks []string
	err    error
}

// Read implements io.Reader.
func (r *chunkedReader) Read(b []byte) (int, error) {
	if len(r.chunks) == 0 {
		return 0, r.err
	}
	n := copy(b, r.chunks[0])
	if r.chunks[0] = r.chunks[0][n:]; r.chunks[0] == "" {
		r.chunks = r.chunks[1:]
	}
	return n, nil
}

// readReportingProgress reads a message and returns the endpoints of the servers that it took out of service, in
// order, the number of those whose version was known, and the number of servers when the message was reported as
// complete, or -1 if it was not.
func readReportingProgress(body io.Reader) (outOfService []string, versioned, completeServers int, err error) {
	completeServers = -1
	_, err = streamList(body, testZones, newClock(), listCallbacks{
		onOutOfService: func(found serverList, versionKnown bool) {
			outOfService = append(outOfService, found.endpoints...)
			if versionKnown {
				versioned += len(found.endpoints)
			}
		},
		onAllEntries: func(serverList) { outOfService = append(outOfService, unnamedServers) },
		onComplete:   func(list serverList) { completeServers = len(list.entries) },
	})
	return outOfService, versioned, completeServers, err
}

// unnamedServers stands for the servers that a whole list does not name, among those taken out of service.
const unnamedServers = "left out"

const (
	terminatingEntryText = `{"uid":"s1","endpoint":"one","state":"terminating"}`
	terminatedEntryText  = `{"uid":"s2","endpoint":"two","state":"terminated"}`
	inServiceEntryText   = `{"uid":"s3","endpoint":"three","state":"in_service"}`
)

// Guards against requests to a server after its drain notice: an entry that takes a server out of service counts once it
// has arrived, whatever follows it.
func TestEntriesThatTakeServersOutCountBeforeTheMessageEnds(t *testing.T) {
	broken := errors.New("the connection broke")
	for name, c := range map[string]struct {
		texts        []string
		err          error
		outOfService []string
		versioned    int
		whole        int
	}{
		"in one chunk": {[]string{`{"rev":2,"targets":[` + terminatingEntryText + `]}`}, io.EOF, nil, 0, 1},
		"entry by entry": {[]string{`{"rev":2,"targets":[`, terminatingEntryText, "," + terminatedEntryText,
			"," + inServiceEntryText, "]}"}, io.EOF, []string{"one", "two"}, 2, 3},
		"broken off after an entry": {[]string{`{"rev":2,"targets":[` + terminatingEntryText + `,{"uid":"s`}, broken, []string{"one"}, 1, -1},
		"ended after an entry":      {[]string{`{"rev":2,"targets":[` + terminatingEntryText}, io.EOF, []string{"one"}, 1, -1},
		"half an entry":             {[]string{`{"rev":2,"targets":[`, terminatingEntryText[:20]}, broken, nil, 0, -1},
		"the version comes last":    {[]string{`{"targets":[` + terminatingEntryText, `],"rev":2}`}, io.EOF, []string{"one"}, 0, 1},
		"malformed after an entry":  {[]string{`{"rev":2,"targets":[` + terminatingEntryText + `,}`}, io.EOF, []string{"one"}, 1, -1},
		"all in service":            {[]string{`{"rev":2,"targets":[` + inServiceEntryText, "]"}, broken, nil, 0, -1},
	} {
		outOfService, versioned, whole, err := readReportingProgress(&chunkedReader{c.texts, c.err})
		if !slices.Equal(outOfService, c.outOfService) || versioned != c.versioned {
			t.Errorf("%s: %q are out of service, %d with a version; want %q, %d", name, outOfService, versioned, c.outOfService, c.versioned)
		}
		if whole != c.whole || (err == nil) != (whole >= 0) {
			t.Errorf("%s: reported complete with %d servers (-1: not reported), error %v; want %d", name, whole, err, c.whole)
		}
	}
}

// Guards against a list that counts too late: a message is complete at its closing brace, even if its body never ends.
func TestMessageIsWholeAtItsClosingBrace(t *testing.T) {
	text := `{"rev":2,"all":true,"targets":[` + inServiceEntryText + `]}`
	for name, c := range map[string]struct {
		texts []string
		whole int
	}{
		"no end":                     {[]string{text}, 1},
		"the brace in its own chunk": {[]string{strings.TrimSuffix(text, "}"), "}"}, 1},
		"white space after it":       {[]string{text + " \n", "\t"}, 1},
		"garbage after it":           {[]string{text + "5"}, -1},
		"a second brace":             {[]string{text + "}"}, -1},
	} {
		if _, _, whole, err := readReportingProgress(&chunkedReader{c.texts, io.ErrUnexpectedEOF}); whole != c.whole || err == nil {
			t.Errorf("%s: reported complete with %d servers (-1: not reported), error %v; want %d and an error", name, whole, err, c.whole)
		}
	}
}
