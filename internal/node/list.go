package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"otterstep/policy"
)

const (
	// maxListServers is the number of servers that a list may name. It is a bound on
	// what a broken discovery can make a node read and keep, far above any list in use.
	maxListServers = 256 << 10
	// maxListBytes bounds the text of one message of discovery: 512 bytes a server, where
	// a line in service takes about 145, and more if it is indented.
	maxListBytes = maxListServers * 512
	// maxListValue bounds the text of one value of a message, such as one server: the
	// decoder holds a value as a whole.
	maxListValue = 1 << 20
	// maxListDepth is how deeply values may be nested, as for json.Unmarshal.
	maxListDepth = 10000
	readAhead    = 64 << 10
	// linesKept are the first lines of a message that are kept as they came, for the log.
	linesKept = 8
)

// listTooLargeError tells that a message of discovery is over one of the bounds.
type listTooLargeError struct {
	most int
	unit string
}

func (e *listTooLargeError) Error() string { return fmt.Sprintf("over %d %s", e.most, e.unit) }

// serverList is a message of discovery in the module's terms: the whole list or changes
// to it. It holds little for each server, as there may be very many.
type serverList struct {
	rev       int64
	all       bool
	entries   []policy.Entry
	endpoints []string // of the entries
	first     []target // the first few lines
	readAt    time.Time
}

// add takes one line in.
func (l *serverList) add(t target, zones []string, c clock) {
	l.entries = append(l.entries, policy.Entry{
		Server: serverID(t.UID), Zone: slices.Index(zones, t.AZ), Cell: t.PodGroup,
		State: state(t.State), Weight: max(0, t.CapacityHint), StartedAt: c.fromUnixMs(t.BootMs),
	})
	l.endpoints = append(l.endpoints, t.Endpoint)
	if len(l.first) < linesKept {
		l.first = append(l.first, t)
	}
}

// listProgress is told what a message says before it has ended, whenever more of it is waited for. Discovery
// counts a change as told once it has written its line, whatever becomes of the rest.
type listProgress struct {
	// leaving is told of further lines that take servers out of service, also those of a message that
	// proves to be broken. versioned: the version has been read.
	leaving func(lines serverList, versioned bool)
	// named is told, once, of a whole list whose lines and version have come, but not its closing brace: what
	// it does not name is gone.
	named func(serverList)
	// whole is told, once, of a message that is whole while the end of its framing has not come.
	whole func(serverList)
}

// listReader reads one message of discovery, line by line, so that its text is never held
// as a whole. It takes what json.Unmarshal would take into a hostList.
type listReader struct {
	zones    []string
	clock    clock
	text     *boundedReader
	decoder  *json.Decoder
	list     serverList
	progress listProgress

	versioned bool   // the version has been read
	whole     bool   // the closing brace has been read,
	toldWhole bool   // and told
	ended     bool   // the last line has been read,
	toldNamed bool   // and the servers that are named were told
	told      int    // lines that leaving was told of, or that keep their servers
	leaves    []bool // of each line: it says so in a word that discovery knows, and can't be garbled by chance
}

// readList reads a message up to its end. An error leaves nothing of it.
func readList(body io.Reader, zones []string, c clock) (serverList, error) {
	return followList(body, zones, c, listProgress{
		leaving: func(serverList, bool) {}, named: func(serverList) {}, whole: func(serverList) {},
	})
}

// followList is readList, and tells of the message while it comes.
func followList(body io.Reader, zones []string, c clock, progress listProgress) (serverList, error) {
	text := &boundedReader{in: body}
	r := listReader{zones: zones, clock: c, text: text, progress: progress}
	text.waits = r.waits
	r.decoder = json.NewDecoder(bufio.NewReaderSize(text, readAhead))
	r.decoder.UseNumber() // what is skipped may hold a number of any size
	err := r.message()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		r.tellLeaving()
		return serverList{}, err
	}
	return r.list, nil
}

// waits tells how far the message has come before more of it is waited for.
func (r *listReader) waits() {
	switch {
	case !r.whole && r.ended && r.versioned && r.list.all:
		r.tellNamed()
	case !r.whole:
		r.tellLeaving()
	case !r.toldWhole && r.restIsBlank():
		r.toldWhole = true
		r.progress.whole(r.list)
	}
}

// tellNamed tells of the servers that a whole list names.
func (r *listReader) tellNamed() {
	if !r.toldNamed {
		r.toldNamed = true
		r.progress.named(r.list)
	}
}

// tellLeaving tells of the lines since the last time that take servers out of service.
func (r *listReader) tellLeaving() {
	if r.toldWhole {
		return
	}
	lines := serverList{rev: r.list.rev}
	for i := r.told; i < len(r.list.entries); i++ {
		if r.leaves[i] {
			lines.entries = append(lines.entries, r.list.entries[i])
			lines.endpoints = append(lines.endpoints, r.list.endpoints[i])
		}
	}
	r.told = len(r.list.entries)
	if len(lines.entries) > 0 {
		r.progress.leaving(lines, r.versioned)
	}
}

// restIsBlank tells whether nothing but white space has come behind the message so far.
func (r *listReader) restIsBlank() bool {
	rest, err := io.ReadAll(r.decoder.Buffered())
	return err == nil && len(bytes.TrimSpace(rest)) == 0
}

func (r *listReader) message() error {
	opening, err := r.token()
	if err != nil {
		return err
	}
	switch opening {
	case json.Delim('{'):
		if err := r.fields(); err != nil {
			return err
		}
		r.whole = true
	case nil: // a null is a message that says nothing
	default:
		return fmt.Errorf("%v in place of an object", opening)
	}
	rest, err := r.token()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return fmt.Errorf("%v after the end", rest)
}

// fields reads the fields of the object that has been opened.
func (r *listReader) fields() error {
	for r.decoder.More() {
		name, err := r.token()
		if err != nil {
			return err
		}
		if err := r.field(name.(string)); err != nil { // the decoder allows no other key
			return err
		}
	}
	_, err := r.token() // the closing brace
	return err
}

// field reads the value of a field. The last of several alike counts.
func (r *listReader) field(name string) error {
	switch {
	case strings.EqualFold(name, "rev"):
		err := r.value(&r.list.rev)
		r.versioned = err == nil
		return err
	case strings.EqualFold(name, "all"):
		return r.value(&r.list.all)
	case strings.EqualFold(name, "targets"):
		return r.targets()
	}
	return r.skip()
}

// targets reads the lines, or a null in their place.
func (r *listReader) targets() error {
	r.list.entries, r.list.endpoints, r.list.first, r.told, r.leaves = nil, nil, nil, 0, nil
	opening, err := r.token()
	if err != nil || opening == nil {
		return err
	}
	if opening != json.Delim('[') {
		return fmt.Errorf("targets: %v in place of an array", opening)
	}
	for r.decoder.More() {
		if len(r.list.entries) == maxListServers {
			return &listTooLargeError{maxListServers, "servers"}
		}
		var t target
		if err := r.value(&t); err != nil {
			return err
		}
		r.list.add(t, r.zones, r.clock)
		r.leaves = append(r.leaves, t.State == stateDraining || t.State == stateGone)
	}
	_, err = r.token() // the closing bracket
	r.ended = err == nil
	return err
}

// skip passes over a value that means nothing to this node.
func (r *listReader) skip() error {
	for depth := 0; ; {
		token, err := r.token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		if depth >= maxListDepth {
			return &listTooLargeError{maxListDepth, "levels of nesting"}
		}
	}
}

// token gives the next token of the message.
func (r *listReader) token() (json.Token, error) {
	r.text.value = 0
	return r.decoder.Token()
}

// value decodes the next value of the message.
func (r *listReader) value(into any) error {
	r.text.value = 0
	return r.decoder.Decode(into)
}

// boundedReader fails once its text is over the bound for a message or for one value.
type boundedReader struct {
	in    io.Reader
	waits func() // called before more is waited for; nil: nobody wants to know
	total int
	value int // read since the present value began
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.value > maxListValue {
		return 0, &listTooLargeError{maxListValue, "bytes in one value"}
	}
	if b.waits != nil {
		b.waits()
	}
	n, err := b.in.Read(p)
	b.total += n
	b.value += n
	if b.total > maxListBytes {
		return 0, &listTooLargeError{maxListBytes, "bytes"}
	}
	return n, err
}
