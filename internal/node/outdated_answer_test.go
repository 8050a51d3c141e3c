package node

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"otterstep/policy"
)

// A discovery that counts anew answers a call with a whole list of a lower version than the call asked from.
// It has told by it which servers are out, also where another answer was taken while that call was out.
func TestAnswerBehindItsOwnCallTakesServersOut(t *testing.T) {
	const asked, taken, anew = 956, 957, 226
	now := time.Now()
	for name, began := range map[string]time.Time{
		"called behind the latest answer": now.Add(time.Second),
		"called before the latest answer": now.Add(-time.Second),
	} {
		d := newDiscovery("127.0.0.1:1", siteOf(t, settings), newClock(), slog.New(slog.DiscardHandler))
		var leaving []policy.Entry
		d.members = func(news listNews) {
			if news.kind == policy.ListPartial || news.kind == policy.ListOutdated {
				leaving = append(leaving, news.entries...)
			}
		}
		d.ended = func(policy.CallEnd) {}
		d.rev, d.listed, d.takenAt = taken, true, now
		_, end := context.WithCancel(t.Context())
		call := &listCall{Call: policy.Call{ID: 1}, source: d.source, since: asked, began: began, end: end}
		d.out[call.ID] = call
		list := serverList{rev: anew, all: true}
		list.add(target{UID: "s1", Endpoint: "127.0.0.1:2", State: "terminating"}, nil, d.clock)
		d.replied(callReply{call: call, list: list})
		if len(leaving) != 1 || leaving[0].State != policy.StateDraining {
			t.Errorf("%s: told of %v, want one server that drains", name, leaving)
		}
	}
}
