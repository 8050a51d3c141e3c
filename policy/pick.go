package policy

import (
	"slices"
	"time"
)

const (
	scoreTieMargin = 0.1  // difference of scores up to which the number of attempts in flight decides
	maxAttemptsCap = 16   // upper bound for Limits.MaxAttempts
	maxTrackedKeys = 4096 // number of keys whose last server is remembered; entries are of use only for a short time
)

// maySend reports whether an attempt may be sent to a server. It is the one check that precedes every attempt, and
// enforces all rules: nothing after the deadline, no more attempts than permitted, nothing to a server that is
// not in service, no repeat that might take effect twice, no overload of a cold server.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	if r.done || r.streaming || now >= r.deadline || len(r.attempts) >= b.settings.Limits.MaxAttempts ||
		s.State != StateInService {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		switch {
		case a.neverRan:
			continue
		case a.inFlight && !b.settings.Limits.AllowHedging, r.class.Idempotency == NonIdempotent:
			return false
		case r.class.Idempotency == IdempotentByKey &&
			(now-a.sentAt >= r.class.DedupWindow || !r.class.sameDedupScope(a, s)):
			return false
		}
	}
	return b.coldBudgetCovers(s, now, b.unloadedLatencySeconds(r))
}

// pickServer returns the server for the next attempt. That is a half-open server that waits for its trial,
// otherwise the better of two random servers with closed breakers for a first attempt, and the best of those
// not tried yet for a further one. It returns nil if no server qualifies, or if this node has as many attempts in
// flight as the concurrency limit allows, which does not apply where nodes outnumber servers.
//
// Where nodes outnumber servers it draws the two by weight, as a node has too few attempts in flight to notice
// the congestion of small servers, and it draws them for further attempts too: among servers with similar
// scores all nodes would take the same best one. With Settings.KeyAffinity the server that last served the
// request's key is one of the two.
func (b *Balancer) pickServer(now time.Duration, r *request) *server {
	b.updateScores(now)
	b.candidates = b.candidates[:0]
	inFlightCount, closedCount := 0, 0
	for _, s := range b.subset {
		if s.breaker == closed {
			inFlightCount += len(s.inFlight)
			closedCount++
		}
		if s.breaker == open || r.hasTried(s) || !b.maySend(now, r, s) {
			continue
		}
		if s.breaker == closed && b.isBelowLimit(s, now) {
			b.candidates = append(b.candidates, s)
		} else if s.breaker == halfOpen && s.trial == nil &&
			(r.class.Idempotency != NonIdempotent || b.allNonIdempotent) {
			return s
		}
	}
	n := len(b.candidates)
	if n == 0 || !b.nodesOutnumberServers() &&
		inFlightCount >= max(1, int(b.perSubsetServer(b.concurrencyLimit)*float64(closedCount))) {
		return nil
	}
	if (len(r.attempts) == 0 || b.nodesOutnumberServers()) && n > 2 {
		i := b.rng.IntN(n)
		j := (i + 1 + b.rng.IntN(n-1)) % n
		if b.nodesOutnumberServers() {
			i = b.drawByWeight(-1)
			j = b.drawByWeight(i)
		}
		if lastServer := slices.Index(b.candidates, b.lastServerByKey[r.Key]); b.settings.KeyAffinity &&
			r.Key != 0 && lastServer >= 0 {
			i, j = lastServer, i // betterServer returns the first one if both are equal
		}
		return betterServer(b.candidates[i], b.candidates[j])
	}
	best := b.candidates[0]
	for _, s := range b.candidates[1:] {
		best = betterServer(best, s)
	}
	return best
}

// betterServer returns the server with the higher score. If the scores are close it returns the one with fewer
// attempts of this node in flight, and if these are equal too the one in the node's zone.
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

// drawByWeight returns the index of a random candidate other than excluded, with a probability in proportion
// to the server's weight and the share of its capacity that it has while cold.
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

// sameDedupScope reports whether a server drops repeats of an attempt.
func (c *class) sameDedupScope(a *attempt, s *server) bool {
	switch c.DedupScope {
	case DedupZone:
		return a.zone == s.Zone
	case DedupCell:
		return a.cell == s.Cell
	}
	return true
}

// hasTried reports whether an attempt of the request was sent to a server.
func (r *request) hasTried(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return true
		}
	}
	return false
}
