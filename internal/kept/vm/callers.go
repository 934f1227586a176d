package vm

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
)

// Kind is what became of a request to take a submission.
type OutcomeKind uint8

// The answers to a submission.
const (
	Accepted      OutcomeKind = iota // it is stored and will end
	Ended                            // it was transient, and this is its end
	Refused                          // it has not run and will not
	Indeterminate                    // it may have been stored
)

// Outcome is the answer to a submission.
type Outcome struct {
	Kind       OutcomeKind
	State      submission.State // if ended: done or failed
	RetryAfter time.Duration    // if busy: when to come back
	Why        string
}

// RetryAfterSeconds is a time to come back after, in the whole seconds that a caller is told; 1
// at least.
func RetryAfterSeconds(after time.Duration) string {
	seconds := int64((after + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}

// ErrUnavailable says that neither a peer nor the store could be asked.
var ErrUnavailable = errors.New("kept: the state cannot be read now")

// StateAnswer is the state of a submission; Unknown: there is none such.
type StateAnswer struct {
	State submission.State
	Err   error
}

// Submit takes a submission, or says why not. It returns within ctx.
func (v *VM) Submit(ctx context.Context, r *submission.Record) Outcome {
	reply := make(chan Outcome, 1)
	if !v.post(submitEvent{record: r, reply: reply}) {
		return Outcome{Kind: Refused, RetryAfter: defaultRetryAfter, Why: "this entry VM is overloaded"}
	}
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
		v.post(abandonEvent{id: r.ID, reply: reply})
		return Outcome{Kind: Indeterminate, Why: "no answer in time"}
	}
}

// finalStateWait is how long a question for a state waits for the end: well within what callers
// wait for an answer (1.5 s), and longer than an end takes to come from its worker (20 ms;
// 250 ms beside a slow store).
const finalStateWait = 300 * time.Millisecond

// State returns how far a submission is. If it has not ended yet, the answer waits up to
// finalStateWait for the end: callers ask when their tasks have ended, some milliseconds before
// that is known here, and would ask again a quarter of a second later.
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

// queryState asks the engine; ended, if not nil, is closed at the submission's end.
func (v *VM) queryState(ctx context.Context, id submission.ID, ended chan struct{}) (submission.State, error) {
	reply := make(chan StateAnswer, 1)
	return v.requestState(ctx, stateEvent{id: id, reply: reply, ended: ended}, reply)
}

// Cancel ends a submission and returns its final state.
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

// ask posts an event and waits for its answer.
func postAndWait[A any](ctx context.Context, v *VM, ev event, reply chan A) (answer A, err error) {
	if !v.post(ev) {
		return answer, ErrUnavailable
	}
	select {
	case answer = <-reply:
		return answer, nil
	case <-ctx.Done():
		return answer, ErrUnavailable
	}
}

// Waiting is the number of a queue's submissions of which nothing has begun. It
// may be some hundred milliseconds old.
func (v *VM) Waiting(ctx context.Context, queue string) (int, error) {
	reply := make(chan int, 1)
	return postAndWait(ctx, v, waitingEvent{queue: queue, reply: reply}, reply)
}
