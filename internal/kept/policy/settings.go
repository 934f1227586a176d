package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Settings are the thresholds of all decisions. Operators can leave them alone; each can be
// set, and each mechanism be switched off, to measure what it is worth on a site. What each was
// measured to be worth is in docs/measurements/policy.md.
type Settings struct {
	// StartHoldMillis is for how long after its start a VM keeps submissions that it can
	// give to no shard yet, in ms; 0: it refuses them. It answers the restart of all VMs
	// at once: shards are recovered some hundred milliseconds after the first start.
	StartHoldMillis int `json:"start_hold_millis"`
	// ByPriority has a submission wait, in forecasts, only for what comes before it in its
	// shard's order; off: for all that waits there. It answers overload by queues of a
	// lower priority.
	ByPriority bool `json:"by_priority"`
	// Bands has what can still be done in time come before what cannot; off: the order is
	// by priority and deadline only. It answers overload: time spent on what is late
	// already makes the next one late too.
	Bands bool `json:"bands"`
	// KeepBegun has a submission of which a task was started stay among those that are in
	// time; off: it falls behind them, half done, once it is late. It answers overload: half
	// done submissions waited for their last tasks until their callers went.
	KeepBegun bool `json:"keep_begun"`
	// SmallFirst has what takes less work come before what takes twice as much, within a band
	// and priority. It answers overload: more is done in time of the same room.
	SmallFirst bool `json:"small_first"`
	// WaitShare is the share of its caller's time that a submission may wait untried; the
	// caller can still try elsewhere in what is left. 0: all of it.
	WaitShare float64 `json:"wait_share"`
	// OwnReserve is the share of the room of the own failure domain that is kept free of
	// its neighbours' balance: above it the own domain is taken, as it is nearer and
	// cannot be cut off from this VM.
	OwnReserve float64 `json:"own_reserve"`
	// Spread divides a wide submission that fits into no shard over several.
	Spread bool `json:"spread"`
	// TakeBack has a home take a divided submission back of which no part has begun, when it
	// is not worth waiting for any more. It answers overload: without it such a submission is
	// never refused, and waits to the end of its caller's time.
	TakeBack bool `json:"take_back"`
	// OffloadMillis is for how long a task waits at a shard, in ms, until it is given to another one
	// that has free room; 0: it stays. It answers shards that are fuller than others, or have lost
	// their workers.
	OffloadMillis int `json:"offload_millis"`
	// Eject leaves a worker alone that fails what completes elsewhere.
	Eject bool `json:"eject"`
	// MoveStill starts tasks elsewhere that stand still at their worker, and leaves the worker
	// alone for a while. It answers workers that hang while they answer calls.
	MoveStill bool `json:"move_still"`
	// MoveSlow starts tasks elsewhere that would be done sooner there, by what their siblings
	// take. It answers workers that turn several times slower. Off by default: where the VM's own
	// processor is busy the ages of short runs are off, and runs would be moved off sound workers.
	MoveSlow bool `json:"move_slow"`
	// FastFirst gives tasks to the workers first on which runs take less time.
	FastFirst bool `json:"fast_first"`
	// BestFit takes, of equally fast workers, the one that a task fills best; off: the one
	// with most room.
	BestFit bool `json:"best_fit"`
	// LearnPace corrects estimates by how long runs of the same queue took.
	LearnPace bool `json:"learn_pace"`
	// LossEvidence is the evidence at which a task is given up whose workers are lost: a loss beside
	// other tasks weighs 1, one alone 2; 0: it is started again and again. It answers tasks that crash
	// their workers.
	LossEvidence int `json:"loss_evidence"`
}

// Defaults are the settings to run with.
func Defaults() Settings {
	return Settings{
		StartHoldMillis: 1000,
		ByPriority:      true,
		Bands:           true,
		KeepBegun:       true,
		SmallFirst:      true,
		WaitShare:       0.4,
		OwnReserve:      0.1,
		Spread:          true,
		TakeBack:        true,
		OffloadMillis:   15,
		Eject:           true,
		MoveStill:       true,
		MoveSlow:        false,
		FastFirst:       true,
		BestFit:         true,
		LearnPace:       true,
		LossEvidence:    3,
	}
}

// SettingError says which policy setting cannot be used, and why.
type SettingError struct {
	Name string // "" if the name itself cannot be told
	Why  string
}

func (e *SettingError) Error() string { return fmt.Sprintf("policy setting %q: %s", e.Name, e.Why) }

// Parse changes the defaults by settings given as text, by their names in JSON.
func Parse(text map[string]string) (Settings, error) {
	s := Defaults()
	for _, name := range slices.Sorted(maps.Keys(text)) {
		body, err := json.Marshal(map[string]json.RawMessage{name: json.RawMessage(text[name])})
		if err == nil {
			d := json.NewDecoder(bytes.NewReader(body))
			d.DisallowUnknownFields()
			err = d.Decode(&s)
		}
		if err != nil {
			return Settings{}, &SettingError{Name: name, Why: strings.TrimPrefix(err.Error(), "json: ")}
		}
	}
	return s, s.Validate()
}

// Validate reports the first setting that is out of its range.
func (s *Settings) Validate() error {
	switch {
	case s.StartHoldMillis < 0 || s.StartHoldMillis > 10_000:
		return &SettingError{Name: "start_hold_millis", Why: "is not from 0 to 10000"}
	case s.OffloadMillis < 0 || s.OffloadMillis > 10_000:
		return &SettingError{Name: "offload_millis", Why: "is not from 0 to 10000"}
	case s.LossEvidence < 0 || s.LossEvidence > 10:
		return &SettingError{Name: "loss_evidence", Why: "is not from 0 to 10"}
	case s.WaitShare < 0 || s.WaitShare > 1:
		return &SettingError{Name: "wait_share", Why: "is not from 0 to 1"}
	case s.OwnReserve < 0 || s.OwnReserve > 1:
		return &SettingError{Name: "own_reserve", Why: "is not from 0 to 1"}
	default:
		return nil
	}
}

// StartHold is StartHoldMillis as a time.
func (s *Settings) StartHold() time.Duration {
	return time.Duration(s.StartHoldMillis) * time.Millisecond
}
