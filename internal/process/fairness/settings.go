package fairness

import (
	"fmt"
	"time"
)

// Policy selects the order of work.
type Policy string

const (
	// PolicyFair shares between accounts and runs feedback levels within one.
	PolicyFair Policy = "fair"
	// PolicyFIFO starts jobs in order of arrival. It is the baseline of the
	// measurements and honours neither weights nor quotas.
	PolicyFIFO Policy = "fifo"
)

// Settings are the tunable parameters of a Queue.
type Settings struct {
	Policy Policy `json:"policy"`
	// Memory bounds how much past under-use or over-use counts: an account is
	// never ahead of or behind its due by more than Memory of its due rate.
	Memory time.Duration `json:"memory"`
	// OccupancyWeight is how long each slot in use counts in advance. A larger
	// value gives a lent share back faster; a smaller one follows past service
	// more closely.
	OccupancyWeight time.Duration `json:"occupancyWeight"`
	// Quanta are the attained service, in slot-time, at which a job sinks from
	// the short levels to the next one, and so on.
	Quanta [quantumCount]time.Duration `json:"quanta"`
	// AgeingShare is the part of an account's service that its deepest waiting
	// level is given for certain, from 0 up to 1.
	AgeingShare float64 `json:"ageingShare"`
	// TailTasks is the count of unfinished tasks at which a job counts as nearly
	// finished and is preferred over longer ones.
	TailTasks int `json:"tailTasks"`
	// MaxBatch bounds the tasks of one pick.
	MaxBatch int `json:"maxBatch"`
	// ParkPatience is how long a job may be parked before others are held back
	// for it, and ParkHold how long they are held at most.
	ParkPatience time.Duration `json:"parkPatience"`
	ParkHold     time.Duration `json:"parkHold"`
}

// Defaults returns the settings measured in docs/measurements/order.md.
func Defaults() Settings {
	return Settings{
		Policy:          PolicyFair,
		Memory:          time.Second,
		OccupancyWeight: 250 * time.Millisecond,
		Quanta:          [quantumCount]time.Duration{200 * time.Millisecond, 2 * time.Second, 20 * time.Second},
		AgeingShare:     0.2,
		TailTasks:       4,
		MaxBatch:        64,
		ParkPatience:    2 * time.Second,
		ParkHold:        500 * time.Millisecond,
	}
}

// quantumCount is one less than the number of levels by size; the urgent level
// is for the same sizes as the short one.
const quantumCount = levelCount - 2

// quantum is the service in slot-seconds at which a job leaves a level.
func (s *Settings) quantum(level int) float64 {
	return s.Quanta[max(0, level-shortLevel)].Seconds()
}

// SettingError names the setting that cannot be used and why.
type SettingError struct {
	Setting string
	Problem string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("fairness: setting %s %s", e.Setting, e.Problem)
}

// Validate reports the first setting that cannot be used, as a *SettingError.
func (s Settings) Validate() error {
	positive := []struct {
		name  string
		value time.Duration
	}{
		{"memory", s.Memory},
		{"occupancyWeight", s.OccupancyWeight},
		{"parkPatience", s.ParkPatience},
		{"parkHold", s.ParkHold},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return &SettingError{p.name, "must be a positive duration"}
		}
	}
	if s.Policy != PolicyFair && s.Policy != PolicyFIFO {
		return &SettingError{"policy", "must be fair or fifo"}
	}
	last := time.Duration(0)
	for _, quantum := range s.Quanta {
		if quantum <= last {
			return &SettingError{"quanta", "must be positive and growing"}
		}
		last = quantum
	}
	if s.AgeingShare < 0 || s.AgeingShare >= 1 {
		return &SettingError{"ageingShare", "must be at least 0 and below 1"}
	}
	if s.TailTasks < 0 {
		return &SettingError{"tailTasks", "must not be negative"}
	}
	if s.MaxBatch < 1 {
		return &SettingError{"maxBatch", "must be at least 1"}
	}
	return nil
}
