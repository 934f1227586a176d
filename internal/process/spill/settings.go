package spill

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/setting"
)

// Settings of Plan.
type Settings struct {
	// MaxAge is the age beyond which an advert is ignored, in nanoseconds.
	MaxAge time.Duration `json:"max_age"`
	// Share is the part of a peer's advertised room that one home uses at once,
	// above 0 and up to 1.
	Share float64 `json:"share"`
	// Batch is the most tasks that one plan sends to one peer.
	Batch int `json:"batch"`
	// Peers is the most peers that one plan sends to.
	Peers int `json:"peers"`
	// QueuePerWorker is how many tasks may wait for each worker held by an
	// entry VM of the own domain, on top of its free slots.
	QueuePerWorker int `json:"queue_per_worker"`
	// StartAway is how many free slots a peer in another domain must offer
	// before tasks begin to go there.
	StartAway int `json:"start_away"`
	// StopAway is the same while tasks already go to other domains. It lies
	// below StartAway, so that small changes do not switch the way.
	StopAway int `json:"stop_away"`
}

const (
	defaultMaxAge         = 2 * time.Second
	defaultShare          = 0.9
	defaultBatch          = 64
	defaultPeers          = 8
	defaultQueuePerWorker = 4
	defaultStartAway      = 4
	defaultStopAway       = 1
)

// Defaults returns the settings in use when none are given.
func Defaults() Settings {
	return Settings{
		MaxAge:         defaultMaxAge,
		Share:          defaultShare,
		Batch:          defaultBatch,
		Peers:          defaultPeers,
		QueuePerWorker: defaultQueuePerWorker,
		StartAway:      defaultStartAway,
		StopAway:       defaultStopAway,
	}
}

// Validate reports the first setting that cannot be used.
func (s Settings) Validate() error {
	checks := []struct {
		ok             bool
		field, problem string
	}{
		{s.MaxAge > 0, "max_age", "must be above 0"},
		{s.Share > 0 && s.Share <= 1, "share", "must be above 0 and at most 1"},
		{s.Batch > 0, "batch", "must be at least 1"},
		{s.Peers > 0, "peers", "must be at least 1"},
		{s.QueuePerWorker >= 0, "queue_per_worker", "must not be negative"},
		{s.StopAway > 0, "stop_away", "must be at least 1"},
		{s.StartAway >= s.StopAway, "start_away", "must not be below stop_away"},
	}
	for _, c := range checks {
		if !c.ok {
			return &setting.Error{Field: "spill." + c.field, Problem: c.problem}
		}
	}
	return nil
}
