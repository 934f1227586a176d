package job

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Record is what a worker knows of one task.
type Record struct {
	Index   uint32
	State   RecordState
	Output  []byte
	Failure string
}

// RecordState is the state of a record.
type RecordState uint8

const (
	// RecordRunning: the task occupies a slot.
	RecordRunning RecordState = iota
	// RecordDone: the task ended and its output is here.
	RecordDone
	// RecordFailed: the task ran and reported an error.
	RecordFailed
	// RecordStopped: the task ran and was stopped on request.
	RecordStopped
	// RecordDiscarded: the task ended, its output is no longer kept.
	RecordDiscarded
)

// SealReply is a worker's answer to a seal.
type SealReply struct {
	Worker       string
	RequestedGen ticket.Generation // the generation of the seal
	Sealed       bool              // false: Highest was there first
	HighestGen   ticket.Generation
	Closed       reason.Code // not empty: an earlier driver ended the submission
	Records      []Record
}

// Sealed takes a worker's answer.
func (j *Job) HandleSealReply(r SealReply) Actions {
	var a Actions
	if j.answer != nil {
		return a
	}
	if !r.Sealed && j.gen.Less(r.HighestGen) && r.HighestGen.Author != j.self {
		j.yield(&a, r.HighestGen)
		return a
	}
	if r.Closed != "" && j.ending == nil {
		j.takeClosed(&a, r)
		return a
	}
	follow := Follow{Worker: r.Worker}
	for _, rec := range r.Records {
		j.adopt(&a, &follow, rec)
		if j.answer != nil {
			return a
		}
	}
	if len(follow.Indexes) > 0 {
		a.Follow = append(a.Follow, follow)
	}
	j.answered(r.Worker, r.RequestedGen, false)
	j.settleBatches(&a)
	j.conclude(&a)
	return a
}

// Unreachable takes the news that a worker can not be asked, now or later: it
// was restarted, or stayed silent past the bound.
func (j *Job) WorkerUnreachable(worker string, asked ticket.Generation) Actions {
	var a Actions
	if j.answer != nil {
		return a
	}
	j.answered(worker, asked, true)
	j.settleBatches(&a)
	j.conclude(&a)
	return a
}

// FollowedWorkerLost takes the news that a worker on which a task ran is gone. The task
// did start, so nothing may start it again.
func (j *Job) FollowedWorkerLost(worker string, indexes []uint32) Actions {
	var a Actions
	for _, index := range indexes {
		if j.open(index) && j.tasks[index].state == running {
			j.finish(&a, Answer{
				Outcome:    reason.Unknown,
				Reason:     reason.WorkerGone,
				Detail:     "worker " + worker + " is gone and had started the task",
				FailedTask: index,
			})
			return a
		}
	}
	return a
}

// yield ends this driver: another one holds a higher generation.
func (j *Job) yield(a *Actions, higher ticket.Generation) {
	j.superseded = higher.Author
	j.answer = &Answer{
		Outcome:  reason.Unknown,
		Reason:   reason.RecoveredElsewhere,
		Detail:   "another entry VM drives the submission now: attach again",
		Revision: j.spec.Revision,
		Driver:   higher.Author,
	}
	a.Answer = j.answer
	j.release()
}

// takeClosed repeats the end that an earlier driver recorded.
func (j *Job) takeClosed(a *Actions, r SealReply) {
	outcome := reason.Failed
	if r.Closed == closedNotRun {
		outcome = reason.NotRun
	}
	j.setAnswer(a, Answer{Outcome: outcome, Reason: r.Closed, Detail: "ended earlier, read back from worker " + r.Worker})
}

// closedNotRun is recorded at a candidate when nothing ran.
const closedNotRun reason.Code = "closed_not_run"

// adopt takes over one record of a worker.
func (j *Job) adopt(a *Actions, follow *Follow, rec Record) {
	if !j.open(rec.Index) {
		return
	}
	j.started = true
	switch rec.State {
	case RecordRunning:
		if j.tasks[rec.Index].state != running {
			j.move(rec.Index, running, 0)
			if !slices.Contains(j.followed, follow.Worker) {
				j.followed = append(j.followed, follow.Worker)
			}
			follow.Indexes = append(follow.Indexes, rec.Index)
		}
	case RecordDone:
		j.tasks[rec.Index].output = rec.Output
		j.move(rec.Index, done, 0)
	case RecordFailed:
		j.move(rec.Index, ended, 0)
		j.finish(a, Answer{Outcome: reason.Failed, Reason: reason.TaskFailed, Detail: rec.Failure, FailedTask: rec.Index})
	case RecordStopped:
		j.move(rec.Index, ended, 0)
		j.finish(a, Answer{Outcome: reason.Failed, Reason: reason.Stopped, Detail: rec.Failure, FailedTask: rec.Index})
	case RecordDiscarded:
		j.move(rec.Index, ended, 0)
		j.finish(a, Answer{Outcome: reason.Failed, Reason: reason.AnswerDiscarded, Detail: "the task ran, its output is no longer kept", FailedTask: rec.Index})
	}
}

// answered strikes a worker off the batches that wait for its seal. An answer
// to a seal under an older generation does not count: starts sent in between
// may have been accepted after it.
func (j *Job) answered(worker string, asked ticket.Generation, gone bool) {
	for b := range j.batches {
		at := &j.batches[b]
		i := slices.Index(at.pending, worker)
		if i < 0 || asked.Less(at.gen) {
			continue
		}
		at.pending = slices.Delete(at.pending, i, i+1)
		at.gone = at.gone || gone
	}
}

// settleBatches decides the tasks of batches whose workers have all answered:
// what no worker knows has not started, unless a worker could not be asked.
func (j *Job) settleBatches(a *Actions) {
	if j.counts[uncertain] == 0 || j.answer != nil {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != uncertain {
			continue
		}
		b := &j.batches[t.batch]
		if len(b.pending) > 0 {
			continue
		}
		if b.gone {
			j.finish(a, Answer{
				Outcome:    reason.Unknown,
				Reason:     reason.WorkerGone,
				Detail:     "a worker that may have started the task is gone",
				FailedTask: uint32(i),
			})
			return
		}
		j.move(uint32(i), unassigned, t.batch)
	}
}

// Cancel ends the job on the caller's request.
func (j *Job) Cancel(now time.Time) Actions {
	return j.GiveUp(now, reason.Cancelled, "cancelled by the caller", 0)
}

// End gives the job up: no more tasks are handed out, those that have not
// started are taken back. The answer says NotRun when it turns out in time that
// none has started, else Failed.
func (j *Job) GiveUp(now time.Time, code reason.Code, detail string, retryAfter time.Duration) Actions {
	var a Actions
	if j.answer != nil || j.ending != nil {
		return a
	}
	j.ending = &Answer{Outcome: reason.Failed, Reason: code, Detail: detail, RetryAfter: retryAfter}
	j.settle = now.Add(j.spec.SettleTimeout)
	if j.started {
		j.finish(&a, *j.ending)
		return a
	}
	a.Withdraw = j.owners()
	j.conclude(&a)
	return a
}

// Tick lets time pass: the deadline, and the bound on settling an end.
func (j *Job) Tick(now time.Time) Actions {
	var a Actions
	switch {
	case j.answer != nil:
	case j.ending != nil && !now.Before(j.settle):
		j.finish(&a, *j.ending)
	case j.ending == nil && !now.Before(j.spec.Deadline):
		return j.GiveUp(now, reason.DeadlineExceeded, "the deadline passed", 0)
	}
	return a
}

// Due is when Tick has to be called next.
func (j *Job) NextTick() time.Time {
	if j.ending != nil {
		return j.settle
	}
	return j.spec.Deadline
}

// owners lists those that hold tasks which may not have started.
func (j *Job) owners() []string {
	var out []string
	for b := range j.batches {
		at := &j.batches[b]
		if at.live > 0 && at.owner != "" && !slices.Contains(out, at.owner) {
			out = append(out, at.owner)
		}
	}
	return out
}

// conclude answers when everything is known.
func (j *Job) conclude(a *Actions) {
	if j.answer != nil {
		return
	}
	if j.counts[done] == len(j.tasks) {
		j.complete(a)
		return
	}
	if j.ending == nil {
		return
	}
	if j.started {
		j.finish(a, *j.ending)
		return
	}
	if j.counts[unassigned] == len(j.tasks) && j.closing == 0 {
		j.close(a)
	}
}

// close records the end at the next candidate. One is enough, since a
// recovering entry VM has to ask them all.
func (j *Job) close(a *Actions) {
	if j.closing >= len(j.spec.CloseCandidates) {
		end := *j.ending
		end.Outcome = reason.Unknown
		end.Detail += "; no candidate could be reached to record that nothing ran"
		j.setAnswer(a, end)
		return
	}
	j.fence(j.spec.CloseCandidates[j.closing])
	a.Seal = append(a.Seal, Seal{Worker: j.spec.CloseCandidates[j.closing], Gen: j.gen, Closed: closedNotRun})
	j.closing++
}

// awaits reports whether a closing seal of the given generation is awaited. Since
// an earlier one the job may have taken over: then other tasks may have started.
func (j *Job) awaits(asked ticket.Generation) bool {
	return j.answer == nil && j.closing > 0 && asked == j.gen
}

// CloseFailed takes the news that a candidate could not be asked to record the
// end. The next one is tried.
func (j *Job) CloseFailed(asked ticket.Generation) Actions {
	var a Actions
	if j.awaits(asked) {
		j.close(&a)
	}
	return a
}

// Closed takes a candidate's answer to a closing seal.
func (j *Job) HandleCloseReply(r SealReply) Actions {
	var a Actions
	if !j.awaits(r.RequestedGen) {
		return a
	}
	if !r.Sealed {
		j.yield(&a, r.HighestGen)
		return a
	}
	end := *j.ending
	end.Outcome = reason.NotRun
	if len(r.Records) > 0 {
		end.Outcome = reason.Failed
	}
	j.setAnswer(&a, end)
	return a
}

func (j *Job) complete(a *Actions) {
	outputs := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		outputs[i] = j.tasks[i].output
	}
	j.setAnswer(a, Answer{Outcome: reason.Complete, Outputs: outputs})
}

// finish answers with a failure after something may have run: what has not
// started is taken back, what runs is stopped, and the end is recorded so that
// an entry VM that recovers the submission does not take it up again.
func (j *Job) finish(a *Actions, ans Answer) {
	if j.answer != nil {
		return
	}
	if j.ending != nil && ans.Reason == reason.Stopped {
		// The task was stopped because the job had been given up; that is what
		// the caller has to be told.
		ans = *j.ending
	}
	a.Withdraw = j.owners()
	a.Stop = j.followed
	if len(j.spec.CloseCandidates) > 0 {
		a.Seal = append(a.Seal, Seal{Worker: j.spec.CloseCandidates[0], Gen: j.gen, Closed: ans.Reason})
	}
	j.setAnswer(a, ans)
}

func (j *Job) setAnswer(a *Actions, ans Answer) {
	ans.Revision = j.spec.Revision
	j.answer = &ans
	a.Answer = j.answer
	j.release()
}

// Discard drops the outputs of an answer that is kept no longer. The submission
// stays known, so that asking again never starts anything.
func (j *Job) Discard() {
	if j.answer == nil || j.answer.Outputs == nil {
		return
	}
	j.answer = &Answer{
		Outcome:  reason.Failed,
		Reason:   reason.AnswerDiscarded,
		Detail:   "the submission completed, its answer is no longer kept",
		Revision: j.answer.Revision,
	}
}

// release drops what only a running job needs.
func (j *Job) release() {
	j.spec.Inputs = nil
	j.tasks = nil
	j.batches = nil
	j.fences = nil
}
