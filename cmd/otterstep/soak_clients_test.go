package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// soakClient sends requests one after the other. A client that keeps its connection uses it until the node closes
// it or is killed; any other client opens a connection for each request.
type soakClient struct {
	node             *soakNode
	number           int
	keepsConn        bool
	connMayBeEvicted bool // whether the node may close a new connection unread, because there are silent ones
	servedCount      *atomic.Int64
}

// run sends requests until ctx ends, and checks the result of each.
func (c *soakClient) run(ctx context.Context) {
	transport := &http.Transport{DisableKeepAlives: !c.keepsConn, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(3 * time.Millisecond)
		mayConnect, mayUseConns, killCount := c.node.clientAccess()
		if !mayConnect && !(mayUseConns && c.keepsConn) {
			transport.CloseIdleConnections()
			continue
		}
		c.sendAndCheck(transport, i, killCount)
	}
}

// sendAndCheck sends one request and checks its result. If the node closes an idle connection just as the request
// is sent, the client sends it again on a new connection.
func (c *soakClient) sendAndCheck(transport *http.Transport, requestNumber, killCount int) {
	env, id := c.node.env, fmt.Sprintf("c%d-%d", c.number, requestNumber)
	method, class := http.MethodGet, "read"
	if requestNumber%3 == 0 {
		method, class = http.MethodPost, "book"
	}
	startedAt := time.Now()
	env.mu.Lock()
	env.requests[id] = &soakRequest{deadline: startedAt.Add(soakTimeLeft), processNumber: env.processNumber}
	env.mu.Unlock()
	status, body, err := c.roundTrip(transport, method, class, id)
	if err != nil && c.keepsConn && !c.reachedServer(id) {
		transport.CloseIdleConnections()
		status, body, err = c.roundTrip(transport, method, class, id)
	}
	mayConnect, _, currentKillCount := c.node.clientAccess()
	if currentKillCount != killCount {
		return // the process was killed during the request
	}
	switch took := time.Since(startedAt); {
	case errors.Is(err, syscall.ECONNREFUSED):
		if mayConnect {
			env.recordViolation(violationLost, "request %s: connection refused while the node has to listen", id)
		}
	case err != nil && !c.reachedServer(id) && (c.connMayBeEvicted || !mayConnect):
		// The node closed the connection unread, or is draining.
	case err != nil:
		env.recordViolation(violationLost, "request %s: %v", id, err)
	case took > soakTimeLeft+500*time.Millisecond+soakSchedulingSlack:
		env.recordViolation(violationLost, "request %s was answered only after %v", id, took)
	case status == http.StatusOK && body != id:
		env.recordViolation(violationAnswer, "request %s got the answer %q", id, body)
	case status == http.StatusOK:
		c.servedCount.Add(1)
	}
}

// reachedServer reports whether a server received a request.
func (c *soakClient) reachedServer(id string) bool {
	c.node.env.mu.Lock()
	defer c.node.env.mu.Unlock()
	return c.node.env.requests[id].receivedCount > 0
}

// roundTrip sends a request and returns its answer.
func (c *soakClient) roundTrip(transport *http.Transport, method, class, id string) (status int, body string, err error) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s/%s/k", c.node.addr, class), nil)
	if err != nil {
		return 0, "", err
	}
	request.Header = http.Header{"X-Correlation-Id": {id}, "X-Service-Class": {class}, "X-Time-Left": {"1.2"}}
	resp, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}
