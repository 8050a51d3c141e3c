package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"otterstep/policy"
)

// ms reads a time in milliseconds; it stays at its default where a key is absent.
type optionalMs struct {
	duration time.Duration
	isGiven  bool
}

func (m *optionalMs) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	var milliseconds float64
	if err := json.Unmarshal(text, &milliseconds); err != nil {
		return err
	}
	d, ok := millisecondsToDuration(milliseconds)
	if !ok {
		return fmt.Errorf("time %v is too long", milliseconds)
	}
	m.duration, m.isGiven = d, true
	return nil
}

func (m optionalMs) orDefault(defaultValue time.Duration) time.Duration {
	if m.isGiven {
		return m.duration
	}
	return defaultValue
}

type settingsJSON struct {
	Accounts []struct {
		Name      string
		QuotaPerS float64
	}
	Balancers *int
	Classes   []struct {
		DeadlineMs, PromiseMs, KeyTtlMs optionalMs
		AimStretch, LateWorth           float64
		Importance                      *float64
		Name, Effect, DedupScope        string
		Streaming                       bool
	}
	Contract struct {
		ColdFrom, FallMultiple      *float64
		ColdMs, FallMs, MustAskInMs optionalMs
		DrainGraceMs                optionalMs
	}
	CountedBy  string
	Deductions struct{ Waste, LateFail float64 }
	Extra      struct{ WarmKeys bool }
	Limits     struct {
		Cancel, RetryAfter, SecondCopies bool
		MaxAttempts                      *int
		MaxRetryAfterMs                  optionalMs
		ConnIdleMs, ConnectTimeoutMs     optionalMs
	}
	Locality       int
	Me             *int
	OverShareWorth *float64
	RegistryMode   string
	Zones          []string
}

// Site is what the settings say beyond the decisions: names as they stand on
// sockets, in the order of their indices, and the times of connections.
type NodeSettings struct {
	Policy          policy.Settings
	ClassNames      []string
	TenantNames     []string
	ZoneNames       []string
	ConnIdleTimeout time.Duration // a server closes a connection that was idle for so long
	ConnectTimeout  time.Duration
}

// set replaces a default by what was given.
func setIfGiven[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

// ParseSettings reads an instance's settings. Unknown keys are skipped and
// absent ones keep policy.Defaults; a class without an effect counts as unsafe.
func ParseSettings(text []byte) (policy.Settings, error) {
	var j settingsJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return policy.Defaults(), fmt.Errorf("settings: %w", err)
	}
	return j.policySettings()
}

// ParseSite reads the same settings with what a node on sockets needs besides.
func ParseNodeSettings(text []byte) (NodeSettings, error) {
	var j settingsJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return NodeSettings{}, fmt.Errorf("settings: %w", err)
	}
	policySettings, err := j.policySettings()
	if err != nil {
		return NodeSettings{}, err
	}
	settings := NodeSettings{
		Policy: policySettings, ZoneNames: j.Zones,
		ConnIdleTimeout: j.Limits.ConnIdleMs.orDefault(15 * time.Second),
		ConnectTimeout:  j.Limits.ConnectTimeoutMs.orDefault(250 * time.Millisecond),
	}
	for i, c := range j.Classes {
		if c.Name == "" {
			return NodeSettings{}, fmt.Errorf("settings: Classes[%d].Name: none given", i)
		}
		settings.ClassNames = append(settings.ClassNames, c.Name)
	}
	for _, account := range j.Accounts {
		settings.TenantNames = append(settings.TenantNames, account.Name)
	}
	return settings, nil
}

func (j *settingsJSON) policySettings() (policy.Settings, error) {
	settings := policy.Defaults()
	setIfGiven(&settings.NodeCount, j.Balancers)
	setIfGiven(&settings.NodeIndex, j.Me)
	setIfGiven(&settings.OverQuotaValueShare, j.OverShareWorth)
	setIfGiven(&settings.Limits.MaxAttempts, j.Limits.MaxAttempts)
	setIfGiven(&settings.Rules.ColdCapacityShare, j.Contract.ColdFrom)
	setIfGiven(&settings.Rules.OverloadMultiple, j.Contract.FallMultiple)
	settings.Penalties = policy.Penalties{WastedWork: j.Deductions.Waste, LateFailure: j.Deductions.LateFail}
	settings.Zone = j.Locality
	settings.KeyAffinity = j.Extra.WarmKeys
	settings.ValueByWork = j.CountedBy == "work"
	settings.Limits.AllowCancel, settings.Limits.AllowHedging = j.Limits.Cancel, j.Limits.SecondCopies
	if j.Limits.RetryAfter {
		settings.Limits.MaxRetryAfter = j.Limits.MaxRetryAfterMs.orDefault(0)
	}
	settings.Rules.ColdDuration = j.Contract.ColdMs.orDefault(settings.Rules.ColdDuration)
	settings.Rules.OverloadDuration = j.Contract.FallMs.orDefault(settings.Rules.OverloadDuration)
	settings.Rules.MaxCallInterval = j.Contract.MustAskInMs.orDefault(settings.Rules.MaxCallInterval)
	settings.Rules.DrainGrace = j.Contract.DrainGraceMs.orDefault(settings.Rules.DrainGrace)
	var ok bool
	if settings.ListOnRequest, ok = lookUp(j.RegistryMode, map[string]bool{"": false, "pushed": false, "on_request": true}); !ok {
		return settings, fmt.Errorf("settings: RegistryMode: unknown word %q", j.RegistryMode)
	}
	for i, classJSON := range j.Classes {
		class := policy.Class{
			Deadline: classJSON.DeadlineMs.orDefault(0), LatencyTarget: classJSON.PromiseMs.orDefault(classJSON.DeadlineMs.orDefault(0)), TargetWorkFactor: classJSON.AimStretch,
			LateValueShare: classJSON.LateWorth, Value: 1, DedupWindow: classJSON.KeyTtlMs.orDefault(0), Streaming: classJSON.Streaming,
		}
		setIfGiven(&class.Value, classJSON.Importance)
		if class.Idempotency, ok = lookUp(classJSON.Effect, idempotencyByName); !ok {
			return settings, fmt.Errorf("settings: Classes[%d].Effect: unknown word %q", i, classJSON.Effect)
		}
		if class.DedupScope, ok = lookUp(classJSON.DedupScope, dedupScopeByName); !ok {
			return settings, fmt.Errorf("settings: Classes[%d].DedupScope: unknown word %q", i, classJSON.DedupScope)
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, account := range j.Accounts {
		settings.Tenants = append(settings.Tenants, policy.Tenant{QuotaPerSecond: account.QuotaPerS})
	}
	if math.IsNaN(settings.OverQuotaValueShare) {
		return settings, fmt.Errorf("settings: OverShareWorth: not a number")
	}
	return settings, nil
}

var idempotencyByName = map[string]policy.Idempotency{
	"pure": policy.Idempotent, "token": policy.IdempotentByKey, "side_effect": policy.NonIdempotent, "": policy.NonIdempotent,
}

// An absent scope is the narrowest.
var dedupScopeByName = map[string]policy.DedupScope{
	"all": policy.DedupAllServers, "zone": policy.DedupZone, "cell": policy.DedupCell, "": policy.DedupCell,
}

func lookUp[T any](name string, values map[string]T) (T, bool) {
	value, ok := values[name]
	return value, ok
}
