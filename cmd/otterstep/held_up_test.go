package main

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// A node that is held up as it is told to end owes its answers before the kill all the same, and the kill
// counts from the signal. The request comes late, on an open connection, and its server never answers.
func TestNodePausedAtSIGTERMAnswersBeforeTheKill(t *testing.T) {
	t.Parallel()
	const (
		lateRequestDelay = 2 * time.Second                              // of the signal
		killDelay        = 2500*time.Millisecond + 700*time.Millisecond // after it, at the earliest
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
		if !sendRequest(&p.client, p.addr, i) { // the connection stays open
			t.Errorf("request %d is not served", i)
		}
	}
	go func() { lateResult <- sendLateRequest(&p.client, p.addr) }()
	time.Sleep(time.Until(signalledAt.Add(killDelay)))
	p.cmd.Process.Signal(os.Kill)
	if err := <-lateResult; err != nil {
		t.Errorf("a request taken before the kill is lost: %v", err)
	}
}

// lateRequest is the id of the request that its server never answers.
const lateRequestID = "late"

// askLate sends that request, and tells whether some answer comes.
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
