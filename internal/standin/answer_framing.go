package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// BodyDelimiter says how the end of a message body is marked.
type BodyDelimiter int

// The ways to mark the end of a message body.
const (
	ContentLength BodyDelimiter = iota // a Content-Length header
	Chunked                            // chunked transfer coding with a last chunk
	UntilClose                         // the end of the connection
)

// Ending says how a message ends after the closing brace of its text.
type Ending int

// The ways in which a message ends.
const (
	EndsAtOnce  Ending = iota // the end follows the text
	EndsLate                  // the end is written after Framing.EndDelay
	EndsNever                 // the end is never written, and the connection stays open
	EndsByReset               // the connection is reset in place of the end
)

// Framing is a form in which an answer is written. The zero value writes a compact text in one piece, with
// a Content-Length.
type Framing struct {
	Delimiter         BodyDelimiter
	Ending            Ending
	EndDelay          time.Duration
	Indented          bool
	VersionLast       bool          // the version follows the entries
	Pieces            int           // number of pieces, unless EntryPerPiece or RestDelay is set; 0: one
	EntryPerPiece     bool          // each entry ends a piece
	Pause             time.Duration // pause between two pieces
	RestDelay         time.Duration // delay after the first entry, before the rest follows in one piece; 0: none
	ResetAfterEntries int           // number of entries after which the connection is reset; 0: no reset
}

// Framed returns a fault that answers calls in the given framing.
func Framed(framing Framing) Fault {
	return func(c *Call) {
		if text := c.answerText(); text != nil {
			framing.write(c, text)
		}
	}
}

// write writes an answer in this framing. A text that is not a list is written unchanged, with a
// Content-Length.
func (f *Framing) write(c *Call, text []byte) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		c.writeWithLength(text)
		return
	}
	text, entryEnds := f.encode(list)
	f.writeHeaders(c, len(text))
	if f.ResetAfterEntries > 0 && f.ResetAfterEntries <= len(entryEnds) {
		end := entryEnds[f.ResetAfterEntries-1]
		f.writePieces(c, text[:end], entryEnds[:f.ResetAfterEntries])
		resetAfterDelivery(c)
		return
	}
	if f.writePieces(c, text, entryEnds) {
		f.applyEnding(c)
	}
}

// lateWhitespace follows the closing brace of a message with a Content-Length whose end comes late or
// never.
const lateWhitespace = "\n"

// writeHeaders sets the headers that mark the end of a body of the given length in bytes.
func (f *Framing) writeHeaders(c *Call, length int) {
	switch f.Delimiter {
	case ContentLength:
		if f.Ending == EndsLate || f.Ending == EndsNever {
			length += len(lateWhitespace)
		}
		c.Writer.Header().Set("Content-Length", strconv.Itoa(length))
	case UntilClose:
		c.Writer.Header().Set("Transfer-Encoding", "identity") // makes net/http close the connection after the body
	}
}

// writePieces writes a text piece by piece. It returns false if the caller disconnects.
func (f *Framing) writePieces(c *Call, text []byte, entryEnds []int) bool {
	ends := []int{len(text)}
	pause := max(f.Pause, f.RestDelay)
	switch {
	case f.RestDelay > 0 && len(entryEnds) > 0:
		ends = []int{entryEnds[0], len(text)}
	case f.EntryPerPiece:
		ends = append(append([]int{}, entryEnds...), len(text))
	case f.Pieces > 1:
		ends = nil
		for i := range f.Pieces {
			ends = append(ends, len(text)*(i+1)/f.Pieces)
		}
	}
	begin := 0
	for _, end := range ends {
		c.Writer.Write(text[begin:end])
		http.NewResponseController(c.Writer).Flush()
		if pause > 0 && end < len(text) && !c.pause(pause) {
			return false
		}
		begin = end
	}
	return true
}

// applyEnding ends a message whose text has been written in the way that f.Ending says.
func (f *Framing) applyEnding(c *Call) {
	switch f.Ending {
	case EndsAtOnce:
		return
	case EndsNever:
		NoAnswer(c)
		return
	case EndsByReset:
		resetAfterDelivery(c)
		return
	}
	if c.pause(f.EndDelay) && f.Delimiter == ContentLength {
		c.Writer.Write([]byte(lateWhitespace))
	}
}

// resetAfterDelivery resets the connection of a call after resetDelay, in which the written bytes arrive.
func resetAfterDelivery(c *Call) {
	c.pause(resetDelay)
	c.resetConn()
}

// encode returns the text of a list and the offset at which each of its entries ends.
func (f *Framing) encode(list List) (text []byte, entryEnds []int) {
	var out bytes.Buffer
	versionFields := fmt.Sprintf(`"rev":%d,"all":%t`, list.Version, list.IsWhole)
	out.WriteString("{")
	if !f.VersionLast {
		out.WriteString(versionFields + ",")
	}
	out.WriteString(`"targets":[`)
	for i, entry := range list.Entries {
		if i > 0 {
			out.WriteString(",")
		}
		out.Write(f.encodeEntry(entry))
		entryEnds = append(entryEnds, out.Len())
	}
	out.WriteString("]")
	if f.VersionLast {
		out.WriteString("," + versionFields)
	}
	out.WriteString("}")
	return out.Bytes(), entryEnds
}

// encodeEntry returns the text of one entry.
func (f *Framing) encodeEntry(entry Entry) []byte {
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err) // the capacity hint is NaN or infinite
	}
	if !f.Indented {
		return text
	}
	var indented bytes.Buffer
	indented.WriteString("\n    ")
	json.Indent(&indented, text, "    ", "  ")
	return indented.Bytes()
}
