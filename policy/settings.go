package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"otterstep/internal/stats"
	"otterstep/internal/table"
)

// Defaults returns the settings of a deployment that sets nothing: no retries, no
// hedging, no cancelling, and the strictest known limits for drains and cold
// servers.
func Defaults() Settings {
	return Settings{
		NodeCount:           1,
		NodeIndex:           -1,
		OverQuotaValueShare: 1,
		Limits:              Limits{MaxAttempts: 1},
		Rules: Rules{
			ColdCapacityShare: 0.1, ColdDuration: 30 * time.Second,
			OverloadMultiple: 2, OverloadDuration: time.Second,
			MaxCallInterval: 10 * time.Second, DrainGrace: 250 * time.Millisecond,
		},
	}
}

// New returns a Balancer, or an error that names an invalid setting.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: settings, host: host, rng: rand.New(rand.NewPCG(seed, 0)),
		serverList:       serverList{Table: table.New(func(entry listedServer) ServerID { return entry.Server })},
		targetSubsetSize: minSubsetSize, baseNodesPerServer: settings.NodeCount, nodesPerServer: settings.NodeCount,
		servers: map[ServerID]*server{}, lastServerByKey: map[uint64]*server{}, requests: map[RequestID]*request{},
		tombstones:      newTombstones(),
		meanSuccessRate: 1, meanLatencyRatio: 1, scoresUpdatedAt: -1,
		admittedShare: 1, concurrencyLimit: min(1, 3/float64(settings.NodeCount)),
	}
	if settings.NodeIndex < 0 {
		// A separate random source leaves the sequence of b.rng as it is.
		b.settings.NodeIndex = rand.New(rand.NewPCG(seed, 1)).IntN(settings.NodeCount)
	}
	b.settings.Limits.MaxAttempts = min(settings.Limits.MaxAttempts, maxAttemptsCap)
	for _, c := range settings.Classes {
		if c.LatencyTarget == 0 {
			c.LatencyTarget = c.Deadline
		}
		b.classes = append(b.classes, class{
			Class:                      c,
			meanUnloadedLatencySeconds: stats.Mean{Value: c.LatencyTarget.Seconds() / 4, Count: 1},
			meanWork:                   stats.Mean{Value: c.LatencyTarget.Seconds() / 4, Count: 1},
		})
	}
	b.allNonIdempotent = !slices.ContainsFunc(settings.Classes, func(c Class) bool {
		return c.Idempotency != NonIdempotent
	})
	for i := range b.classes {
		c := &b.classes[i]
		b.hasZoneDedup = b.hasZoneDedup || c.Idempotency == IdempotentByKey && c.DedupScope == DedupZone
		b.hasCellDedup = b.hasCellDedup || c.Idempotency == IdempotentByKey && c.DedupScope == DedupCell
		c.fullLoadLatencySeconds = c.LatencyTarget.Seconds() *
			(1 + max(0, c.LateValueShare-settings.Penalties.WastedWork-settings.Penalties.LateFailure))
		if settings.ValueByWork {
			b.classes[i].meanWork.Value = 1
		}
	}
	b.typicalLatencySeconds = b.classes[0].meanUnloadedLatencySeconds.Value
	for _, t := range settings.Tenants {
		rate := t.QuotaPerSecond / float64(settings.NodeCount)
		b.tenantQuotas = append(b.tenantQuotas, stats.TokenBucket{TokensPerSecond: rate, Tokens: rate})
	}
	return b, nil
}

// Validate returns an error that names the first invalid field, or nil.
func (s *Settings) Validate() error {
	invalid := func(field string, value any) error {
		return fmt.Errorf("policy: setting %s is invalid: %v", field, value)
	}
	// isFiniteFrom reports whether a value is finite and at least the minimum, which NaN is not.
	isFiniteFrom := func(value, minimum float64) bool { return value >= minimum && !math.IsInf(value, 1) }
	switch {
	case s.NodeCount < 1:
		return invalid("NodeCount", s.NodeCount)
	case s.Zone < 0:
		return invalid("Zone", s.Zone)
	case len(s.Classes) == 0:
		return invalid("Classes", "none given")
	case !isFiniteFrom(s.OverQuotaValueShare, 0):
		return invalid("OverQuotaValueShare", s.OverQuotaValueShare)
	case !isFiniteFrom(s.Penalties.WastedWork, 0):
		return invalid("Penalties.WastedWork", s.Penalties.WastedWork)
	case !isFiniteFrom(s.Penalties.LateFailure, 0):
		return invalid("Penalties.LateFailure", s.Penalties.LateFailure)
	case s.Limits.MaxAttempts < 1:
		return invalid("Limits.MaxAttempts", s.Limits.MaxAttempts)
	case s.Limits.MaxRetryAfter < 0:
		return invalid("Limits.MaxRetryAfter", s.Limits.MaxRetryAfter)
	case !isFiniteFrom(s.Rules.ColdCapacityShare, 0) || s.Rules.ColdCapacityShare > 1:
		return invalid("Rules.ColdCapacityShare", s.Rules.ColdCapacityShare)
	case s.Rules.ColdDuration < 0:
		return invalid("Rules.ColdDuration", s.Rules.ColdDuration)
	case !isFiniteFrom(s.Rules.OverloadMultiple, 0):
		return invalid("Rules.OverloadMultiple", s.Rules.OverloadMultiple)
	case s.Rules.OverloadDuration < 0:
		return invalid("Rules.OverloadDuration", s.Rules.OverloadDuration)
	case s.Rules.MaxCallInterval < 0:
		return invalid("Rules.MaxCallInterval", s.Rules.MaxCallInterval)
	case s.Rules.DrainGrace < 0:
		return invalid("Rules.DrainGrace", s.Rules.DrainGrace)
	}
	for i, c := range s.Classes {
		field := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		switch {
		case c.Deadline <= 0:
			return invalid(field("Deadline"), c.Deadline)
		case c.LatencyTarget < 0:
			return invalid(field("LatencyTarget"), c.LatencyTarget)
		case !isFiniteFrom(c.TargetWorkFactor, 0):
			return invalid(field("TargetWorkFactor"), c.TargetWorkFactor)
		case !isFiniteFrom(c.LateValueShare, 0) || c.LateValueShare > 1:
			return invalid(field("LateValueShare"), c.LateValueShare)
		case !isFiniteFrom(c.Value, 0):
			return invalid(field("Value"), c.Value)
		case c.Idempotency > NonIdempotent:
			return invalid(field("Idempotency"), c.Idempotency)
		case c.DedupScope > DedupCell:
			return invalid(field("DedupScope"), c.DedupScope)
		case c.DedupWindow < 0:
			return invalid(field("DedupWindow"), c.DedupWindow)
		}
	}
	for i, t := range s.Tenants {
		if !isFiniteFrom(t.QuotaPerSecond, 0) {
			return invalid(fmt.Sprintf("Tenants[%d].QuotaPerSecond", i), t.QuotaPerSecond)
		}
	}
	return nil
}
