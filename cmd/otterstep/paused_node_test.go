package main

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// TestNodePausedAtSIGTERMAnswersBeforeTheKill guards against losing requests at a shutdown when the process is paused
// while SIGTERM arrives: the node has to give all answers before the kill, and the time until the kill counts from the
// signal, not from when the node handles it. The request that could be lost comes late, on an open connection, and its
// server never answers it.
func TestNodePausedAtSIGTERMAnswersBeforeTheKill(t *testing.T) {
	t.Parallel()
	const (
		lateRequestDelay = 2 * time.Second                              // time from SIGTERM to the late request
		killDelay        = 2500*time.Millisecond + 700*time.Millisecond // minimum time from SIGTERM to the kill
	)
	server := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.Header.Get("X-Correlation-Id") == lateRequestID {
			<-r.Context().Done()
			return
		}
		echoCorrelationID(w, r)
	}))
	p := newNodeProcess(t, "on_request", newEntry("s1", server, standin.InService))
	p.start()
	p.awaitStatus(http.StatusOK)
	p.cmd.Process.Signal(syscall.SIGSTOP)
	signalledAt := time.Now()
	p.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(soakPauseDuration)
	p.cmd.Process.Signal(syscall.SIGCONT)
	lateResult := make(chan error, 1)
	for i := 0; time.Since(signalledAt) < lateRequestDelay; i++ {
		if !sendRequest(&p.client, p.addr, i) { // keeps the connection open
			t.Errorf("request %d is not served", i)
		}
	}
	go func() { lateResult <- sendLateRequest(&p.client, p.addr) }()
	time.Sleep(time.Until(signalledAt.Add(killDelay)))
	p.cmd.Process.Signal(os.Kill)
	if err := <-lateResult; err != nil {
		t.Errorf("a request that the node accepted before the kill got no answer: %v", err)
	}
}

// lateRequestID is the correlation id of the request that its server never answers.
const lateRequestID = "late"

// sendLateRequest sends the request that its server never answers, and returns an error if the node gives no
// answer.
func sendLateRequest(client *http.Client, addr string) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/read/k", nil)
	if err != nil {
		return err
	}
	r.Header = http.Header{"X-Correlation-Id": {lateRequestID}, "X-Service-Class": {"read"}, "X-Time-Left": {"2.5"}}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
