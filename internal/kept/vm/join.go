package vm

import (
	"slices"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// A grant may be for a shard that has an unfinished part of the submission. Its tasks then join that part, under a new
// serial that the holder reports once it has them.

// startJoin adds the tasks of a record to those of a part. whole is the record of the submission.
func (p *part) startJoin(whole, rec *submission.Record) {
	union := *whole
	union.Shard, union.Token, union.Serial, union.Partial = p.record.Shard, p.record.Token, rec.Serial, true
	union.MaxRunElsewhere = max(p.record.MaxRunElsewhere, rec.MaxRunElsewhere)
	union.TasksElsewhere = nil
	for _, task := range whole.AllTasks() {
		if !p.record.HasTask(task) && !rec.HasTask(task) {
			union.TasksElsewhere = append(union.TasksElsewhere, task)
		}
	}
	union.Progress = submission.Progress{Done: slices.Clone(p.record.Progress.Done)}
	for _, from := range []*submission.Progress{&p.record.Progress, &rec.Progress} {
		for task, failures := range from.Failed {
			union.Progress.RecordOutcome(task, failures, from.FailedRuns[task]...)
		}
		for task, losses := range from.Losses {
			union.Progress.RecordLosses(task, losses)
		}
	}
	p.joins, p.joining = p.record.Serial, rec
	p.record = &union
}

// sendJoin sends the tasks that join a part to its holder.
func (e *engine) sendJoin(t *transientSubmission, p *part) {
	p.queriedAt = e.now
	p.joinSentAt = e.now
	p.joining.Age = e.now - t.receivedAt
	if own := e.shards[p.shard]; own != nil {
		own.core.Join(e.now, p.joining, p.joins)
		return
	}
	f := e.frame(p.holder)
	f.Assign = append(f.Assign, &pb.KeptAssign{Id: string(p.record.ID), Record: p.joining.Encode(), Joins: p.joins})
}

// applyJoinReport applies a report about a part of a submission whose tasks wait for grants. It returns false if the
// report says nothing about the part as it is now.
//
// Until the holder has heard of the tasks that join the part, it reports the part under the previous serial, also its
// end. It goes on when they arrive.
func (e *engine) applyJoinReport(t *transientSubmission, p *part, report *stateReport) bool {
	if p.joins != 0 && report.serial == p.joins {
		if e.now-p.joinSentAt >= joinResendInterval && report.token == p.holderToken {
			e.sendJoin(t, p)
		}
		return false
	}
	if report.serial == p.record.Serial && report.token == p.holderToken {
		p.confirmed, p.joins, p.joining = p.record.Serial, 0, nil
	}
	return true
}

// hasAllTasks reports whether the holder that has reported the end of a part had all its tasks.
func (p *part) hasAllTasks(report *stateReport) bool {
	return report.tasks == 0 || report.tasks == p.record.TaskCount()
}
