package health

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/setting"
)

// Settings of a Table. Durations are nanoseconds in JSON.
type Settings struct {
	// ProbationSuccesses is how many successes end probation, when no failure
	// makes the worker suspect in between.
	ProbationSuccesses int `json:"probation_successes"`
	// SuspectAt is the score, open charges included, at which a worker is
	// suspect. In failures of a template that otherwise never fails.
	SuspectAt float64 `json:"suspect_at"`
	// EjectAt is the confirmed score at which a worker is ejected.
	EjectAt float64 `json:"eject_at"`
	// HoldFor is how long a worker with an open charge gets no task.
	HoldFor time.Duration `json:"hold_for"`
	// ChargeFor is how long an open charge waits for evidence.
	ChargeFor time.Duration `json:"charge_for"`
	// SuspectFor is how long after its last failure a suspect worker waits for
	// probation.
	SuspectFor time.Duration `json:"suspect_for"`
	// EjectBase is the length of a first ejection; each further one is twice as
	// long, up to EjectMax.
	EjectBase time.Duration `json:"eject_base"`
	EjectMax  time.Duration `json:"eject_max"`
	// EjectJitter spreads the end of ejections, as a part of their length,
	// from 0 to below 1.
	EjectJitter float64 `json:"eject_jitter"`
	// ForgetAfter is how long a worker must stay without an ejection before the
	// next counts as the first.
	ForgetAfter time.Duration `json:"forget_after"`
	// MaxEjectedShare is the part of a failure domain's connected workers that
	// may be ejected or held at once, from 0 to below 1.
	MaxEjectedShare float64 `json:"max_ejected_share"`
	// SlowRatio is how many times as long as on other workers tasks must take
	// on a slow worker; SlowClear is the ratio below which it is slow no more.
	SlowRatio float64 `json:"slow_ratio"`
	SlowClear float64 `json:"slow_clear"`
	// SlowFor is how long a worker stays slow before it is measured anew.
	SlowFor time.Duration `json:"slow_for"`
	// StallFactor is how many times the expected run time may pass without any
	// task ending on a busy worker, and StallMin is the least such time.
	StallFactor float64       `json:"stall_factor"`
	StallMin    time.Duration `json:"stall_min"`
	// MaxTemplates bounds the templates that are remembered.
	MaxTemplates int `json:"max_templates"`
	// Seed of the jitter.
	Seed uint64 `json:"seed"`
}

// Defaults returns the settings in use when none are given.
func Defaults() Settings {
	return Settings{
		ProbationSuccesses: 3,
		SuspectAt:          0.8,
		EjectAt:            2.5,
		HoldFor:            2 * time.Second,
		ChargeFor:          30 * time.Second,
		SuspectFor:         10 * time.Second,
		EjectBase:          5 * time.Second,
		EjectMax:           10 * time.Minute,
		EjectJitter:        0.2,
		ForgetAfter:        10 * time.Minute,
		MaxEjectedShare:    0.25,
		SlowRatio:          1.6,
		SlowClear:          1.25,
		SlowFor:            time.Minute,
		StallFactor:        10,
		StallMin:           5 * time.Second,
		MaxTemplates:       4096,
		Seed:               1,
	}
}

// Validate reports the first setting that cannot be used.
func (s Settings) Validate() error {
	checks := []struct {
		ok             bool
		field, problem string
	}{
		{s.ProbationSuccesses > 0, "probation_successes", "must be at least 1"},
		{s.SuspectAt > 0, "suspect_at", "must be above 0"},
		{s.EjectAt >= s.SuspectAt, "eject_at", "must not be below suspect_at"},
		{s.HoldFor >= 0, "hold_for", "must not be negative"},
		{s.ChargeFor >= s.HoldFor, "charge_for", "must not be below hold_for"},
		{s.SuspectFor > 0, "suspect_for", "must be above 0"},
		{s.EjectBase > 0, "eject_base", "must be above 0"},
		{s.EjectMax >= s.EjectBase, "eject_max", "must not be below eject_base"},
		{s.EjectJitter >= 0 && s.EjectJitter < 1, "eject_jitter", "must be from 0 to below 1"},
		{s.ForgetAfter > 0, "forget_after", "must be above 0"},
		{s.MaxEjectedShare >= 0 && s.MaxEjectedShare < 1, "max_ejected_share", "must be from 0 to below 1"},
		{s.SlowClear >= 1, "slow_clear", "must be at least 1"},
		{s.SlowRatio > s.SlowClear, "slow_ratio", "must be above slow_clear"},
		{s.SlowFor > 0, "slow_for", "must be above 0"},
		{s.StallFactor > 1, "stall_factor", "must be above 1"},
		{s.StallMin > 0, "stall_min", "must be above 0"},
		{s.MaxTemplates > 0, "max_templates", "must be at least 1"},
	}
	for _, c := range checks {
		if !c.ok {
			return &setting.Error{Field: "health." + c.field, Problem: c.problem}
		}
	}
	return nil
}
