package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"mime"
	"net/textproto"
	"os"
	"strings"
	"time"
)

const (
	// responseQuietTime is the time for which nothing may follow a response before it counts as whole, unless
	// its body shows that by itself. The rest of a body whose stated length is too small may arrive separately
	// from the part before it.
	responseQuietTime = 10 * time.Millisecond
	// maxResponseBytes bounds the bytes that one response may take.
	maxResponseBytes = maxResponseHeadBytes + maxBodyBytes
	// minResponseQuietTime is the shortest quiet time of an answer that would be late after responseQuietTime.
	minResponseQuietTime = time.Millisecond
	// answerSendTime is the time that an answer is given from its confirmation to its arrival at the client.
	answerSendTime = 3 * time.Millisecond
	// noWait makes awaitData look only at what has arrived.
	noWait time.Duration = -time.Second
	// httpVersionPrefix is how the version of each message begins.
	httpVersionPrefix = "HTTP/1."
	// jsonSpace holds the characters that may stand around a JSON text.
	jsonSpace = " \t\r\n"
)

// responseTimes are the time limits of a response.
type responseTimes struct {
	quiet time.Duration // responseQuietTime, or another time in tests
	stall time.Duration // responseStallTimeout, or another time in tests
}

// bodyExtent is what the content of a body says about where the body ends.
type bodyExtent uint8

const (
	extentUnknown bodyExtent = iota // the content may end anywhere
	extentPartial                   // the content is the beginning of a value
	extentWhole                     // the content is a value that nothing can continue
)

// maxQuietTime returns the longest quiet time for a response that earns its full value if it is
// answered by a time. A response that is too late for that may take any time.
func maxQuietTime(now, valueUntil time.Duration) time.Duration {
	if now >= valueUntil {
		return math.MaxInt64
	}
	return max(minResponseQuietTime, valueUntil-answerSendTime-now)
}

// confirmEnd returns an error unless a response ends where its framing says, and reports whether
// nothing has followed it. A body that is longer than its stated length must not be served cut off;
// its rest has arrived, or arrives within the quiet time; a body that shows by itself that it is whole is
// not waited behind. Two kinds of data may follow a response that
// is whole: a copy of the response, and, after a body that shows by itself that it is whole, anything
// that can't continue it. All other data may be the rest of the body. docs/endings.md says what can't
// be told apart.
func (c *serverConn) confirmEnd(ctx context.Context, response *serverResponse, reserve reserveFunc, onReceived func() (maxWait time.Duration)) (
	silent bool, err error) {
	extent := bodyExtentOf(response)
	wait := noWait
	switch extent {
	case extentUnknown:
		wait = min(c.responseTimes.quiet, onReceived())
	case extentPartial:
		onReceived()
		wait = max(c.responseTimes.quiet, c.responseTimes.stall)
	}
	c.limitedInput.N = maxResponseBytes
	arrived, silent := c.awaitData(ctx, wait)
	switch {
	case ctx.Err() != nil:
		return false, ctx.Err()
	case !arrived:
		return silent, nil
	case extent == extentWhole:
		return false, c.expectNoJSON()
	}
	return false, c.expectCopy(ctx, response, reserve)
}

// awaitData waits for data on the connection, and reports whether some has arrived. If none has, it
// reports whether the connection is still open. What follows the data may take as long as the rest of a
// response.
func (c *serverConn) awaitData(ctx context.Context, wait time.Duration) (arrived, silent bool) {
	c.setResponseDeadline(ctx, time.Now().Add(wait))
	_, err := c.reader.Peek(1)
	c.setResponseDeadline(ctx, time.Now().Add(c.responseTimes.stall))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// On a node that gets no CPU, data may have arrived before the deadline without being read.
		if c.isOpenAndSilent() {
			return false, true
		}
		_, err = c.reader.Peek(1)
	}
	return err == nil, false
}

// expectNoJSON returns an error unless what follows a whole JSON value can't belong to a sequence of
// JSON values or to the white space after the value.
func (c *serverConn) expectNoJSON() error {
	for {
		rest, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return err
		}
		switch jsonExtent(rest) {
		case extentUnknown:
			return nil
		case extentWhole:
			return malformedResponse("JSON after the end of the body")
		}
		if _, err := c.reader.Peek(len(rest) + 1); err != nil {
			return malformedResponse("%d bytes after the end of the body, which may belong to it", len(rest))
		}
	}
}

// expectCopy returns an error unless a copy of a response follows it. Another response is no copy: it
// may be content of the body, and which of two responses was made for the request is unclear.
func (c *serverConn) expectCopy(ctx context.Context, response *serverResponse, reserve reserveFunc) error {
	for i := range len(httpVersionPrefix) {
		start, err := c.reader.Peek(i + 1)
		if err != nil || start[i] != httpVersionPrefix[i] {
			return malformedResponse("data after the end of the body, which may belong to it")
		}
	}
	second, err := readResponse(c.reader, responseReading{
		beforeHead: func() {}, onHeadStart: func() {},
		reserveBody: func(bytes int) error { return reserve(ctx, bytes) },
	})
	switch {
	case err != nil:
		return malformedResponse("data after the end of the body, not another response: %v", err)
	case second.statusCode != response.statusCode || !bytes.Equal(second.body, response.body):
		return malformedResponse("another response after the end of the body")
	}
	return nil
}

// bodyExtentOf returns what the content of a response's body says about its end. Only JSON does so: no
// array, object, string or literal is the beginning of another JSON text, as a number is.
func bodyExtentOf(response *serverResponse) bodyExtent {
	body := bytes.TrimLeft(response.body, jsonSpace)
	switch {
	case !isJSON(response.header) || len(body) == 0:
		return extentUnknown
	case !json.Valid(body):
		if jsonExtent(body) == extentPartial {
			return extentPartial
		}
		return extentUnknown
	case body[0] == '-' || body[0] >= '0' && body[0] <= '9':
		return extentUnknown
	}
	return extentWhole
}

// isJSON reports whether a header declares a body to be one JSON text (RFC 8259, RFC 6839).
func isJSON(header textproto.MIMEHeader) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	if err != nil || header.Get("Content-Encoding") != "" {
		return false
	}
	return mediaType == "application/json" || strings.HasSuffix(mediaType, "+json")
}

// jsonExtent returns the extent of the JSON value that a text begins with: partial if the text ends
// within the value or before it begins, and unknown if there is none.
func jsonExtent(text []byte) bodyExtent {
	var value json.RawMessage
	err := json.NewDecoder(bytes.NewReader(text)).Decode(&value)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return extentPartial
	case err != nil:
		return extentUnknown
	}
	return extentWhole
}
