package fairness

import (
	"fmt"
	"time"
)

// Policy selects how the queue orders work.
type Policy string

const (
	// PolicyFair shares by weight between accounts and uses feedback levels within
	// an account.
	PolicyFair Policy = "fair"
	// PolicyFIFO starts jobs in order of arrival. It is a baseline for comparison
	// and ignores weights and quotas.
	PolicyFIFO Policy = "fifo"
)

// Settings are the tunable parameters of a Queue.
type Settings struct {
	Policy Policy `json:"policy"`
	// Memory limits how long past under-use or over-use counts: an account is
	// never ahead of or behind its share by more than it is due in this time.
	Memory time.Duration `json:"memory"`
	// OccupancyWeight is the time of service charged in advance for each slot in
	// use. A larger value returns a lent share faster; a smaller one follows past
	// service more closely.
	OccupancyWeight time.Duration `json:"occupancyWeight"`
	// Quanta are the amounts of attained service, in slot-time, at which a job
	// drops to the next lower level, beginning with the short levels.
	Quanta [quantumCount]time.Duration `json:"quanta"`
	// AgeingShare is the guaranteed part of an account's service, from 0 up to 1,
	// for its lowest level with waiting work.
	AgeingShare float64 `json:"ageingShare"`
	// TailTasks is the count of unfinished tasks at which a job counts as nearly
	// finished and is preferred over longer ones.
	TailTasks int `json:"tailTasks"`
	// MaxBatch bounds the tasks of one pick.
	MaxBatch int `json:"maxBatch"`
	// ParkPatience is how long a job may be parked before other work is held back
	// for it. ParkHold is the maximum time of holding it back.
	ParkPatience time.Duration `json:"parkPatience"`
	ParkHold     time.Duration `json:"parkHold"`
}

// Defaults returns the default settings; docs/measurements/order.md describes
// their effect.
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

// quantumCount is one less than the number of size classes; the urgent level
// holds jobs of the same sizes as the short one.
const quantumCount = levelCount - 2

// quantum is the service in slot-seconds at which a job leaves a level.
func (s *Settings) quantum(level int) float64 {
	return s.Quanta[max(0, level-shortLevel)].Seconds()
}

// SettingError reports an invalid setting.
type SettingError struct {
	Setting string
	Problem string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("fairness: setting %s %s", e.Setting, e.Problem)
}

// Validate reports the first invalid setting, as a *SettingError.
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
