package node

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/policy"
)

// newTestLoop returns a loop that does not run: the test calls its methods.
func newTestLoop(t testing.TB) *loop {
	t.Helper()
	l, err := newLoop(parseTestNodeSettings(t, testSettings).Policy, 1, newClock(), newUpstream(time.Hour, testTimeout, 8), newCallQueue())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// lastTestVersion is the version of the latest update that applyNewerUpdate has passed to any loop.
var lastTestVersion atomic.Int64

// applyNewerUpdate passes a list or changes to it to a loop, with a later version than any update before.
func (l *loop) applyNewerUpdate(kind policy.ListKind, entries []policy.Entry, endpoints []string) {
	origin := policy.Origin{Version: lastTestVersion.Add(1)}
	l.applyListUpdate(listUpdate{kind: kind, origin: origin, entries: entries, endpoints: endpoints})
}

// wholeList returns a whole list of the given number of servers as readList returns it.
func wholeList(t testing.TB, servers int) serverList {
	t.Helper()
	list, err := readList(bytes.NewReader(listText(servers)), testZones, newClock())
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// changeOneServer changes the start of one server of a list the given number of times.
func changeOneServer(l *loop, list serverList, times int) {
	changed := list.entries[len(list.entries)/2]
	update := listUpdate{entries: []policy.Entry{changed}, endpoints: []string{list.endpoints[len(list.endpoints)/2]}}
	for range times {
		update.entries[0].StartedAt++
		l.changeServers(update)
	}
}

// Guards against a change that costs as much as the whole list, because changes arrive one by one.
func TestChangeOfOneServerCostsTheSameOnALongList(t *testing.T) {
	cost := func(servers int) time.Duration {
		l, list := newTestLoop(t), wholeList(t, servers)
		l.replaceServers(listUpdate{entries: list.entries, endpoints: list.endpoints})
		shortest := time.Hour
		for range 20 { // the minimum is the time without other load on the machine
			began := time.Now()
			changeOneServer(l, list, 500)
			shortest = min(shortest, time.Since(began))
		}
		return shortest
	}
	const maxRatio = 4
	short, long := cost(1000), cost(16*1000)
	if ratio := float64(long) / float64(short); ratio > maxRatio {
		t.Errorf("a change costs %.1f times as much on a list that is 16 times as long, want at most %d times", ratio, maxRatio)
	}
}

// Guards against connections that outlive their server, and against the loss of others: with changes and with whole
// lists, the connections to a server that is gone, has another address or has restarted are closed, and no others.
func TestConnectionsEndWithTheirServerAlone(t *testing.T) {
	inService := func(id policy.ServerID, started time.Duration) policy.Entry {
		return policy.Entry{Server: id, State: policy.StateInService, StartedAt: started}
	}
	for name, c := range map[string]struct {
		entries   []policy.Entry
		endpoints []string
		kept      bool
	}{
		"unchanged": {[]policy.Entry{inService(1, 5), inService(2, 0)}, []string{"a", "b"}, true},
		"draining": {[]policy.Entry{{Server: 1, StartedAt: 5, State: policy.StateDraining}, inService(2, 0)},
			[]string{"a", "b"}, true},
		"gone":          {[]policy.Entry{{Server: 1, StartedAt: 5}, inService(2, 0)}, []string{"a", "b"}, false},
		"restarted":     {[]policy.Entry{inService(1, 6), inService(2, 0)}, []string{"a", "b"}, false},
		"other address": {[]policy.Entry{inService(1, 5), inService(2, 0)}, []string{"c", "b"}, false},
		"gone and back at once": {[]policy.Entry{{Server: 1, StartedAt: 5}, inService(1, 5), inService(2, 0)},
			[]string{"a", "a", "b"}, true},
		"replaced by another server": {[]policy.Entry{{Server: 1, StartedAt: 5}, inService(3, 0), inService(2, 0)},
			[]string{"a", "a", "b"}, false},
	} {
		for _, kind := range []policy.ListKind{policy.ListChanges, policy.ListWhole, policy.ListCached} {
			l := newTestLoop(t)
			l.applyNewerUpdate(policy.ListWhole, []policy.Entry{inService(1, 5), inService(2, 0)}, []string{"a", "b"})
			one, two := addIdleConn(t, l.upstream, serverIncarnation{1, "a", 5}), addIdleConn(t, l.upstream, serverIncarnation{2, "b", 0})
			l.applyNewerUpdate(kind, c.entries, c.endpoints)
			if one.isOpenAndSilent() != c.kept || !two.isOpenAndSilent() {
				t.Errorf("%s, kind %d: connections open: %v, %v; want %v, true", name, kind,
					one.isOpenAndSilent(), two.isOpenAndSilent(), c.kept)
			}
			if l.applyNewerUpdate(policy.ListFailed, nil, nil); !two.isOpenAndSilent() {
				t.Errorf("%s, kind %d: a failed call closes connections", name, kind)
			}
		}
	}
	l := newTestLoop(t)
	l.applyNewerUpdate(policy.ListWhole, []policy.Entry{inService(1, 5)}, []string{"a"})
	one := addIdleConn(t, l.upstream, serverIncarnation{1, "a", 5})
	l.applyNewerUpdate(policy.ListWhole, nil, nil)
	if one.isOpenAndSilent() {
		t.Error("a whole list that does not name a server leaves its connection open")
	}
}

// addIdleConn adds an idle connection to the pool.
func addIdleConn(t *testing.T, u *upstream, incarnation serverIncarnation) *serverConn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	c := &serverConn{TCPConn: client.(*net.TCPConn), incarnation: incarnation}
	u.mu.Lock()
	u.openConns++
	u.mu.Unlock()
	u.releaseConn(c, true)
	return c
}
