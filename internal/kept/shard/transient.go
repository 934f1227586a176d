package shard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// earlyEnd is an ended run that a worker listed before the home VM handed over its transient submission. If
// it were not remembered, the task would run again after a change of the holder.
type earlyEnd struct {
	host *host
	end  worker.Ended
	at   time.Duration
}

// Times after a change of the holder.
const (
	// handoverTimeout is how long, from a worker's first answer, a new holder waits for the home VMs of
	// transient submissions to hand them over. They do so within some milliseconds, but a home VM that is
	// cut off does not. It adds to the time after which the previous holder would have ended the runs (see
	// confirmationValidity), and callers submit again after 1.3 s.
	handoverTimeout = 300 * time.Millisecond
	// transientBarrier is the time after which an earlier holder can have left no unlisted runs of transient
	// submissions. If it is alive, it ends the runs of home VMs that it cannot reach within 800 ms; if not,
	// their leases expire within a second.
	transientBarrier = 1300 * time.Millisecond
)

// handleRepeated handles a transient submission that is known here and arrives again: its home VM hands it
// over again, or its caller has submitted it again. It reports false if the submission is to run anew.
func (s *Shard) handleRepeated(now time.Duration, r *submission.Record, state submission.State) bool {
	j, open := s.jobs[r.ID]
	switch {
	case open && j.rec.Serial == r.Serial && r.Serial != 0:
		s.setHome(now, r, state) // the home VM hands over the same attempt again
		return true
	case s.isOvertaken(r):
		report, _ := s.Report(r.ID)
		report.Home = r.Home
		s.actions.States = append(s.actions.States, report)
		return true
	case open && extentOf(j.rec) != extentOf(r):
		// Another part of the submission was here. Its runs have to end first.
		if !j.state.Final() {
			s.endSubmission(now, j, submission.Cancelled, "its caller has sent it again")
		}
		s.actions.States = append(s.actions.States, StateAction{ID: r.ID, Home: r.Home, State: submission.Cancelled, Serial: r.Serial})
		return true
	case open:
		s.setHome(now, r, state)
		return true
	case !open && s.recentlyEnded[r.ID].reassignedRevision > 0:
		return false // a stored submission of that ID was reassigned to another shard
	case s.recentlyEnded[r.ID].serial == r.Serial:
		// The home VM hands over the same attempt again, as it has not learned of the end. The submission
		// must not run after its caller was told that it has not run.
		s.setHome(now, r, state)
		return true
	case s.recentlyEnded[r.ID].part == extentOf(r) && (state == submission.Done || state == submission.Failed):
		past := s.recentlyEnded[r.ID]
		past.tasks = r.TaskCount() // the tasks that this part had before it joined are not in the record
		s.recentlyEnded[r.ID] = past
		s.setHome(now, r, state)
		return true
	default:
		return false
	}
}

// isOvertaken reports whether a record is that of an attempt, or of a smaller part, that a later record has
// replaced here. Its tasks must not start again.
func (s *Shard) isOvertaken(r *submission.Record) bool {
	if j, open := s.jobs[r.ID]; open {
		return slices.Contains(j.pastSerials, r.Serial)
	}
	past := s.recentlyEnded[r.ID]
	return past.serial != r.Serial && slices.Contains(past.pastSerials, r.Serial)
}

// allSerials returns the serials that the record of an ended submission had here.
func (p *endedJob) allSerials() []uint64 { return appendSerial(p.pastSerials, p.serial) }

// maxPastSerials is how many serials are remembered of a submission. Messages are overtaken by a few later ones.
const maxPastSerials = 32

// appendSerial returns a copy of the serials with one more, unless that is not set.
func appendSerial(serials []uint64, serial uint64) []uint64 {
	if serial == 0 {
		return serials
	}
	out := append(slices.Clone(serials), serial)
	return out[max(len(out)-maxPastSerials, 0):]
}

// extent identifies the part of a submission that a record stands for, as the parts may be given to several
// shards.
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

// setHome makes the VM from which a submission arrived again its home VM, and reports the state there.
func (s *Shard) setHome(now time.Duration, r *submission.Record, state submission.State) {
	if j := s.jobs[r.ID]; j != nil {
		if j.rec.Serial != r.Serial {
			j.tasksBefore = 0 // they are not in the record
			j.pastSerials = appendSerial(j.pastSerials, j.rec.Serial)
		}
		j.rec.Home = r.Home
		j.rec.Serial = r.Serial
		j.rec.HomeAnswers = r.HomeAnswers
		j.recordHomeSent(now)
	} else {
		past := s.recentlyEnded[r.ID]
		past.pastSerials = past.allSerials()
		past.serial = r.Serial
		s.recentlyEnded[r.ID] = past
	}
	report, _ := s.Report(r.ID)
	report.Home, report.State = r.Home, state
	s.actions.States = append(s.actions.States, report)
}

// Resume adds a transient submission that its home VM had given to an earlier holder of the shard. Some of
// its tasks may still be running.
func (s *Shard) Resume(now time.Duration, r *submission.Record) {
	if state, known := s.State(r.ID); known && s.handleRepeated(now, r, state) {
		return
	}
	j := newJob(now, StoredRecord{Record: r}, s.runBase(r))
	s.awaitEarlierRuns(j)
	s.add(j)
	for _, early := range s.earlyEnds[r.ID] {
		if t := j.task(early.end.Task.Task); t != nil {
			s.handleTaskEnd(now, early.host, t, early.end)
		}
	}
	delete(s.earlyEnds, r.ID)
	for _, id := range s.workerIDs {
		s.workers[id].adoptStrayRuns(now, s, j)
	}
	if j.tasksLeft == 0 && !j.state.Final() {
		s.finish(now, j)
	}
	s.placementDue = true
}

// awaitEarlierRuns has the tasks of a transient submission wait until all workers have listed their runs, or those that an
// earlier holder left are over. What is listed of it is adopted.
func (s *Shard) awaitEarlierRuns(j *job) {
	j.resumed = true
	for _, t := range j.tasks {
		if t.state == taskWaiting && s.barrierUp {
			t.state = taskUnlocated
		}
	}
}

// Recall handles the recall of a transient submission by its home VM. It rejects the submission if none of
// its tasks may have begun, and otherwise reports its state.
func (s *Shard) Recall(now time.Duration, id submission.ID) {
	j, open := s.jobs[id]
	switch {
	case !open || !j.rec.Transient || j.state.Final():
		return // the home VM was told of the end, or will query it
	case j.hasBegun():
		s.reportState(j)
	default:
		s.endSubmission(now, j, submission.Rejected, "its home takes it back")
	}
}

// RecallAttempt handles the recall of an attempt at a transient submission. A later attempt, which may be here by now, goes on.
func (s *Shard) RecallAttempt(now time.Duration, id submission.ID, serial uint64) {
	if j := s.jobs[id]; j != nil && j.isAttempt(serial) {
		s.Recall(now, id)
	}
}

// HomeLost ends the transient submissions of a home VM that cannot be reached, and returns how many. Nobody
// waits for their results here any more. Their callers submit them again to another VM, which may give them
// to another shard: a task could run twice at the same time if they went on here.
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
