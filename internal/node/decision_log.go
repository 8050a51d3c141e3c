package node

import (
	"log/slog"
	"time"

	"otterstep/policy"
)

// decisionLog logs the decisions of the Balancer that no action shows, and counts some of them. It implements
// policy.Observer.
type decisionLog struct {
	log  *slog.Logger
	loop *loop
}

// CallPlanned implements policy.Observer. A list that is overdue is logged with a negative time left.
func (g decisionLog) CallPlanned(at, due time.Duration) {
	now := g.loop.now
	listDueIn := slog.String("list_due_in", "no answer yet")
	if due > 0 {
		listDueIn = slog.Duration("list_due_in", due-now)
	}
	g.log.Debug("next call to discovery", "in", at-now, listDueIn)
}

// ListOverdue implements policy.Observer.
func (g decisionLog) ListOverdue(since time.Duration) {
	g.loop.metrics.listsOverdue.Add(1)
	g.log.Warn("the list is overdue and goes on serving", "by", g.loop.now-since)
}

// BreakerChanged implements policy.Observer.
func (g decisionLog) BreakerChanged(server policy.ServerID, state policy.BreakerState) {
	g.log.Debug("circuit breaker", "endpoint", g.loop.servers[server].addr, "state", state.String())
}

// ServerHeld implements policy.Observer.
func (g decisionLog) ServerHeld(server policy.ServerID, out, listed policy.Origin) {
	g.loop.metrics.serversHeld.Add(1)
	g.log.Debug("server gets no work, as the source that lists it in service again may lag",
		"endpoint", g.loop.servers[server].addr, "out_at_rev", out.Version, "listed_at_rev", listed.Version,
		"same_source", out.Source == listed.Source)
}
