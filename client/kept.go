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

// State is how far a submission under the caller's own key is.
type State string

// The states of a submission. The last three are final.
const (
	StateNone      State = "none" // there is no such submission
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

// Final reports whether nothing of the submission runs or will run.
func (s State) Final() bool {
	return s == StateDone || s == StateFailed || s == StateCancelled
}

// NotRunError says that a submission has not run and will not under this attempt.
type NotRunError struct {
	Reason     string
	RetryAfter time.Duration // when to come back
}

func (e *NotRunError) Error() string { return e.Reason }

// WorkStep is a group of equal tasks.
type WorkStep struct {
	Count     uint32
	CPUMilli  uint32 // of each task, thousandths of a core
	MemoryMB  uint32
	Estimate  time.Duration // of one task
	DependsOn []uint32      // steps that must be done first
}

// Work is a submission under the caller's own key.
type Work struct {
	Queue     string
	Key       string // 1 to 64 letters, digits, - or _
	Spec      string // handed to each task's worker
	Steps     []WorkStep
	Transient bool // it need not be kept: the answer is its end
}

// Kept submits work under keys of the caller's own, at any of a site's entry VMs. The
// same key is the same submission, whichever VM takes it and however often.
type KeptClient struct {
	services []pumiceyardv1connect.SubmissionServiceClient
	pause    time.Duration
}

// Times of a Kept.
const (
	keptAttempt = 2 * time.Second // for one VM's answer to a call that need not wait
	keptPause   = 150 * time.Millisecond
	keptPoll    = 50 * time.Millisecond
)

// NewKeptClient returns a client of the entry VMs at the given base URLs.
func NewKeptClient(endpoints ...string) (*KeptClient, error) {
	if len(endpoints) == 0 {
		return nil, errNoEndpoints
	}
	k := &KeptClient{pause: keptPause}
	for _, e := range endpoints {
		k.services = append(k.services, pumiceyardv1connect.NewSubmissionServiceClient(http.DefaultClient, e))
	}
	return k, nil
}

// try calls one VM after the other until one answers, as long as ctx lasts. within
// bounds one attempt; 0: ctx does.
func try[R any](ctx context.Context, k *KeptClient, within time.Duration, call func(context.Context, pumiceyardv1connect.SubmissionServiceClient) (*connect.Response[R], error)) (*R, error) {
	for i := 0; ; i++ {
		attempt, cancel := ctx, context.CancelFunc(func() {})
		if within > 0 {
			attempt, cancel = context.WithTimeout(ctx, within)
		}
		resp, err := call(attempt, k.services[i%len(k.services)])
		cancel()
		if err == nil {
			return resp.Msg, nil
		}
		if definite(err) {
			return nil, err
		}
		if !pause.For(ctx, k.pause) {
			return nil, errors.Join(ctx.Err(), notRun(err))
		}
	}
}

// definite reports whether another VM would answer the same.
func definite(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeNotFound, connect.CodeInvalidArgument:
		return true
	default:
		return false
	}
}

func notRun(err error) error {
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

// Submit hands work in, at one VM after the other until one takes it or ctx ends. It
// returns the state: of kept work queued, of transient work its end.
func (k *KeptClient) Submit(ctx context.Context, w Work) (State, error) {
	req := w.request()
	within := keptAttempt
	if w.Transient {
		within = 0
	}
	r, err := try(ctx, k, within, func(ctx context.Context, s pumiceyardv1connect.SubmissionServiceClient) (*connect.Response[pb.SubmitWorkResponse], error) {
		return s.SubmitWork(ctx, connect.NewRequest(req))
	})
	if err != nil {
		return StateNone, err
	}
	return workStates[r.State], nil
}

// SubmitOnce makes one attempt at one VM. A NotRunError says that the work has not run
// and will not; any other error that it may have.
func SubmitOnce(ctx context.Context, endpoint string, w Work) (State, error) {
	s := pumiceyardv1connect.NewSubmissionServiceClient(http.DefaultClient, endpoint)
	r, err := s.SubmitWork(ctx, connect.NewRequest(w.request()))
	if err != nil {
		return StateNone, notRun(err)
	}
	return workStates[r.Msg.State], nil
}

// State returns how far a submission is.
func (k *KeptClient) State(ctx context.Context, key string) (State, error) {
	r, err := try(ctx, k, keptAttempt, func(ctx context.Context, s pumiceyardv1connect.SubmissionServiceClient) (*connect.Response[pb.GetStateResponse], error) {
		return s.GetState(ctx, connect.NewRequest(&pb.GetStateRequest{Key: key}))
	})
	if err != nil {
		return StateNone, err
	}
	return workStates[r.State], nil
}

// Wait returns the final state of a submission once it has one.
func (k *KeptClient) Wait(ctx context.Context, key string) (State, error) {
	for {
		s, err := k.State(ctx, key)
		if err != nil || s.Final() || s == StateNone {
			return s, err
		}
		if !pause.For(ctx, keptPoll) {
			return s, ctx.Err()
		}
	}
}

// Cancel ends a submission and returns its final state.
func (k *KeptClient) Cancel(ctx context.Context, key string) (State, error) {
	r, err := try(ctx, k, keptAttempt, func(ctx context.Context, s pumiceyardv1connect.SubmissionServiceClient) (*connect.Response[pb.CancelWorkResponse], error) {
		return s.CancelWork(ctx, connect.NewRequest(&pb.CancelWorkRequest{Key: key}))
	})
	if err != nil {
		return StateNone, err
	}
	return workStates[r.State], nil
}

// Waiting returns how many submissions of a queue have not begun. It may be some
// hundred milliseconds old.
func (k *KeptClient) Waiting(ctx context.Context, queue string) (int, error) {
	r, err := try(ctx, k, keptAttempt, func(ctx context.Context, s pumiceyardv1connect.SubmissionServiceClient) (*connect.Response[pb.CountWaitingResponse], error) {
		return s.CountWaiting(ctx, connect.NewRequest(&pb.CountWaitingRequest{Queue: queue}))
	})
	if err != nil {
		return 0, err
	}
	return int(r.Waiting), nil
}
