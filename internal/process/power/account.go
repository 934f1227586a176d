package power

import (
	"sort"
	"time"
)

// account is what the ledger knows of one leased worker.
type account struct {
	name        string
	epoch       uint64
	incarnation uint64
	index       int // position in the plan, or -1
	idle        Milliwatts
	ceiling     Milliwatts

	// record is what the worker has confirmed, except Allotted, which is the
	// most that may be in force there.
	record Record
	// target is what charges are made against, never above record.Allotted.
	target Milliwatts
	// frozen accounts keep their record: the plan does not reach the worker,
	// or the worker is under a newer plan than this VM has heard of.
	frozen bool
	// pending is the allotment that was sent and is not confirmed. There is
	// one at a time; if its answer is lost, so is the lease stream.
	pending  bool
	sending  Record
	credit   bool // on confirmation, the difference goes to the pool
	sequence uint64

	tasks     map[TaskKey]Load
	committed Milliwatts
	overrun   Milliwatts // draw above charge, from reports
	overrunAt time.Time
	permille  int64 // speed that the worker has confirmed
	// slowing is the speed that was sent and is not confirmed, or 0.
	slowing int64
	wanted  Milliwatts
	high    highWater
	shed    shedState
}

// highWater is the greatest load in the current and the last report window.
type highWater struct {
	turned        time.Time
	current, last Milliwatts
}

// load is the draw above idle that must be expected now.
func (a *account) load() Milliwatts {
	if a.permille >= permilleFull {
		return a.committed + a.overrun
	}
	slowed := (a.committed*Milliwatts(a.permille) + permilleFull - 1) / permilleFull
	return slowed + a.overrun
}

// headroom is what can still be charged.
func (a *account) headroom() Milliwatts { return a.target - a.idle - a.load() }

// fits reports whether the expected draw is within the allotment to be used.
func (a *account) fits() bool { return a.headroom() >= 0 }

// spare is what could move elsewhere, keeping a part of the allotment.
func (a *account) spare(keepPermille int64) Milliwatts {
	if a.frozen || a.pending || a.shed.active || a.wanted > 0 {
		return 0
	}
	keep := (a.target - a.idle) * Milliwatts(keepPermille) / permilleFull
	return max(0, a.headroom()-keep)
}

// add charges a task.
func (a *account) add(key TaskKey, load Load) {
	a.tasks[key] = load
	a.committed += load.Milliwatts
	a.high.current = max(a.high.current, a.committed)
}

// leastLoss lists the tasks in the order in which they are ended: bulk before
// urgent, the longest remaining first, then by key so that it is the same
// everywhere.
func (a *account) leastLoss() []TaskKey {
	keys := make([]TaskKey, 0, len(a.tasks))
	for key := range a.tasks {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return a.endsBefore(keys[i], keys[j]) })
	return keys
}

// endsBefore orders two tasks by loss.
func (a *account) endsBefore(x, y TaskKey) bool {
	lx, ly := a.tasks[x], a.tasks[y]
	if lx.Urgent != ly.Urgent {
		return !lx.Urgent
	}
	if !lx.Ends.Equal(ly.Ends) {
		return lx.Ends.After(ly.Ends)
	}
	return lessKey(x, y)
}

// lessKey orders task keys.
func lessKey(x, y TaskKey) bool {
	if x.SubmissionIncarnation != y.SubmissionIncarnation {
		return x.SubmissionIncarnation < y.SubmissionIncarnation
	}
	if x.SubmissionCounter != y.SubmissionCounter {
		return x.SubmissionCounter < y.SubmissionCounter
	}
	return x.Index < y.Index
}
