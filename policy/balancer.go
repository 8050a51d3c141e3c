package policy

import (
	"math/rand/v2"
	"time"

	"otterstep/internal/stats"
)

// sweepInterval is the time between two sweeps over the active requests.
const sweepInterval = 10 * time.Millisecond

// The tokens of Host.SetTimer, one for each kind of timer.
const tokenSweep, tokenCall, tokenReady, tokenServeUnconfirmed, tokenListDeadline = 0, 1, 2, 3, 4

// Balancer makes the decisions of one node. Create it with New.
type Balancer struct {
	settings     Settings
	host         Host
	observer     Observer // nil: none
	rng          *rand.Rand
	classes      []class
	tenantQuotas []stats.TokenBucket

	allNonIdempotent bool // all classes are NonIdempotent
	hasZoneDedup     bool // repeats of some class are dropped only within a zone
	hasCellDedup     bool // repeats of some class are dropped only within a cell

	serverList             serverList
	servers                map[ServerID]*server // subset, and other servers that are cold or have attempts in flight
	subset                 []*server            // servers that this node sends requests to, all in service
	baseNodesPerServer     int                  // nodes per server, before the subset is widened
	nodesPerServer         int                  // nodes per server with the widened subset
	targetSubsetSize       float64              // number of servers in the subset that suits the load
	attemptsSinceSizeCheck int                  // attempts sent since subsetSizeCheckedAt
	subsetSizeCheckedAt    time.Duration        // time of the latest check whether the subset suits the load
	meanWeight             float64              // mean weight of the servers in the subset
	usableServerCount      int                  // servers with a closed breaker, and half-open ones without a trial
	candidates             []*server            // servers that pickServer chooses from
	lastServerByKey        map[uint64]*server   // server that last served each key

	requests       map[RequestID]*request // active requests, and answered ones with attempts in flight
	activeRequests []*request             // requests without a final answer
	queue          []*request             // requests that wait for a server, in the order of request.precedes

	scoresUpdatedAt       time.Duration // time of the latest updateScores; -1: an update is due
	meanSuccessRate       float64       // share of successful attempts in the subset
	meanLatencyRatio      float64       // mean latency in the subset as a multiple of the unloaded latency
	demand                stats.Meter   // work requested by clients, in seconds per second
	warmServerCount       int           // warm servers of the subset with a closed breaker, as of scoresUpdatedAt
	warmWorkPerSecond     float64       // work sent to the warm servers, in seconds per second
	attemptsInFlight      int           // attempts of this node in flight
	concurrencyLimit      float64       // limit on attemptsInFlight per server in service; may be below one
	unloadedSamples       int           // number of unloaded latencies recorded
	sawCongestion         bool          // servers have been congested since the start
	knownGoodLimit        float64       // highest recent limit without congestion
	typicalLatencySeconds float64       // recent mean latency in seconds
	controlUpdatedAt      time.Duration // time of the latest update of concurrencyLimit or admittedShare
	meanLogLatencyRatio   float64       // mean natural logarithm of latency over the server's unloaded latency
	loadSignal            float64       // mean latency as a share of class.fullLoadLatencySeconds
	loadSignalAt          time.Duration // time of the latest outcome in loadSignal
	admittedShare         float64       // share of the requests that are admitted
	overQuotaShare        float64       // recent share of the requests beyond their tenant's quota
	hedgeTokens           float64       // tokens for hedged attempts; for retries too where nodes outnumber servers
	sweepScheduled        bool          // the timer of the next sweep is set
	calls                 callState
	readyReported         bool // Host.MarkReady was called
	serving               bool // requests are served, no longer refused as NotReady

	listOrigin          Origin        // origin of the latest whole answer
	appliedVersion      int64         // version of the latest list or changes applied; the next changes start there
	sourceFollowedSince time.Duration // time since which listOrigin.Source is followed, see followSource
	tombstones          tombstones
}

// TimerFired reacts to a timer that was set with Host.SetTimer. A timer that is no longer needed has no effect.
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

// scheduleSweep sets the timer of the next sweep unless it is set or no request is active.
func (b *Balancer) scheduleSweep(now time.Duration) {
	if !b.sweepScheduled && len(b.activeRequests) > 0 {
		b.sweepScheduled = true
		b.host.SetTimer(now+sweepInterval, tokenSweep)
	}
}

// sweepRequests checks every active request: it enqueues those whose retry is due, answers those past their
// deadline, and checks for attempts that have been in flight for too long.
func (b *Balancer) sweepRequests(now time.Duration) {
	b.updateScores(now)
	b.shedLateRequests(now)
	for i := len(b.activeRequests) - 1; i >= 0; i-- { // finishing a request moves the last one, already checked, to i
		r := b.activeRequests[i]
		switch {
		case r.streaming:
		case r.attemptsInFlight > 0:
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

// jitter varies a delay by up to a fifth in both directions, so that doubled delays still grow.
func (b *Balancer) jitter(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (0.8 + 0.4*b.rng.Float64()))
}
