package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"otterstep/policy"
)

// optionalMs is a time in milliseconds that the settings may leave out.
type optionalMs struct {
	duration time.Duration
	isGiven  bool
}

// UnmarshalJSON implements json.Unmarshaler. It treats null like an absent key.
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
		return fmt.Errorf("time %v ms is out of range", milliseconds)
	}
	m.duration, m.isGiven = d, true
	return nil
}

// orDefault returns the time, or the default where the settings leave it out.
func (m optionalMs) orDefault(defaultValue time.Duration) time.Duration {
	if m.isGiven {
		return m.duration
	}
	return defaultValue
}

// settingsJSON is the JSON form of the settings. The names of its fields are the keys.
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

// NodeSettings holds all settings of a node that serves HTTP: those of its Balancer, the names of
// classes, tenants and zones as they appear in messages, in the order of their indices, and the timeouts of
// connections.
type NodeSettings struct {
	Policy          policy.Settings
	ClassNames      []string
	TenantNames     []string
	ZoneNames       []string
	ConnIdleTimeout time.Duration // time after which a server closes an idle connection
	ConnectTimeout  time.Duration // time limit for opening a connection to a server
}

// setIfGiven replaces a default by a value, unless that is nil.
func setIfGiven[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

// ParseSettings parses the settings of a Balancer. It ignores unknown keys; absent ones keep their value of
// policy.Defaults. A class without an effect counts as non-idempotent.
func ParseSettings(text []byte) (policy.Settings, error) {
	var j settingsJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return policy.Defaults(), fmt.Errorf("settings: %w", err)
	}
	return j.policySettings()
}

// ParseNodeSettings parses the same settings, with the names and timeouts that a node needs to serve HTTP.
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
			return NodeSettings{}, fmt.Errorf("settings: Classes[%d].Name: missing", i)
		}
		settings.ClassNames = append(settings.ClassNames, c.Name)
	}
	for _, account := range j.Accounts {
		settings.TenantNames = append(settings.TenantNames, account.Name)
	}
	return settings, nil
}

// policySettings converts the settings to those of package policy.
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
		return settings, fmt.Errorf("settings: RegistryMode: unknown value %q", j.RegistryMode)
	}
	for i, classJSON := range j.Classes {
		class := policy.Class{
			Deadline:      classJSON.DeadlineMs.orDefault(0),
			LatencyTarget: classJSON.PromiseMs.orDefault(classJSON.DeadlineMs.orDefault(0)), TargetWorkFactor: classJSON.AimStretch,
			LateValueShare: classJSON.LateWorth, Value: 1, DedupWindow: classJSON.KeyTtlMs.orDefault(0), Streaming: classJSON.Streaming,
		}
		setIfGiven(&class.Value, classJSON.Importance)
		if class.Idempotency, ok = lookUp(classJSON.Effect, idempotencyByName); !ok {
			return settings, fmt.Errorf("settings: Classes[%d].Effect: unknown value %q", i, classJSON.Effect)
		}
		if class.DedupScope, ok = lookUp(classJSON.DedupScope, dedupScopeByName); !ok {
			return settings, fmt.Errorf("settings: Classes[%d].DedupScope: unknown value %q", i, classJSON.DedupScope)
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

// idempotencyByName has the values of Effect. An absent one means non-idempotent.
var idempotencyByName = map[string]policy.Idempotency{
	"pure": policy.Idempotent, "token": policy.IdempotentByKey, "side_effect": policy.NonIdempotent, "": policy.NonIdempotent,
}

// dedupScopeByName has the values of DedupScope. An absent one means the narrowest scope.
var dedupScopeByName = map[string]policy.DedupScope{
	"all": policy.DedupAllServers, "zone": policy.DedupZone, "cell": policy.DedupCell, "": policy.DedupCell,
}

// lookUp returns the value of a name, and false if the name is unknown.
func lookUp[T any](name string, values map[string]T) (T, bool) {
	value, ok := values[name]
	return value, ok
}
