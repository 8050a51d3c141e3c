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

// firstAttemptAddrs submits requests to a loop that does not run and returns the addresses of their first attempts.
func firstAttemptAddrs(t *testing.T, l *loop) (addresses []string) {
	t.Helper()
	if l.lastRequestID == 0 { // no attempt uses the dialer yet
		l.upstream.dialer = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	var requests []*request // in flight together, so that each server gets some
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

// incarnationOf returns an entry of server 1 with the given start.
func incarnationOf(state policy.ServerState, started time.Duration) policy.Entry {
	return policy.Entry{Server: 1, State: state, StartedAt: started}
}

// updateAt returns a list or changes of source 1 at a version.
func updateAt(kind policy.ListKind, version int64, entries []policy.Entry, endpoints ...string) listUpdate {
	return listUpdate{kind: kind, origin: policy.Origin{Source: 1, Version: version}, entries: entries, endpoints: endpoints}
}

// Guards against requests to a former incarnation of a server: they go to the address of the incarnation that the Balancer
// has in service.
func TestRequestsGoToTheAddressOfTheIncarnationInService(t *testing.T) {
	const former, present = "127.0.0.1:1", "127.0.0.1:2"
	startedAt := clockOrigin
	for name, deliver := range map[string]func(l *loop){
		"changes name the former incarnation after the new one": func(l *loop) {
			l.applyListUpdate(updateAt(policy.ListChanges, 11, []policy.Entry{
				incarnationOf(policy.StateInService, startedAt),
				incarnationOf(policy.StateDraining, startedAt-time.Hour)}, present, former))
		},
		"changes name the end of the former incarnation after the new one": func(l *loop) {
			l.applyListUpdate(updateAt(policy.ListChanges, 11, []policy.Entry{
				incarnationOf(policy.StateInService, startedAt), incarnationOf(policy.StateGone, startedAt-time.Hour)}, present, former))
		},
		"an old list, long after the new incarnation": func(l *loop) {
			l.applyListUpdate(updateAt(policy.ListChanges, 11, []policy.Entry{incarnationOf(policy.StateInService, startedAt)}, present))
			l.now += 2 * time.Minute
			l.applyListUpdate(updateAt(policy.ListWhole, 10,
				[]policy.Entry{incarnationOf(policy.StateInService, startedAt-time.Hour)}, former))
		},
		"a lagging discovery at another address answers long after the reload": func(l *loop) {
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
			l.applyListUpdate(updateAt(policy.ListWhole, 10,
				[]policy.Entry{incarnationOf(policy.StateInService, startedAt-time.Hour)}, former))
			deliver(l)
			if _, listed := l.servers[1]; !listed {
				t.Fatal("the server has no address, but the Balancer may still send to it")
			}
			l.now += 2 * time.Minute // the server is warm
			if to := firstAttemptAddrs(t, l); !slices.Equal(to, []string{present}) {
				t.Errorf("requests go to %v, want the address of the incarnation in service, %s", to, present)
			}
		})
	}
}

// Guards against requests that reach a process that was started at the address of a server that has gone: the new
// server is listed before the old one is reported gone, and would get the old one's requests beside its own.
func TestNoRequestReachesTheSuccessorAtTheAddressOfItsServer(t *testing.T) {
	const shared, other = "127.0.0.1:1", "127.0.0.1:2"
	inService := func(id policy.ServerID, startedAt time.Duration) policy.Entry {
		return policy.Entry{Server: id, State: policy.StateInService, StartedAt: startedAt}
	}
	for name, deliver := range map[string]func(l *loop){
		"changes": func(l *loop) {
			l.applyListUpdate(updateAt(policy.ListChanges, 11, []policy.Entry{inService(2, clockOrigin)}, shared))
		},
		"a whole list, the new one first": func(l *loop) {
			l.applyListUpdate(updateAt(policy.ListWhole, 11, []policy.Entry{inService(2, clockOrigin), inService(1, 0), inService(3, 0)},
				shared, shared, other))
		},
		"a whole list, the old one first": func(l *loop) {
			l.applyListUpdate(updateAt(policy.ListWhole, 11, []policy.Entry{inService(1, 0), inService(2, clockOrigin), inService(3, 0)},
				shared, shared, other))
		},
		"the old one once more": func(l *loop) {
			l.applyListUpdate(updateAt(policy.ListChanges, 11, []policy.Entry{inService(2, clockOrigin)}, shared))
			l.applyListUpdate(updateAt(policy.ListChanges, 12, []policy.Entry{inService(1, 0)}, shared))
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLoop(t)
			l.advanceNow()
			l.upstream.dialer = func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			l.applyListUpdate(updateAt(policy.ListWhole, 10, []policy.Entry{inService(1, 0), inService(3, 0)}, shared, other))
			unsent := submitUntil(t, l, 1)
			l.runEvent(func() { deliver(l) })
			if !unsent.outcomeReported {
				t.Error("an attempt that waits for its connection was not withdrawn")
			}
			for range 32 {
				r := submitRead(l)
				for _, a := range r.attempts {
					if a.serverID == 1 && a.phase.Load() != phaseAbandoned {
						t.Fatal("a request went to the successor of its server")
					}
				}
				l.runEvent(func() { l.clientDisconnected(r) })
			}
			l.applyListUpdate(updateAt(policy.ListChanges, 20, []policy.Entry{{Server: 2, State: policy.StateGone}}, shared))
			if l.addressOwners.isSuperseded(l.servers[1]) {
				t.Error("the address counts as taken after its new server has gone")
			}
		})
	}
}

// submitUntil submits requests until one has its first attempt at a server, and returns that attempt.
func submitUntil(t *testing.T, l *loop, server policy.ServerID) *attempt {
	t.Helper()
	for range 100 {
		r := submitRead(l)
		if a := r.attempts[0]; a.serverID == server {
			return a
		}
		l.runEvent(func() { l.clientDisconnected(r) })
	}
	t.Fatal("no request went to the server")
	return nil
}

// clientAtVersion41 returns a discovery client at version 41 with servers s1 and s2 in service, and its loop, which does
// not run.
func clientAtVersion41(t *testing.T) (*discoveryClient, *loop) {
	t.Helper()
	l := newTestLoop(t)
	l.advanceNow()
	client := newDiscoveryClient("127.0.0.1:1", parseTestNodeSettings(t, testSettings), newClock(), slog.New(slog.DiscardHandler))
	client.onList = func(update listUpdate) { l.applyListUpdate(update) }
	client.onCallEnd = func(policy.CallEnd) {}
	client.accept(parseList(t, `{"rev":41,"all":true,"targets":[`+entryText("s1", "in_service")+","+entryText("s2", "in_service")+`]}`))
	return client, l
}

// entryText returns discovery's entry of a server.
func entryText(uid, state string) string {
	return `{"uid":"` + uid + `","endpoint":"` + uid + `","az":"a","state":"` + state + `"}`
}

// addCallInFlight adds a call to a client. The call never ends by itself.
func addCallInFlight(client *discoveryClient, id policy.CallID) *listCall {
	call := &listCall{
		Call: policy.Call{ID: id}, source: client.source, since: client.version, wantsWhole: !client.hasVersion,
		epoch: client.epoch, startedAt: time.Now(), cancel: func() {},
	}
	client.callsInFlight[id] = call
	return call
}

// parseList returns the list in the text of a message.
func parseList(t *testing.T, text string) serverList {
	t.Helper()
	list, err := readList(strings.NewReader(text), testZones, newClock())
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// Guards against requests to a server after its drain notice: what an answer takes out of service counts, whatever has
// become of its call in the meantime. A server that a whole list does not name is gone.
func TestOutOfServiceEntriesCountWhateverBecameOfTheirCall(t *testing.T) {
	const omits = `{"rev":42,"all":true,"targets":[{"uid":"s2","endpoint":"s2","az":"a","state":"in_service"}]}`
	drains := `{"rev":42,"all":false,"targets":[` + entryText("s1", "terminating") + `]}`
	restarted := `{"rev":3,"all":true,"targets":[` + entryText("s1", "terminating") + "," + entryText("s2", "in_service") + `]}`
	unchanged := serverList{version: 41}
	for _, text := range []string{drains, omits} {
		for name, before := range map[string]func(client *discoveryClient){
			"in flight":               func(*discoveryClient) {},
			"abandoned":               func(client *discoveryClient) { client.abandon(1) },
			"the address has changed": func(client *discoveryClient) { client.changeAddr("127.0.0.1:2") },
			"another call was answered": func(client *discoveryClient) {
				client.applyReply(callReply{call: addCallInFlight(client, 2), list: unchanged})
			},
			"the version was discarded": func(client *discoveryClient) { client.discardVersion() },
			"the version was discarded, another call is in flight": func(client *discoveryClient) {
				client.discardVersion()
				addCallInFlight(client, 2)
			},
		} {
			t.Run(name+" "+text[:30], func(t *testing.T) {
				client, l := clientAtVersion41(t)
				call := addCallInFlight(client, 1)
				before(client)
				client.applyReply(callReply{call: call, list: parseList(t, text)})
				if to := firstAttemptAddrs(t, l); slices.Contains(to, "s1") {
					t.Errorf("requests go to %v, want none to s1", to)
				}
			})
		}
	}
	t.Run("versions restart, on a call that overlaps an answered one", func(t *testing.T) {
		client, l := clientAtVersion41(t)
		first, second := addCallInFlight(client, 1), addCallInFlight(client, 2)
		client.applyReply(callReply{call: first, list: unchanged})
		client.applyReply(callReply{call: second, list: parseList(t, restarted)})
		if to := firstAttemptAddrs(t, l); slices.Contains(to, "s1") {
			t.Errorf("requests go to %v, want none to s1", to)
		}
	})
}

// Guards against requests to a server after its drain notice: entries of an answer whose version has not arrived may be of
// any version after the one that the call named. A replica that is ahead of that version, but lags, does not undo them.
func TestEntriesOfAnUnknownVersionAreNotUndoneByALaggingReplica(t *testing.T) {
	for name, next := range map[string]string{
		"changes": `{"rev":43,"all":false,"targets":[]}`,
		"a list":  `{"rev":43,"all":true,"targets":[` + entryText("s1", "in_service") + "," + entryText("s2", "in_service") + `]}`,
	} {
		t.Run(name, func(t *testing.T) {
			client, l := clientAtVersion41(t)
			found := parseList(t, `{"all":false,"targets":[`+entryText("s1", "terminating")+`]}`) // of version 45, which was cut off
			client.applyReply(callReply{call: addCallInFlight(client, 1), list: found, isPartial: true, versionUnknown: true})
			if to := firstAttemptAddrs(t, l); slices.Contains(to, "s1") {
				t.Fatalf("requests go to %v, want none to s1", to)
			}
			client.applyReply(callReply{call: addCallInFlight(client, 2), list: parseList(t, next)})
			if to := firstAttemptAddrs(t, l); slices.Contains(to, "s1") {
				t.Errorf("after an answer of version 43 requests go to %v, want none to s1", to)
			}
		})
	}
}

// Guards against a gate that opens too early: it stays closed until attempts that wait for a connection are cancelled.
func TestGateOpensAfterUnsentAttemptsAreCancelled(t *testing.T) {
	l := newTestLoop(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	handled := make(chan struct{})
	go func() {
		l.postAndWait(func() {
			l.deferred = append(l.deferred, func() {
				time.Sleep(50 * time.Millisecond) // a slow cancellation
				close(handled)
			})
		})
		select {
		case <-handled:
		default:
			t.Error("the event counts as handled, and the gate opens, before what the event deferred has run")
		}
		stop()
	}()
	l.run(ctx)
}

// Guards against requests to a former incarnation: an attempt that waits for its connection is cancelled when its server
// has restarted at another address, because the incarnation that it was meant for is gone.
func TestLateConnectionToAFormerIncarnationGetsNothing(t *testing.T) {
	for name, testCase := range map[string]struct {
		entry policy.Entry
		addr  string
	}{
		"restarted at another address":  {incarnationOf(policy.StateInService, clockOrigin), "127.0.0.1:2"},
		"listed at another address":     {incarnationOf(policy.StateInService, 0), "127.0.0.1:2"},
		"draining, for comparison":      {incarnationOf(policy.StateDraining, 0), "127.0.0.1:1"},
		"restarted at the same address": {incarnationOf(policy.StateDraining, clockOrigin), "127.0.0.1:1"},
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
				t.Fatalf("%d attempts, want 1", len(r.attempts))
			}
			l.runEvent(func() {
				l.applyListUpdate(updateAt(policy.ListChanges, 11, []policy.Entry{testCase.entry}, testCase.addr))
			})
			if r.attempts[0].beginWrite() {
				t.Error("the attempt begins although its server is out of service or replaced")
			}
		})
	}
}

// Guards against the loss of an answer that has been read while the node is busy.
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
		"chunked, with a late end": func(w http.ResponseWriter, text string) {
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
			client := newDiscoveryClient(service.Listener.Addr().String(), parseTestNodeSettings(t, testSettings), newClock(),
				slog.New(slog.DiscardHandler))
			client.execute(t.Context(), callCommand{call: policy.Call{ID: 1}})
			time.Sleep(2 * bodyEndTimeout) // run is busy with another list
			select {
			case reply := <-client.replies:
				if reply.err != nil || len(reply.list.entries) != 1 {
					t.Errorf("the call ends with %d entries, error %v; want 1 entry", len(reply.list.entries), reply.err)
				}
			case <-time.After(time.Second):
				t.Error("no reply: the answer is lost and the call never ends")
			}
		})
	}
}

// Guards against the loss of entries of a call that was abandoned while the node is busy: discovery wrote them before.
func TestEntriesThatWereReadAreNotLostWhileTheNodeIsBusy(t *testing.T) {
	began := make(chan struct{})
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"rev":42,"all":true,"targets":[`+entryText("s1", "terminating"))
		http.NewResponseController(w).Flush()
		close(began)
		<-r.Context().Done()
	}))
	defer service.Close()
	client := newDiscoveryClient(service.Listener.Addr().String(), parseTestNodeSettings(t, testSettings), newClock(),
		slog.New(slog.DiscardHandler))
	client.execute(t.Context(), callCommand{call: policy.Call{ID: 1}})
	<-began
	client.abandon(1)
	time.Sleep(4 * abandonedReadTimeout) // run is busy with another list
	select {
	case reply := <-client.replies:
		if len(reply.list.entries) != 1 {
			t.Errorf("%d entries, error %v; want 1 entry", len(reply.list.entries), reply.err)
		}
	case <-time.After(time.Second):
		t.Error("the entry that was read is lost")
	}
}
