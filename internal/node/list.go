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
	maxListValueBytes = 1 << 20
	// maxListDepth is how deeply values may be nested, as for json.Unmarshal.
	maxListDepth    = 10000
	readBufferBytes = 64 << 10
	// linesKept are the first lines of a message that are kept as they came, for the log.
	maxLoggedServers = 8
)

// listTooLargeError tells that a message of discovery is over one of the bounds.
type listTooLargeError struct {
	limit int
	unit  string
}

func (e *listTooLargeError) Error() string { return fmt.Sprintf("over %d %s", e.limit, e.unit) }

// serverList is a message of discovery in the module's terms: the whole list or changes
// to it. It holds little for each server, as there may be very many.
type serverList struct {
	version      int64
	isWhole      bool
	entries      []policy.Entry
	endpoints    []string    // of the entries
	firstEntries []listEntry // the first few lines
	readAt       time.Time
}

// add takes one line in.
func (l *serverList) add(entry listEntry, zones []string, c clock) {
	l.entries = append(l.entries, policy.Entry{
		Server: serverID(entry.UID), Zone: slices.Index(zones, entry.AZ), Cell: entry.PodGroup,
		State: parseState(entry.State), Weight: max(0, entry.CapacityHint), StartedAt: c.fromUnixMs(entry.BootMs),
	})
	l.endpoints = append(l.endpoints, entry.Endpoint)
	if len(l.firstEntries) < maxLoggedServers {
		l.firstEntries = append(l.firstEntries, entry)
	}
}

// listProgress is told what a message says before it has ended, whenever more of it is waited for. Discovery
// counts a change as told once it has written its line, whatever becomes of the rest.
type listCallbacks struct {
	// leaving is told of further lines that take servers out of service, also those of a message that
	// proves to be broken. versioned: the version has been read.
	onOutOfService func(lines serverList, versioned bool)
	// named is told, once, of a whole list whose lines and version have come, but not its closing brace: what
	// it does not name is gone.
	onAllEntries func(serverList)
	// whole is told, once, of a message that is whole while the end of its framing has not come.
	onComplete func(serverList)
}

// listReader reads one message of discovery, line by line, so that its text is never held
// as a whole. It takes what json.Unmarshal would take into a hostList.
type listReader struct {
	zones     []string
	clock     clock
	body      *boundedReader
	decoder   *json.Decoder
	list      serverList
	callbacks listCallbacks

	versionRead        bool   // the version has been read
	complete           bool   // the closing brace has been read,
	completeReported   bool   // and told
	allEntriesRead     bool   // the last line has been read,
	allEntriesReported bool   // and the servers that are named were told
	reportedEntries    int    // lines that leaving was told of, or that keep their servers
	outOfService       []bool // of each line: it says so in a word that discovery knows, and can't be garbled by chance
}

// readList reads a message up to its end. An error leaves nothing of it.
func readList(body io.Reader, zones []string, c clock) (serverList, error) {
	return streamList(body, zones, c, listCallbacks{
		onOutOfService: func(serverList, bool) {}, onAllEntries: func(serverList) {}, onComplete: func(serverList) {},
	})
}

// followList is readList, and tells of the message while it comes.
func streamList(body io.Reader, zones []string, c clock, callbacks listCallbacks) (serverList, error) {
	bounded := &boundedReader{source: body}
	r := listReader{zones: zones, clock: c, body: bounded, callbacks: callbacks}
	bounded.beforeRead = r.reportProgress
	r.decoder = json.NewDecoder(bufio.NewReaderSize(bounded, readBufferBytes))
	r.decoder.UseNumber() // what is skipped may hold a number of any size
	err := r.readMessage()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		r.reportOutOfService()
		return serverList{}, err
	}
	return r.list, nil
}

// waits tells how far the message has come before more of it is waited for.
func (r *listReader) reportProgress() {
	switch {
	case !r.complete && r.allEntriesRead && r.versionRead && r.list.isWhole:
		r.reportAllEntries()
	case !r.complete:
		r.reportOutOfService()
	case !r.completeReported && r.restIsBlank():
		r.completeReported = true
		r.callbacks.onComplete(r.list)
	}
}

// tellNamed tells of the servers that a whole list names.
func (r *listReader) reportAllEntries() {
	if !r.allEntriesReported {
		r.allEntriesReported = true
		r.callbacks.onAllEntries(r.list)
	}
}

// tellLeaving tells of the lines since the last time that take servers out of service.
func (r *listReader) reportOutOfService() {
	if r.completeReported {
		return
	}
	found := serverList{version: r.list.version}
	for i := r.reportedEntries; i < len(r.list.entries); i++ {
		if r.outOfService[i] {
			found.entries = append(found.entries, r.list.entries[i])
			found.endpoints = append(found.endpoints, r.list.endpoints[i])
		}
	}
	r.reportedEntries = len(r.list.entries)
	if len(found.entries) > 0 {
		r.callbacks.onOutOfService(found, r.versionRead)
	}
}

// restIsBlank tells whether nothing but white space has come behind the message so far.
func (r *listReader) restIsBlank() bool {
	rest, err := io.ReadAll(r.decoder.Buffered())
	return err == nil && len(bytes.TrimSpace(rest)) == 0
}

func (r *listReader) readMessage() error {
	opening, err := r.nextToken()
	if err != nil {
		return err
	}
	switch opening {
	case json.Delim('{'):
		if err := r.readFields(); err != nil {
			return err
		}
		r.complete = true
	case nil: // a null is a message that says nothing
	default:
		return fmt.Errorf("%v in place of an object", opening)
	}
	rest, err := r.nextToken()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return fmt.Errorf("%v after the end", rest)
}

// fields reads the fields of the object that has been opened.
func (r *listReader) readFields() error {
	for r.decoder.More() {
		name, err := r.nextToken()
		if err != nil {
			return err
		}
		if err := r.readField(name.(string)); err != nil { // the decoder allows no other key
			return err
		}
	}
	_, err := r.nextToken() // the closing brace
	return err
}

// field reads the value of a field. The last of several alike counts.
func (r *listReader) readField(name string) error {
	switch {
	case strings.EqualFold(name, "rev"):
		err := r.decodeValue(&r.list.version)
		r.versionRead = err == nil
		return err
	case strings.EqualFold(name, "all"):
		return r.decodeValue(&r.list.isWhole)
	case strings.EqualFold(name, "targets"):
		return r.readEntries()
	}
	return r.skipValue()
}

// targets reads the lines, or a null in their place.
func (r *listReader) readEntries() error {
	r.list.entries, r.list.endpoints, r.list.firstEntries, r.reportedEntries, r.outOfService = nil, nil, nil, 0, nil
	opening, err := r.nextToken()
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
		var entry listEntry
		if err := r.decodeValue(&entry); err != nil {
			return err
		}
		r.list.add(entry, r.zones, r.clock)
		r.outOfService = append(r.outOfService, entry.State == stateTerminating || entry.State == stateTerminated)
	}
	_, err = r.nextToken() // the closing bracket
	r.allEntriesRead = err == nil
	return err
}

// skip passes over a value that means nothing to this node.
func (r *listReader) skipValue() error {
	for depth := 0; ; {
		token, err := r.nextToken()
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
func (r *listReader) nextToken() (json.Token, error) {
	r.body.valueBytes = 0
	return r.decoder.Token()
}

// value decodes the next value of the message.
func (r *listReader) decodeValue(into any) error {
	r.body.valueBytes = 0
	return r.decoder.Decode(into)
}

// boundedReader fails once its text is over the bound for a message or for one value.
type boundedReader struct {
	source     io.Reader
	beforeRead func() // called before more is waited for; nil: nobody wants to know
	totalBytes int
	valueBytes int // read since the present value began
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.valueBytes > maxListValueBytes {
		return 0, &listTooLargeError{maxListValueBytes, "bytes in one value"}
	}
	if b.beforeRead != nil {
		b.beforeRead()
	}
	n, err := b.source.Read(p)
	b.totalBytes += n
	b.valueBytes += n
	if b.totalBytes > maxListBytes {
		return 0, &listTooLargeError{maxListBytes, "bytes"}
	}
	return n, err
}
