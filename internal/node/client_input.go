package node

import (
	"bytes"
	"net/http"
	"sync"

	"otterstep/internal/budget"
)

const (
	// maxPipelinedBytes is how much the node keeps of what a client sends after an open request.
	maxPipelinedBytes = 64 << 10
	// firstPipelinedBytes is the memory for pipelined data that belongs to the fixed cost of its connection.
	firstPipelinedBytes = 1 << 10
)

// maxMethodBytes is the length of the longest method that the node takes for one.
const maxMethodBytes = 32

// clientInput hands a client's data to net/http up to the end of a head or body, and no further, so that
// what has arrived after a request is known before the request is forwarded and before it is answered.
// It is safe for concurrent use.
type clientInput struct {
	mu        sync.Mutex
	pipelined []byte              // data after the part of a message that is handed out
	memory    *budget.Reservation // memory of pipelined; nil while there is none
	bodyLeft  int64               // bytes of the present body that have not been handed out
	head      headScanner         // follows the present head
}

// messagePart is a part of a message that is handed to net/http.
type messagePart struct {
	bytes    int
	isHead   bool     // the part belongs to a head; false: to a body
	lines    int      // lines of the head that end in the part
	endsHead bool     // the head ends with the part
	refusal  *refusal // reason to refuse the message whose head ends with the part; nil: none
}

// take moves pipelined data into b, up to the end of a head or body.
func (in *clientInput) take(b []byte) messagePart {
	in.mu.Lock()
	defer in.mu.Unlock()
	part := in.advance(b[:copy(b, in.pipelined)])
	if in.pipelined = in.pipelined[part.bytes:]; len(in.pipelined) == 0 {
		in.dropLocked()
	}
	return part
}

// drop forgets the pipelined data and returns its memory.
func (in *clientInput) drop() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.dropLocked()
}

// dropLocked is drop for callers that hold the lock.
func (in *clientInput) dropLocked() {
	in.pipelined = nil
	if in.memory != nil {
		in.memory.Release()
		in.memory = nil
	}
}

// cut returns the part of newly read data up to the end of a head or body, and keeps the rest, which net/http's buffer
// bounds. There must be no pipelined data.
func (in *clientInput) cut(data []byte, memory *budget.Budget) messagePart {
	in.mu.Lock()
	defer in.mu.Unlock()
	part := in.advance(data)
	if rest := data[part.bytes:]; len(rest) > 0 {
		in.pipelined = bytes.Clone(rest)
		in.memory = memory.NewReservation(firstPipelinedBytes)
		in.memory.ForceGrow(int64(cap(in.pipelined)))
	}
	return part
}

// advance follows the present message through data up to the end of its head or body. The caller holds the lock.
func (in *clientInput) advance(data []byte) messagePart {
	if in.bodyLeft > 0 {
		n := min(int64(len(data)), in.bodyLeft)
		in.bodyLeft -= n
		return messagePart{bytes: int(n)}
	}
	part := messagePart{isHead: true, bytes: len(data)}
	for i, b := range data {
		switch in.head.scan(b) {
		case headLineEnds:
			part.lines++
		case emptyLineEnds:
			part.bytes = i + 1
			return part
		case headEnds:
			part.bytes, part.endsHead, part.refusal = i+1, true, in.head.refusal
			in.bodyLeft = in.head.contentLength
			in.head = headScanner{}
			return part
		}
	}
	return part
}

// keep appends data that has arrived while a request is open. It returns false, and keeps nothing, if
// that is over maxPipelinedBytes or there is no memory for it.
func (in *clientInput) keep(data []byte, memory *budget.Budget) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(data) == 0 {
		return true
	}
	needed := len(in.pipelined) + len(data)
	if needed > maxPipelinedBytes {
		return false
	}
	if needed > cap(in.pipelined) && !in.enlarge(needed, memory) {
		return false
	}
	in.pipelined = append(in.pipelined, data...)
	return true
}

// enlarge makes room for pipelined data, and returns false if there is no memory for it. The caller holds the lock.
func (in *clientInput) enlarge(needed int, memory *budget.Budget) bool {
	size := firstPipelinedBytes
	for size < needed {
		size *= 2
	}
	if in.memory == nil {
		in.memory = memory.NewReservation(firstPipelinedBytes)
	}
	if !in.memory.TryGrow(int64(size-cap(in.pipelined)), budget.Intake) {
		return false
	}
	in.pipelined = append(make([]byte, 0, size), in.pipelined...)
	return true
}

// mayBeRequest reports whether the pipelined data can be the beginning of a request, as far as it is there.
func (in *clientInput) mayBeRequest() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return mayBeginRequest(in.pipelined)
}

// mayBeginRequest reports whether a text can be the beginning of requests. Empty lines before a request
// are allowed (RFC 9112, section 2.2).
func mayBeginRequest(text []byte) bool {
	line, _, isWhole := bytes.Cut(bytes.TrimLeft(text, "\r\n"), []byte("\n"))
	method, rest, hasTarget := bytes.Cut(line, []byte(" "))
	target, version, hasVersion := bytes.Cut(rest, []byte(" "))
	switch {
	case hasTarget && len(method) == 0, !mayBeMethod(method), !mayBeTarget(target):
		return false
	case !hasVersion:
		return !isWhole
	}
	return mayBeVersion(version, isWhole)
}

// mayBeMethod reports whether a text can be the beginning of a method.
func mayBeMethod(text []byte) bool {
	for _, b := range text {
		if (b < 'A' || b > 'Z') && b != '-' {
			return false
		}
	}
	return len(text) <= maxMethodBytes
}

// mayBeTarget reports whether a text can be the beginning of a request's target.
func mayBeTarget(text []byte) bool {
	for _, b := range text {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	return true
}

// mayBeVersion reports whether a text can be the version of a request, or the beginning of it unless it is whole.
func mayBeVersion(text []byte, isWhole bool) bool {
	n := min(len(text), len(httpVersionPrefix))
	return string(text[:n]) == httpVersionPrefix[:n] && (n == len(httpVersionPrefix) || !isWhole)
}

// isFollowedByNoRequest reports whether a client has sent data after its request that can't be the
// beginning of another one. The body of the request is then longer than its length says, or the client
// sends what can't be read.
func isFollowedByNoRequest(r *http.Request) bool {
	c := connOf(r)
	return c != nil && !c.input.mayBeRequest()
}
