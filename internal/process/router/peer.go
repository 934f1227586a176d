package router

import (
	"context"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/request/job"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// ServeSubmit answers a request that another entry VM forwarded.
func (r *Router) ServeSubmit(done <-chan struct{}, m *pb.SubmitRequest) *pb.Answer {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	t, err := r.Parse(m.Ticket, m.Account)
	if err != nil {
		return toWire(notRun(err.Code, 0, "%s", err.Detail))
	}
	if m.AttachOnly {
		return toWire(r.Attach(ctx, m.Ticket, t, true))
	}
	req := Request{Token: m.Ticket, Ticket: t, Template: m.Template, Inputs: m.Input, First: m.First, Forward: true}
	if m.DeadlineMillis > 0 {
		req.Deadline = time.Now().Add(time.Duration(m.DeadlineMillis) * time.Millisecond)
	}
	return toWire(r.Submit(ctx, req))
}

// ServeCancel answers a cancellation that another entry VM forwarded.
func (r *Router) ServeCancel(m *pb.CancelRequest) *pb.CancelResponse {
	t, err := r.Parse(m.Ticket, m.Account)
	if err == nil && r.Cancel(context.Background(), m.Ticket, t, true) {
		return &pb.CancelResponse{Outcome: cancelTold}
	}
	return &pb.CancelResponse{}
}

// toWire writes an answer. A caller that went away has none.
func toWire(a *job.Answer) *pb.Answer {
	if a == nil {
		return &pb.Answer{Outcome: string(reason.Unknown)}
	}
	return &pb.Answer{
		Outcome:          string(a.Outcome),
		Reason:           string(a.Reason),
		Detail:           a.Detail,
		RetryAfterMillis: uint32(a.RetryAfter.Milliseconds()),
		Output:           a.Outputs,
		Task:             a.FailedTask,
		Revision:         a.Revision,
		Driver:           a.Driver,
	}
}

func fromWire(m *pb.Answer) *job.Answer {
	return &job.Answer{
		Outcome:    reason.Outcome(m.Outcome),
		Reason:     reason.Code(m.Reason),
		Detail:     m.Detail,
		RetryAfter: time.Duration(m.RetryAfterMillis) * time.Millisecond,
		Outputs:    m.Output,
		FailedTask: m.Task,
		Revision:   m.Revision,
		Driver:     m.Driver,
	}
}
