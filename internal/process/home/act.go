package home

import (
	"fmt"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// act carries out what a job decided.
func (h *Home) act(e *entry, a job.Actions) {
	for _, s := range a.Seal {
		h.seal(e, s)
	}
	for _, f := range a.Follow {
		h.step(e, "follow", "", fmt.Sprintf("%d tasks run on %s", len(f.Indexes), f.Worker))
		h.follow(e, f.Worker, f.Indexes)
	}
	for _, owner := range a.Withdraw {
		m := h.message(owner)
		m.Withdraw = append(m.Withdraw, wire.IDMessage(e.sub.Ticket.ID))
	}
	for _, worker := range a.Stop {
		h.cfg.Workers.StopSubmission(worker, &pb.StopSubmissionRequest{Submission: wire.IDMessage(e.sub.Ticket.ID)})
	}
	if a.Answer != nil {
		h.answer(e, a.Answer)
	}
}

// message returns this round's message to an owner.
func (h *Home) message(owner string) *pb.RunRequest {
	m := h.out[owner]
	if m == nil {
		m = &pb.RunRequest{}
		h.out[owner] = m
	}
	return m
}

// answer tells everyone who waits and keeps the answer for those who ask later.
func (h *Home) answer(e *entry, a *job.Answer) {
	h.step(e, "answered", a.Reason, string(a.Outcome)+" "+a.Detail)
	h.open--
	h.load.closed(e)
	for _, w := range e.waiters {
		w(a)
	}
	e.waiters = nil
	e.sub.Inputs = nil
	e.sub.Candidates = nil
	e.candidates = nil // most of what an ended submission would hold until its ticket expires
	h.cfg.Observer.Answered(e.sub.Ticket.Account, e.sub.Template, a, e.tasks, h.now.Sub(e.accepted))
	for _, dropped := range h.kept.add(e, a) {
		h.forget(dropped)
	}
}

// forget drops an answer that is over the bound of memory. Its ticket stays
// known until it expires: a resubmission must not start anything again.
func (h *Home) forget(e *entry) {
	e.job.Discard()
}

// sealedEvent is a worker's answer to a seal.
type sealedEvent struct {
	e      *entry
	worker string
	asked  job.Seal
	resp   *pb.SealResponse
	err    error
}

func (h *Home) seal(e *entry, s job.Seal) {
	t := &e.sub.Ticket
	req := &pb.SealRequest{
		Submission:        wire.IDMessage(t.ID),
		Generation:        wire.GenerationMessage(s.Gen),
		ExpiryUnixMillis:  uint64(t.Expiry.UnixMilli()),
		Closed:            string(s.Closed),
		WorkerIncarnation: e.candidates.incarnations[s.Worker],
	}
	h.cfg.Workers.Seal(s.Worker, req, func(resp *pb.SealResponse, err error) {
		h.events.Push(sealedEvent{e, s.Worker, s, resp, err})
	})
}

func (ev sealedEvent) apply(h *Home) {
	e := ev.e
	if ev.err != nil || ev.resp.Restarted {
		h.step(e, "seal", reason.WorkerGone, ev.worker+" can not be asked")
		if ev.asked.Closed != "" {
			h.act(e, e.job.CloseFailed(ev.asked.Gen))
		} else {
			h.act(e, e.job.WorkerUnreachable(ev.worker, ev.asked.Gen))
		}
		h.schedule(e)
		return
	}
	highest := wire.Generation(ev.resp.Generation)
	if h.outbid(e, ev.resp.Sealed, highest) {
		return
	}
	reply := job.SealReply{
		Worker:       ev.worker,
		RequestedGen: ev.asked.Gen,
		Sealed:       ev.resp.Sealed,
		HighestGen:   highest,
		Closed:       reason.Code(ev.resp.Closed),
		Records:      records(ev.resp.Results),
	}
	if ev.asked.Closed != "" {
		h.act(e, e.job.HandleCloseReply(reply))
	} else {
		h.act(e, e.job.HandleSealReply(reply))
	}
	h.schedule(e)
}

// outbid takes a submission over from a driver that holds a higher generation
// but does not live any more. Without it, a caller would be pointed to that dead
// entry VM for ever. A submission that ended has nothing to take over.
func (h *Home) outbid(e *entry, sealed bool, highest ticket.Generation) bool {
	if e.job.Answer() != nil || sealed || highest.Author == h.cfg.Incarnation || h.cfg.Peers.Lives(highest.Author) {
		return false
	}
	if !e.job.Generation().Less(highest) {
		return false
	}
	h.step(e, "takeover", reason.HomeUnreachable, "an earlier recovery's driver is gone")
	h.act(e, e.job.TakeOver(highest, e.candidates.ids, e.sub.Incomplete))
	h.schedule(e)
	return true
}

func records(results []*pb.TaskResult) []job.Record {
	out := make([]job.Record, 0, len(results))
	for _, r := range results {
		state, ok := recordState(r.State)
		if !ok {
			continue
		}
		out = append(out, job.Record{Index: r.Index, State: state, Output: r.Output, Failure: r.Reason})
	}
	return out
}

func recordState(s pb.TaskState) (job.RecordState, bool) {
	switch s {
	case pb.TaskState_TASK_STATE_RUNNING:
		return job.RecordRunning, true
	case pb.TaskState_TASK_STATE_DONE:
		return job.RecordDone, true
	case pb.TaskState_TASK_STATE_FAILED:
		return job.RecordFailed, true
	case pb.TaskState_TASK_STATE_STOPPED:
		return job.RecordStopped, true
	case pb.TaskState_TASK_STATE_DISCARDED:
		return job.RecordDiscarded, true
	}
	return 0, false
}

// followedEvent is the end of a wait at a worker.
type followedEvent struct {
	e       *entry
	worker  string
	indexes []uint32
	resp    *pb.FollowResponse
	err     error
}

func (h *Home) follow(e *entry, worker string, indexes []uint32) {
	req := &pb.FollowRequest{
		Submission: wire.IDMessage(e.sub.Ticket.ID),
		Index:      indexes,
		WaitMillis: uint32(h.cfg.Settings.FollowWait.Milliseconds()),
	}
	h.cfg.Workers.Follow(worker, req, func(resp *pb.FollowResponse, err error) {
		h.events.Push(followedEvent{e, worker, indexes, resp, err})
	})
}

func (ev followedEvent) apply(h *Home) {
	e := ev.e
	if ev.err != nil {
		h.act(e, e.job.FollowedWorkerLost(ev.worker, ev.indexes))
		return
	}
	ended := make(map[uint32]bool, len(ev.resp.Results))
	for _, r := range ev.resp.Results {
		ended[r.Index] = true
		r.Worker = ev.worker
		h.taskResult(e, "", ticket.Generation{}, r)
	}
	var rest []uint32
	for _, index := range ev.indexes {
		if !ended[index] {
			rest = append(rest, index)
		}
	}
	if len(rest) > 0 && e.job.Answer() == nil {
		h.follow(e, ev.worker, rest)
	}
}

// resultsEvent brings results of an owner.
type resultsEvent struct {
	owner   string
	results []*pb.RunResult
}

// RunResults takes results from an owner's link.
func (h *Home) RunResults(owner string, results []*pb.RunResult) {
	h.events.Push(resultsEvent{owner, results})
}

func (ev resultsEvent) apply(h *Home) {
	for _, r := range ev.results {
		e := h.jobs[wire.ID(r.Submission)]
		if e == nil {
			continue
		}
		gen := wire.Generation(r.Generation)
		h.lost(e, ev.owner, gen, r.Results)
		for _, t := range r.Results {
			h.taskResult(e, ev.owner, gen, t)
		}
		h.schedule(e)
	}
}

// taskResult passes one task's news to its job.
func (h *Home) taskResult(e *entry, owner string, gen ticket.Generation, r *pb.TaskResult) {
	switch r.State {
	case pb.TaskState_TASK_STATE_DONE:
		h.act(e, e.job.TaskDone(r.Index, r.Worker, r.Output))
	case pb.TaskState_TASK_STATE_FAILED:
		h.act(e, e.job.TaskFailed(r.Index, reason.TaskFailed, r.Reason))
	case pb.TaskState_TASK_STATE_STOPPED:
		h.act(e, e.job.TaskFailed(r.Index, reason.Stopped, r.Reason))
	case pb.TaskState_TASK_STATE_DISCARDED:
		h.act(e, e.job.TaskFailed(r.Index, reason.AnswerDiscarded, "the task ran, its output is no longer kept"))
	case pb.TaskState_TASK_STATE_NOT_RUN:
		e.noteRestart(r)
		h.act(e, e.job.TaskNotStarted(owner, gen, r.Index, reason.Code(r.Reason), r.Worker))
		h.holdBack(e)
	}
}

// noteRestart keeps tasks from being offered to a restarted worker again.
func (e *entry) noteRestart(r *pb.TaskResult) {
	if reason.Code(r.Reason) != reason.WorkerRestarted {
		return
	}
	if e.restarted == nil {
		e.restarted = make(map[string]bool)
	}
	e.restarted[r.Worker] = true
}

// lost passes the tasks whose worker gave no answer to their job, in one event
// per worker: each event costs a generation and a seal.
func (h *Home) lost(e *entry, owner string, gen ticket.Generation, results []*pb.TaskResult) {
	byWorker := make(map[string][]uint32)
	for _, r := range results {
		if r.State == pb.TaskState_TASK_STATE_LOST {
			byWorker[r.Worker] = append(byWorker[r.Worker], r.Index)
		}
	}
	for worker, indexes := range byWorker {
		h.step(e, "lost", reason.LeaseLost, fmt.Sprintf("%s gave no answer for %d tasks", worker, len(indexes)))
		h.act(e, e.job.StartsUnanswered(owner, gen, indexes, worker))
	}
}

// holdBack keeps tasks that came back from being handed out at once: an owner
// that refuses would get them again in a busy loop.
func (h *Home) holdBack(e *entry) {
	until := h.now.Add(h.cfg.Settings.HoldBack)
	if e.holdUntil.Before(until) {
		e.holdUntil = until
	}
}

// attend looks after entries whose time has come.
func (h *Home) attend() {
	for {
		e := h.due.pop(h.now)
		if e == nil {
			return
		}
		if e.job.Answer() != nil {
			if h.now.Before(e.sub.Ticket.Expiry.Add(expiryMargin)) {
				h.due.push(e, e.sub.Ticket.Expiry.Add(expiryMargin))
				continue
			}
			h.drop(e)
			continue
		}
		h.act(e, e.job.Tick(h.now))
		h.schedule(e)
	}
}

// expiryMargin keeps a submission known past its ticket's expiry, as long as a
// worker may still accept starts by its own clock. One that another entry VM
// drives is kept too: forgotten, it would look new when its caller asks again,
// and its tasks would be handed out under the generation that was used before.
const expiryMargin = 10 * time.Second

func (h *Home) drop(e *entry) {
	h.kept.forget(e)
	if h.jobs[e.sub.Ticket.ID] == e {
		delete(h.jobs, e.sub.Ticket.ID)
	}
}
