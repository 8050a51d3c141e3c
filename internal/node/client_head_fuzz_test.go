package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterstep/internal/budget"
)

// pieceConn is a connection from which a text is read in pieces.
type pieceConn struct {
	net.Conn
	text []byte // what has not been read yet
	size int    // size of a piece
}

// Read implements net.Conn.
func (c *pieceConn) Read(b []byte) (int, error) {
	if len(c.text) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), c.size)], c.text)
	c.text = c.text[n:]
	return n, nil
}

// SetReadDeadline implements net.Conn.
func (*pieceConn) SetReadDeadline(time.Time) error { return nil }

// headOutcome is what becomes of the first message on a connection.
type headOutcome string

const (
	headPassedOn headOutcome = "passed on"
	headRefused  headOutcome = "refused"    // by the reader of the connection
	headRejected headOutcome = "rejected"   // by net/http
	headBroken   headOutcome = "broken"     // two readers understand it differently
	maxMessages              = 4            // messages that checkReaders follows on one connection
	longestBody              = maxBodyBytes // longest body that checkReaders reads, as the front does
)

// checkReaders reads messages as net/http does from a connection that brings a text in pieces. Each head that is passed on has to have
// one length at most and no coding, and both readers have to end it, and its body, at the same byte. It returns what becomes of the first
// message, and an error if both readers don't agree on one.
func checkReaders(text []byte, size int) (first headOutcome, err error) {
	source := &pieceConn{text: text, size: size}
	conn := &clientConn{Conn: source, owner: newClientConns(8, budget.New(4<<20))}
	conn.owner.onConnState(conn, http.StateNew)
	reader := bufio.NewReader(conn)
	lastMethod := ""
	for i := range maxMessages {
		if lastMethod == http.MethodPost {
			skipLineBreaks(reader)
		}
		start := len(text) - unread(source, conn) - reader.Buffered()
		request, readErr := http.ReadRequest(reader)
		outcome := headPassedOn
		switch {
		case conn.refusal.Load() != nil:
			outcome = headRefused
		case readErr != nil:
			outcome = headRejected
		}
		if i == 0 {
			first = outcome
		}
		if outcome != headPassedOn {
			return first, nil
		}
		end := len(text) - unread(source, conn)
		if err := checkPassedOn(request, text[start:end], conn, reader); err != nil {
			return headBroken, fmt.Errorf("message %d: %w", i, err)
		}
		if request.ContentLength > longestBody {
			return first, nil // the front refuses it and closes the connection
		}
		body, bodyErr := io.ReadAll(request.Body)
		if bodyErr != nil {
			return first, nil // the text ends in the body
		}
		if got := text[end : len(text)-unread(source, conn)]; reader.Buffered() != 0 || !bytes.Equal(got, body) {
			return headBroken, fmt.Errorf("message %d: the body is %q, and %q was handed out", i, body, got)
		}
		lastMethod = request.Method
		conn.owner.onConnState(conn, http.StateIdle)
	}
	return first, nil
}

// unread returns how many bytes of a text were not handed to net/http.
func unread(source *pieceConn, conn *clientConn) int {
	return len(source.text) + len(conn.input.pipelined)
}

// skipLineBreaks skips what the server of net/http skips behind a POST.
func skipLineBreaks(reader *bufio.Reader) {
	peeked, _ := reader.Peek(4)
	reader.Discard(len(peeked) - len(bytes.TrimLeft(peeked, "\r\n")))
}

// checkPassedOn checks a head that net/http takes and the node does not refuse.
func checkPassedOn(request *http.Request, head []byte, conn *clientConn, reader *bufio.Reader) error {
	lengths := 0
	for line := range strings.Lines(string(head)) {
		name, _, _ := strings.Cut(strings.ToLower(line), ":")
		switch strings.TrimSpace(name) {
		case transferEncodingName:
			return fmt.Errorf("a head with a coding is passed on: %q", head)
		case contentLengthName:
			lengths++
		}
	}
	switch {
	case lengths > 1:
		return fmt.Errorf("a head with %d lengths is passed on: %q", lengths, head)
	case len(request.TransferEncoding) > 0:
		return fmt.Errorf("net/http sees the coding %q in %q", request.TransferEncoding, head)
	case reader.Buffered() > 0:
		return fmt.Errorf("net/http ends the head %d bytes before %q does", reader.Buffered(), head)
	case conn.input.head != headScanner{}:
		return fmt.Errorf("net/http ends the head, and the reader of the connection has not: %q", head)
	case conn.input.bodyLeft != request.ContentLength:
		return fmt.Errorf("the body has %d bytes to net/http and %d to the reader of the connection: %q", request.ContentLength, conn.input.bodyLeft, head)
	}
	return nil
}

// FuzzRequestHead guards against heads that net/http and the reader of the connection understand differently.
func FuzzRequestHead(f *testing.F) {
	for _, framing := range ambiguousFramings {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			message := fmt.Sprintf("POST /book/1 %s\r\nHost: api\r\n%s\r\n\r\nbody", version, strings.Join(framing, "\r\n"))
			f.Add([]byte(message+message), byte(pieceBytes))
		}
	}
	f.Add([]byte("POST /book/1 HTTP/1.1\r\nHost: api\r\nContent-Length: 4\r\n\r\nbody\r\nGET /read/1 HTTP/1.0\r\n\r\n"), byte(1))
	f.Fuzz(func(t *testing.T, text []byte, size byte) {
		whole, err := checkReaders(text, max(1, len(text)))
		if err != nil {
			t.Fatal(err)
		}
		inPieces, err := checkReaders(text, max(1, int(size)))
		if err != nil {
			t.Fatal(err)
		}
		if (whole == headPassedOn) != (inPieces == headPassedOn) {
			t.Fatalf("%q is %s whole, and %s in pieces of %d", text, whole, inPieces, size)
		}
	})
}

// The parts from which randomHead makes heads.
var (
	randomRequestLines = []string{"POST /book/1 HTTP/1.0", "POST /book/1 HTTP/1.1", "GET /read/1 HTTP/1.0", "GET /read/1 HTTP/1.1", "HEAD /up HTTP/1.1", "OPTIONS * HTTP/1.1"}
	randomNames        = []string{"Content-Length", "Transfer-Encoding", "X-Pad", "Connection", "TE", "X-Transfer-Encoding", "Content-Length-X", ""}
	randomValues       = []string{"4", "0", "04", "5", "+4", "4, 4", "4 4", "chunked", "identity", "", "keep-alive", "Transfer-Encoding: chunked", "18446744073709551620"}
	randomBlanks       = []string{"", " ", "", " ", "", " ", "\t", " \t ", "\r", "\x00", "\v"}
	randomLineEnds     = []string{"\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r\r\n", "\r", "\r\n ", "\r\n\t"}
)

// randomText returns some messages with heads of random parts.
func randomText(rng *rand.Rand) string {
	var text strings.Builder
	for range 1 + rng.IntN(3) {
		text.WriteString(pick(rng, []string{"", "", "", "", "\r\n", "\n", "\r"}))
		text.WriteString(pick(rng, randomRequestLines) + pick(rng, randomLineEnds[:7]) + "Host: api\r\n")
		for range rng.IntN(4) {
			name := randomCase(rng, pick(rng, randomNames))
			text.WriteString(name + pick(rng, randomBlanks[:6+rng.IntN(6)]) + ":" + pick(rng, randomBlanks) + pick(rng, randomValues) + pick(rng, randomBlanks[:8]))
			text.WriteString(pick(rng, randomLineEnds[:7+rng.IntN(5)]))
		}
		text.WriteString(pick(rng, randomLineEnds[:8]) + "body"[:rng.IntN(5)])
	}
	return text.String()
}

// pick returns one of some texts.
func pick(rng *rand.Rand, texts []string) string { return texts[rng.IntN(len(texts))] }

// randomCase changes the case of a text, sometimes.
func randomCase(rng *rand.Rand, text string) string {
	switch rng.IntN(4) {
	case 0:
		return strings.ToUpper(text)
	case 1:
		return strings.ToLower(text)
	}
	return text
}

// TestBothReadersUnderstandRandomHeadsAlike guards against spellings that no table names.
func TestBothReadersUnderstandRandomHeadsAlike(t *testing.T) {
	const texts = 20000
	outcomes := map[headOutcome]int{}
	for seed := range uint64(texts) {
		rng := rand.New(rand.NewPCG(seed, 0))
		text := []byte(randomText(rng))
		for _, size := range []int{len(text), 1 + rng.IntN(len(text))} {
			outcome, err := checkReaders(text, size)
			if err != nil {
				t.Fatalf("seed %d, pieces of %d: %v", seed, size, err)
			}
			outcomes[outcome]++
		}
	}
	t.Logf("outcomes of the first messages: %v", outcomes)
	for _, outcome := range []headOutcome{headPassedOn, headRefused, headRejected} {
		if outcomes[outcome] < texts/100 {
			t.Errorf("%d of %d first messages are %s, too few for a test", outcomes[outcome], 2*texts, outcome)
		}
	}
}
