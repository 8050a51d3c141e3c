package node

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"otterstep/policy"
)

// failureLogInterval is the shortest time between two lines about consecutive failed calls at the info level.
const failureLogInterval = time.Second

// callLog logs what happens to calls to discovery.
type callLog struct {
	logger             *slog.Logger
	partialListEntries *atomic.Int64 // counts entries that took effect although their answer was not accepted as a whole

	failing          bool // the latest call failed
	unusableSeen     bool // an answer was unusable since the last good one
	lateSeen         bool // a call was made because another one was late, since the last good answer
	unloggedFailures int  // failed calls since the last line about them
	failureLoggedAt  time.Time
}

// callStarted logs the start of a call. The first call of the node, the first call to another address and the first
// call that is made because another one is late are logged at the info level. Calls that continue a watch or repeat a
// failed call are logged at the debug level.
func (g *callLog) callStarted(call *listCall, addr string) {
	level := slog.LevelDebug
	switch {
	case call.Reason == policy.CallReasonStart, call.Reason == policy.CallReasonAddressChanged,
		call.Reason == policy.CallReasonLate && !g.lateSeen:
		level = slog.LevelInfo
	}
	g.lateSeen = g.lateSeen || call.Reason == policy.CallReasonLate
	g.logger.Log(context.Background(), level, "calling discovery", "reason", call.Reason.String(), "call", call.ID,
		"since", call.since, "whole", call.wantsWhole, "wait", call.WaitForChanges, "addr", addr)
}

// callFailed logs a failed call: the first one of a kind at once, and then at most one line a second with the
// number of failures since the last line.
func (g *callLog) callFailed(call *listCall, err error, version int64) {
	now := time.Now()
	took := now.Sub(call.startedAt)
	g.logger.Debug("call to discovery failed", "call", call.ID, "took", took, "err", err)
	var unusable *unusableError
	g.unloggedFailures++
	switch isUnusable := errors.As(err, &unusable); {
	case !g.failing, isUnusable && !g.unusableSeen:
		g.failing, g.unusableSeen = true, g.unusableSeen || isUnusable
		g.logger.Warn("no usable answer from discovery, keeping the list", "rev", version, "took", took, "err", err)
	case now.Sub(g.failureLoggedAt) >= failureLogInterval:
		g.logger.Info("calls to discovery keep failing", "failures", g.unloggedFailures, "took", took, "err", err)
	default:
		return
	}
	g.unloggedFailures, g.failureLoggedAt = 0, now
}

// callAnswered logs that discovery answers again after failed, unusable or late calls.
func (g *callLog) callAnswered(version int64) {
	if g.failing || g.lateSeen {
		g.logger.Info("discovery answers again", "rev", version)
	}
	g.failing, g.unusableSeen, g.lateSeen, g.unloggedFailures = false, false, false, 0
}

// listAccepted logs a list that the node follows from now on, with its source, its version and the time since it
// was read.
func (g *callLog) listAccepted(list serverList, addr string) {
	inService := 0
	for _, entry := range list.entries {
		if entry.State == policy.StateInService {
			inService++
		}
	}
	g.logger.Debug("list taken", "addr", addr, "rev", list.version, "whole", list.isWhole, "servers", len(list.entries),
		"in_service", inService, "read_ago", time.Since(list.readAt))
}

// outOfServiceAccepted logs entries that take effect although their answer is incomplete or cannot be accepted
// otherwise.
func (g *callLog) outOfServiceAccepted(list serverList, call *listCall, version int64) {
	g.partialListEntries.Add(int64(len(list.entries)))
	g.logger.Debug("servers taken out of service by an answer that is not accepted as a whole", "call", call.ID, "rev", version,
		"lines", len(list.entries), "read_ago", time.Since(list.readAt))
}
