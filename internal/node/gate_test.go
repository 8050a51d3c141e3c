package node

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"otterstep/internal/budget"
	"otterstep/internal/wire"
	"otterstep/policy"
)

// Guards against requests to a server after its drain notice, between the time at which its entry was read and the time
// at which the Balancer has cancelled unsent attempts.
func TestNoAttemptBeginsAtAServerThatIsBeingTakenOut(t *testing.T) {
	gate := newSendGate()
	begins := func(server policy.ServerID) bool {
		a := attempt{clock: newClock(), gate: gate, request: &request{}, serverID: server}
		return a.beginWrite()
	}
	entries := []policy.Entry{{Server: 1, State: policy.StateDraining}, {Server: 2, State: policy.StateInService},
		{Server: 3, State: policy.StateGone}}
	first, second := gate.closeFor(entries, false), gate.closeFor(entries[:1], false)
	if begins(1) || begins(3) || !begins(2) || !begins(4) {
		t.Error("attempts begin at servers that are being taken out, or not at others")
	}
	first()
	if begins(1) || !begins(3) {
		t.Error("the gate opens before the last message about a server is handled, or stays closed after it")
	}
	if second(); !begins(1) || len(gate.takenOut) > 0 {
		t.Errorf("the gate stays closed: %v", gate.takenOut)
	}
}

// Guards against requests to a server after its drain notice, while the node is busy with another update: no attempt begins
// at a server once an answer has been read that takes it out of service, by an entry or by a whole list that does not
// name it.
func TestNoAttemptBeginsOnceAnAnswerWasReadHoweverBusyTheNodeIs(t *testing.T) {
	const removed = "s1"
	for name, text := range map[string]string{
		"an entry":                     `{"rev":42,"all":false,"targets":[` + entryText(removed, "terminating") + `]}`,
		"an entry of a partial answer": `{"rev":42,"all":false,"targets":[` + entryText(removed, "terminated"),
		"a whole list":                 `{"rev":42,"all":true,"targets":[` + entryText("s2", "in_service") + `]}`,
		"an empty whole list":          `{"rev":42,"all":true,"targets":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, text)
			}))
			defer service.Close()
			client := newDiscoveryClient(service.Listener.Addr().String(), parseTestNodeSettings(t, testSettings), newClock(),
				slog.New(slog.DiscardHandler))
			client.hasVersion, client.version = !strings.Contains(text, `"all":true`), 41
			client.execute(t.Context(), callCommand{call: policy.Call{ID: 1}}) // nothing receives the reply
			for deadline := time.Now().Add(time.Second); client.gate.admits(serverID(removed)); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the gate stays open")
				}
			}
			reply := <-client.replies
			if reply.reopenGate(); !client.gate.admits(serverID(removed)) || !client.gate.admits(serverID("s3")) {
				t.Error("the gate stays closed after the answer was handled")
			}
		})
	}
}

// Guards the metric of drain violations: an attempt that begins after the drain grace is counted and logged, whatever
// its cause.
func TestAttemptPastTheGraceIsCountedAsAViolation(t *testing.T) {
	for name, c := range map[string]struct {
		beganAfter time.Duration // time from the drain notice of the server to the attempt
		want       int64
	}{
		"within the grace": {250 * time.Millisecond, 0},
		"after the grace":  {251 * time.Millisecond, 1},
	} {
		l := newTestLoop(t)
		var text bytes.Buffer
		l.requestLog = newRequestLog(slog.New(slog.NewTextHandler(&text, nil)))
		l.applyNewerUpdate(policy.ListWhole, []policy.Entry{{Server: 1, State: policy.StateInService}}, []string{"one"})
		l.applyNewerUpdate(policy.ListChanges, []policy.Entry{{Server: 1, State: policy.StateDraining}}, []string{"one"})
		a := &attempt{request: &request{id: 7, answered: true}, serverID: 1, cancel: func() {}}
		a.beganAt.Store(int64(l.now + c.beganAfter))
		l.reportOutcome(a, policy.OK, l.now)
		if got := l.metrics.drainViolations.Load(); got != c.want || strings.Contains(text.String(), "drain violation") != (c.want > 0) {
			t.Errorf("%s: %d violations, log %q; want %d", name, got, &text, c.want)
		}
	}
}

// The metrics include drain violations. If a class of requests has the path of the metrics, requests go to the class.
func TestMetricsIncludeDrainViolations(t *testing.T) {
	l := newTestLoop(t)
	l.metrics.drainViolations.Add(3)
	scrape := func(classes ...string) string {
		f := newFront(l, wire.NodeSettings{ClassNames: classes}, newClientConns(8, budget.New(1<<20)), func() bool { return true })
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, metricsPath, nil))
		return w.Body.String()
	}
	const want = "otterstep_drain_violations_total 3\n"
	if got := scrape("read"); !strings.Contains(got, want) {
		t.Errorf("the metrics are %q, want %q in them", got, want)
	}
	if got := scrape("metrics"); strings.Contains(got, want) {
		t.Errorf("a request of class %q is answered with the metrics %q", "metrics", got)
	}
}
