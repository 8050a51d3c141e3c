package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"otterstep/policy"
)

// Guards against requests to a server after its drain notice: a discovery that restarts its count of versions answers
// with a whole list of a lower version than the one that the call named. The servers that the list takes out of service
// are out, even if another answer was accepted while the call was in flight.
func TestAnswerOlderThanItsCallTakesServersOut(t *testing.T) {
	const sinceVersion, currentVersion, restartedVersion = 956, 957, 226
	now := time.Now()
	for name, startedAt := range map[string]time.Time{
		"call after the latest answer":  now.Add(time.Second),
		"call before the latest answer": now.Add(-time.Second),
	} {
		client := newDiscoveryClient("127.0.0.1:1", parseTestNodeSettings(t, testSettings), newClock(), slog.New(slog.DiscardHandler))
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
			t.Errorf("%s: %v are taken out of service, want one draining server", name, outOfService)
		}
	}
}

// Guards against a list that is cut off and accepted as whole: its length is too small, and the rest follows. The
// entries that take servers out of service count as far as they were read.
func TestListThatIsLongerThanItsLengthIsUnusable(t *testing.T) {
	const text = `{"rev":42,"all":true,"targets":[` + terminatingEntryText + `,` + inServiceEntryText + `]}`
	for length := range len(text) {
		s := newFakeServer(t, respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, text), true))
		client := newDiscoveryClient(s.addr, parseTestNodeSettings(t, testSettings), newClock(), slog.New(slog.DiscardHandler))
		outOfService := 0
		call := &listCall{Call: policy.Call{ID: 1}, wantsWhole: true, deliver: func(reply callReply) {
			outOfService += len(reply.list.entries)
			if !reply.isPartial {
				t.Errorf("length %d: the list was delivered as whole", length)
			}
		}}
		reply := client.fetch(t.Context(), call, client.callURL(call))
		var unusable *unusableError
		if !errors.As(reply.err, &unusable) || len(reply.list.entries) > 0 {
			t.Errorf("length %d: error %v, %d entries; want an unusable answer", length, reply.err, len(reply.list.entries))
		}
		if entryEnd := strings.Index(text, terminatingEntryText) + len(terminatingEntryText); length > entryEnd && outOfService == 0 {
			t.Errorf("length %d: no server is out of service", length)
		}
		client.client.CloseIdleConnections()
	}
}
