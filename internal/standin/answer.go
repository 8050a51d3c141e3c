package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Answer is what a replica has to say to one call.
type Answer struct {
	CallNumber      int       // of the call
	CalledAt        time.Time // when the call came
	FirstByteAt     time.Time // when the first byte of its answer was written
	VersionRestarts int       // how often the replica's versions had started anew
	List            List
}

// AnswerObserver is told what a replica writes to its callers.
type AnswerObserver interface {
	// Completing tells that the end of a message is about to be written.
	Completing(answer *Answer)
	// Wrote tells of lines whose last byte has been written and flushed, and whether the message is whole.
	EntriesWritten(answer *Answer, lines []Entry, whole bool)
	// Abandoned tells that a caller left before its message was whole.
	Abandoned(answer *Answer)
}

// observedWriter tells an observer what is written through it, whoever writes it and in what pieces.
type observedWriter struct {
	http.ResponseWriter
	answer             *Answer
	observer           AnswerObserver
	written            []byte // so far
	reportedEntries    int    // lines
	completingReported bool   // the end of the message was written
	completeReported   bool   // and flushed
	hijacked           bool   // nothing goes through it any more
}

// Unwrap lets a http.ResponseController reach the connection.
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

// FlushError sends what was written, and tells of it.
func (w *observedWriter) FlushError() error {
	if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
		return err
	}
	w.reportProgress()
	return nil
}

// report tells of what is new.
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

// end ends an answer that was not aborted.
func (w *observedWriter) finish(request *http.Request) {
	hasLeft := request.Context().Err() != nil
	if hasLeft && !w.completeReported && w.observer != nil {
		w.observer.Abandoned(w.answer)
	}
	if !hasLeft && !w.hijacked && len(w.written) > 0 {
		w.FlushError()
	}
}

// linesWithin gives the lines that are whole in the text of a message so far, and whether all of it is.
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

// targetsWithin reads an array of lines as far as it goes, and tells whether its end is there.
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
