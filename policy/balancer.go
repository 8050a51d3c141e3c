package policy

import (
	"math/rand/v2"
	"time"

	"otterstep/internal/stats"
)

const sweepInterval = 10 * time.Millisecond

// The tokens of the timers.
const tokenSweep, tokenCall, tokenReady, tokenServeUnconfirmed, tokenListDeadline = 0, 1, 2, 3, 4

// Balancer decides for one node. Create it with New.
type Balancer struct {
	settings     Settings
	host         Host
	observer     Observer // or nil
	rng          *rand.Rand
	classes      []class
	tenantQuotas []stats.TokenBucket

	allNonIdempotent bool // no class may ever be repeated
	hasZoneDedup     bool // there are classes whose repeats are bound to a zone,
	hasCellDedup     bool // or to a cell

	serverList          serverList
	servers             map[ServerID]*server // those that this node has to do with
	subset              []*server            // those that it works with, all of them ready
	baseNodesPerServer  int                  // nodes that work with each server if all are like this one,
	nodesPerServer      int                  // and with those of the subset if it was widened
	targetSubsetSize    float64              // servers that the load wants it to have
	attemptsSinceResize int                  // attempts since countedAt
	resizedAt           time.Duration
	meanWeight          float64 // mean of the subset
	usableServers       int     // closed or awaiting a trial, as of the last refresh
	candidates          []*server
	lastServerByKey     map[uint64]*server // who served a key last

	requests       map[RequestID]*request
	activeRequests []*request // those that are not done
	queue          []*request // those that wait for room, the most worth first

	scoresUpdatedAt       time.Duration
	meanSuccessRate       float64
	meanLatencyRatio      float64     // multiple of a lone request's
	demand                stats.Meter // work asked for
	warmServers           int         // warm servers whose breaker is closed, as of the last refresh
	warmWorkPerSecond     float64     // work a second sent to them
	inFlight              int         // own attempts in flight
	concurrencyLimit      float64     // bound on them for each ready server; may be below one
	unloadedSamples       int
	sawCongestion         bool
	knownGoodLimit        float64 // the highest lately without a crowd
	typicalLatencySeconds float64 // mean latency of late, seconds
	controlUpdatedAt      time.Duration
	meanLogLatencyRatio   float64 // mean latency over a lone request's at the same server, as a logarithm
	loadSignal            float64 // mean latency as a share of the aim
	loadSignalAt          time.Duration
	admittedShare         float64 // share of the requests that go out
	overQuotaShare        float64 // share of the requests that lie beyond their tenant's share
	hedgeTokens           float64
	sweepScheduled        bool
	calls                 callState
	readyReported         bool // the host was told Ready
	serving               bool // requests are served

	listOrigin          Origin        // of the latest whole answer
	changesBase         int64         // its version, for what spans the next changes
	sourceFollowedSince time.Duration // when its source was first heard, or its versions last went back
	tombstones          tombstones
}

// Timer takes a timer set before; one that nobody needs any more does no harm.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	switch token {
	case tokenSweep:
		b.sweepScheduled = false
		b.sweepRequests(now)
	case tokenCall:
		b.callIfDue(now)
	case tokenReady:
		b.reportReady()
	case tokenServeUnconfirmed:
		b.startServing()
	case tokenListDeadline:
		b.checkListDeadline(now)
	}
}

func (b *Balancer) scheduleSweep(now time.Duration) {
	if !b.sweepScheduled && len(b.activeRequests) > 0 {
		b.sweepScheduled = true
		b.host.SetTimer(now+sweepInterval, tokenSweep)
	}
}

// sweep looks at every open request: due retries, those held in vain, attempts out for too long.
func (b *Balancer) sweepRequests(now time.Duration) {
	b.updateScores(now)
	b.shedLateRequests(now)
	for i := len(b.activeRequests) - 1; i >= 0; i-- { // finish moves the last one here, which was seen
		r := b.activeRequests[i]
		switch {
		case r.streaming:
		case r.inFlight > 0:
			b.checkInFlight(now, r)
		case now >= r.deadline:
			b.refuseOrFail(now, r, TooLate)
		case r.retryAt > 0 && now >= r.retryAt:
			r.retryAt = 0
			b.enqueue(r)
		}
	}
	b.dispatch(now)
	b.scheduleSweep(now)
}

// jitter spreads a delay by a fifth either way, so that doubled delays still grow.
func (b *Balancer) jitter(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (0.8 + 0.4*b.rng.Float64()))
}
