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
	// maxListServers is the largest number of servers that a list may name. It bounds what a broken discovery
	// can make a node read and keep, and is far above the size of any list in use.
	maxListServers = 256 << 10
	// maxListBytes bounds the text of one message of discovery: 512 bytes for each server, whose entry takes
	// about 145 bytes, and more if it is indented.
	maxListBytes = maxListServers * 512
	// maxListValueBytes bounds the text of one value of a message, such as the entry of one server, because the
	// decoder holds the whole value in memory.
	maxListValueBytes = 1 << 20
	// maxListDepth is the largest depth of nested values, the same as that of json.Unmarshal.
	maxListDepth = 10000
	// readBufferBytes is the size of the buffer between the body and the decoder.
	readBufferBytes = 64 << 10
	// maxLoggedServers bounds the servers of a message that are logged one by one.
	maxLoggedServers = 8
)

// listTooLargeError reports a message of discovery that is over one of the bounds.
type listTooLargeError struct {
	limit int
	unit  string
}

func (e *listTooLargeError) Error() string { return fmt.Sprintf("over %d %s", e.limit, e.unit) }

// serverList is a message of discovery in the types of package policy: the whole list or changes to it. It holds little
// for each server, as there may be very many.
type serverList struct {
	version      int64
	isWhole      bool
	entries      []policy.Entry
	endpoints    []string    // endpoints of the entries, at the same indexes
	firstEntries []listEntry // first entries as discovery wrote them, for the log
	readAt       time.Time
}

// add appends the entry of one server.
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

// listCallbacks report what a message says while more of it is awaited. The node has to know a change once discovery
// has written its entry, whatever becomes of the rest of the message.
type listCallbacks struct {
	// onOutOfService receives further entries that take servers out of service, including those of a message
	// that proves to be broken. versionRead reports whether the version has been read.
	onOutOfService func(found serverList, versionRead bool)
	// onAllEntries receives, once, a whole list of which all entries and the version have been read, but not the
	// closing brace. A server that it does not name is gone.
	onAllEntries func(serverList)
	// onComplete receives, once, a message that is complete while its body has not ended.
	onComplete func(serverList)
}

// listReader reads one message of discovery entry by entry, so that its whole text is never in memory. It accepts
// what json.Unmarshal would decode into a listMessage.
type listReader struct {
	zones     []string
	clock     clock
	body      *boundedReader
	decoder   *json.Decoder
	list      serverList
	callbacks listCallbacks

	versionRead        bool   // the version has been read
	complete           bool   // the closing brace has been read
	completeReported   bool   // onComplete has been called
	allEntriesRead     bool   // the closing bracket of the entries has been read
	allEntriesReported bool   // onAllEntries has been called
	reportedEntries    int    // number of entries that have been considered for onOutOfService
	outOfService       []bool // whether each entry takes its server out of service by a known state, and not by a garbled one
}

// readList reads a message up to its end. With an error it returns an empty list.
func readList(body io.Reader, zones []string, c clock) (serverList, error) {
	return streamList(body, zones, c, listCallbacks{
		onOutOfService: func(serverList, bool) {}, onAllEntries: func(serverList) {}, onComplete: func(serverList) {},
	})
}

// streamList is readList, and calls back while the message arrives.
func streamList(body io.Reader, zones []string, c clock, callbacks listCallbacks) (serverList, error) {
	bounded := &boundedReader{source: body}
	r := listReader{zones: zones, clock: c, body: bounded, callbacks: callbacks}
	bounded.beforeRead = r.reportProgress
	r.decoder = json.NewDecoder(bufio.NewReaderSize(bounded, readBufferBytes))
	r.decoder.UseNumber() // a skipped value may hold a number of any size
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

// reportProgress calls back with what has been read, before more of the message is awaited.
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

// reportAllEntries passes on the entries of a whole list, once.
func (r *listReader) reportAllEntries() {
	if !r.allEntriesReported {
		r.allEntriesReported = true
		r.callbacks.onAllEntries(r.list)
	}
}

// reportOutOfService passes on the entries since the last report that take servers out of service.
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

// restIsBlank reports whether only white space has arrived after the message so far.
func (r *listReader) restIsBlank() bool {
	rest, err := io.ReadAll(r.decoder.Buffered())
	return err == nil && len(bytes.TrimSpace(rest)) == 0
}

// readMessage reads the object of the message, and checks that nothing but white space follows it.
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
	case nil: // a null is an empty message
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
	return fmt.Errorf("%v after the end of the message", rest)
}

// readFields reads the fields of the message's object and its closing brace.
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

// readField reads the value of a field. If a field is repeated, its last value counts.
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

// readEntries reads the array of entries, or a null in its place.
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

// skipValue skips the value of a field that this node does not use.
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

// nextToken returns the next token of the message.
func (r *listReader) nextToken() (json.Token, error) {
	r.body.valueBytes = 0
	return r.decoder.Token()
}

// decodeValue decodes the next value of the message.
func (r *listReader) decodeValue(into any) error {
	r.body.valueBytes = 0
	return r.decoder.Decode(into)
}

// boundedReader fails once its text exceeds the bound for a message or for one value.
type boundedReader struct {
	source     io.Reader
	beforeRead func() // called before each read that may wait; nil: not called
	totalBytes int
	valueBytes int // bytes read since the present value began
}

// Read implements io.Reader.
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
