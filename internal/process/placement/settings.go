package placement

import "github.com/pumiceyard/pumiceyard/internal/process/setting"

// Policy names a way to choose among workers.
type Policy string

const (
	// Spread chooses by tier, free share and rack.
	Spread Policy = "spread"
	// Random chooses any worker that fits. It is the baseline that Spread is
	// measured against.
	Random Policy = "random"
)

// Settings of a Placer.
type Settings struct {
	Policy Policy `json:"policy"`
	// BatchSize is how many tasks of one request a worker is given before the
	// next worker is looked at, 1 to 64. Larger saves messages, smaller loses
	// less of a job to one bad worker.
	BatchSize uint32 `json:"batch_size"`
	// TrialEvery offers the first task of every so many calls to a worker on
	// probation, so that new workers prove themselves also under light load.
	TrialEvery uint32 `json:"trial_every"`
	// Seed of the random policy.
	Seed uint64 `json:"seed"`
}

const (
	defaultBatchSize  = 4
	defaultTrialEvery = 8
	maxBatchSize      = 64
)

// Defaults returns the settings in use when none are given.
func Defaults() Settings {
	return Settings{
		Policy:     Spread,
		BatchSize:  defaultBatchSize,
		TrialEvery: defaultTrialEvery,
		Seed:       1,
	}
}

// Validate reports the first setting that cannot be used.
func (s Settings) Validate() error {
	if s.Policy != Spread && s.Policy != Random {
		return &setting.Error{Field: "placement.policy", Problem: `must be "spread" or "random"`}
	}
	if s.BatchSize < 1 || s.BatchSize > maxBatchSize {
		return &setting.Error{Field: "placement.batch_size", Problem: "must be from 1 to 64"}
	}
	if s.TrialEvery < 1 {
		return &setting.Error{Field: "placement.trial_every", Problem: "must be at least 1"}
	}
	return nil
}
