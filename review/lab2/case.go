package lab2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxCaseTime is the time after which a case ends in any case.
const maxCaseTime = 110 * time.Second

// Case is what a case works with: its record and a small deployment.
type Case struct {
	*Record
	Root, Dir string
	Discovery *Discovery
	Servers   []*Server
	Nodes     []*Node
	mu        sync.Mutex
	ended     bool
}

// Main runs a case and exits with its result. The arguments of the program are the root of the repository and the
// path of the record.
func Main(run func(c *Case) (int, error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case ROOT RECORD")
		os.Exit(NotRun)
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Record: record, Root: os.Args[1], Dir: dir}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { c.end(NotRun, fmt.Errorf("ended by the signal %v", <-signals)) }()
	time.AfterFunc(maxCaseTime, func() { c.end(NotRun, errors.New("the case took too long")) })
	c.Log("trouble: %v", Trouble())
	result, err := run(c)
	c.end(result, err)
}

// end ends all processes of the case and exits.
func (c *Case) end(result int, err error) {
	c.mu.Lock()
	if c.ended {
		select {} // the process is about to exit
	}
	c.ended = true
	c.mu.Unlock()
	for _, n := range c.Nodes {
		select {
		case ended := <-n.Exited:
			err = errors.Join(err, fmt.Errorf("node %s has ended by itself: %v", n.Name, ended))
		default:
			n.Kill()
		}
	}
	if err != nil {
		c.Say("could not run: %v", err)
		result = NotRun
	}
	c.Say("result: %s", map[int]string{Held: "the rule held", Broken: "THE RULE WAS BROKEN", NotRun: "not run"}[result])
	c.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.Dir)
	} else {
		fmt.Println("kept", c.Dir)
	}
	os.Exit(result)
}

// Deploy starts discovery, servers in two zones and nodes. prepare sets up each server before it starts, and returns
// the address at which discovery lists it, or "" for its own.
func (c *Case) Deploy(nodes, servers int, prepare func(s *Server) (listed func(addr string) string)) error {
	var err error
	if c.Discovery, err = NewDiscovery(); err != nil {
		return err
	}
	for i := range servers {
		s := &Server{UID: fmt.Sprintf("s-%02d", i)}
		listed := prepare(s)
		if err := s.Start(); err != nil {
			return err
		}
		c.Servers = append(c.Servers, s)
		endpoint := s.Addr
		if listed != nil {
			endpoint = listed(s.Addr)
		}
		c.Discovery.Set(Entry{UID: s.UID, Endpoint: endpoint, AZ: []string{"casablanca", "rabat"}[i%2], Model: "fast-2c",
			PodGroup: i / 4, State: "in_service", CapacityHint: 1})
	}
	for i := range nodes {
		n, err := NewNode(c.Root, c.Dir, nodes, i, c.Discovery)
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, n)
		if err := n.Start(); err != nil {
			return err
		}
		c.Log("node %s is ready at %s", n.Name, n.Addr)
	}
	return nil
}

// NewID returns a new id of a request.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Classes are the classes of requests.
var Classes = []string{"bill-view", "credit-post", "payment"}

// deadlines are the times that clients wait for an answer, in seconds.
var deadlines = map[string]float64{"bill-view": 1, "credit-post": 2, "payment": 1.5}

// Deadline returns the time that clients wait for an answer of a class.
func Deadline(class string) time.Duration {
	return time.Duration(deadlines[class] * float64(time.Second))
}

// RequestText returns a sound request of a class, with all of the time that its clients wait.
func RequestText(class, id string) string { return RequestTextWithin(class, id, Deadline(class)) }

// RequestTextWithin returns a sound request of a class whose client waits for so long.
func RequestTextWithin(class, id string, timeLeft time.Duration) string {
	head := fmt.Sprintf("/%s/%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left: %.3f\r\n",
		class, id, id, class, timeLeft.Seconds())
	body := "request " + id
	switch class {
	case "bill-view":
		return "GET " + head + "\r\n"
	case "payment":
		head += "Idempotency-Key: " + NewID() + NewID() + "\r\n"
	}
	return "POST " + head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// Client is a client's connection.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects to a node.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Send writes a text.
func (c *Client) Send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// Receive reads one answer until a deadline.
func (c *Client) Receive(until time.Time) (status int, body string, closes bool, err error) {
	c.SetReadDeadline(until)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", true, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text)), response.Close, err
}
