package client

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/api/pumiceyard/v1/pumiceyardv1connect"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// State is the state of a submission under a key that the caller chose.
type State string

// The states of a submission. The last three are final.
const (
	StateNone      State = "none" // no such submission
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

var workStates = map[pb.WorkState]State{
	pb.WorkState_WORK_STATE_UNSPECIFIED: StateNone,
	pb.WorkState_WORK_STATE_QUEUED:      StateQueued,
	pb.WorkState_WORK_STATE_RUNNING:     StateRunning,
	pb.WorkState_WORK_STATE_DONE:        StateDone,
	pb.WorkState_WORK_STATE_FAILED:      StateFailed,
	pb.WorkState_WORK_STATE_CANCELLED:   StateCancelled,
}

// Final reports whether the submission has ended: none of it runs or will run.
func (s State) Final() bool {
	return s == StateDone || s == StateFailed || s == StateCancelled
}

// NotRunError says that a submission was not accepted: none of it has run, and none will
// run because of this attempt.
type NotRunError struct {
	Reason     string
	RetryAfter time.Duration // how long to wait before the next attempt
}

func (e *NotRunError) Error() string { return e.Reason }

// WorkStep is a group of equal tasks.
type WorkStep struct {
	Count     uint32
	CPUMilli  uint32 // per task, in thousandths of a core
	MemoryMB  uint32
	Estimate  time.Duration // expected run time of one task
	DependsOn []uint32      // indexes of the steps that must complete first
}

// Work is a submission under a key that the caller chooses.
type Work struct {
	Queue     string
	Key       string // 1 to 64 letters, digits, - or _
	Spec      string // passed to the workers that run its tasks
	Steps     []WorkStep
	Transient bool // not stored: Submit returns its final state
}

// KeptClient submits work under keys that the caller chooses, to any of a site's entry VMs.
// Work that is sent several times under one key, to the same or to other VMs, is one
// submission.
type KeptClient struct {
	services []pumiceyardv1connect.SubmissionServiceClient
	pause    time.Duration // between two attempts
}

const (
	keptAttemptTimeout = 2 * time.Second // for one VM to answer a call that does not wait for the end of work
	keptRetryPause     = 150 * time.Millisecond
	keptPollInterval   = 50 * time.Millisecond
)

// NewKeptClient returns a client of the entry VMs at the given base URLs.
func NewKeptClient(endpoints ...string) (*KeptClient, error) {
	if len(endpoints) == 0 {
		return nil, errNoEndpoints
	}
	k := &KeptClient{pause: keptRetryPause}
	for _, e := range endpoints {
		k.services = append(k.services, pumiceyardv1connect.NewSubmissionServiceClient(http.DefaultClient, e))
	}
	return k, nil
}

// tryVMs calls the VMs one after the other, over and over, until one gives a definite answer
// or ctx ends. timeout limits each attempt; 0: only ctx does.
func tryVMs[R any](ctx context.Context, k *KeptClient, timeout time.Duration, call func(context.Context, pumiceyardv1connect.SubmissionServiceClient) (*connect.Response[R], error)) (*R, error) {
	for i := 0; ; i++ {
		attempt, cancel := ctx, context.CancelFunc(func() {})
		if timeout > 0 {
			attempt, cancel = context.WithTimeout(ctx, timeout)
		}
		resp, err := call(attempt, k.services[i%len(k.services)])
		cancel()
		if err == nil {
			return resp.Msg, nil
		}
		if isDefinite(err) {
			return nil, err
		}
		if !pause.For(ctx, k.pause) {
			return nil, errors.Join(ctx.Err(), asNotRunError(err))
		}
	}
}

// isDefinite reports whether every other VM would answer with the same error.
func isDefinite(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeNotFound, connect.CodeInvalidArgument:
		return true
	default:
		return false
	}
}

// asNotRunError turns the error of a call into a NotRunError if it says so by its code and
// its Retry-After metadata. Other errors are returned as they are.
func asNotRunError(err error) error {
	var c *connect.Error
	if connect.CodeOf(err) != connect.CodeUnavailable || !errors.As(err, &c) || c.Meta().Get("Retry-After") == "" {
		return err
	}
	seconds, parseErr := strconv.Atoi(c.Meta().Get("Retry-After"))
	if parseErr != nil {
		return errors.Join(err, parseErr)
	}
	return &NotRunError{Reason: c.Message(), RetryAfter: time.Duration(seconds) * time.Second}
}

func (w *Work) request() *pb.SubmitWorkRequest {
	req := &pb.SubmitWorkRequest{Queue: w.Queue, Key: w.Key, Spec: w.Spec, Transient: w.Transient}
	for _, s := range w.Steps {
		req.Steps = append(req.Steps, &pb.WorkStep{
			Count:          s.Count,
			CpuMilli:       s.CPUMilli,
			MemoryMb:       s.MemoryMB,
			EstimateMillis: uint32(s.Estimate.Milliseconds()),
			After:          s.DependsOn,
		})
	}
	return req
}

// Submit submits work to one VM after the other until one accepts it or ctx ends. It returns
// StateQueued once the work is stored, and for transient work the final state.
func (k *KeptClient) Submit(ctx context.Context, w Work) (State, error) {
	req := w.request()
	timeout := keptAttemptTimeout
	if w.Transient {
		timeout = 0
	}
	r, err := tryVMs(ctx, k, timeout, func(ctx context.Context, s pumiceyardv1connect.SubmissionServiceClient) (*connect.Response[pb.SubmitWorkResponse], error) {
		return s.SubmitWork(ctx, connect.NewRequest(req))
	})
	if err != nil {
		return StateNone, err
	}
	return workStates[r.State], nil
}

// SubmitOnce makes a single attempt at one VM. A NotRunError says that the work has not run
// and will not; after any other error it may have run.
func SubmitOnce(ctx context.Context, endpoint string, w Work) (State, error) {
	s := pumiceyardv1connect.NewSubmissionServiceClient(http.DefaultClient, endpoint)
	r, err := s.SubmitWork(ctx, connect.NewRequest(w.request()))
	if err != nil {
		return StateNone, asNotRunError(err)
	}
	return workStates[r.Msg.State], nil
}

// State returns the state of a submission.
func (k *KeptClient) State(ctx context.Context, key string) (State, error) {
	r, err := tryVMs(ctx, k, keptAttemptTimeout, func(ctx context.Context, s pumiceyardv1connect.SubmissionServiceClient) (*connect.Response[pb.GetStateResponse], error) {
		return s.GetState(ctx, connect.NewRequest(&pb.GetStateRequest{Key: key}))
	})
	if err != nil {
		return StateNone, err
	}
	return workStates[r.State], nil
}

// Wait waits until a submission has ended and returns its final state, or StateNone if
// there is no such submission.
func (k *KeptClient) Wait(ctx context.Context, key string) (State, error) {
	for {
		s, err := k.State(ctx, key)
		if err != nil || s.Final() || s == StateNone {
			return s, err
		}
		if !pause.For(ctx, keptPollInterval) {
			return s, ctx.Err()
		}
	}
}

// Cancel cancels a submission and returns its final state.
func (k *KeptClient) Cancel(ctx context.Context, key string) (State, error) {
	r, err := tryVMs(ctx, k, keptAttemptTimeout, func(ctx context.Context, s pumiceyardv1connect.SubmissionServiceClient) (*connect.Response[pb.CancelWorkResponse], error) {
		return s.CancelWork(ctx, connect.NewRequest(&pb.CancelWorkRequest{Key: key}))
	})
	if err != nil {
		return StateNone, err
	}
	return workStates[r.State], nil
}

// Waiting returns the number of submissions of a queue that have not started. The count may
// be some hundred milliseconds old.
func (k *KeptClient) Waiting(ctx context.Context, queue string) (int, error) {
	r, err := tryVMs(ctx, k, keptAttemptTimeout, func(ctx context.Context, s pumiceyardv1connect.SubmissionServiceClient) (*connect.Response[pb.CountWaitingResponse], error) {
		return s.CountWaiting(ctx, connect.NewRequest(&pb.CountWaitingRequest{Queue: queue}))
	})
	if err != nil {
		return 0, err
	}
	return int(r.Waiting), nil
}
