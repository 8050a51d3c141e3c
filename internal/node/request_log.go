package node

import (
	"context"
	"log/slog"
	"time"

	"otterstep/policy"
)

// requestLog writes what happens to each request, by the id that its client gave it. It
// writes at the debug level; at any other it costs one comparison.
type requestLog struct {
	log     *slog.Logger
	enabled bool
}

func newRequestLog(log *slog.Logger) *requestLog {
	return &requestLog{log: log, enabled: log.Enabled(context.Background(), slog.LevelDebug)}
}

// requestName is the id that a client gave its request; it is gone once the request is settled.
func requestName(r *request) string {
	if r.message == nil {
		return ""
	}
	return r.message.header.Get("X-Correlation-Id")
}

func (g *requestLog) taken(r *request, q policy.Request) {
	if g.enabled {
		g.log.Debug("request taken", "request", requestName(r), "number", r.id, "class", q.Class, "left", q.TimeLeft)
	}
}

func (g *requestLog) sent(a *attempt, to backend) {
	if g.enabled {
		g.log.Debug("attempt sent", "request", requestName(a.request), "number", a.request.id,
			"attempt", a.index, "endpoint", to.addr)
	}
}

func (g *requestLog) ended(a *attempt, status policy.Status, at time.Duration) {
	if g.enabled {
		g.log.Debug("attempt ended", "request", requestName(a.request), "number", a.request.id,
			"attempt", a.index, "status", status.String(), "latency", at-a.sent)
	}
}

func (g *requestLog) answered(r *request, a answer) {
	if g.enabled {
		g.log.Debug("request answered", "request", requestName(r), "number", r.id,
			"kind", a.kind.String(), "reason", a.reason, "retry_after", a.retryAfter)
	}
}

func (g *requestLog) left(r *request) {
	if g.enabled {
		g.log.Debug("client left", "request", requestName(r), "number", r.id)
	}
}
