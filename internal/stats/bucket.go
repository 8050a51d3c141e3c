package stats

import "time"

// Bucket is a token bucket that holds the tokens of one second, but at least one. Without a rate it
// never runs out.
type TokenBucket struct {
	TokensPerSecond, Tokens float64

	refilledAt time.Duration
}

// Take takes one token at a time no earlier than those before; false where none is left.
func (b *TokenBucket) Take(now time.Duration) bool {
	b.Tokens = min(max(b.TokensPerSecond, 1), b.Tokens+b.TokensPerSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.TokensPerSecond > 0 && b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
