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

// Settings are the thresholds and switches of all decisions. The defaults are meant for production.
// Each threshold can be set and each mechanism switched off to measure its effect on a site; the
// measured effects are in docs/measurements/policy.md.
type Settings struct {
	// StartHoldMillis is how long after its start, in ms, a VM keeps submissions for which no
	// shard is reachable yet; 0: it refuses them at once. This covers a restart of all VMs at
	// once, after which shards are recovered some hundred milliseconds after the first start.
	StartHoldMillis int `json:"start_hold_millis"`
	// ByPriority makes forecasts of the waiting time count only the work that is served before
	// the submission; off: all work queued at the shard. Without it an overload of
	// lower-priority queues gets higher-priority submissions refused.
	ByPriority bool `json:"by_priority"`
	// ForecastRates makes forecasts at arrival count the work that arrives while a submission waits and
	// is served before it, and the work that is served before it once it is late; off: only the queued work
	// in time. Without it submissions wait under overload until they are refused.
	ForecastRates bool `json:"forecast_rates"`
	// Bands serves submissions that can still be done in time before those that cannot; off: the
	// LatenessBand has no part in the order. Under overload, time spent on a submission that is
	// late already makes the next one late too.
	Bands bool `json:"bands"`
	// KeepBegun keeps a submission of which a task was started in the band InTime; off: it falls
	// behind the others once it is late. Without it, under overload, half-done submissions wait
	// for their last tasks until their callers give up.
	KeepBegun bool `json:"keep_begun"`
	// ByLastStart judges the LatenessBand in the queue of a shard by when the last waiting task would start if the
	// submission were served first, as pools do; off: as if all could start now. Without it, under overload, work is begun
	// that ends some milliseconds too late, and the more so the more of it has many short tasks.
	ByLastStart bool `json:"by_last_start"`
	// SmallFirst serves, within a band and priority, submissions with less remaining work first;
	// the amounts are compared by their power of two. Under overload the same capacity then
	// completes more submissions in time.
	SmallFirst bool `json:"small_first"`
	// SizeFloor is the share of submissions, from 0 to 1, that SmallFirst serves as if they were the
	// smallest: the least share of large ones that is served while there is room for that share of all.
	// Without it, under overload, hardly any of the largest tenth of a queue are served.
	SizeFloor float64 `json:"size_floor"`
	// ShareFloor is the share of what it is due, from 0 to 1, up to which a group of submissions (a queue's callers in
	// one failure domain) is served before groups of its priority that have got as much of theirs; 0: none. Due are what
	// it asks for and an equal share of the room of its priority, whichever is less. Without it, a queue that asks for
	// many times the room takes it from the others of its priority.
	ShareFloor float64 `json:"share_floor"`
	// WaitShare is the share of its caller's timeout that a submission may wait before any task of
	// it has started. It is then refused, so that the caller can retry elsewhere in the rest of
	// the time. 0: no limit.
	WaitShare float64 `json:"wait_share"`
	// RetryTurns hands out the times at which refused callers come back by Turns, so that those refused together come
	// back spread over time; off: by RetrySchedule.
	RetryTurns bool `json:"retry_turns"`
	// OwnReserve is the share of the capacity of a shard in this VM's failure domain that must
	// stay free for the shard to be preferred. With more than that left it is chosen although
	// other shards have more free capacity: it is nearer and cannot be cut off from this VM.
	OwnReserve float64 `json:"own_reserve"`
	// Spread divides a submission whose tasks do not fit into any one shard over several.
	Spread bool `json:"spread"`
	// TakeBack makes the home VM recall a divided submission of which no part has started once
	// KeepWaiting refuses it. Without it, under overload, such a submission is never refused and
	// waits until its caller's timeout.
	TakeBack bool `json:"take_back"`
	// LateBinding keeps tasks that cannot start at once at their home VM until a pool grants them
	// capacity (package pool); off: they wait at the shard with the shortest queue. This is for
	// submissions with more tasks than one shard has capacity for.
	LateBinding bool `json:"late_binding"`
	// LateBindingShards is the number of shards of the smallest failure domain from which LateBinding takes
	// effect; 0: always. A few shards have long queues each, and gain less than the messages of grants cost.
	LateBindingShards int `json:"late_binding_shards"`
	// GrantAhead is the maximum number of tasks that a pool grants at a shard before there is room for
	// them, as runs are expected to end while the assignment is on its way; 0: none.
	GrantAhead int `json:"grant_ahead"`
	// OffloadMillis is how long, in ms, a task waits at a shard until it may go to another shard
	// with free capacity; 0: it stays. This is for shards that are fuller than others or have lost
	// their workers.
	OffloadMillis int `json:"offload_millis"`
	// Eject sends no tasks for a while to a worker that fails what completes elsewhere.
	Eject bool `json:"eject"`
	// MoveStill restarts stalled tasks on another worker and ejects their worker for a while. This is
	// for workers whose tasks hang although they answer calls.
	MoveStill bool `json:"move_still"`
	// MoveSlow restarts tasks on another worker if they would end sooner there, judged by their
	// progress on the worker's own clock. This is for workers that become several times slower, and
	// needs LearnSpeed, which finds them.
	MoveSlow bool `json:"move_slow"`
	// RepeatOrders repeats stops and listings that have no answer yet, and lets the time-out of orders follow the answers
	// that came. Off: silence counts as a slow answer, and stops and listings are repeated only after their time-out. This
	// is for orders of which many are lost or late: each keeps capacity from others until its run is known or stopped. Off
	// by default, as its effect where few are late is not known.
	RepeatOrders bool `json:"repeat_orders"`
	// FastFirst prefers workers on which runs take less time.
	FastFirst bool `json:"fast_first"`
	// LearnSpeed learns how fast each worker is from its runs against their siblings and the pace of
	// their queue, by the worker's own clock, and gives little to one that has turned slow; off:
	// the speed is a moving average that takes one long run for a slow worker.
	LearnSpeed bool `json:"learn_speed"`
	// MatchSpeed starts tasks that would miss their objective on a slow worker on a fast one, and
	// those with time to spare on the slow one.
	MatchSpeed bool `json:"match_speed"`
	// RoomBySpeed makes forecasts count the capacity of each worker by its speed.
	RoomBySpeed bool `json:"room_by_speed"`
	// StoreSpeeds stores the speeds of a shard's workers for its next holder.
	StoreSpeeds bool `json:"store_speeds"`
	// BestFit takes, of workers with the same cost, the one with the least free processor; off:
	// the one with the most.
	BestFit bool `json:"best_fit"`
	// LearnPace corrects estimates by the measured durations of runs of the same queue.
	LearnPace bool `json:"learn_pace"`
	// LossEvidence is the sum of weights of lost workers at which a task is given up: a loss beside
	// other tasks weighs 1, one of the task alone 2; 0: the task is always started again. This is for
	// tasks that crash their workers.
	LossEvidence int `json:"loss_evidence"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		StartHoldMillis:   1000,
		ByPriority:        true,
		ForecastRates:     false,
		Bands:             true,
		KeepBegun:         true,
		SmallFirst:        true,
		WaitShare:         0.4,
		OwnReserve:        0.1,
		Spread:            true,
		TakeBack:          true,
		GrantAhead:        4,
		LateBindingShards: 4,
		OffloadMillis:     15,
		Eject:             true,
		MoveStill:         true,
		MoveSlow:          true,
		RepeatOrders:      false,
		FastFirst:         true,
		LearnSpeed:        true,
		MatchSpeed:        true,
		RoomBySpeed:       true,
		StoreSpeeds:       true,
		BestFit:           true,
		LearnPace:         true,
		LossEvidence:      3,
	}
}

// SettingError reports a policy setting that cannot be used.
type SettingError struct {
	Name   string // "" if not known
	Reason string
}

func (e *SettingError) Error() string { return fmt.Sprintf("policy setting %q: %s", e.Name, e.Reason) }

// Parse returns the defaults, overridden by the given settings. Keys are the JSON names of the
// fields, values are JSON.
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
			return Settings{}, &SettingError{Name: name, Reason: strings.TrimPrefix(err.Error(), "json: ")}
		}
	}
	return s, s.Validate()
}

// Validate returns an error for the first setting that is out of range.
func (s *Settings) Validate() error {
	switch {
	case s.StartHoldMillis < 0 || s.StartHoldMillis > 10_000:
		return &SettingError{Name: "start_hold_millis", Reason: "must be between 0 and 10000"}
	case s.OffloadMillis < 0 || s.OffloadMillis > 10_000:
		return &SettingError{Name: "offload_millis", Reason: "must be between 0 and 10000"}
	case s.GrantAhead < 0 || s.GrantAhead > 1000:
		return &SettingError{Name: "grant_ahead", Reason: "must be between 0 and 1000"}
	case s.LateBindingShards < 0 || s.LateBindingShards > 1000:
		return &SettingError{Name: "late_binding_shards", Reason: "must be between 0 and 1000"}
	case s.LossEvidence < 0 || s.LossEvidence > 10:
		return &SettingError{Name: "loss_evidence", Reason: "must be between 0 and 10"}
	case !isShare(s.WaitShare):
		return &SettingError{Name: "wait_share", Reason: "must be between 0 and 1"}
	case !isShare(s.SizeFloor):
		return &SettingError{Name: "size_floor", Reason: "must be between 0 and 1"}
	case !isShare(s.ShareFloor):
		return &SettingError{Name: "share_floor", Reason: "must be between 0 and 1"}
	case !isShare(s.OwnReserve):
		return &SettingError{Name: "own_reserve", Reason: "must be between 0 and 1"}
	default:
		return nil
	}
}

// isShare reports whether x is a number from 0 to 1.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// StartHold returns StartHoldMillis as a duration.
func (s *Settings) StartHold() time.Duration {
	return time.Duration(s.StartHoldMillis) * time.Millisecond
}
