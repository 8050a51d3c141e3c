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
func TestAnswerOlderThanItsCallTakesServersOut(t *testing.T) {
	const sinceVersion, currentVersion, restartedVersion = 956, 957, 226
	now := time.Now()
	for name, startedAt := range map[string]time.Time{
		"called behind the latest answer": now.Add(time.Second),
		"called before the latest answer": now.Add(-time.Second),
	} {
		client := newDiscoveryClient("127.0.0.1:1", parseTestSite(t, testSettings), newClock(), slog.New(slog.DiscardHandler))
		var outOfService []policy.Entry
		client.onList = func(update listUpdate) {
			if update.kind == policy.ListPartial || update.kind == policy.ListOutdated {
				outOfService = append(outOfService, update.entries...)
			}
		}
		client.onCallEnd = func(policy.CallEnd) {}
		client.version, client.hasVersion, client.acceptedAt = currentVersion, true, now
		_, cancel := context.WithCancel(t.Context())
		call := &listCall{Call: policy.Call{ID: 1}, source: client.source, since: sinceVersion, startedAt: startedAt, cancel: cancel}
		client.callsInFlight[call.ID] = call
		list := serverList{version: restartedVersion, isWhole: true}
		list.add(listEntry{UID: "s1", Endpoint: "127.0.0.1:2", State: "terminating"}, nil, client.clock)
		client.applyReply(callReply{call: call, list: list})
		if len(outOfService) != 1 || outOfService[0].State != policy.StateDraining {
			t.Errorf("%s: told of %v, want one server that drains", name, outOfService)
		}
	}
}
