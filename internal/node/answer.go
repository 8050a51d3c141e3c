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
)

const (
	maxInterimResponses  = 8        // 1xx answers ahead of the one that counts
	maxResponseHeadBytes = 16 << 10 // of an answer, interim ones included
)

// serverAnswer is an answer as it came from a server, whole.
type serverResponse struct {
	statusCode int
	header     textproto.MIMEHeader
	body       []byte
	closesConn bool // the server ends the connection behind it
}

// errSpoilt is wrapped by whatever is wrong with an answer.
var errMalformedResponse = errors.New("spoilt answer")

func malformedResponse(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformedResponse, fmt.Sprintf(format, args...))
}

// readAnswer reads one answer. It is stricter than net/http's client, which takes
// an answer with no length up to the end of its connection (here: for as long as
// the client waits), drops a Content-Length beside a Transfer-Encoding and reads a
// body of any length: an answer whose end two readers could see at two places
// can't be told from the next one's beginning. begun is called with the first byte
// of each head, and waiting before it.
func readResponse(reader *bufio.Reader, beforeHead, onHeadStart func()) (serverResponse, error) {
	for range maxInterimResponses + 1 {
		beforeHead()
		if _, err := reader.Peek(1); err != nil {
			return serverResponse{}, err
		}
		onHeadStart()
		response, err := readResponseHead(reader)
		switch {
		case err != nil:
			return serverResponse{}, err
		case response.statusCode == http.StatusSwitchingProtocols:
			return serverResponse{}, malformedResponse("switches protocols")
		case response.statusCode >= 200:
			response.body, err = readResponseBody(reader, response.header)
			return response, err
		}
	}
	return serverResponse{}, malformedResponse("over %d interim answers", maxInterimResponses)
}

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
	response.closesConn = version == "HTTP/1.0" || strings.EqualFold(response.header.Get("Connection"), "close")
	return response, nil
}

func readResponseBody(reader *bufio.Reader, header textproto.MIMEHeader) ([]byte, error) {
	lengths, encodings := header["Content-Length"], header["Transfer-Encoding"]
	switch {
	case len(encodings) == 1 && len(lengths) == 0 && strings.EqualFold(encodings[0], "chunked"):
		body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(reader), maxBodyBytes+1))
		if err != nil {
			return nil, err
		}
		if len(body) > maxBodyBytes {
			return nil, malformedResponse("body over the limit")
		}
		// Behind the last chunk come trailers, none as a rule, and an empty line.
		if _, err := textproto.NewReader(reader).ReadMIMEHeader(); err != nil {
			return nil, err
		}
		return body, nil
	case len(encodings) != 0 || len(lengths) != 1:
		return nil, malformedResponse("%d lengths, %d codings", len(lengths), len(encodings))
	}
	length, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil || length > maxBodyBytes {
		return nil, malformedResponse("length %.40q", lengths[0])
	}
	body := make([]byte, length)
	_, err = io.ReadFull(reader, body)
	return body, err
}
