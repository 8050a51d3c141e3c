package node

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/policy"
)

// testLoop is a loop that nobody runs: the test calls it.
func newTestLoop(t testing.TB) *loop {
	t.Helper()
	l, err := newLoop(parseTestSite(t, testSettings).Policy, 1, newClock(), newUpstream(time.Hour, testTimeout, 8), newCallQueue())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// versionsHeard counts the lists that tests have had loops hear: each is of a later version.
var lastTestVersion atomic.Int64

// hear has a loop hear a list or changes to it, of a later version than any before.
func (l *loop) applyNewerUpdate(kind policy.ListKind, entries []policy.Entry, endpoints []string) {
	origin := policy.Origin{Version: lastTestVersion.Add(1)}
	l.applyListUpdate(listUpdate{kind: kind, origin: origin, entries: entries, endpoints: endpoints})
}

// wholeList is a list of so many servers as it was read.
func wholeList(t testing.TB, servers int) serverList {
	t.Helper()
	list, err := readList(bytes.NewReader(listText(servers)), testZones, newClock())
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// changeOne changes one server of a list over and over: it starts anew each time.
func changeOneServer(l *loop, list serverList, times int) {
	changed := list.entries[len(list.entries)/2]
	update := listUpdate{entries: []policy.Entry{changed}, endpoints: []string{list.endpoints[len(list.endpoints)/2]}}
	for range times {
		update.entries[0].StartedAt++
		l.changeServers(update)
	}
}

// Guards against a change that costs as much as the whole list: changes come one by one.
func TestChangeOfOneServerCostsTheSameOnALongList(t *testing.T) {
	cost := func(servers int) time.Duration {
		l, list := newTestLoop(t), wholeList(t, servers)
		l.replaceServers(listUpdate{entries: list.entries, endpoints: list.endpoints})
		least := time.Hour
		for range 20 { // the least is what it takes when nothing else is in the way
			began := time.Now()
			changeOneServer(l, list, 500)
			least = min(least, time.Since(began))
		}
		return least
	}
	const most = 4
	short, long := cost(1000), cost(16*1000)
	if ratio := float64(long) / float64(short); ratio > most {
		t.Errorf("a change costs %.1f times as much on a list that is 16 times as long, want %d at most", ratio, most)
	}
}

// Guards what members promises on connections, for changes and for whole lists: those to a
// server that is gone, has moved or has started anew are closed, and no others.
func TestConnectionsEndWithTheirServerAlone(t *testing.T) {
	ready := func(id policy.ServerID, started time.Duration) policy.Entry {
		return policy.Entry{Server: id, State: policy.StateInService, StartedAt: started}
	}
	for name, c := range map[string]struct {
		entries   []policy.Entry
		endpoints []string
		kept      bool
	}{
		"the same again":        {[]policy.Entry{ready(1, 5), ready(2, 0)}, []string{"a", "b"}, true},
		"it drains":             {[]policy.Entry{{Server: 1, StartedAt: 5, State: policy.StateDraining}, ready(2, 0)}, []string{"a", "b"}, true},
		"gone":                  {[]policy.Entry{{Server: 1, StartedAt: 5}, ready(2, 0)}, []string{"a", "b"}, false},
		"started anew":          {[]policy.Entry{ready(1, 6), ready(2, 0)}, []string{"a", "b"}, false},
		"moved":                 {[]policy.Entry{ready(1, 5), ready(2, 0)}, []string{"c", "b"}, false},
		"gone and back at once": {[]policy.Entry{{Server: 1, StartedAt: 5}, ready(1, 5), ready(2, 0)}, []string{"a", "a", "b"}, true},
		"another one in place":  {[]policy.Entry{{Server: 1, StartedAt: 5}, ready(3, 0), ready(2, 0)}, []string{"a", "a", "b"}, false},
	} {
		for _, kind := range []policy.ListKind{policy.ListChanges, policy.ListWhole, policy.ListCached} {
			l := newTestLoop(t)
			l.applyNewerUpdate(policy.ListWhole, []policy.Entry{ready(1, 5), ready(2, 0)}, []string{"a", "b"})
			one, two := addIdleConn(t, l.upstream, serverIncarnation{1, "a", 5}), addIdleConn(t, l.upstream, serverIncarnation{2, "b", 0})
			l.applyNewerUpdate(kind, c.entries, c.endpoints)
			if one.isOpenAndSilent() != c.kept || !two.isOpenAndSilent() {
				t.Errorf("%s, kind %d: connections open: %v, %v; want %v, true", name, kind, one.isOpenAndSilent(), two.isOpenAndSilent(), c.kept)
			}
			if l.applyNewerUpdate(policy.ListFailed, nil, nil); !two.isOpenAndSilent() {
				t.Errorf("%s, kind %d: a failed call closes connections", name, kind)
			}
		}
	}
	l := newTestLoop(t)
	l.applyNewerUpdate(policy.ListWhole, []policy.Entry{ready(1, 5)}, []string{"a"})
	one := addIdleConn(t, l.upstream, serverIncarnation{1, "a", 5})
	l.applyNewerUpdate(policy.ListWhole, nil, nil)
	if one.isOpenAndSilent() {
		t.Error("a whole list that does not name a server leaves its connection open")
	}
}

// idleTo puts an idle connection into the pool.
func addIdleConn(t *testing.T, u *upstream, to serverIncarnation) *serverConn {
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
	c := &serverConn{TCPConn: client.(*net.TCPConn), incarnation: to}
	u.mu.Lock()
	u.openConns++
	u.mu.Unlock()
	u.releaseConn(c, true)
	return c
}
