package node

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"otterstep/policy"
)

// failuresEvery is the time between two lines of calls that fail in a row, below the debug level.
const failuresEvery = time.Second

// callLog writes what happens to calls to discovery.
type callLog struct {
	log   *slog.Logger
	lines *atomic.Int64 // that counted though their answer was not taken whole

	failing  bool // the latest call came to nothing,
	unusable bool // an answer among them could not be taken,
	late     bool // a call is late
	failures int  // since the last line of them
	lineAt   time.Time
}

// began logs that a call begins: those that go on with a watch or repeat a failure at the debug level,
// and the first one in a row that is late at any.
func (g *callLog) began(call *listCall, addr string) {
	level := slog.LevelDebug
	switch {
	case call.Reason == policy.CallReasonStart, call.Reason == policy.CallReasonAddressChanged, call.Reason == policy.CallReasonLate && !g.late:
		level = slog.LevelInfo
	}
	g.late = g.late || call.Reason == policy.CallReasonLate
	g.log.Log(context.Background(), level, "calling discovery", "reason", call.Reason.String(), "call", call.ID,
		"since", call.since, "whole", call.whole, "wait", call.WaitForChanges, "addr", addr)
}

// failed logs a call that came to nothing: the first one of a kind at once, and then one a second with
// the number since.
func (g *callLog) failed(call *listCall, err error, rev int64) {
	now := time.Now()
	took := now.Sub(call.began)
	g.log.Debug("call to discovery failed", "call", call.ID, "took", took, "err", err)
	var unusable *unusableError
	g.failures++
	switch isUnusable := errors.As(err, &unusable); {
	case !g.failing, isUnusable && !g.unusable:
		g.failing, g.unusable = true, g.unusable || isUnusable
		g.log.Warn("no word from discovery, keeping the list", "rev", rev, "took", took, "err", err)
	case now.Sub(g.lineAt) >= failuresEvery:
		g.log.Info("calls to discovery fail", "failures", g.failures, "took", took, "err", err)
	default:
		return
	}
	g.failures, g.lineAt = 0, now
}

// answered logs that discovery is there again and makes sense.
func (g *callLog) answered(rev int64) {
	if g.failing || g.late {
		g.log.Info("discovery is back", "rev", rev)
	}
	g.failing, g.unusable, g.late, g.failures = false, false, false, 0
}

// taken logs a list that the node goes by from now on: who said it, what, and how long ago it was read.
func (g *callLog) taken(list serverList, addr string) {
	inService := 0
	for _, entry := range list.entries {
		if entry.State == policy.StateInService {
			inService++
		}
	}
	g.log.Debug("list taken", "addr", addr, "rev", list.rev, "whole", list.all, "servers", len(list.entries), "in_service", inService,
		"read_ago", time.Since(list.readAt))
}

// leaving logs lines that count though their answer is not whole, or can't be taken otherwise.
func (g *callLog) leaving(list serverList, call *listCall, version int64) {
	g.lines.Add(int64(len(list.entries)))
	g.log.Debug("servers taken out of service by an answer that is not taken whole", "call", call.ID, "rev", version,
		"lines", len(list.entries), "read_ago", time.Since(list.readAt))
}
