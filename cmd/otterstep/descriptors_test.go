package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// TestIdleClientsLeaveDescriptorsForDiscovery guards against running out of file descriptors for discovery and
// servers: idle clients may hold all descriptors that are meant for clients while discovery is down, and when
// discovery returns, the node has to take its list and serve. The program runs with a descriptor limit equal to the
// sockets limit of its configuration.
func TestIdleClientsLeaveDescriptorsForDiscovery(t *testing.T) {
	const socketLimit = 64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.Header.Get("X-Correlation-Id"))
	}))
	defer backend.Close()
	unusedAddr := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		return listener.Addr().String()
	}
	addr, discoveryAddr := unusedAddr(), unusedAddr() // nothing listens at either address yet
	cmd := programCommand(writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = addr, discoveryAddr
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": socketLimit}
	}))
	limitedCmd := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, socketLimit), os.Args[0])
	limitedCmd.Env = cmd.Env
	var stderr bytes.Buffer
	limitedCmd.Stderr = &stderr
	if err := limitedCmd.Start(); err != nil {
		t.Fatal(err)
	}
	stop := func() { limitedCmd.Process.Kill(); limitedCmd.Wait() }
	defer stop()

	requestStatus := func(conn net.Conn) (code int, err error) {
		if _, err := fmt.Fprintf(conn, "POST /book/x HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: %s\r\nX-Service-Class: book\r\n"+
			"X-Time-Left: 1.0\r\nContent-Length: 1\r\n\r\nb", conn.LocalAddr()); err != nil {
			return 0, err
		}
		conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		var statusLine [12]byte
		if _, err := io.ReadFull(conn, statusLine[:]); err != nil {
			return 0, err
		}
		_, err = fmt.Sscanf(string(statusLine[:]), "HTTP/1.1 %d", &code)
		return code, err
	}
	awaitCondition := func(what string, condition func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				stop()
				t.Fatalf("waited 20 s for %s; the node's log: %s", what, &stderr)
			}
		}
	}
	awaitCondition("the node to be ready", func() bool {
		resp, err := http.Get("http://" + addr + "/up")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	// One client in eight sends a request and then stays idle; the others send nothing.
	for i := range 3 * socketLimit {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%8 == 0 {
			if code, err := requestStatus(conn); err != nil || code != http.StatusServiceUnavailable {
				t.Fatalf("client %d: status %d, error %v while no server is known; want 503", i, code, err)
			}
		}
	}

	// The node accepts connections in order, so the answer to the last client shows that it has dealt with all others.
	lastConn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer lastConn.Close()
	if code, err := requestStatus(lastConn); err != nil || code != http.StatusServiceUnavailable {
		t.Fatalf("the last client: status %d, error %v; want 503", code, err)
	}
	openDescriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", limitedCmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	if len(openDescriptors) > socketLimit*2/3 {
		t.Errorf("%d of %d descriptors are open while discovery is down and no server is known, want two thirds at most",
			len(openDescriptors), socketLimit)
	}

	listener, err := net.Listen("tcp", discoveryAddr)
	if err != nil {
		t.Fatal(err)
	}
	discovery := httptest.NewUnstartedServer(unchangingDiscovery(backend.Listener.Addr()))
	discovery.Listener.Close()
	discovery.Listener = listener
	discovery.Start()
	defer discovery.Close()
	awaitCondition("an answer from a server", func() bool {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		defer conn.Close()
		code, err := requestStatus(conn)
		return err == nil && code == http.StatusOK
	})
	stop()
	if strings.Contains(stderr.String(), "too many open files") {
		t.Errorf("the node ran out of descriptors: %s", &stderr)
	}
}
