package node

import (
	"context"
	"log/slog"
	"time"

	"otterstep/policy"
)

// requestLog logs what happens to each request at the debug level, by the id that its client gave it.
// At other levels each method costs one comparison.
type requestLog struct {
	logger  *slog.Logger
	enabled bool
}

func newRequestLog(logger *slog.Logger) *requestLog {
	return &requestLog{logger: logger, enabled: logger.Enabled(context.Background(), slog.LevelDebug)}
}

// correlationID returns the id that the client gave its request, or an empty string for an answered
// request whose outgoing request has been released.
func correlationID(r *request) string {
	if r.outgoing == nil {
		return ""
	}
	return r.outgoing.header.Get("X-Correlation-Id")
}

func (g *requestLog) requestTaken(r *request, policyRequest policy.Request) {
	if g.enabled {
		g.logger.Debug("request taken", "request", correlationID(r), "number", r.id, "class", policyRequest.Class,
			"left", policyRequest.TimeLeft)
	}
}

func (g *requestLog) attemptSent(a *attempt, incarnation serverIncarnation) {
	if g.enabled {
		g.logger.Debug("attempt sent", "request", correlationID(a.request), "number", a.request.id,
			"attempt", a.index, "endpoint", incarnation.addr)
	}
}

func (g *requestLog) attemptEnded(a *attempt, status policy.Status, endedAt time.Duration) {
	if g.enabled {
		g.logger.Debug("attempt ended", "request", correlationID(a.request), "number", a.request.id,
			"attempt", a.index, "status", status.String(), "latency", endedAt-a.sentAt)
	}
}

func (g *requestLog) requestAnswered(r *request, a finalAnswer) {
	if g.enabled {
		g.logger.Debug("request answered", "request", correlationID(r), "number", r.id,
			"kind", a.kind.String(), "reason", a.reason, "retry_after", a.retryAfter)
	}
}

func (g *requestLog) clientDisconnected(r *request) {
	if g.enabled {
		g.logger.Debug("client left", "request", correlationID(r), "number", r.id)
	}
}
