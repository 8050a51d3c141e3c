package standin

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// resetDelay is the time for written bytes to arrive before their connection is reset.
const resetDelay = 100 * time.Millisecond

// Cycle returns a fault that applies each of the given faults to one call, in their order and again from
// the first one; nil answers the call.
func Cycle(faults ...Fault) Fault {
	var calls atomic.Int64
	return func(c *Call) {
		i := (calls.Add(1) - 1) % int64(len(faults))
		if faults[i] == nil {
			c.Answer()
			return
		}
		faults[i](c)
	}
}

// ByCallKind returns a fault that applies one fault to watches and another one to calls for the whole list;
// nil answers the call.
func ByCallKind(watchFault, wholeListFault Fault) Fault {
	return func(c *Call) {
		fault := wholeListFault
		if c.Request.URL.Query().Has("since") {
			fault = watchFault
		}
		if fault == nil {
			c.Answer()
			return
		}
		fault(c)
	}
}

// UnknownVersion answers with status 400, as a service does that does not know the version of the call.
func UnknownVersion(c *Call) { c.Writer.WriteHeader(http.StatusBadRequest) }

// EarlierList returns a fault that answers at once with the whole list of an earlier version, like a
// lagging replica.
func EarlierList(version int64) Fault {
	return func(c *Call) { c.writeList(c.discovery.listAtVersion(version)) }
}

// WholeList answers every call with the whole list, also a watch, which still waits for changes.
func WholeList(c *Call) {
	c.answerText() // waits for changes
	c.writeList(c.discovery.KnownList())
}

// LateEnd returns a fault that writes a chunked answer at once and its last chunk after a delay.
func LateEnd(delay time.Duration) Fault {
	return func(c *Call) {
		c.writeChunked(c.answerText())
		c.pause(delay)
	}
}

// NoEnd writes a chunked answer at once and never its last chunk.
func NoEnd(c *Call) {
	c.writeChunked(c.answerText())
	NoAnswer(c)
}

// ResetEnd writes a chunked answer at once and resets the connection in place of the last chunk.
func ResetEnd(c *Call) {
	c.writeChunked(c.answerText())
	c.pause(resetDelay)
	c.resetConn()
}

// DelayAfterEntries returns a fault that writes an answer up to the end of the given number of entries, and
// the rest after a delay.
func DelayAfterEntries(entries int, delay time.Duration) Fault {
	return func(c *Call) {
		head, rest := splitAfterEntries(c.answerText(), entries)
		c.writeChunked(head)
		if c.pause(delay) {
			c.writeChunked(rest)
		}
	}
}

// ResetAfterEntries returns a fault that writes an answer up to the end of the given number of entries and
// resets the connection.
func ResetAfterEntries(entries int) Fault {
	return func(c *Call) {
		head, _ := splitAfterEntries(c.answerText(), entries)
		c.writeChunked(head)
		c.pause(resetDelay)
		c.resetConn()
	}
}

// EntryByEntry returns a fault that writes the given number of first entries of an answer at once, and each
// further one after a pause.
func EntryByEntry(firstEntries int, pause time.Duration) Fault {
	return func(c *Call) {
		head, rest := splitAfterEntries(c.answerText(), firstEntries)
		c.writeChunked(head)
		for len(rest) > 0 && c.pause(pause) {
			head, rest = splitAfterEntries(rest, 1)
			c.writeChunked(head)
		}
	}
}

// Padded returns a fault that applies another fault to answers with the given number of trailing spaces.
func Padded(spaces int, fault Fault) Fault {
	return rewriteAnswers(fault, func(text []byte) ([]byte, error) {
		return append(text, bytes.Repeat([]byte{' '}, spaces)...), nil
	})
}

// VersionLast returns a fault that applies another fault to answers whose version follows the entries.
func VersionLast(fault Fault) Fault {
	return rewriteAnswers(fault, func(text []byte) ([]byte, error) {
		var list List
		if err := json.Unmarshal(text, &list); err != nil {
			return nil, err
		}
		return json.Marshal(struct {
			IsWhole bool    `json:"all"`
			Entries []Entry `json:"targets"`
			Version int64   `json:"rev"`
		}{list.IsWhole, list.Entries, list.Version})
	})
}

// rewriteAnswers returns a fault that applies another fault to calls whose answers rewrite has changed.
func rewriteAnswers(fault Fault, rewrite func(text []byte) ([]byte, error)) Fault {
	return func(c *Call) {
		answer := c.awaitAnswer
		c.awaitAnswer = func() ([]byte, error) {
			text, err := answer()
			if err != nil {
				return nil, err
			}
			return rewrite(text)
		}
		fault(c)
	}
}

// splitAfterEntries splits an answer after the given number of entries. It finds their ends by the closing
// braces, so that an entry must not hold braces of its own.
func splitAfterEntries(text []byte, entries int) (head, rest []byte) {
	end := 0
	for range entries {
		brace := bytes.IndexByte(text[end:], '}')
		if brace < 0 {
			return text, nil
		}
		end += brace + 1
	}
	return text[:end], text[end:]
}

// writeList writes a list as a complete answer with a Content-Length.
func (c *Call) writeList(list List) {
	text, err := json.Marshal(list)
	if err != nil {
		http.Error(c.Writer, err.Error(), http.StatusInternalServerError)
		return
	}
	c.Writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	c.Writer.Write(text)
}

// writeChunked writes and flushes a part of an answer. The answer has no Content-Length, so it is chunked.
func (c *Call) writeChunked(text []byte) {
	c.Writer.Write(text)
	http.NewResponseController(c.Writer).Flush()
}

// resetConn resets the connection of a call.
func (c *Call) resetConn() {
	conn, _, err := http.NewResponseController(c.Writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
