package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

const (
	maxInterimResponses  = 8        // limit on 1xx responses before the final one
	maxResponseHeadBytes = 16 << 10 // size limit of all heads of a response, including those of interim ones
)

// serverResponse is a complete HTTP response from a server.
type serverResponse struct {
	statusCode int
	header     textproto.MIMEHeader
	body       []byte
	closesConn bool      // the server closes the connection after the response
	receivedAt time.Time // time at which the last byte was received
}

// errMalformedResponse is the error that all errors about malformed responses wrap.
var errMalformedResponse = errors.New("malformed response")

// malformedResponse returns an error that wraps errMalformedResponse.
func malformedResponse(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformedResponse, fmt.Sprintf(format, args...))
}

// responseReading holds what is called while a response is read.
type responseReading struct {
	beforeHead  func()                // before the wait for each head
	onHeadStart func()                // when the first byte of a head has arrived
	reserveBody func(bytes int) error // before memory is allocated for a body
}

// readResponse reads one response.
//
// It is stricter than net/http's client. That reads a response without a length up to the end of the
// connection (here for as long as the client waits), drops a Content-Length beside a
// Transfer-Encoding, and reads a body of any length. If two readers could see the end of a response at
// different places, it is unclear where the next response begins.
func readResponse(reader *bufio.Reader, reading responseReading) (serverResponse, error) {
	for range maxInterimResponses + 1 {
		reading.beforeHead()
		if _, err := reader.Peek(1); err != nil {
			return serverResponse{}, err
		}
		reading.onHeadStart()
		response, err := readResponseHead(reader)
		switch {
		case err != nil:
			return serverResponse{}, err
		case response.statusCode == http.StatusSwitchingProtocols:
			return serverResponse{}, malformedResponse("status 101: protocol switch")
		case response.statusCode >= 200:
			response.body, err = readResponseBody(reader, response.header, reading.reserveBody)
			return response, err
		}
	}
	return serverResponse{}, malformedResponse("more than %d interim responses", maxInterimResponses)
}

// readResponseHead reads the status line and the header of a response.
func readResponseHead(reader *bufio.Reader) (response serverResponse, err error) {
	headReader := textproto.NewReader(reader)
	line, err := headReader.ReadLine()
	if err != nil {
		return response, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(code) != 3 {
		return response, malformedResponse("status line %.40q", line)
	}
	if response.statusCode, err = strconv.Atoi(code); err != nil || response.statusCode < 100 {
		return response, malformedResponse("status line %.40q", line)
	}
	if response.header, err = headReader.ReadMIMEHeader(); err != nil {
		return response, err
	}
	for name := range response.header {
		if !isToken(name) { // such as "Transfer-Encoding ", which readResponseBody would not find
			return response, malformedResponse("name of a field %.40q", name)
		}
	}
	response.closesConn = version == "HTTP/1.0" || strings.EqualFold(response.header.Get("Connection"), "close")
	return response, nil
}

// readResponseBody reads a body that has either a Content-Length or the chunked coding.
func readResponseBody(reader *bufio.Reader, header textproto.MIMEHeader, reserve func(bytes int) error) ([]byte, error) {
	lengths, encodings := header["Content-Length"], header["Transfer-Encoding"]
	switch {
	case len(encodings) == 1 && len(lengths) == 0 && strings.EqualFold(encodings[0], "chunked"):
		body, err := readAll(io.LimitReader(httputil.NewChunkedReader(reader), maxBodyBytes+1), reserve)
		if err != nil {
			return nil, err
		}
		if len(body) > maxBodyBytes {
			return nil, malformedResponse("chunked body over the size limit")
		}
		// The last chunk is followed by trailers (usually none) and an empty line.
		if _, err := textproto.NewReader(reader).ReadMIMEHeader(); err != nil {
			return nil, err
		}
		return body, nil
	case len(encodings) != 0 || len(lengths) != 1:
		return nil, malformedResponse("%d Content-Length and %d Transfer-Encoding headers", len(lengths), len(encodings))
	}
	length, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil || length > maxBodyBytes {
		return nil, malformedResponse("Content-Length %.40q", lengths[0])
	}
	if err := reserve(int(length)); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err = io.ReadFull(reader, body)
	return body, err
}

// firstChunkedBytes is the memory that a body of unknown length is given at first.
const firstChunkedBytes = 4 << 10

// readAll reads all of a body of unknown length. It counts memory before it allocates it.
func readAll(reader io.Reader, reserve func(bytes int) error) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			added := max(firstChunkedBytes, cap(body))
			if err := reserve(added); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, cap(body)+added), body...)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
