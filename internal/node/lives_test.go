package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"otterstep/policy"
)

// sentTo submits requests to a loop that nobody runs and tells the addresses that their first attempts go to.
func firstAttemptAddrs(t *testing.T, l *loop) (addresses []string) {
	t.Helper()
	if l.lastRequestID == 0 { // no attempt uses it yet
		l.upstream.dialer = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	var requests []*request // together: what is in flight has each server get some
	for range 8 {
		requests = append(requests, submitRead(l))
	}
	for _, r := range requests {
		for _, a := range r.attempts {
			addresses = append(addresses, l.servers[a.serverID].addr)
		}
		l.runEvent(func() { l.clientDisconnected(r) })
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// submitRead submits a request of a class that is safe to repeat.
func submitRead(l *loop) (r *request) {
	outgoing := &upstreamRequest{method: http.MethodGet, uri: "/read", header: http.Header{}, clientDeadline: l.now + time.Second}
	outgoing.header.Set("X-Correlation-Id", strconv.FormatInt(lastClientRequestID.Add(1), 10))
	l.runEvent(func() { r = l.submit(policy.Request{}, outgoing, make(chan finalAnswer, 1)) })
	return r
}

// lifeOf is a line of server 1 at one of its starts.
func incarnationOf(state policy.ServerState, started time.Duration) policy.Entry {
	return policy.Entry{Server: 1, State: state, StartedAt: started}
}

// heard is a list or changes of a source at a version.
func updateAt(kind policy.ListKind, version int64, entries []policy.Entry, endpoints ...string) listUpdate {
	return listUpdate{kind: kind, origin: policy.Origin{Source: 1, Version: version}, entries: entries, endpoints: endpoints}
}

// Guards rule 3: requests for a server go to the address of the life that the module has in service, never to
// that of a former one.
func TestRequestsGoToTheAddressOfTheIncarnationInService(t *testing.T) {
	const former, present = "127.0.0.1:1", "127.0.0.1:2"
	startedAt := clockOrigin
	for name, play := range map[string]func(l *loop){
		"changes name the former life behind the new one": func(l *loop) {
			l.applyListUpdate(updateAt(policy.ListChanges, 11, []policy.Entry{
				incarnationOf(policy.StateInService, startedAt), incarnationOf(policy.StateDraining, startedAt-time.Hour)}, present, former))
		},
		"changes name the end of the former life behind the new one": func(l *loop) {
			l.applyListUpdate(updateAt(policy.ListChanges, 11, []policy.Entry{
				incarnationOf(policy.StateInService, startedAt), incarnationOf(policy.StateGone, startedAt-time.Hour)}, present, former))
		},
		"a list of before, long after the new life": func(l *loop) {
			l.applyListUpdate(updateAt(policy.ListChanges, 11, []policy.Entry{incarnationOf(policy.StateInService, startedAt)}, present))
			l.now += 2 * time.Minute
			l.applyListUpdate(updateAt(policy.ListWhole, 10, []policy.Entry{incarnationOf(policy.StateInService, startedAt-time.Hour)}, former))
		},
		"another address that lags and answers long after the reload": func(l *loop) {
			l.applyListUpdate(updateAt(policy.ListChanges, 11, []policy.Entry{incarnationOf(policy.StateInService, startedAt)}, present))
			l.applyListUpdate(updateAt(policy.ListAddressChanged, 0, nil))
			l.now += 2 * time.Minute
			update := updateAt(policy.ListWhole, 10, []policy.Entry{incarnationOf(policy.StateInService, startedAt-time.Hour)}, former)
			update.origin.Source = 2
			l.applyListUpdate(update)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLoop(t)
			l.advanceNow()
			l.applyListUpdate(updateAt(policy.ListWhole, 10, []policy.Entry{incarnationOf(policy.StateInService, startedAt-time.Hour)}, former))
			play(l)
			if _, listed := l.servers[1]; !listed {
				t.Fatal("the server has no address, and the module may go on sending to it")
			}
			l.now += 2 * time.Minute // the server is warm
			if to := firstAttemptAddrs(t, l); !slices.Equal(to, []string{present}) {
				t.Errorf("requests go to %v, want the address of the life in service, %s", to, present)
			}
		})
	}
}

// discoveryBefore is a discovery at version 41 with servers s1 and s2 in service, before a loop that nobody runs.
func clientAtVersion41(t *testing.T) (*discoveryClient, *loop) {
	t.Helper()
	l := newTestLoop(t)
	l.advanceNow()
	client := newDiscoveryClient("127.0.0.1:1", parseTestSite(t, testSettings), newClock(), slog.New(slog.DiscardHandler))
	client.onList = func(update listUpdate) { l.applyListUpdate(update) }
	client.onCallEnd = func(policy.CallEnd) {}
	client.accept(parseList(t, `{"rev":41,"all":true,"targets":[`+entryText("s1", "in_service")+","+entryText("s2", "in_service")+`]}`))
	return client, l
}

// lineOf is discovery's line of a server.
func entryText(uid, state string) string {
	return `{"uid":"` + uid + `","endpoint":"` + uid + `","az":"a","state":"` + state + `"}`
}

// callOut has a discovery make a call that never ends by itself.
func addCallInFlight(client *discoveryClient, id policy.CallID) *listCall {
	call := &listCall{
		Call: policy.Call{ID: id}, source: client.source, since: client.version, wantsWhole: !client.hasVersion, epoch: client.epoch, startedAt: time.Now(), cancel: func() {},
	}
	client.callsInFlight[id] = call
	return call
}

// listOf reads a message.
func parseList(t *testing.T, text string) serverList {
	t.Helper()
	list, err := readList(strings.NewReader(text), testZones, newClock())
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// Guards rule 3: what an answer takes out of service counts, whatever has become of its call meanwhile. What a whole
// list does not name is gone.
func TestOutOfServiceEntriesCountWhateverBecameOfTheirCall(t *testing.T) {
	const leftOut = `{"rev":42,"all":true,"targets":[{"uid":"s2","endpoint":"s2","az":"a","state":"in_service"}]}`
	drains := `{"rev":42,"all":false,"targets":[` + entryText("s1", "terminating") + `]}`
	restarted := `{"rev":3,"all":true,"targets":[` + entryText("s1", "terminating") + "," + entryText("s2", "in_service") + `]}`
	unchanged := serverList{version: 41}
	for _, text := range []string{drains, leftOut} {
		for name, before := range map[string]func(client *discoveryClient){
			"it is out":                func(*discoveryClient) {},
			"it was given up":          func(client *discoveryClient) { client.abandon(1) },
			"another address is named": func(client *discoveryClient) { client.changeAddr("127.0.0.1:2") },
			"another one was answered": func(client *discoveryClient) {
				client.applyReply(callReply{call: addCallInFlight(client, 2), list: unchanged})
			},
			"the version was lost in between":  func(client *discoveryClient) { client.discardVersion() },
			"and another call asks anew since": func(client *discoveryClient) { client.discardVersion(); addCallInFlight(client, 2) },
		} {
			t.Run(name+" "+text[:30], func(t *testing.T) {
				client, l := clientAtVersion41(t)
				call := addCallInFlight(client, 1)
				before(client)
				client.applyReply(callReply{call: call, list: parseList(t, text)})
				if to := firstAttemptAddrs(t, l); slices.Contains(to, "s1") {
					t.Errorf("requests go to %v", to)
				}
			})
		}
	}
	t.Run("versions that begin anew, on the call that is out beside an answered one", func(t *testing.T) {
		client, l := clientAtVersion41(t)
		first, second := addCallInFlight(client, 1), addCallInFlight(client, 2)
		client.applyReply(callReply{call: first, list: unchanged})
		client.applyReply(callReply{call: second, list: parseList(t, restarted)})
		if to := firstAttemptAddrs(t, l); slices.Contains(to, "s1") {
			t.Errorf("requests go to %v", to)
		}
	})
}

// Guards rule 3: lines of an answer whose version has not come may be of any later one than was asked for, so that a
// replica that lags, and is ahead of the version asked for, does not undo them.
func TestEntriesOfAnUnknownVersionAreNotUndoneByALaggingReplica(t *testing.T) {
	for name, next := range map[string]string{
		"changes": `{"rev":43,"all":false,"targets":[]}`,
		"a list":  `{"rev":43,"all":true,"targets":[` + entryText("s1", "in_service") + "," + entryText("s2", "in_service") + `]}`,
	} {
		t.Run(name, func(t *testing.T) {
			client, l := clientAtVersion41(t)
			found := parseList(t, `{"all":false,"targets":[`+entryText("s1", "terminating")+`]}`) // of version 45, cut off ahead of it
			client.applyReply(callReply{call: addCallInFlight(client, 1), list: found, isPartial: true, versionUnknown: true})
			if to := firstAttemptAddrs(t, l); slices.Contains(to, "s1") {
				t.Fatalf("requests go to %v", to)
			}
			client.applyReply(callReply{call: addCallInFlight(client, 2), list: parseList(t, next)})
			if to := firstAttemptAddrs(t, l); slices.Contains(to, "s1") {
				t.Errorf("after an answer of version 43 requests go to %v", to)
			}
		})
	}
}

// The gate stays shut until attempts that wait for a connection are withdrawn.
func TestGateOpensAfterUnsentAttemptsAreCancelled(t *testing.T) {
	l := newTestLoop(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	handled := make(chan struct{})
	go func() {
		l.postAndWait(func() {
			l.deferred = append(l.deferred, func() {
				time.Sleep(50 * time.Millisecond) // a withdrawal that the processor takes its time for
				close(handled)
			})
		})
		select {
		case <-handled:
		default:
			t.Error("the event counts as handled, and the gate opens, ahead of what it has queued")
		}
		stop()
	}()
	l.run(ctx)
}

// Guards rule 3: an attempt that waits for its connection is withdrawn when its server has started anew elsewhere: the life
// that it was meant for is gone.
func TestLateConnectionToAFormerIncarnationGetsNothing(t *testing.T) {
	for name, entries := range map[string]struct {
		line policy.Entry
		addr string
	}{
		"started anew at another address":   {incarnationOf(policy.StateInService, clockOrigin), "127.0.0.1:2"},
		"named at another address":          {incarnationOf(policy.StateInService, 0), "127.0.0.1:2"},
		"drains, for comparison":            {incarnationOf(policy.StateDraining, 0), "127.0.0.1:1"},
		"started anew at the same address ": {incarnationOf(policy.StateDraining, clockOrigin), "127.0.0.1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLoop(t)
			l.advanceNow()
			l.applyListUpdate(updateAt(policy.ListWhole, 10, []policy.Entry{incarnationOf(policy.StateInService, 0)}, "127.0.0.1:1"))
			wait := make(chan struct{})
			defer close(wait)
			l.upstream.dialer = func(context.Context, string) (net.Conn, error) { <-wait; return nil, errors.New("late") }
			r := submitRead(l)
			if len(r.attempts) != 1 {
				t.Fatalf("%d attempts", len(r.attempts))
			}
			l.runEvent(func() {
				l.applyListUpdate(updateAt(policy.ListChanges, 11, []policy.Entry{entries.line}, entries.addr))
			})
			if r.attempts[0].beginWrite() {
				t.Error("the attempt begins at the server that it was meant for")
			}
		})
	}
}

// Guards rule 3: an answer that has been read counts, however long the node takes to come to it.
func TestAnswerThatWasReadIsNotLostWhileTheNodeIsBusy(t *testing.T) {
	for name, write := range map[string]func(w http.ResponseWriter, text string){
		"with a length": func(w http.ResponseWriter, text string) {
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			io.WriteString(w, text)
		},
		"chunked": func(w http.ResponseWriter, text string) {
			io.WriteString(w, text)
			http.NewResponseController(w).Flush()
		},
		"chunked, and its end comes a moment later": func(w http.ResponseWriter, text string) {
			io.WriteString(w, text)
			http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				write(w, `{"rev":42,"all":true,"targets":[`+entryText("s1", "terminating")+`]}`)
			}))
			defer service.Close()
			client := newDiscoveryClient(service.Listener.Addr().String(), parseTestSite(t, testSettings), newClock(), slog.New(slog.DiscardHandler))
			client.execute(t.Context(), callCommand{call: policy.Call{ID: 1}})
			time.Sleep(2 * bodyEndTimeout) // run hands on another list
			select {
			case reply := <-client.replies:
				if reply.err != nil || len(reply.list.entries) != 1 {
					t.Errorf("the call ends with %d lines, error %v", len(reply.list.entries), reply.err)
				}
			case <-time.After(time.Second):
				t.Error("no reply: the answer is lost, and the call never ends")
			}
		})
	}
}

// The same of the lines of a call that is given up: they were written before.
func TestEntriesThatWereReadAreNotLostWhileTheNodeIsBusy(t *testing.T) {
	began := make(chan struct{})
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"rev":42,"all":true,"targets":[`+entryText("s1", "terminating"))
		http.NewResponseController(w).Flush()
		close(began)
		<-r.Context().Done()
	}))
	defer service.Close()
	client := newDiscoveryClient(service.Listener.Addr().String(), parseTestSite(t, testSettings), newClock(), slog.New(slog.DiscardHandler))
	client.execute(t.Context(), callCommand{call: policy.Call{ID: 1}})
	<-began
	client.abandon(1)
	time.Sleep(4 * abandonedReadTimeout) // run hands on another list
	select {
	case reply := <-client.replies:
		if len(reply.list.entries) != 1 {
			t.Errorf("%d lines, error %v", len(reply.list.entries), reply.err)
		}
	case <-time.After(time.Second):
		t.Error("the line that was read is lost")
	}
}
