package policy

import (
	"slices"
	"time"
)

const (
	scoreTieMargin = 0.1  // scores this close go by own requests in flight
	maxAttemptsCap = 16   // whatever the settings allow
	maxTrackedKeys = 4096 // keys whose last server is known; such notes soon lose their use
)

// maySend is the one gate for every attempt. It keeps the rules: nothing after the end, no attempt
// too many, nothing to a server that drains or is gone, no effect twice, no cold server pushed over.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	if r.done || r.streaming || now >= r.deadline || len(r.attempts) >= b.settings.Limits.MaxAttempts || s.State != StateInService {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		switch {
		case a.neverRan:
			continue
		case a.inFlight && !b.settings.Limits.AllowHedging, r.class.Idempotency == NonIdempotent:
			return false
		case r.class.Idempotency == IdempotentByKey && (now-a.sentAt >= r.class.DedupWindow || !r.class.sameDedupScope(a, s)):
			return false
		}
	}
	return b.coldBudgetCovers(s, now, b.unloadedLatencySeconds(r))
}

// pick chooses a server for the next attempt, or nil: a half-open server that awaits its trial, else the
// better of two random closed servers for a first send and the best other closed server for a further
// one. A thin node draws by weight, as it has too little in flight to see small servers crowd, and draws
// for further sends too: the best of servers that look alike is the same one for all nodes. Where servers
// keep keys warm, the one that served the key last is one of the two.
func (b *Balancer) pickServer(now time.Duration, r *request) *server {
	b.updateScores(now)
	b.candidates = b.candidates[:0]
	inFlight, closedServers := 0, 0
	for _, s := range b.subset {
		if s.breaker == closed {
			inFlight += len(s.inFlight)
			closedServers++
		}
		if s.breaker == open || r.hasTried(s) || !b.maySend(now, r, s) {
			continue
		}
		if s.breaker == closed && b.isBelowLimit(s, now) {
			b.candidates = append(b.candidates, s)
		} else if s.breaker == halfOpen && s.trial == nil && (r.class.Idempotency != NonIdempotent || b.allNonIdempotent) {
			return s
		}
	}
	n := len(b.candidates)
	if n == 0 || !b.nodesOutnumberServers() && inFlight >= max(1, int(b.perSubsetServer(b.concurrencyLimit)*float64(closedServers))) {
		return nil
	}
	if (len(r.attempts) == 0 || b.nodesOutnumberServers()) && n > 2 {
		i := b.rng.IntN(n)
		j := (i + 1 + b.rng.IntN(n-1)) % n
		if b.nodesOutnumberServers() {
			i = b.drawByWeight(-1)
			j = b.drawByWeight(i)
		}
		if lastServer := slices.Index(b.candidates, b.lastServerByKey[r.Key]); b.settings.KeyAffinity && r.Key != 0 && lastServer >= 0 {
			i, j = lastServer, i // and wins where all is equal
		}
		return betterServer(b.candidates[i], b.candidates[j])
	}
	best := b.candidates[0]
	for _, s := range b.candidates[1:] {
		best = betterServer(best, s)
	}
	return best
}

// better compares by score; near-ties go to fewer own requests in flight, equal ones to the own zone.
func betterServer(first, second *server) *server {
	switch {
	case first.score > second.score+scoreTieMargin:
		return first
	case second.score > first.score+scoreTieMargin || len(second.inFlight) < len(first.inFlight):
		return second
	case len(second.inFlight) == len(first.inFlight) && second.inOwnZone && !first.inOwnZone:
		return second
	}
	return first
}

// draw gives one of the choices but one, at random in proportion to their weights
// and what they can do while cold.
func (b *Balancer) drawByWeight(excluded int) (drawn int) {
	total := 0.0
	for i, s := range b.candidates {
		if i == excluded {
			continue
		}
		weight := s.Weight
		if weight <= 0 {
			weight = max(b.meanWeight, 1)
		}
		weight *= b.capacityShare(s.processStart, b.scoresUpdatedAt)
		if total += weight; b.rng.Float64()*total <= weight {
			drawn = i
		}
	}
	return drawn
}

func (c *class) sameDedupScope(a *attempt, s *server) bool {
	switch c.DedupScope {
	case DedupZone:
		return a.zone == s.Zone
	case DedupCell:
		return a.cell == s.Cell
	}
	return true
}

func (r *request) hasTried(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return true
		}
	}
	return false
}
