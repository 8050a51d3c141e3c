package node

import (
	"bytes"
	"net/http"
	"sync"
)

// maxPipelinedBytes is how much the node keeps of what a client sends after an open request.
const maxPipelinedBytes = 8 << 10

// maxMethodBytes is the length of the longest method that the node takes for one.
const maxMethodBytes = 32

// clientInput hands a client's data to net/http up to the end of a head or body, and no further, so that
// what has arrived after a request is known before the request is forwarded and before it is answered.
// It is safe for concurrent use.
type clientInput struct {
	mu         sync.Mutex
	pipelined  []byte // data after the part of a message that is handed out
	bodyLeft   int64  // bytes of the present body that have not been handed out
	lineLength int    // bytes of the present line of the head, without line breaks
}

// expectBody makes the next bytes count as a body of a length.
func (in *clientInput) expectBody(length int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.bodyLeft = length
}

// take moves pipelined data into b, up to the end of a head or body, and returns the number of bytes.
func (in *clientInput) take(b []byte) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	n := in.advance(b[:copy(b, in.pipelined)])
	if in.pipelined = in.pipelined[n:]; len(in.pipelined) == 0 {
		in.pipelined = nil
	}
	return n
}

// cut returns the number of bytes of newly read data up to the end of a head or body, and keeps the rest.
// There must be no pipelined data.
func (in *clientInput) cut(data []byte) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	n := in.advance(data)
	if n < len(data) {
		in.pipelined = bytes.Clone(data[n:])
	}
	return n
}

// advance follows the present message through data, and returns the number of bytes up to the end of its
// head or body. The caller holds the lock.
func (in *clientInput) advance(data []byte) int {
	if in.bodyLeft > 0 {
		n := min(int64(len(data)), in.bodyLeft)
		in.bodyLeft -= n
		return int(n)
	}
	for i, b := range data {
		switch b {
		case '\r':
		case '\n':
			isBlank := in.lineLength == 0
			if in.lineLength = 0; isBlank {
				return i + 1
			}
		default:
			in.lineLength++
		}
	}
	return len(data)
}

// keep appends data that has arrived while a request is open. It returns false, and keeps nothing, if
// that is over maxPipelinedBytes.
func (in *clientInput) keep(data []byte) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.pipelined)+len(data) > maxPipelinedBytes {
		return false
	}
	in.pipelined = append(in.pipelined, data...)
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
	if len(method) > maxMethodBytes || hasTarget && len(method) == 0 {
		return false
	}
	for _, b := range method {
		if (b < 'A' || b > 'Z') && b != '-' {
			return false
		}
	}
	target, version, hasVersion := bytes.Cut(rest, []byte(" "))
	for _, b := range target {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	if !hasVersion {
		return !isWhole
	}
	const prefix = "HTTP/1."
	n := min(len(version), len(prefix))
	return string(version[:n]) == prefix[:n] && (n == len(prefix) || !isWhole)
}

// isFollowedByNoRequest reports whether a client has sent data after its request that can't be the
// beginning of another one. The body of the request is then longer than its length says, or the client
// sends what can't be read.
func isFollowedByNoRequest(r *http.Request) bool {
	c, ok := r.Context().Value(clientConnKey{}).(*clientConn)
	return ok && !c.input.mayBeRequest()
}
