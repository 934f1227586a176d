// Package submissions serves the Connect interface to submissions that callers
// identify by a key of their own. A stored submission is answered as soon as it is
// accepted, a transient one when it has ended.
package submissions

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/kept/catalog"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/vm"
)

// Entry is the entry VM that the requests are passed to.
type Entry interface {
	Catalog() *catalog.Catalog
	Submit(ctx context.Context, r *submission.Record) vm.Outcome
	State(ctx context.Context, id submission.ID) (submission.State, error)
	Cancel(ctx context.Context, id submission.ID) (submission.State, error)
	Waiting(ctx context.Context, queue string) (int, error)
}

const (
	submitTimeout = 30 * time.Second // maximum wait for a submission's answer, if the caller's deadline is not earlier
)

// Handler returns the path and the HTTP handler of the interface.
func Handler(e Entry) (path string, h http.Handler) {
	return pumiceyardv1connect.NewSubmissionServiceHandler(&service{entry: e}, wire.HandlerOptions()...)
}

type service struct{ entry Entry }

var (
	errUnknownQueue  = errors.New("queue: there is none of that name")
	errNotConfigured = errors.New("no configuration has come yet; nothing has run") // the entry VM has no catalog
)

// SubmitWork implements SubmissionServiceHandler.
func (s *service) SubmitWork(ctx context.Context, req *connect.Request[pb.SubmitWorkRequest]) (*connect.Response[pb.SubmitWorkResponse], error) {
	c := s.entry.Catalog()
	if c == nil {
		return nil, unavailable(errNotConfigured, time.Second)
	}
	q := c.Queue(req.Msg.Queue)
	if q == nil {
		return nil, connect.NewError(connect.CodeNotFound, errUnknownQueue)
	}
	rec, err := newRecord(q, req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	o := s.entry.Submit(ctx, rec)
	switch o.Kind {
	case vm.Accepted:
		return connect.NewResponse(&pb.SubmitWorkResponse{State: pb.WorkState_WORK_STATE_QUEUED}), nil
	case vm.Ended:
		return connect.NewResponse(&pb.SubmitWorkResponse{State: workStateOf(o.State)}), nil
	case vm.Refused:
		return nil, unavailable(errors.New("not run: "+o.Reason), o.RetryAfter)
	default:
		return nil, connect.NewError(connect.CodeUnknown, errors.New("it may have run: "+o.Reason))
	}
}

// unavailable returns the error for a request that had no effect or got no answer,
// with the header that says when to retry.
func unavailable(err error, after time.Duration) error {
	out := connect.NewError(connect.CodeUnavailable, err)
	out.Meta().Set("Retry-After", vm.RetryAfterSeconds(after))
	return out
}

// newRecord builds the record of a submission and validates it.
func newRecord(q *catalog.Queue, m *pb.SubmitWorkRequest) (*submission.Record, error) {
	rec := &submission.Record{ID: submission.ID(m.Key), Queue: q.Name, Spec: m.Spec, Terms: q.Terms, Transient: m.Transient}
	for i, w := range m.Steps {
		step := submission.Step{
			Count:         int(w.Count),
			CPUMilli:      int64(w.CpuMilli),
			MemMB:         int64(w.MemoryMb),
			GPU:           int64(w.Gpu),
			Estimate:      time.Duration(w.EstimateMillis) * time.Millisecond,
			RequiredLabel: w.Label,
			MaxPerWorker:  int(w.MostPerWorker),
		}
		for _, a := range w.After {
			step.DependsOn = append(step.DependsOn, int(a))
		}
		if w.Count == 0 {
			// A step must have at least one task.
			return nil, &submission.InvalidError{Field: fmt.Sprintf("step %d: count", i), Reason: "a step has tasks"}
		}
		rec.Steps = append(rec.Steps, step)
	}
	return rec, rec.Validate()
}

var workStates = map[submission.State]pb.WorkState{
	submission.Queued:    pb.WorkState_WORK_STATE_QUEUED,
	submission.Running:   pb.WorkState_WORK_STATE_RUNNING,
	submission.Done:      pb.WorkState_WORK_STATE_DONE,
	submission.Failed:    pb.WorkState_WORK_STATE_FAILED,
	submission.Cancelled: pb.WorkState_WORK_STATE_CANCELLED,
}

func workStateOf(s submission.State) pb.WorkState { return workStates[s] }

// GetState implements SubmissionServiceHandler.
func (s *service) GetState(ctx context.Context, req *connect.Request[pb.GetStateRequest]) (*connect.Response[pb.GetStateResponse], error) {
	state, err := s.entry.State(ctx, submission.ID(req.Msg.Key))
	if err != nil {
		return nil, unavailable(err, time.Second)
	}
	return connect.NewResponse(&pb.GetStateResponse{State: workStateOf(state)}), nil
}

// CancelWork implements SubmissionServiceHandler.
func (s *service) CancelWork(ctx context.Context, req *connect.Request[pb.CancelWorkRequest]) (*connect.Response[pb.CancelWorkResponse], error) {
	state, err := s.entry.Cancel(ctx, submission.ID(req.Msg.Key))
	if err != nil {
		return nil, unavailable(err, time.Second)
	}
	return connect.NewResponse(&pb.CancelWorkResponse{State: workStateOf(state)}), nil
}

// CountWaiting implements SubmissionServiceHandler.
func (s *service) CountWaiting(ctx context.Context, req *connect.Request[pb.CountWaitingRequest]) (*connect.Response[pb.CountWaitingResponse], error) {
	n, err := s.entry.Waiting(ctx, req.Msg.Queue)
	if err != nil {
		return nil, unavailable(err, time.Second)
	}
	return connect.NewResponse(&pb.CountWaitingResponse{Waiting: uint32(n)}), nil
}
