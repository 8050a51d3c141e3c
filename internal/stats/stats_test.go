package stats

import (
	"math"
	"testing"
	"time"
)

func TestWindowKeepsTheLatestHundred(t *testing.T) {
	var w Window
	for i := range 250 {
		w.Add(time.Duration(i), i%2 == 0, float64(i))
	}
	sum := 0.0
	for i := 150; i < 250; i += 2 {
		sum += float64(i)
	}
	if w.Count != 100 || w.Successes != 50 || math.Abs(w.LatencySum-sum) > 1e-6 {
		t.Errorf("%d outcomes, %d successes, latencies %v; want 100, 50, %v", w.Count, w.Successes, w.LatencySum, sum)
	}
}

func TestWindowExpires(t *testing.T) {
	var w Window
	for i := range 10 {
		w.Add(time.Duration(i), true, 1)
	}
	w.Expire(3)
	if w.Count != 6 || w.Successes != 6 || w.LatencySum != 6 {
		t.Errorf("%d outcomes, %d successes, latencies %v after the first four expired", w.Count, w.Successes, w.LatencySum)
	}
	w.Expire(time.Second)
	if w.Count != 0 || w.Successes != 0 {
		t.Errorf("%d outcomes left after all expired", w.Count)
	}
}

func TestMeterFollowsARate(t *testing.T) {
	var m Meter
	now := time.Duration(0)
	for range 2000 {
		now += 10 * time.Millisecond
		m.Add(now, 0.5)
	}
	if rate := m.PerSecond(now); rate < 45 || rate > 55 {
		t.Errorf("rate %v after 20 s of 50 a second", rate)
	}
	if rate := m.PerSecond(now + 20*time.Second); rate > 2 {
		t.Errorf("rate %v after 20 s without amounts", rate)
	}
}

func TestMeanForgetsBeyondItsLimit(t *testing.T) {
	var m Mean
	for range 100 {
		m.Add(1, 10)
	}
	m.Add(2, 10)
	if m.Count != 10 || math.Abs(m.Value-1.1) > 1e-9 {
		t.Errorf("mean %v of %v values, want 1.1 of 10", m.Value, m.Count)
	}
}

func TestBucketHoldsOneSecond(t *testing.T) {
	bucket := TokenBucket{TokensPerSecond: 5}
	countTaken := func(now time.Duration) (n int) {
		for range 100 {
			if bucket.Take(now) {
				n++
			}
		}
		return n
	}
	if n := countTaken(time.Hour); n != 5 {
		t.Errorf("%d tokens after a long pause, want 5", n)
	}
	if n := countTaken(time.Hour + 400*time.Millisecond); n != 2 {
		t.Errorf("%d tokens 0.4 s later, want 2", n)
	}
	if unlimited := (TokenBucket{}); !unlimited.Take(0) || !unlimited.Take(0) {
		t.Error("a bucket without a rate ran out")
	}
}
