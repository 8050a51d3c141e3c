package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// pieceBytes is the size of the pieces in which some clients of these tests send.
	pieceBytes = 97
	// maxErrorTime is the time within which a client that sends what can't be served is owed an error or a close.
	maxErrorTime = 3 * time.Second
)

// idRecorder is a server that records the ids of the requests that it runs.
type idRecorder struct {
	*fakeServer
	mu  sync.Mutex
	ran map[string]bool
}

// newIDRecorder starts an idRecorder that answers each request with its id.
func newIDRecorder(t *testing.T) *idRecorder {
	t.Helper()
	recorder := &idRecorder{ran: map[string]bool{}}
	recorder.fakeServer = newFakeServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		id := r.Header.Get("X-Correlation-Id")
		recorder.mu.Lock()
		recorder.ran[id] = true
		recorder.mu.Unlock()
		io.WriteString(c, okResponse(id))
		return true
	})
	return recorder
}

// hasRun reports whether the server has run the request with an id.
func (s *idRecorder) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// rawAnswer is an answer as a client reads it.
type rawAnswer struct {
	code   int
	body   string
	closes bool // the answer says that its connection closes
}

// exchange sends pieces of text on a new connection and reads answers until the connection ends, as it has to within maxErrorTime.
func exchange(t *testing.T, addr string, pieces []string) (answers []rawAnswer) {
	t.Helper()
	return exchangeMethods(t, addr, pieces)
}

// exchangeMethods is exchange for requests of given methods, which decide whether an answer has a body. Those that are not given
// are taken for ones with a body in their answer.
func exchangeMethods(t *testing.T, addr string, pieces []string, methods ...string) (answers []rawAnswer) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(maxErrorTime))
	go func() {
		for _, piece := range pieces {
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
		}
	}()
	for in := bufio.NewReader(c); ; {
		var request *http.Request
		if len(answers) < len(methods) {
			request = &http.Request{Method: methods[len(answers)]}
		}
		resp, err := http.ReadResponse(in, request)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			t.Errorf("the connection stays open after %+v", answers)
			return answers
		}
		if err != nil {
			return answers
		}
		body, _ := io.ReadAll(resp.Body)
		answers = append(answers, rawAnswer{resp.StatusCode, string(body), resp.Close})
	}
}

// requireOneError requires that a request is answered with one error and a close, behind the answer of a sound request in front of it
// unless that is empty.
func requireOneError(t *testing.T, answers []rawAnswer, front string) {
	t.Helper()
	if front != "" {
		if len(answers) == 0 || answers[0].code != http.StatusOK || answers[0].body != idOf(front) {
			t.Fatalf("answers %+v, want the request in front served", answers)
		}
		answers = answers[1:]
	}
	if len(answers) != 1 || answers[0].code < 400 || !answers[0].closes {
		t.Errorf("answers %+v, want one error and a close", answers)
	}
}

// piecesOf cuts a text into pieces.
func piecesOf(text string, size int) (pieces []string) {
	for piece := range slices.Chunk([]byte(text), size) {
		pieces = append(pieces, string(piece))
	}
	return pieces
}

// idOf returns the id of the first request of a text.
func idOf(text string) string {
	_, rest, _ := strings.Cut(text, "X-Correlation-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// rawBook returns a request that may run once at most, with a body and with its line for the length replaced by other lines.
func rawBook(t *testing.T, version, body string, framing ...string) string {
	t.Helper()
	text := strings.TrimSuffix(rawRequest(t, "book"), "payload")
	text = strings.Replace(text, "HTTP/1.1", version, 1)
	return strings.Replace(text, "Content-Length: 7\r\n", strings.Join(append(framing, ""), "\r\n"), 1) + body
}

// rawHidingBody returns a chunked body, and a request in its only chunk. To who takes the body for one of four bytes the rest is
// that request: the last chunk has the length of its body.
func rawHidingBody(t *testing.T) (body, hidden string) {
	t.Helper()
	hidden = strings.TrimSuffix(rawRequest(t, "book"), "payload")
	body = fmt.Sprintf("%02x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	if strings.Index(body, hidden) != 4 {
		t.Fatalf("the hidden request begins in the wrong place: %q", body)
	}
	return body, hidden
}

// ambiguousFramings are header lines in place of "Content-Length: 4" that different readers may understand differently, or not
// at all.
var ambiguousFramings = map[string][]string{
	"coding behind the length":        {"Content-Length: 4", "Transfer-Encoding: chunked"},
	"coding before the length":        {"Transfer-Encoding: chunked", "Content-Length: 4"},
	"coding alone":                    {"Transfer-Encoding: chunked"},
	"in small letters":                {"content-length: 4", "transfer-encoding: chunked"},
	"in capital letters":              {"CONTENT-LENGTH: 4", "TRANSFER-ENCODING: CHUNKED"},
	"identity":                        {"Content-Length: 4", "Transfer-Encoding: identity"},
	"two codings":                     {"Content-Length: 4", "Transfer-Encoding: gzip, chunked"},
	"unknown coding":                  {"Content-Length: 4", "Transfer-Encoding: xchunked"},
	"empty coding":                    {"Content-Length: 4", "Transfer-Encoding:"},
	"coding twice":                    {"Content-Length: 4", "Transfer-Encoding: chunked", "Transfer-Encoding: chunked"},
	"coding on a line of its own":     {"Content-Length: 4", "Transfer-Encoding:", " chunked"},
	"coding after a tab":              {"Content-Length: 4", "Transfer-Encoding:\tchunked"},
	"coding without a blank":          {"Content-Length: 4", "Transfer-Encoding:chunked"},
	"blank before the colon":          {"Content-Length: 4", "Transfer-Encoding : chunked"},
	"tab before the colon":            {"Content-Length: 4", "Transfer-Encoding\t: chunked"},
	"coding that looks folded":        {"Content-Length: 4", " Transfer-Encoding: chunked"},
	"coding after a long field":       {"Content-Length: 4", "X-Pad: " + strings.Repeat("p", 6000), "Transfer-Encoding: chunked"},
	"coding after a bare line feed":   {"Content-Length: 4\nTransfer-Encoding: chunked"},
	"coding after a bare CR":          {"Content-Length: 4", "X-Pad: p\rTransfer-Encoding: chunked"},
	"coding after two CRs":            {"Content-Length: 4\r", "Transfer-Encoding: chunked"},
	"coding after a NUL":              {"Content-Length: 4", "\x00Transfer-Encoding: chunked"},
	"length with a sign":              {"Content-Length: +4"},
	"negative length":                 {"Content-Length: -4"},
	"hexadecimal length":              {"Content-Length: 0x4"},
	"list of lengths":                 {"Content-Length: 4, 4"},
	"length with a blank in it":       {"Content-Length: 4 4"},
	"two different lengths":           {"Content-Length: 4", "Content-Length: 5"},
	"the same length twice":           {"Content-Length: 4", "Content-Length: 4"},
	"empty length":                    {"Content-Length:"},
	"length over 63 bits":             {"Content-Length: 18446744073709551620"},
	"blank before the length's colon": {"Content-Length : 4"},
	"length on a line of its own":     {"Content-Length:", " 4"},
	"length that goes on":             {"Content-Length: 4", " 5"},
	"folded other field":              {"Content-Length: 4", "X-Pad: a", " b"},
}

// TestRequestsWithAmbiguousFramingAreRefused guards against a request that hides another one in its body: it gets an error and a
// close, none of both runs, and requests in front of it on the connection are answered.
func TestRequestsWithAmbiguousFramingAreRefused(t *testing.T) {
	s := newIDRecorder(t)
	addr, _ := startNode(t, newFakeDiscovery(t, inServiceEntry(s.fakeServer, "s1")))
	for name, framing := range ambiguousFramings {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, connection := range []string{"Connection: keep-alive", "Connection: close"} {
				for _, sending := range []string{"whole", "in pieces", "behind a sound request"} {
					t.Run(strings.Join([]string{name, version, connection, sending}, ", "), func(t *testing.T) {
						body, hidden := rawHidingBody(t)
						bad := rawBook(t, version, body, append(framing, connection)...)
						front, pieces := "", []string{bad}
						switch sending {
						case "in pieces":
							pieces = piecesOf(bad, pieceBytes)
						case "behind a sound request":
							front = rawRequest(t, "book")
							pieces = []string{front + bad}
						}
						answers := exchange(t, addr, pieces)
						requireOneError(t, answers, front)
						if s.hasRun(idOf(bad)) || s.hasRun(idOf(hidden)) {
							t.Errorf("run: the request %v, the hidden one %v", s.hasRun(idOf(bad)), s.hasRun(idOf(hidden)))
						}
					})
				}
			}
		}
	}
}

// TestRequestsWithSoundFramingAreServed guards against sound requests that are refused for what looks like a coding.
func TestRequestsWithSoundFramingAreServed(t *testing.T) {
	s := newIDRecorder(t)
	addr, _ := startNode(t, newFakeDiscovery(t, inServiceEntry(s.fakeServer, "s1")))
	const words = "Transfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\nTransfer-Encoding: chunked\r\n\r\n"
	length := fmt.Sprint("Content-Length: ", len(words))
	for name, framing := range map[string][]string{
		"a body that holds a coding":             {length},
		"another field that ends in the name":    {"X-Transfer-Encoding: chunked", length},
		"another field that begins with it":      {"Transfer-Encoding-X: chunked", length},
		"TE":                                     {"TE: chunked, trailers", length},
		"a value that is the name":               {"X-Note: Transfer-Encoding: chunked", length},
		"blanks around the length":               {"Content-Length: \t" + length[len("Content-Length: "):] + " \t"},
		"zeros before the length":                {"Content-Length: 000" + length[len("Content-Length: "):]},
		"an empty field":                         {"X-Empty:", length},
		"a field with bytes outside of ASCII":    {"X-Name: Coop\u00e9rative", length},
		"a line feed alone at the end of a line": {"X-Pad: p\n" + length},
	} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, size := range []int{1, pieceBytes, 1 << 20} {
				t.Run(fmt.Sprint(name, ", ", version, ", pieces of ", size), func(t *testing.T) {
					first := rawBook(t, version, words, append(framing, "Connection: keep-alive")...)
					second := rawBook(t, version, words, append(framing, "Connection: close")...)
					answers := exchange(t, addr, piecesOf(first+second, size))
					if len(answers) != 2 || answers[0].code != http.StatusOK || answers[0].body != idOf(first) ||
						answers[1].code != http.StatusOK || answers[1].body != idOf(second) {
						t.Errorf("answers %+v, want both served", answers)
					}
				})
			}
		}
	}
	t.Run("HTTP/1.0 without a kept connection", func(t *testing.T) {
		read := strings.Replace(rawRequest(t, "read"), "HTTP/1.1", "HTTP/1.0", 1)
		if answers := exchange(t, addr, []string{read}); len(answers) != 1 || answers[0].body != idOf(read) {
			t.Errorf("answers %+v, want it served", answers)
		}
	})
}

// TestRequestWithACodingAndNothingBehindItIsRefused guards against a request whose chunked body is forwarded as an empty one.
func TestRequestWithACodingAndNothingBehindItIsRefused(t *testing.T) {
	s := newIDRecorder(t)
	addr, _ := startNode(t, newFakeDiscovery(t, inServiceEntry(s.fakeServer, "s1")))
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, class := range []string{"read", "book"} {
			t.Run(fmt.Sprint(class, " ", version), func(t *testing.T) {
				bad := strings.TrimSuffix(rawRequest(t, class, "Transfer-Encoding: chunked", "Connection: keep-alive"), "payload")
				bad = strings.Replace(strings.Replace(bad, "Content-Length: 7\r\n", "", 1), "HTTP/1.1", version, 1)
				answers := exchange(t, addr, []string{bad})
				if len(answers) != 1 || answers[0].code != http.StatusLengthRequired || !answers[0].closes || s.hasRun(idOf(bad)) {
					t.Errorf("answers %+v, run %v; want 411, a close and no run", answers, s.hasRun(idOf(bad)))
				}
			})
		}
	}
}
