package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Answer describes one call to a replica and the list that answers it.
type Answer struct {
	CallNumber      int       // number of the call, counted from 1 for each replica
	CalledAt        time.Time // time at which the call arrived
	FirstByteAt     time.Time // time at which the first byte of the answer was written; zero before
	VersionRestarts int       // number of restarts of the replica's versions before the call
	List            List      // list that answers the call
}

// AnswerObserver receives reports of what a replica writes to its callers.
type AnswerObserver interface {
	// Completing reports that the replica is about to write the end of a message.
	Completing(answer *Answer)
	// EntriesWritten reports entries that were written and flushed up to their last byte, and whether the
	// message is complete.
	EntriesWritten(answer *Answer, entries []Entry, complete bool)
	// Abandoned reports that a caller disconnected before its message was complete.
	Abandoned(answer *Answer)
}

// observedWriter reports to an observer what is written through it, however it is split into writes.
type observedWriter struct {
	http.ResponseWriter
	answer             *Answer
	observer           AnswerObserver
	written            []byte // body written so far
	reportedEntries    int    // number of entries that were reported
	completingReported bool   // Completing was called
	completeReported   bool   // EntriesWritten was called with the complete message
	hijacked           bool   // the connection was taken over, and nothing more is written here
}

// Unwrap returns the inner writer, through which an http.ResponseController reaches the connection.
func (w *observedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Hijack implements http.Hijacker.
func (w *observedWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	w.hijacked = true
	return http.NewResponseController(w.ResponseWriter).Hijack()
}

// Write implements io.Writer.
func (w *observedWriter) Write(p []byte) (int, error) {
	if w.answer.FirstByteAt.IsZero() {
		w.answer.FirstByteAt = time.Now()
	}
	w.written = append(w.written, p...)
	if _, complete := parsePartialList(w.written); complete && !w.completingReported && w.observer != nil {
		w.completingReported = true
		w.observer.Completing(w.answer)
	}
	return w.ResponseWriter.Write(p)
}

// FlushError flushes what was written and reports it.
func (w *observedWriter) FlushError() error {
	if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
		return err
	}
	w.reportProgress()
	return nil
}

// reportProgress reports the entries that were completed since the last report, and the end of the message.
func (w *observedWriter) reportProgress() {
	if w.observer == nil || w.completeReported {
		return
	}
	entries, complete := parsePartialList(w.written)
	if len(entries) == w.reportedEntries && !complete {
		return
	}
	w.observer.EntriesWritten(w.answer, entries[w.reportedEntries:], complete)
	w.reportedEntries, w.completeReported = len(entries), complete
}

// finish ends the handling of a call. It reports a caller that disconnected before the message was
// complete; otherwise it flushes what was written, unless the connection was taken over.
func (w *observedWriter) finish(request *http.Request) {
	hasDisconnected := request.Context().Err() != nil
	if hasDisconnected && !w.completeReported && w.observer != nil {
		w.observer.Abandoned(w.answer)
	}
	if !hasDisconnected && !w.hijacked && len(w.written) > 0 {
		w.FlushError()
	}
}

// parsePartialList returns the complete entries in the text of a message so far, and whether the message is
// complete.
func parsePartialList(text []byte) (entries []Entry, complete bool) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		return nil, false
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return entries, false
		}
		if name != "targets" {
			var skipped json.RawMessage
			if err := decoder.Decode(&skipped); err != nil {
				return entries, false
			}
			continue
		}
		var arrayComplete bool
		if entries, arrayComplete = parsePartialEntries(decoder); !arrayComplete {
			return entries, false
		}
	}
	closing, err := decoder.Token()
	return entries, err == nil && closing == json.Delim('}')
}

// parsePartialEntries reads an array of entries up to the end of the text, and reports whether the array is
// complete.
func parsePartialEntries(decoder *json.Decoder) (entries []Entry, complete bool) {
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('[') {
		return nil, false
	}
	for decoder.More() {
		var entry Entry
		if err := decoder.Decode(&entry); err != nil {
			return entries, false
		}
		entries = append(entries, entry)
	}
	closing, err := decoder.Token()
	return entries, err == nil && closing == json.Delim(']')
}
