package vm

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// OutcomeKind is the result of Submit.
type OutcomeKind uint8

// The results of Submit.
const (
	Accepted      OutcomeKind = iota // the submission is stored and will run to its end
	Ended                            // the submission is transient and has ended
	Refused                          // the submission has not run and will not
	Indeterminate                    // the submission may have been stored or have run
)

// Outcome is the answer to a caller of Submit.
type Outcome struct {
	Kind       OutcomeKind
	State      submission.State // if Ended: submission.Done or submission.Failed
	RetryAfter time.Duration    // if Refused: after which time to retry
	Reason     string
}

// RetryAfterSeconds formats the value of a Retry-After header: whole seconds, rounded up, at least 1.
func RetryAfterSeconds(after time.Duration) string {
	seconds := int64((after + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}

// ErrUnavailable reports that the request could not be served now: the engine is overloaded or did not
// answer in time, or the store could not be reached.
var ErrUnavailable = errors.New("kept: the state cannot be read now")

// StateAnswer is the state of a submission. submission.Unknown means that it does not exist.
type StateAnswer struct {
	State submission.State
	Err   error
}

// Submit accepts or refuses a submission. For a transient one it returns when the submission has ended.
// If ctx ends first the outcome is Indeterminate.
func (v *VM) Submit(ctx context.Context, r *submission.Record) Outcome {
	reply := make(chan Outcome, 1)
	if !v.post(submitEvent{record: r, reply: reply}) {
		return Outcome{Kind: Refused, RetryAfter: defaultRetryAfter, Reason: "this entry VM is overloaded"}
	}
	select {
	case o := <-reply:
		return o
	case <-v.finished:
		select {
		case o := <-reply:
			return o
		default:
		}
		return Outcome{Kind: Indeterminate, Reason: "this entry VM stops"}
	case <-ctx.Done():
		go v.deliver(abandonEvent{id: r.ID, reply: reply}) // the caller does not wait for room in the queue
		return Outcome{Kind: Indeterminate, Reason: "no answer in time"}
	}
}

// finalStateWait is how long State waits for a submission to end. It is well below the time-out of callers
// (1.5 s), and longer than the end of a run takes to arrive from its worker (20 ms, or 250 ms while the
// store is slow).
const finalStateWait = 300 * time.Millisecond

// State returns the state of a submission. If it has not ended yet, State waits up to finalStateWait for the
// end: callers ask as soon as their tasks have ended, some milliseconds before this VM knows it, and would
// otherwise ask again a quarter of a second later.
func (v *VM) State(ctx context.Context, id submission.ID) (submission.State, error) {
	ended := make(chan struct{})
	state, err := v.queryState(ctx, id, ended)
	if err != nil || state == submission.Unknown || state.Final() {
		return state, err
	}
	timer := time.NewTimer(finalStateWait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
		return state, nil
	}
	return v.queryState(ctx, id, nil)
}

// queryState asks the engine for the current state. The engine closes ended, if it is not nil, when the
// submission ends.
func (v *VM) queryState(ctx context.Context, id submission.ID, ended chan struct{}) (submission.State, error) {
	reply := make(chan StateAnswer, 1)
	return v.requestState(ctx, stateEvent{id: id, reply: reply, ended: ended}, reply)
}

// Cancel cancels a submission unless it has ended, and returns its final state.
func (v *VM) Cancel(ctx context.Context, id submission.ID) (submission.State, error) {
	reply := make(chan StateAnswer, 1)
	return v.requestState(ctx, cancelEvent{id: id, reply: reply}, reply)
}

func (v *VM) requestState(ctx context.Context, ev event, reply chan StateAnswer) (submission.State, error) {
	a, err := postAndWait(ctx, v, ev, reply)
	if err != nil {
		return submission.Unknown, err
	}
	return a.State, a.Err
}

// postAndWait posts an event to the engine and waits for its reply.
func postAndWait[A any](ctx context.Context, v *VM, ev event, reply chan A) (answer A, err error) {
	if !v.post(ev) {
		return answer, ErrUnavailable
	}
	select {
	case answer = <-reply:
		return answer, nil
	case <-v.finished:
	case <-ctx.Done():
	}
	return answer, ErrUnavailable
}

// Waiting returns the number of a queue's submissions of which no task has started. The counts of other
// failure domains may be two seconds old.
func (v *VM) Waiting(ctx context.Context, queue string) (int, error) {
	reply := make(chan int, 1)
	return postAndWait(ctx, v, waitingEvent{queue: queue, reply: reply}, reply)
}
