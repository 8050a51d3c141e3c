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

// neverEnding is a discovery that answers each call at once with a later version, and never ends its answer.
type neverEnding struct {
	open, most, calls atomic.Int64
}

// ServeHTTP implements http.Handler.
func (n *neverEnding) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.calls.Add(1)
	open := n.open.Add(1)
	defer n.open.Add(-1)
	for most := n.most.Load(); open > most && !n.most.CompareAndSwap(most, open); most = n.most.Load() {
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	fmt.Fprintf(w, `{"rev":%d,"all":%t,"targets":[%s]}`, since+1, err != nil, lineOf("s1", "in_service"))
	http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// The connections to discovery that a node holds have a bound: a few descriptors are all it has for them.
func TestAnswersThatNeverEndHoldFewConnections(t *testing.T) {
	for mode, asked := range map[string]bool{"pushed": false, "asked": true} {
		t.Run(mode, func(t *testing.T) {
			var from neverEnding
			service := httptest.NewServer(&from)
			t.Cleanup(func() { service.CloseClientConnections(); service.Close() })
			site := siteOf(t, settings)
			set := site.Settings
			set.LongPolling, set.ListOnRequest = true, asked
			c := newClock()
			d := newDiscovery(service.Listener.Addr().String(), site, c, slog.New(slog.DiscardHandler))
			l, err := newLoop(set, 1, c, newUpstream(time.Hour, patience, 8), d.orders)
			if err != nil {
				t.Fatal(err)
			}
			d.follow(l)
			go l.run(t.Context())
			go func() {
				d.start(hostList{}, asked)
				d.run(t.Context())
			}()
			waitFor(t, "calls", func() bool { return from.calls.Load() > 3 })
			time.Sleep(2 * time.Second)
			if most := from.most.Load(); most > otherSockets {
				t.Errorf("%d connections to discovery at once in %d calls, of %d descriptors for all that is neither clients' nor servers'",
					most, from.calls.Load(), otherSockets)
			}
		})
	}
}

// A list that puts many servers into service that are held out of it is logged in few lines: the loop writes them.
func TestManyServersThatAreHeldAreLoggedInFewLines(t *testing.T) {
	const servers = 5000
	l := testLoop(t)
	var text bytes.Buffer
	log := slog.New(slog.NewTextHandler(&text, nil))
	l.log = newRequestLog(log)
	l.balancer.Observe(decisionLog{log, l})
	list := wholeList(t, servers)
	drained := make([]policy.Entry, servers)
	for i, e := range list.entries {
		drained[i] = e
		drained[i].State = policy.StateDraining
	}
	l.members(heard(policy.ListWhole, 11, drained, list.endpoints...))
	text.Reset()
	l.members(heard(policy.ListWhole, 10, list.entries, list.endpoints...))
	if lines := bytes.Count(text.Bytes(), []byte("\n")); lines > 4*linesKept {
		t.Errorf("a list of %d servers is logged in %d lines, %d bytes", servers, lines, text.Len())
	}
}

// Lines that come one by one take the servers out one by one: that is logged in few lines, too.
func TestAnswerInManyPiecesIsLoggedInFewLines(t *testing.T) {
	const pieces = 1000
	d, _ := discoveryBefore(t)
	var text bytes.Buffer
	d.log.log = slog.New(slog.NewTextHandler(&text, nil))
	call := callOut(d, 1)
	for i := range pieces {
		list := listOf(t, `{"rev":42,"targets":[`+lineOf(fmt.Sprint("leaves-", i), "terminating")+`]}`)
		d.replied(callReply{call: call, list: list, part: true})
	}
	if lines := bytes.Count(text.Bytes(), []byte("\n")); lines > 4*linesKept {
		t.Errorf("an answer in %d pieces is logged in %d lines", pieces, lines)
	}
}

// Guards rule 3: what a whole list leaves out is gone once its lines have come, whenever its last brace does.
func TestWhatAListLeavesOutCountsOnceItsLinesHaveCome(t *testing.T) {
	tells := func(texts ...string) (told bool) {
		leaving, _, whole, _ := progressOf(&pieces{texts, http.ErrBodyReadAfterClose})
		return len(leaving) > 0 || whole >= 0
	}
	if !tells(`{"rev":2,"all":true,"targets":[` + stayerText + `]}`) {
		t.Error("a whole message is not told of")
	}
	if !tells(`{"rev":2,"all":true,"targets":[` + stayerText + `]`) {
		t.Error("nothing is told of a whole list whose lines, version and kind have come, before its last brace")
	}
}
