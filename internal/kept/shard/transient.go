package shard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// earlyEnd is an end that was listed before its transient submission came from its
// home. Without it the task would run again after a change of the holder.
type earlyEnd struct {
	host *host
	end  worker.Ended
	at   time.Duration
}

// Times after a change of the holder.
const (
	// The homes of transient submissions hand them to the new holder within some
	// milliseconds; a home that is cut off does not.
	handoverTimeout = 600 * time.Millisecond
	// An earlier holder that lives ends the runs of homes that it has lost within
	// 800 ms; one that does not live lets them lapse within a second.
	transientBarrier = 1300 * time.Millisecond
)

// sent handles a transient submission that is known here, as its caller has sent it
// again. It reports false if it is to run again.
func (s *Shard) handleRepeated(now time.Duration, r *submission.Record, state submission.State) bool {
	j, open := s.jobs[r.ID]
	switch {
	case open && j.rec.Serial == r.Serial && r.Serial != 0:
		s.setHome(r, state) // its home hands it over again
		return true
	case open && extentOf(j.rec) != extentOf(r):
		// Another part of it was here: its runs end first.
		if !j.state.Final() {
			s.endSubmission(now, j, submission.Cancelled, "its caller has sent it again")
		}
		s.actions.States = append(s.actions.States, StateAction{ID: r.ID, Home: r.Home, State: submission.Cancelled, Serial: r.Serial})
		return true
	case open:
		s.setHome(r, state)
		return true
	case !open && s.recentlyEnded[r.ID].reassignedRevision > 0:
		return false // a stored submission of that name went elsewhere
	case s.recentlyEnded[r.ID].serial == r.Serial:
		// Its home hands it over again, not knowing of its end: it must not run after
		// the caller was told that it has not.
		s.setHome(r, state)
		return true
	case s.recentlyEnded[r.ID].part == extentOf(r) && (state == submission.Done || state == submission.Failed):
		s.setHome(r, state)
		return true
	default:
		return false
	}
}

// extent says which part of a submission a record is: parts of it may be given to
// several shards.
type extent struct {
	first, count int
	elsewhere    string
}

func extentOf(r *submission.Record) extent {
	if len(r.Steps) == 0 {
		return extent{}
	}
	return extent{first: r.Steps[0].FirstIndex, count: r.Steps[0].Count, elsewhere: fmt.Sprint(r.TasksElsewhere)}
}

// setHome makes the VM at which a caller has asked again the submission's home.
func (s *Shard) setHome(r *submission.Record, state submission.State) {
	if j := s.jobs[r.ID]; j != nil {
		j.rec.Home = r.Home
		j.rec.Serial = r.Serial
	} else {
		p := s.recentlyEnded[r.ID]
		p.serial = r.Serial
		s.recentlyEnded[r.ID] = p
	}
	told, _ := s.Report(r.ID)
	told.Home, told.State = r.Home, state
	s.actions.States = append(s.actions.States, told)
}

// Resume takes a transient submission that its home had given to an earlier holder.
// Some of its tasks may still run.
func (s *Shard) Resume(now time.Duration, r *submission.Record) {
	if state, known := s.State(r.ID); known && s.handleRepeated(now, r, state) {
		return
	}
	j := newJob(now, StoredRecord{Record: r}, s.runBase(r))
	j.resumed = true
	s.add(j)
	for _, t := range j.tasks {
		if t.state == taskWaiting && s.barrierUp {
			t.state = taskUnlocated
		}
	}
	for _, o := range s.earlyEnds[r.ID] {
		if t := j.task(o.end.Task.Task); t != nil {
			s.handleTaskEnd(now, o.host, t, o.end)
		}
	}
	delete(s.earlyEnds, r.ID)
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		s.workers[id].adoptStrayRuns(now, s, j)
	}
	if j.tasksLeft == 0 && !j.state.Final() {
		s.finish(now, j)
	}
	s.placementDue = true
}

// TakeBack rejects a transient submission if nothing of it has begun; otherwise its home is
// told how far it is.
func (s *Shard) TakeBack(now time.Duration, id submission.ID) {
	j, open := s.jobs[id]
	switch {
	case !open || !j.rec.Transient || j.state.Final():
		return // its home has been told, or asks
	case j.hasBegun():
		s.reportState(j)
	default:
		s.endSubmission(now, j, submission.Rejected, "its home takes it back")
	}
}

// HomeLost ends the transient submissions of an entry VM that cannot be reached:
// nobody waits for them here, and their callers will send them to another VM, which
// may give them to another shard. Without it one task would run twice at once.
func (s *Shard) HomeLost(now time.Duration, home string) (ended int) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.rec.Transient && j.rec.Home == home && !j.state.Final() {
			s.endSubmission(now, j, submission.Cancelled, "its home is lost")
			ended++
		}
	}
	return ended
}

// HasSubmissionsOf reports whether an entry VM is the home of an unfinished submission.
func (s *Shard) HasSubmissionsOf(home string) bool {
	for _, j := range s.jobs {
		if j.rec.Home == home && !j.state.Final() {
			return true
		}
	}
	return false
}
