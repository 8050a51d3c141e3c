package node

import (
	"math"
	"strings"
)

// The names of the fields that say where a message ends, in lower case.
const (
	contentLengthName    = "content-length"
	transferEncodingName = "transfer-encoding"
)

// headScanner follows the head of one request byte by byte, in constant memory, and refuses a head that two readers could
// understand differently: a request that one reader sees as the body of another could be hidden in it (request
// smuggling). A head that is not refused has one Content-Length or none, no Transfer-Encoding, and no line that is malformed by
// RFC 9112: folded, without a colon, with a name that is no token, with a control character.
//
// It can't be left to the handler of net/http, which drops a Transfer-Encoding of HTTP/1.0 and joins folded lines. What is
// wrong with the request line is left to net/http.
//
// The zero value is ready for a head.
type headScanner struct {
	position headPosition
	afterCR  bool     // the last byte was a carriage return
	refusal  *refusal // first reason to refuse the head; nil: none

	fieldName       [len(transferEncodingName)]byte // beginning of the present field's name, in lower case
	fieldNameLength int

	contentLength   int64 // length of the body
	lengthFields    int   // number of Content-Length fields
	hasLengthDigits bool  // the present Content-Length has a digit
	lengthHasEnded  bool  // a blank has followed the digits
}

// headPosition is the part of a head that a headScanner is in.
type headPosition uint8

const (
	beforeRequestLine headPosition = iota // empty lines may stand here (RFC 9112, section 2.2)
	inRequestLine
	atLineStart
	inFieldName
	inFieldValue
	inContentLength
)

// headEvent is what a byte of a head ends.
type headEvent uint8

const (
	headContinues headEvent = iota
	emptyLineEnds           // an empty line before the request line
	headLineEnds            // the request line, or the line of a field
	headEnds
)

// scan follows the next byte.
func (s *headScanner) scan(b byte) headEvent {
	if b == '\n' {
		s.afterCR = false
		return s.endLine()
	}
	if s.afterCR {
		s.refuse(refusedMalformedHead)
	}
	s.afterCR = b == '\r'
	if !s.afterCR {
		s.scanInLine(b)
	}
	return headContinues
}

// refuse marks the head as refused, unless it is already.
func (s *headScanner) refuse(why *refusal) {
	if s.refusal == nil {
		s.refusal = why
	}
}

// endLine follows the end of a line.
func (s *headScanner) endLine() headEvent {
	switch s.position {
	case beforeRequestLine:
		return emptyLineEnds
	case atLineStart:
		return headEnds
	case inFieldName:
		s.refuse(refusedMalformedHead)
	case inContentLength:
		if !s.hasLengthDigits {
			s.refuse(refusedContentLength)
		}
	}
	s.position = atLineStart
	s.fieldNameLength = 0
	return headLineEnds
}

// scanInLine follows a byte that is no part of a line break.
func (s *headScanner) scanInLine(b byte) {
	switch s.position {
	case beforeRequestLine:
		s.position = inRequestLine
	case atLineStart, inFieldName:
		s.scanFieldName(b)
	case inFieldValue:
		if !isFieldValueByte(b) {
			s.refuse(refusedMalformedHead)
		}
	case inContentLength:
		s.scanContentLength(b)
	}
}

// scanFieldName follows a byte of a field's name, or the colon behind it.
func (s *headScanner) scanFieldName(b byte) {
	switch {
	case b == ':' && s.position == inFieldName:
		s.endFieldName()
	case isTokenByte(b):
		s.position = inFieldName
		if s.fieldNameLength < len(s.fieldName) {
			s.fieldName[s.fieldNameLength] = toLower(b)
		}
		s.fieldNameLength++
	default: // also a blank at the start of the line, which folds it, and one before the colon
		s.refuse(refusedMalformedHead)
		s.position = inFieldValue
	}
}

// endFieldName follows the colon behind a field's name.
func (s *headScanner) endFieldName() {
	s.position = inFieldValue
	if s.fieldNameLength > len(s.fieldName) {
		return
	}
	switch string(s.fieldName[:s.fieldNameLength]) {
	case transferEncodingName:
		s.refuse(refusedTransferCoding)
	case contentLengthName:
		s.position = inContentLength
		s.hasLengthDigits, s.lengthHasEnded = false, false
		if s.lengthFields++; s.lengthFields > 1 {
			s.refuse(refusedContentLength)
		}
	}
}

// scanContentLength follows a byte of the value of a Content-Length: digits with blanks around them.
func (s *headScanner) scanContentLength(b byte) {
	switch {
	case b == ' ', b == '\t':
		s.lengthHasEnded = s.hasLengthDigits
	case b >= '0' && b <= '9' && !s.lengthHasEnded:
		s.hasLengthDigits = true
		s.addLengthDigit(int64(b - '0'))
	default:
		s.refuse(refusedContentLength)
	}
}

// addLengthDigit appends a digit to the Content-Length.
func (s *headScanner) addLengthDigit(digit int64) {
	if s.contentLength > (math.MaxInt64-digit)/10 {
		s.refuse(refusedContentLength)
		return
	}
	s.contentLength = s.contentLength*10 + digit
}

// isTokenByte reports whether a byte may stand in the name of a field (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isToken reports whether a text may be the name of a field.
func isToken(text string) bool {
	for i := range len(text) {
		if !isTokenByte(text[i]) {
			return false
		}
	}
	return text != ""
}

// isFieldValueByte reports whether a byte may stand in the value of a field (RFC 9110, section 5.5).
func isFieldValueByte(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

// toLower returns the lower case of a letter of ASCII, and any other byte as it is.
func toLower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
