package load

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
)

// caller is what the tool needs of the SDK.
type caller interface {
	Submit(ctx context.Context, j client.Job) (*client.Answer, error)
	Resume(ctx context.Context, ticket string, j client.Job) (*client.Answer, error)
	Cancel(ctx context.Context, ticket string) error
}

// reasonNoTicket says that no entry VM gave a ticket, so nothing was submitted.
const reasonNoTicket = "no_ticket"

// noAnswer stands in place of an outcome when there was no answer in time.
const noAnswer client.Outcome = "no_answer"

// Result is how one job went.
type Result struct {
	Arrival *workload.Arrival
	Outcome client.Outcome
	Reason  string        // stable code, or the error without an answer
	Took    time.Duration // from the scheduled arrival to the answer
	Late    time.Duration // of it, before the tool submitted the job
	Sent    int           // requests of the submission
	Tickets []string      // all that the job was sent under, the last one's answer counts
	Again   bool          // it was submitted again under its ticket
	// Cancelled says that the tool cancelled the job before its answer.
	Cancelled bool
	// Wrong says that a complete answer was not exactly the job's own.
	Wrong bool
	// Contradicted says that the job submitted again got another final answer.
	Contradicted bool
}

// End is when the job was answered, after the start of the load.
func (r *Result) End() time.Duration { return r.Arrival.At + r.Took }

// callers is what one client account submits through.
type callers struct {
	own caller
	// elsewhere gives a caller of the same account that uses other endpoints
	// than the given one.
	elsewhere func(endpoint string) caller
	// submitted is told of each ticket that a job is sent under. It may be nil.
	submitted func(token, account string)
}

// player drives one job.
type player struct {
	callers
	ctx     context.Context
	arrival *workload.Arrival
	job     client.Job
	ended   chan struct{}
	side    sync.WaitGroup

	// tickets is used by the submitting goroutine, the rest by the side one
	// until it is waited for.
	tickets   []string
	again     *client.Answer
	sentAgain bool
	cancelled bool
}

// play submits the job, and submits it again or cancels it while it runs when
// its arrival says so.
func play(ctx context.Context, a *workload.Arrival, due time.Time, by callers) Result {
	p := &player{ctx: ctx, arrival: a, callers: by, ended: make(chan struct{})}
	p.job = client.Job{Template: a.Stream.Template, Tasks: a.Tasks()}
	job := p.job
	job.OnTicket = p.ticketed
	answer, err := by.own.Submit(ctx, job)
	r := Result{Arrival: a, Took: time.Since(due)}
	close(p.ended)
	p.side.Wait()
	r.Tickets, r.Again, r.Cancelled = p.tickets, p.sentAgain, p.cancelled
	if err != nil {
		r.Outcome, r.Reason = noAnswer, errorKind(err)
		r.Wrong = p.again != nil && p.wrong(p.again)
		return r
	}
	r.Outcome, r.Reason, r.Sent = answer.Outcome, answer.Reason, answer.Sent
	r.Wrong = p.wrong(answer)
	if p.again != nil {
		r.Wrong = r.Wrong || p.wrong(p.again)
		r.Contradicted = contradict(answerUnder(p.again.Ticket, answer), p.again.Outcome)
		if r.Contradicted {
			klog.InfoS("load: a job got two different answers", "ticket", p.again.Ticket, "last_ticket", answer.Ticket, "tickets", len(p.tickets),
				"last_outcome", answer.Outcome, "last_reason", answer.Reason, "again_outcome", p.again.Outcome, "again_reason", p.again.Reason)
		}
	}
	return r
}

// ticketed follows the first ticket of the job.
func (p *player) ticketed(ticket, endpoint string) {
	p.tickets = append(p.tickets, ticket)
	if p.submitted != nil {
		p.submitted(ticket, p.arrival.Stream.Account)
	}
	if len(p.tickets) > 1 {
		return
	}
	switch {
	case p.arrival.ResubmitAfter > 0:
		p.side.Go(func() { p.resubmit(ticket, endpoint) })
	case p.arrival.CancelAfter > 0:
		p.side.Go(func() { p.cancel(ticket, endpoint) })
	}
}

func (p *player) resubmit(ticket, endpoint string) {
	if !p.wait(p.arrival.ResubmitAfter) {
		return
	}
	p.sentAgain = true
	answer, err := p.elsewhere(endpoint).Resume(p.ctx, ticket, p.job)
	if err == nil {
		p.again = answer
	}
}

func (p *player) cancel(ticket, endpoint string) {
	if !p.wait(p.arrival.CancelAfter) {
		return
	}
	p.cancelled = true
	// A lost cancellation is no fault of the job: it ends as if not cancelled.
	_ = p.elsewhere(endpoint).Cancel(p.ctx, ticket)
}

// wait reports whether the job still runs after d.
func (p *player) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-p.ended:
		return false
	case <-t.C:
		return true
	}
}

func (p *player) wrong(a *client.Answer) bool {
	return a.Outcome == client.Complete && !p.arrival.Answered(a.Outputs)
}

// answerUnder is the outcome that the submission had under one of its tickets:
// those before the last were not run.
func answerUnder(ticket string, last *client.Answer) client.Outcome {
	if ticket == last.Ticket {
		return last.Outcome
	}
	return client.NotRun
}

// contradict reports whether two answers can not both be true. Unknown
// contradicts nothing.
func contradict(a, b client.Outcome) bool {
	return a != b && a != client.Unknown && b != client.Unknown
}

// errorKind groups errors for the report.
func errorKind(err error) string {
	var noTicket *client.NoTicketError
	if errors.As(err, &noTicket) {
		return reasonNoTicket
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return "timeout"
	}
	var unresolved *client.UnresolvedError
	if errors.As(err, &unresolved) {
		return "unresolved"
	}
	return err.Error()
}
