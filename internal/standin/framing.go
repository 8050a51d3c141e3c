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

// resetDelay lets what was written arrive before its connection is reset.
const resetDelay = 100 * time.Millisecond

// Cycle has each of some faults strike one call and begins anew behind the last one; nil is none.
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

// ByKind has one fault strike calls that wait for changes and another one those for the whole list; nil is none.
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

// UnknownVersion answers 400, as to a version that the service does not know.
func UnknownVersion(c *Call) { c.Writer.WriteHeader(http.StatusBadRequest) }

// EarlierList answers at once with the whole list of an earlier version, as a replica that lags.
func EarlierList(version int64) Fault {
	return func(c *Call) { c.writeList(c.discovery.listAtVersion(version)) }
}

// WholeList answers with the whole list where changes were asked for, too.
func WholeList(c *Call) {
	c.answerText() // waits for news
	c.writeList(c.discovery.KnownList())
}

// LateEnd writes an answer with no length at once and its end after some time.
func LateEnd(delay time.Duration) Fault {
	return func(c *Call) {
		c.writeChunked(c.answerText())
		c.pause(delay)
	}
}

// NoEnd writes an answer with no length at once, and never its end.
func NoEnd(c *Call) {
	c.writeChunked(c.answerText())
	NoAnswer(c)
}

// ResetEnd writes an answer with no length at once, and a reset in place of its end.
func ResetEnd(c *Call) {
	c.writeChunked(c.answerText())
	c.pause(resetDelay)
	c.resetConn()
}

// LateBehindLines writes an answer up to the end of some of its lines, and the rest after some time.
func DelayAfterEntries(entries int, delay time.Duration) Fault {
	return func(c *Call) {
		head, rest := splitAfterEntries(c.answerText(), entries)
		c.writeChunked(head)
		if c.pause(delay) {
			c.writeChunked(rest)
		}
	}
}

// CutBehindLines writes an answer up to the end of some of its lines and resets the connection.
func ResetAfterEntries(entries int) Fault {
	return func(c *Call) {
		head, _ := splitAfterEntries(c.answerText(), entries)
		c.writeChunked(head)
		c.pause(resetDelay)
		c.resetConn()
	}
}

// LineByLine writes the first lines of an answer at once and the others one by one with pauses ahead of them.
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

// Padded has a fault strike answers that some blanks follow.
func Padded(spaces int, fault Fault) Fault {
	return rewriteAnswers(fault, func(text []byte) ([]byte, error) {
		return append(text, bytes.Repeat([]byte{' '}, spaces)...), nil
	})
}

// VersionLast has a fault strike answers that tell their version behind the lines.
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

// rewritten has a fault strike calls whose answers are rewritten.
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

// splitBehindLines splits an answer behind the given number of lines; they hold no braces but their own.
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

// writeList writes a list as a whole answer.
func (c *Call) writeList(list List) {
	text, err := json.Marshal(list)
	if err != nil {
		http.Error(c.Writer, err.Error(), http.StatusInternalServerError)
		return
	}
	c.Writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	c.Writer.Write(text)
}

// writeOpen sends a part of an answer that has no length: it is chunked.
func (c *Call) writeChunked(text []byte) {
	c.Writer.Write(text)
	http.NewResponseController(c.Writer).Flush()
}

// reset resets the connection of a call.
func (c *Call) resetConn() {
	conn, _, err := http.NewResponseController(c.Writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, is := conn.(*net.TCPConn); is {
		tcp.SetLinger(0)
	}
	conn.Close()
}
