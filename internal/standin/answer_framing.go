package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Coding says how the end of a message is told.
type BodyDelimiter int

// How the end of a message is told.
const (
	ContentLength BodyDelimiter = iota // by a Content-Length
	Chunked                            // by a last chunk
	UntilClose                         // by the end of the connection
)

// Ending says what becomes of the end of a message, behind the closing brace of its text.
type Ending int

// What becomes of the end.
const (
	EndsAtOnce Ending = iota
	EndsLate          // after Framing.EndDelay
	EndsNever         // the connection stays open and silent
	EndsByReset
)

// Framing is one of the forms in which an answer may be written. The zero value is a compact text in one
// piece, with its length.
type Framing struct {
	Delimiter         BodyDelimiter
	Ending            Ending
	EndDelay          time.Duration
	Indented          bool
	VersionLast       bool          // the version comes behind the lines
	Pieces            int           // in which the text is written; 0: one, or as many as there are lines
	EntryPerPiece     bool          // a piece ends behind each line
	Pause             time.Duration // behind each piece
	RestDelay         time.Duration // the first line is a piece, and the rest another one, so much later; 0: they are not
	ResetAfterEntries int           // lines behind which the connection is reset; 0: it is not
}

// Framed answers calls in some form.
func Framed(framing Framing) Fault {
	return func(c *Call) {
		if text := c.answerText(); text != nil {
			framing.write(c, text)
		}
	}
}

// write writes an answer; what is no list is written as it is.
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

// tail is what comes late of a message with a length: white space behind the closing brace.
const lateWhitespace = "\n"

// head writes the headers.
func (f *Framing) writeHeaders(c *Call, length int) {
	switch f.Delimiter {
	case ContentLength:
		if f.Ending == EndsLate || f.Ending == EndsNever {
			length += len(lateWhitespace)
		}
		c.Writer.Header().Set("Content-Length", strconv.Itoa(length))
	case UntilClose:
		c.Writer.Header().Set("Transfer-Encoding", "identity") // net/http closes behind it
	}
}

// pieces writes a text piece by piece; false where the caller has left.
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

// end does with the end of a message what is to become of it.
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

// resetCaller resets the connection of a call, once what was written has arrived.
func resetAfterDelivery(c *Call) {
	c.pause(resetDelay)
	c.resetConn()
}

// render gives the text of a list, and where each of its lines ends.
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

// line gives the text of one line.
func (f *Framing) encodeEntry(entry Entry) []byte {
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err) // a weight that is no number
	}
	if !f.Indented {
		return text
	}
	var indented bytes.Buffer
	indented.WriteString("\n    ")
	json.Indent(&indented, text, "    ", "  ")
	return indented.Bytes()
}
