package node

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/policy"
)

// neverEndingDiscovery answers each call at once with a later version, and never ends the body of its answer.
type neverEndingDiscovery struct {
	openAnswers, maxOpenAnswers, calls atomic.Int64
}

// ServeHTTP implements http.Handler.
func (n *neverEndingDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.calls.Add(1)
	open := n.openAnswers.Add(1)
	defer n.openAnswers.Add(-1)
	for maxOpen := n.maxOpenAnswers.Load(); open > maxOpen &&
		!n.maxOpenAnswers.CompareAndSwap(maxOpen, open); maxOpen = n.maxOpenAnswers.Load() {
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	fmt.Fprintf(w, `{"rev":%d,"all":%t,"targets":[%s]}`, since+1, err != nil, entryText("s1", "in_service"))
	http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// Guards the node's file descriptors: it reserves only a few for discovery, so answers whose bodies never end may hold
// only few connections.
func TestAnswersThatNeverEndHoldFewConnections(t *testing.T) {
	for mode, onRequest := range map[string]bool{"pushed": false, "on request": true} {
		t.Run(mode, func(t *testing.T) {
			var handler neverEndingDiscovery
			service := httptest.NewServer(&handler)
			t.Cleanup(func() { service.CloseClientConnections(); service.Close() })
			settings := parseTestNodeSettings(t, testSettings)
			policySettings := settings.Policy
			policySettings.LongPolling, policySettings.ListOnRequest = true, onRequest
			c := newClock()
			client := newDiscoveryClient(service.Listener.Addr().String(), settings, c, slog.New(slog.DiscardHandler))
			l, err := newLoop(policySettings, 1, c, newUpstream(time.Hour, testTimeout, 8), client.commands)
			if err != nil {
				t.Fatal(err)
			}
			client.attachTo(l)
			go l.run(t.Context())
			go func() {
				client.start(listMessage{}, onRequest)
				client.run(t.Context())
			}()
			waitFor(t, "calls", func() bool { return handler.calls.Load() > 3 })
			time.Sleep(2 * time.Second)
			if maxOpen := handler.maxOpenAnswers.Load(); maxOpen > reservedSockets {
				t.Errorf("%d connections to discovery at once in %d calls, want at most the %d reserved file descriptors",
					maxOpen, handler.calls.Load(), reservedSockets)
			}
		})
	}
}

// Guards against a loop that is busy with logging: a list that puts many held servers into service is logged in few
// lines.
func TestManyServersThatAreHeldAreLoggedInFewLines(t *testing.T) {
	const servers = 5000
	l := newTestLoop(t)
	var text bytes.Buffer
	log := slog.New(slog.NewTextHandler(&text, nil))
	l.requestLog = newRequestLog(log)
	l.balancer.Observe(decisionLog{log, l})
	list := wholeList(t, servers)
	draining := make([]policy.Entry, servers)
	for i, e := range list.entries {
		draining[i] = e
		draining[i].State = policy.StateDraining
	}
	l.applyListUpdate(updateAt(policy.ListWhole, 11, draining, list.endpoints...))
	text.Reset()
	l.applyListUpdate(updateAt(policy.ListWhole, 10, list.entries, list.endpoints...))
	if lines := bytes.Count(text.Bytes(), []byte("\n")); lines > 4*maxLoggedServers {
		t.Errorf("a list of %d servers is logged in %d lines, %d bytes", servers, lines, text.Len())
	}
}

// Guards against a log line for each server: entries that arrive one by one take servers out of service one by one,
// and few lines are logged.
func TestAnswerInManyPiecesIsLoggedInFewLines(t *testing.T) {
	const parts = 1000
	client, _ := clientAtVersion41(t)
	var text bytes.Buffer
	client.callLog.logger = slog.New(slog.NewTextHandler(&text, nil))
	call := addCallInFlight(client, 1)
	for i := range parts {
		list := parseList(t, `{"rev":42,"targets":[`+entryText(fmt.Sprint("leaves-", i), "terminating")+`]}`)
		client.applyReply(callReply{call: call, list: list, isPartial: true})
	}
	if lines := bytes.Count(text.Bytes(), []byte("\n")); lines > 4*maxLoggedServers {
		t.Errorf("an answer in %d parts is logged in %d lines", parts, lines)
	}
}

// Guards against requests to a server that is gone: a server that a whole list omits is gone once all entries have
// arrived, even if the closing brace is late.
func TestServersThatAListOmitsAreGoneOnceItsEntriesHaveCome(t *testing.T) {
	reports := func(texts ...string) (reported bool) {
		outOfService, _, whole, _ := readReportingProgress(&chunkedReader{texts, http.ErrBodyReadAfterClose})
		return len(outOfService) > 0 || whole >= 0
	}
	if !reports(`{"rev":2,"all":true,"targets":[` + inServiceEntryText + `]}`) {
		t.Error("a complete message is not reported")
	}
	if !reports(`{"rev":2,"all":true,"targets":[` + inServiceEntryText + `]`) {
		t.Error("a whole list is not reported before its last brace, though its entries, version and kind have arrived")
	}
}
