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
const failureLogInterval = time.Second

// callLog writes what happens to calls to discovery.
type callLog struct {
	logger           *slog.Logger
	partialListLines *atomic.Int64 // that counted though their answer was not taken whole

	failing          bool // the latest call came to nothing,
	unusableSeen     bool // an answer among them could not be taken,
	lateSeen         bool // a call is late
	unloggedFailures int  // since the last line of them
	failureLoggedAt  time.Time
}

// began logs that a call begins: those that go on with a watch or repeat a failure at the debug level,
// and the first one in a row that is late at any.
func (g *callLog) callStarted(call *listCall, addr string) {
	level := slog.LevelDebug
	switch {
	case call.Reason == policy.CallReasonStart, call.Reason == policy.CallReasonAddressChanged, call.Reason == policy.CallReasonLate && !g.lateSeen:
		level = slog.LevelInfo
	}
	g.lateSeen = g.lateSeen || call.Reason == policy.CallReasonLate
	g.logger.Log(context.Background(), level, "calling discovery", "reason", call.Reason.String(), "call", call.ID,
		"since", call.since, "whole", call.wantsWhole, "wait", call.WaitForChanges, "addr", addr)
}

// failed logs a call that came to nothing: the first one of a kind at once, and then one a second with
// the number since.
func (g *callLog) callFailed(call *listCall, err error, version int64) {
	now := time.Now()
	took := now.Sub(call.startedAt)
	g.logger.Debug("call to discovery failed", "call", call.ID, "took", took, "err", err)
	var unusable *unusableError
	g.unloggedFailures++
	switch isUnusable := errors.As(err, &unusable); {
	case !g.failing, isUnusable && !g.unusableSeen:
		g.failing, g.unusableSeen = true, g.unusableSeen || isUnusable
		g.logger.Warn("no word from discovery, keeping the list", "rev", version, "took", took, "err", err)
	case now.Sub(g.failureLoggedAt) >= failureLogInterval:
		g.logger.Info("calls to discovery fail", "failures", g.unloggedFailures, "took", took, "err", err)
	default:
		return
	}
	g.unloggedFailures, g.failureLoggedAt = 0, now
}

// answered logs that discovery is there again and makes sense.
func (g *callLog) callAnswered(version int64) {
	if g.failing || g.lateSeen {
		g.logger.Info("discovery is back", "rev", version)
	}
	g.failing, g.unusableSeen, g.lateSeen, g.unloggedFailures = false, false, false, 0
}

// taken logs a list that the node goes by from now on: who said it, what, and how long ago it was read.
func (g *callLog) listAccepted(list serverList, addr string) {
	inService := 0
	for _, entry := range list.entries {
		if entry.State == policy.StateInService {
			inService++
		}
	}
	g.logger.Debug("list taken", "addr", addr, "rev", list.version, "whole", list.isWhole, "servers", len(list.entries), "in_service", inService,
		"read_ago", time.Since(list.readAt))
}

// leaving logs lines that count though their answer is not whole, or can't be taken otherwise.
func (g *callLog) outOfServiceAccepted(list serverList, call *listCall, version int64) {
	g.partialListLines.Add(int64(len(list.entries)))
	g.logger.Debug("servers taken out of service by an answer that is not taken whole", "call", call.ID, "rev", version,
		"lines", len(list.entries), "read_ago", time.Since(list.readAt))
}
