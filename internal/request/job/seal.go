package job

import (
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Record is a worker's record of one task that has started there.
type Record struct {
	Index   uint32
	State   RecordState
	Output  []byte
	Failure string
}

// RecordState is the state of a record.
type RecordState uint8

const (
	// RecordRunning means that the task occupies a slot.
	RecordRunning RecordState = iota
	// RecordDone means that the task completed and the record has its output.
	RecordDone
	// RecordFailed means that the task ran and reported an error.
	RecordFailed
	// RecordStopped means that the task ran and was stopped on request.
	RecordStopped
	// RecordDiscarded means that the task ended and its output is no longer kept.
	RecordDiscarded
)

// SealReply is a worker's reply to a seal.
type SealReply struct {
	Worker       string
	RequestedGen ticket.Generation // generation of the seal
	Sealed       bool              // false: the worker was already sealed under the higher HighestGen
	HighestGen   ticket.Generation
	Closed       reason.Code // not empty: an earlier driver ended the submission
	Records      []Record
}

// HandleSealReply handles a worker's reply to a seal.
func (j *Job) HandleSealReply(r SealReply) Actions {
	var a Actions
	if j.answer != nil {
		return a
	}
	if !r.Sealed && j.gen.Less(r.HighestGen) && r.HighestGen.Author != j.self {
		j.yieldTo(&a, r.HighestGen)
		return a
	}
	if r.Closed != "" && j.pendingEnd == nil {
		j.repeatClosedAnswer(&a, r)
		return a
	}
	follow := Follow{Worker: r.Worker}
	for _, rec := range r.Records {
		j.applyRecord(&a, &follow, rec)
		if j.answer != nil {
			return a
		}
	}
	if len(follow.Indexes) > 0 {
		a.Follow = append(a.Follow, follow)
	}
	j.sealAnswered(r.Worker, r.RequestedGen, false)
	j.resolveBatches(&a)
	j.answerIfKnown(&a)
	return a
}

// WorkerUnreachable handles a seal that failed for good: the worker was restarted,
// or did not reply within the time limit.
func (j *Job) WorkerUnreachable(worker string, asked ticket.Generation) Actions {
	var a Actions
	if j.answer != nil {
		return a
	}
	j.sealAnswered(worker, asked, true)
	j.resolveBatches(&a)
	j.answerIfKnown(&a)
	return a
}

// FollowedWorkerLost handles the loss of a worker on which a task was known to run.
// The task did start, so it must not be started again.
func (j *Job) FollowedWorkerLost(worker string, indexes []uint32) Actions {
	var a Actions
	for _, index := range indexes {
		if j.isOpen(index) && j.tasks[index].state == running {
			j.finishWithFailure(&a, Answer{
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

// yieldTo ends this driver, since another one has a higher generation.
func (j *Job) yieldTo(a *Actions, higher ticket.Generation) {
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

// repeatClosedAnswer answers with the end that an earlier driver recorded at a
// worker.
func (j *Job) repeatClosedAnswer(a *Actions, r SealReply) {
	outcome := reason.Failed
	switch {
	case r.Closed == closedUnknown:
		outcome = reason.Unknown
	case r.Closed == closedNotRun && len(r.Records) == 0:
		outcome = reason.NotRun
	}
	j.setAnswer(a, Answer{Outcome: outcome, Reason: r.Closed, Detail: "ended earlier, read back from worker " + r.Worker})
}

// What is recorded at a candidate when a submission ends before a task is known to have started.
const (
	closedNotRun  reason.Code = "closed_not_run" // no task has started
	closedUnknown reason.Code = "closed_unknown" // it could not be established whether one has
)

// applyRecord updates a task from a worker's record. Running tasks are added to
// follow.
func (j *Job) applyRecord(a *Actions, follow *Follow, rec Record) {
	if !j.isOpen(rec.Index) {
		return
	}
	j.recordStart(follow.Worker)
	switch rec.State {
	case RecordRunning:
		if j.tasks[rec.Index].state != running {
			j.setState(rec.Index, running, 0)
			if !slices.Contains(j.followed, follow.Worker) {
				j.followed = append(j.followed, follow.Worker)
			}
			follow.Indexes = append(follow.Indexes, rec.Index)
		}
	case RecordDone:
		j.tasks[rec.Index].output = rec.Output
		j.setState(rec.Index, completed, 0)
	case RecordFailed:
		j.setState(rec.Index, endedWithoutOutput, 0)
		j.finishWithFailure(a, Answer{Outcome: reason.Failed, Reason: reason.TaskFailed, Detail: rec.Failure, FailedTask: rec.Index})
	case RecordStopped:
		j.setState(rec.Index, endedWithoutOutput, 0)
		j.finishWithFailure(a, Answer{Outcome: reason.Failed, Reason: reason.Stopped, Detail: rec.Failure, FailedTask: rec.Index})
	case RecordDiscarded:
		j.setState(rec.Index, endedWithoutOutput, 0)
		j.finishWithFailure(a, Answer{Outcome: reason.Failed, Reason: reason.AnswerDiscarded, Detail: "the task ran, its output is no longer kept", FailedTask: rec.Index})
	}
}

// sealAnswered removes a worker from the batches that await its reply. A reply to
// a seal under an older generation than the batch's does not count: the worker may
// have accepted a start after it.
func (j *Job) sealAnswered(worker string, asked ticket.Generation, unreachable bool) {
	for b := range j.batches {
		at := &j.batches[b]
		i := slices.Index(at.pending, worker)
		if i < 0 || asked.Less(at.gen) {
			continue
		}
		at.pending = slices.Delete(at.pending, i, i+1)
		at.unreachable = at.unreachable || unreachable
	}
}

// resolveBatches resolves the tasks of batches whose workers have all replied. A
// task that no worker has a record of has not started and can be assigned again. If
// a worker could not be asked, it is unknown whether the task started.
func (j *Job) resolveBatches(a *Actions) {
	if j.counts[sealing] == 0 || j.answer != nil {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != sealing {
			continue
		}
		b := &j.batches[t.batch]
		if len(b.pending) > 0 {
			continue
		}
		if b.unreachable {
			j.finishWithFailure(a, Answer{
				Outcome:    reason.Unknown,
				Reason:     reason.WorkerGone,
				Detail:     "a worker that may have started the task is gone",
				FailedTask: uint32(i),
			})
			return
		}
		j.setState(uint32(i), unassigned, t.batch)
	}
}

// Cancel ends the job on the caller's request.
func (j *Job) Cancel(now time.Time) Actions {
	return j.GiveUp(now, reason.Cancelled, "cancelled by the caller", 0)
}

// GiveUp ends the job early: no more tasks are assigned, owners have to return those
// that have not started, and the end is recorded at a candidate before it is answered.
// The answer is Failed if a task is known to have started, and NotRun if it is
// established that none has. If neither can be established and recorded within the
// settle timeout, it is Unknown: an entry VM that recovers the submission may still
// establish either, or complete it.
func (j *Job) GiveUp(now time.Time, code reason.Code, detail string, retryAfter time.Duration) Actions {
	var a Actions
	if j.answer != nil || j.pendingEnd != nil {
		return a
	}
	j.pendingEnd = &Answer{Outcome: reason.Failed, Reason: code, Detail: detail, RetryAfter: retryAfter}
	j.settleDeadline = now.Add(j.spec.SettleTimeout)
	a.Withdraw = j.ownersToWithdraw()
	j.answerIfKnown(&a)
	return a
}

// Tick checks the deadline and the settle timeout of a job that was given up.
func (j *Job) Tick(now time.Time) Actions {
	var a Actions
	switch {
	case j.answer != nil:
	case j.pendingEnd != nil && !now.Before(j.settleDeadline):
		end := *j.pendingEnd
		end.Outcome = reason.Unknown
		end.Detail += "; whether a task had started could not be established in time"
		j.finishWithFailure(&a, end)
	case j.pendingEnd == nil && !now.Before(j.spec.Deadline):
		return j.GiveUp(now, reason.DeadlineExceeded, "the deadline passed", 0)
	}
	return a
}

// NextTick returns the time at which Tick has to be called next.
func (j *Job) NextTick() time.Time {
	if j.pendingEnd != nil {
		return j.settleDeadline
	}
	return j.spec.Deadline
}

// ownersToWithdraw returns the owners of unresolved tasks, which may not have
// started yet.
func (j *Job) ownersToWithdraw() []string {
	var out []string
	for b := range j.batches {
		at := &j.batches[b]
		if at.unresolved > 0 && at.owner != "" && !slices.Contains(out, at.owner) {
			out = append(out, at.owner)
		}
	}
	return out
}

// answerIfKnown sets the answer, or takes the last step towards it, once the state
// of the tasks determines it.
func (j *Job) answerIfKnown(a *Actions) {
	if j.answer != nil {
		return
	}
	if j.closeAttempts > 0 {
		return // the end may have been recorded, and another driver may repeat it
	}
	if j.counts[completed] == len(j.tasks) {
		j.complete(a)
		return
	}
	if j.pendingEnd == nil {
		return
	}
	j.stopFollowed(a)
	if j.started && j.cannotComplete() || j.counts[unassigned] == len(j.tasks) {
		j.recordEnd(a)
	}
}

// cannotComplete reports whether no driver can complete the submission any more once
// the end is recorded at a candidate. A driver with a higher generation reads the record,
// or has sealed the candidate, which refuses it then. One with a lower generation may
// still complete it from the results of running tasks, unless some task has not started.
func (j *Job) cannotComplete() bool { return !j.tookOver || j.counts[unassigned] > 0 }

// stopFollowed stops the tasks on the followed workers that were not told so yet.
func (j *Job) stopFollowed(a *Actions) {
	a.Stop = append(a.Stop, j.followed[j.stopsSent:]...)
	j.stopsSent = len(j.followed)
}

// recordEnd asks the next candidate to record how the submission ended. Without the
// record, another driver that has recovered the submission could answer differently.
// One record is enough: that driver asks all candidates. If it cannot ask the one with
// the record, it takes tasks that no other candidate knows for lost. After a start the
// record has to be on the worker of a started task, so that one of these is among them.
func (j *Job) recordEnd(a *Actions) {
	candidates := j.spec.CloseCandidates
	if j.startedOn != "" {
		candidates = []string{j.startedOn}
	}
	if j.closeAttempts >= len(candidates) {
		end := *j.pendingEnd
		end.Outcome = reason.Unknown
		end.Detail += "; no candidate could be reached to record the end"
		j.setAnswer(a, end)
		return
	}
	closed := closedNotRun
	if j.started {
		closed = j.pendingEnd.Reason
	}
	j.recordSeal(candidates[j.closeAttempts])
	a.Seal = append(a.Seal, Seal{Worker: candidates[j.closeAttempts], Gen: j.gen, Closed: closed})
	j.closeAttempts++
}

// awaitsClose reports whether the reply to a closing seal of the given generation is
// still awaited. A reply under an earlier generation is stale: this driver has taken
// over since then, and tasks may have been started by the driver that it replaced.
func (j *Job) awaitsClose(asked ticket.Generation) bool {
	return j.answer == nil && j.closeAttempts > 0 && asked == j.gen
}

// CloseFailed handles a candidate that could not be asked to record the end. The
// next one is asked.
func (j *Job) CloseFailed(asked ticket.Generation) Actions {
	var a Actions
	if j.awaitsClose(asked) {
		j.recordEnd(&a)
	}
	return a
}

// HandleCloseReply handles a candidate's reply to a closing seal.
func (j *Job) HandleCloseReply(r SealReply) Actions {
	var a Actions
	if !j.awaitsClose(r.RequestedGen) {
		return a
	}
	if !r.Sealed {
		j.yieldTo(&a, r.HighestGen)
		return a
	}
	if r.Closed != "" {
		j.repeatClosedAnswer(&a, r)
		return a
	}
	end := *j.pendingEnd
	if !j.started && len(r.Records) == 0 {
		end.Outcome = reason.NotRun
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

// finishWithFailure answers with a failure after tasks may have run. Tasks that have
// not started are withdrawn, running ones are stopped, and the end is recorded at a
// candidate so that an entry VM that recovers the submission does not run it again.
func (j *Job) finishWithFailure(a *Actions, ans Answer) {
	if j.answer != nil {
		return
	}
	if j.pendingEnd != nil && ans.Reason == reason.Stopped {
		// The task was stopped because the job had been given up. The answer
		// has to give that reason.
		ans = *j.pendingEnd
	}
	a.Withdraw = j.ownersToWithdraw()
	a.Stop = j.followed
	if len(j.spec.CloseCandidates) > 0 {
		closed := ans.Reason
		if ans.Outcome == reason.Unknown {
			closed = closedUnknown
		}
		a.Seal = append(a.Seal, Seal{Worker: j.spec.CloseCandidates[0], Gen: j.gen, Closed: closed})
	}
	j.setAnswer(a, ans)
}

func (j *Job) setAnswer(a *Actions, ans Answer) {
	ans.Revision = j.spec.Revision
	j.answer = &ans
	a.Answer = j.answer
	j.release()
}

// Discard drops the outputs of the answer to free memory. The job still has an
// answer, so that a resubmission never starts a task.
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

// release frees the memory that only an unanswered job needs.
func (j *Job) release() {
	j.spec.Inputs = nil
	j.tasks = nil
	j.batches = nil
	j.requestedSeals = nil
}
