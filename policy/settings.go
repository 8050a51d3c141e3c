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

// Defaults gives the settings that hold where a site says nothing: no repeats
// beyond the first attempt, no copies, no cancels, and the strictest known
// figures for drains and cold servers.
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

// New makes a Balancer. An impossible setting gives an error that names it.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: settings, host: host, rng: rand.New(rand.NewPCG(seed, 0)),
		serverList: serverList{Table: table.New(func(line listedServer) ServerID { return line.Server })}, targetSubsetSize: minSubsetSize, baseNodesPerServer: settings.NodeCount, nodesPerServer: settings.NodeCount,
		servers: map[ServerID]*server{}, lastServerByKey: map[uint64]*server{}, requests: map[RequestID]*request{}, tombstones: newTombstones(),
		meanSuccessRate: 1, meanLatencyRatio: 1, scoresUpdatedAt: -1,
		admittedShare: 1, concurrencyLimit: min(1, 3/float64(settings.NodeCount)),
	}
	if settings.NodeIndex < 0 {
		b.settings.NodeIndex = rand.New(rand.NewPCG(seed, 1)).IntN(settings.NodeCount) // and the draws below stay as they are
	}
	b.settings.Limits.MaxAttempts = min(settings.Limits.MaxAttempts, maxAttemptsCap)
	for _, c := range settings.Classes {
		if c.LatencyTarget == 0 {
			c.LatencyTarget = c.Deadline
		}
		b.classes = append(b.classes, class{
			Class: c, meanUnloadedLatencySeconds: stats.Mean{Value: c.LatencyTarget.Seconds() / 4, Count: 1}, meanWork: stats.Mean{Value: c.LatencyTarget.Seconds() / 4, Count: 1},
		})
	}
	b.allNonIdempotent = !slices.ContainsFunc(settings.Classes, func(c Class) bool { return c.Idempotency != NonIdempotent })
	for i := range b.classes {
		c := &b.classes[i]
		b.hasZoneDedup = b.hasZoneDedup || c.Idempotency == IdempotentByKey && c.DedupScope == DedupZone
		b.hasCellDedup = b.hasCellDedup || c.Idempotency == IdempotentByKey && c.DedupScope == DedupCell
		c.fullLoadLatencySeconds = c.LatencyTarget.Seconds() * (1 + max(0, c.LateValueShare-settings.Penalties.WastedWork-settings.Penalties.LateFailure))
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

// Check returns an error that names the first impossible field.
func (s *Settings) Validate() error {
	invalid := func(field string, value any) error {
		return fmt.Errorf("policy: setting %s is impossible: %v", field, value)
	}
	isFiniteFrom := func(value, minimum float64) bool { return value >= minimum && !math.IsInf(value, 1) } // NaN fails too
	switch {
	case s.NodeCount < 1:
		return invalid("Nodes", s.NodeCount)
	case s.Zone < 0:
		return invalid("Zone", s.Zone)
	case len(s.Classes) == 0:
		return invalid("Classes", "none given")
	case !isFiniteFrom(s.OverQuotaValueShare, 0):
		return invalid("OverShareWorth", s.OverQuotaValueShare)
	case !isFiniteFrom(s.Penalties.WastedWork, 0):
		return invalid("Prices.Waste", s.Penalties.WastedWork)
	case !isFiniteFrom(s.Penalties.LateFailure, 0):
		return invalid("Prices.LateFail", s.Penalties.LateFailure)
	case s.Limits.MaxAttempts < 1:
		return invalid("Limits.MaxAttempts", s.Limits.MaxAttempts)
	case s.Limits.MaxRetryAfter < 0:
		return invalid("Limits.MaxRetryAfter", s.Limits.MaxRetryAfter)
	case !isFiniteFrom(s.Rules.ColdCapacityShare, 0) || s.Rules.ColdCapacityShare > 1:
		return invalid("Rules.ColdFrom", s.Rules.ColdCapacityShare)
	case s.Rules.ColdDuration < 0:
		return invalid("Rules.ColdFor", s.Rules.ColdDuration)
	case !isFiniteFrom(s.Rules.OverloadMultiple, 0):
		return invalid("Rules.FallMultiple", s.Rules.OverloadMultiple)
	case s.Rules.OverloadDuration < 0:
		return invalid("Rules.FallFor", s.Rules.OverloadDuration)
	case s.Rules.MaxCallInterval < 0:
		return invalid("Rules.MustAsk", s.Rules.MaxCallInterval)
	case s.Rules.DrainGrace < 0:
		return invalid("Rules.DrainGrace", s.Rules.DrainGrace)
	}
	for i, c := range s.Classes {
		field := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		switch {
		case c.Deadline <= 0:
			return invalid(field("Deadline"), c.Deadline)
		case c.LatencyTarget < 0:
			return invalid(field("Aim"), c.LatencyTarget)
		case !isFiniteFrom(c.TargetWorkFactor, 0):
			return invalid(field("AimStretch"), c.TargetWorkFactor)
		case !isFiniteFrom(c.LateValueShare, 0) || c.LateValueShare > 1:
			return invalid(field("LateWorth"), c.LateValueShare)
		case !isFiniteFrom(c.Value, 0):
			return invalid(field("Worth"), c.Value)
		case c.Idempotency > NonIdempotent:
			return invalid(field("Effect"), c.Idempotency)
		case c.DedupScope > DedupCell:
			return invalid(field("Scope"), c.DedupScope)
		case c.DedupWindow < 0:
			return invalid(field("Window"), c.DedupWindow)
		}
	}
	for i, t := range s.Tenants {
		if !isFiniteFrom(t.QuotaPerSecond, 0) {
			return invalid(fmt.Sprintf("Tenants[%d].QuotaPerS", i), t.QuotaPerSecond)
		}
	}
	return nil
}
