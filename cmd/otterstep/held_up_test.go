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
func TestNodeThatIsHeldUpAtItsEndAnswersBeforeTheKill(t *testing.T) {
	t.Parallel()
	const (
		asksAfter = 2 * time.Second                              // of the signal
		kill      = 2500*time.Millisecond + 700*time.Millisecond // after it, at the earliest
	)
	server := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.Header.Get("X-Correlation-Id") == lateRequest {
			<-r.Context().Done()
			return
		}
		echo(w, r)
	}))
	p := startSignalled(t, "on_request", line("s1", server, standin.InService))
	p.start()
	p.status(http.StatusOK)
	p.cmd.Process.Signal(syscall.SIGSTOP)
	told := time.Now()
	p.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(soakPauseDuration)
	p.cmd.Process.Signal(syscall.SIGCONT)
	answered := make(chan error, 1)
	for i := 0; time.Since(told) < asksAfter; i++ {
		if !ask(&p.client, p.addr, i) { // the connection stays open
			t.Errorf("request %d is not served", i)
		}
	}
	go func() { answered <- askLate(&p.client, p.addr) }()
	time.Sleep(time.Until(told.Add(kill)))
	p.cmd.Process.Signal(os.Kill)
	if err := <-answered; err != nil {
		t.Errorf("a request taken before the kill is lost: %v", err)
	}
}

// lateRequest is the id of the request that its server never answers.
const lateRequest = "late"

// askLate sends that request, and tells whether some answer comes.
func askLate(client *http.Client, addr string) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/read/k", nil)
	if err != nil {
		return err
	}
	r.Header = http.Header{"X-Correlation-Id": {lateRequest}, "X-Service-Class": {"read"}, "X-Time-Left": {"2.5"}}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
