package stats

import "time"

// TokenBucket is a token bucket with room for the tokens of one second, and for at least one. Without a
// rate it never runs out.
type TokenBucket struct {
	TokensPerSecond, Tokens float64

	refilledAt time.Duration
}

// Take takes one token and reports whether there was one. The time must not be earlier than that of the
// call before.
func (b *TokenBucket) Take(now time.Duration) bool {
	b.Tokens = min(max(b.TokensPerSecond, 1), b.Tokens+b.TokensPerSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.TokensPerSecond > 0 && b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
