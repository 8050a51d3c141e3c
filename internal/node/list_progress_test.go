package node

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// pieces is a message that comes in pieces, one a read, and then an error; io.EOF ends it well.
type chunkedReader struct {
	chunks []string
	err    error
}

func (p *chunkedReader) Read(b []byte) (int, error) {
	if len(p.chunks) == 0 {
		return 0, p.err
	}
	n := copy(b, p.chunks[0])
	if p.chunks[0] = p.chunks[0][n:]; p.chunks[0] == "" {
		p.chunks = p.chunks[1:]
	}
	return n, nil
}

// progressOf reads a message and gives the servers that it told to leave, in order, whether their version
// was known, and how many servers it had when it was told whole; -1: it was not.
func readReportingProgress(body io.Reader) (outOfService []string, versioned, whole int, err error) {
	whole = -1
	_, err = streamList(body, testZones, newClock(), listCallbacks{
		onOutOfService: func(found serverList, versionKnown bool) {
			outOfService = append(outOfService, found.endpoints...)
			if versionKnown {
				versioned += len(found.endpoints)
			}
		},
		onAllEntries: func(serverList) { outOfService = append(outOfService, unnamedServers) },
		onComplete:   func(list serverList) { whole = len(list.entries) },
	})
	return outOfService, versioned, whole, err
}

// leftOut stands for the servers that a whole list does not name, among those that leave.
const unnamedServers = "left out"

const (
	terminatingEntryText = `{"uid":"s1","endpoint":"one","state":"terminating"}`
	terminatedEntryText  = `{"uid":"s2","endpoint":"two","state":"terminated"}`
	inServiceEntryText   = `{"uid":"s3","endpoint":"three","state":"in_service"}`
)

// Guards rule 3: a line that takes a server out of service counts once it has come, whatever follows it.
func TestEntriesThatTakeServersOutCountBeforeTheMessageEnds(t *testing.T) {
	broken := errors.New("the connection broke")
	for name, c := range map[string]struct {
		texts        []string
		err          error
		outOfService []string
		versioned    int
		whole        int
	}{
		"in one piece":           {[]string{`{"rev":2,"targets":[` + terminatingEntryText + `]}`}, io.EOF, nil, 0, 1},
		"line by line":           {[]string{`{"rev":2,"targets":[`, terminatingEntryText, "," + terminatedEntryText, "," + inServiceEntryText, "]}"}, io.EOF, []string{"one", "two"}, 2, 3},
		"cut behind a line":      {[]string{`{"rev":2,"targets":[` + terminatingEntryText + `,{"uid":"s`}, broken, []string{"one"}, 1, -1},
		"ended behind a line":    {[]string{`{"rev":2,"targets":[` + terminatingEntryText}, io.EOF, []string{"one"}, 1, -1},
		"half a line":            {[]string{`{"rev":2,"targets":[`, terminatingEntryText[:20]}, broken, nil, 0, -1},
		"the version comes last": {[]string{`{"targets":[` + terminatingEntryText, `],"rev":2}`}, io.EOF, []string{"one"}, 0, 1},
		"malformed behind":       {[]string{`{"rev":2,"targets":[` + terminatingEntryText + `,}`}, io.EOF, []string{"one"}, 1, -1},
		"none leaves":            {[]string{`{"rev":2,"targets":[` + inServiceEntryText, "]"}, broken, nil, 0, -1},
	} {
		outOfService, versioned, whole, err := readReportingProgress(&chunkedReader{c.texts, c.err})
		if !slices.Equal(outOfService, c.outOfService) || versioned != c.versioned {
			t.Errorf("%s: %q leave, %d with a version; want %q, %d", name, outOfService, versioned, c.outOfService, c.versioned)
		}
		if whole != c.whole || (err == nil) != (whole >= 0) {
			t.Errorf("%s: told whole with %d servers, error %v; want %d", name, whole, err, c.whole)
		}
	}
}

// Guards rule 3: a message is whole at its closing brace, also where the end of its framing never comes.
func TestMessageIsWholeAtItsClosingBrace(t *testing.T) {
	text := `{"rev":2,"all":true,"targets":[` + inServiceEntryText + `]}`
	for name, c := range map[string]struct {
		texts []string
		whole int
	}{
		"no end":              {[]string{text}, 1},
		"the brace by itself": {[]string{strings.TrimSuffix(text, "}"), "}"}, 1},
		"white space behind":  {[]string{text + " \n", "\t"}, 1},
		"garbage behind":      {[]string{text + "5"}, -1},
		"a second brace":      {[]string{text + "}"}, -1},
	} {
		if _, _, whole, err := readReportingProgress(&chunkedReader{c.texts, io.ErrUnexpectedEOF}); whole != c.whole || err == nil {
			t.Errorf("%s: told whole with %d servers, error %v; want %d and an error", name, whole, err, c.whole)
		}
	}
}
