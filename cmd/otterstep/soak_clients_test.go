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

// soakClient sends requests one by one. One that keeps its connection uses it until the node closes it, up
// to the kill; any other takes a new one for each request.
type soakClient struct {
	node             *soakNode
	number           int
	keepsConn        bool
	connMayBeEvicted bool // new connections may be shut unread
	servedCount      *atomic.Int64
}

// run asks until ctx ends, and checks what comes of each request.
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

// ask sends one request. Where the node closes a resting connection that the request crosses, it is sent
// once more on a new one.
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
		return // the node was killed under it
	}
	switch took := time.Since(startedAt); {
	case errors.Is(err, syscall.ECONNREFUSED): // not taken
		if mayConnect {
			env.recordViolation(violationLost, "request %s is refused by the machine", id)
		}
	case err != nil && !c.reachedServer(id) && (c.connMayBeEvicted || !mayConnect): // shut unread, or the node has left
	case err != nil:
		env.recordViolation(violationLost, "request %s: %v", id, err)
	case took > soakTimeLeft+500*time.Millisecond+soakSchedulingSlack:
		env.recordViolation(violationLost, "request %s answered after %v", id, took)
	case status == http.StatusOK && body != id:
		env.recordViolation(violationAnswer, "request %s got the answer %q", id, body)
	case status == http.StatusOK:
		c.servedCount.Add(1)
	}
}

// forwarded tells whether a server got a request.
func (c *soakClient) reachedServer(id string) bool {
	c.node.env.mu.Lock()
	defer c.node.env.mu.Unlock()
	return c.node.env.requests[id].receivedCount > 0
}

// send sends a request and gives its answer.
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
