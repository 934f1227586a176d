package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/standin/site"
)

// Times of the partition scenario.
const (
	cutFor = 8 * time.Second
	// cutSettles is how long after the cut a job of the cut-off failure domain
	// may still be one that had tasks on the other side.
	cutSettles = 2 * time.Second
	// healWithin bounds how long the cut-off failure domain may go on with the
	// old configuration once the cut has healed.
	healWithin = 6 * time.Second
	// innerEvery is how many jobs there are to one that is submitted inside the
	// cut-off failure domain.
	innerEvery = 4
)

// cut is what the partition scenario did.
type cut struct {
	domain       string
	inner, outer callers // inside and outside of the cut-off failure domain
	began, ended time.Time
}

// planCut picks the failure domain and makes its callers.
func (r *run) planCut() (err error) {
	r.cut.domain = r.site.Entries()[0].Domain
	inside := func(e *site.Entry) bool { return e.Domain == r.cut.domain }
	outside := func(e *site.Entry) bool { return !inside(e) }
	if r.cut.inner, err = newCallers(r.profile, r.site.EndpointsWhere(inside)); err != nil {
		return err
	}
	r.cut.outer, err = newCallers(r.profile, r.site.EndpointsWhere(outside))
	return err
}

// partitionCaller submits one job in innerEvery inside the failure domain.
func (r *run) partitionCaller(number int) callers {
	if number%innerEvery == 0 {
		return r.cut.inner
	}
	return r.cut.outer
}

// partition cuts a failure domain off, publishes outside meanwhile, and heals.
func (r *run) partition(ctx context.Context) error {
	pause.For(ctx, 4*settle)
	r.say("cutting %s off from the other failure domains and from the platform", r.cut.domain)
	r.site.CutDomain(r.cut.domain)
	r.cut.began = time.Now()
	pause.For(ctx, cutFor/2)
	revision, err := r.publishAgain(ctx, "demo-during-cut")
	if err != nil {
		return fmt.Errorf("publishing outside of the cut: %w", err)
	}
	r.say("revision %d is published outside; %s can not know", revision, r.cut.domain)
	pause.For(ctx, cutFor/2)
	old := r.lowestRevision()
	r.cut.ended = time.Now()
	r.site.ReconnectDomain(r.cut.domain)
	r.say("healing the cut: %s still has revision %d in force", r.cut.domain, old)
	if old >= revision {
		return fmt.Errorf("revision %d came through the cut", revision)
	}
	if err := r.awaitRevision(ctx, revision, healWithin); err != nil {
		return err
	}
	r.say("revision %d is in force on all entry VMs %.1f s after the cut has healed", revision, time.Since(r.cut.ended).Seconds())
	if err := r.await(ctx, r.site.AwaitReady); err != nil {
		return err
	}
	pause.For(ctx, 4*settle)
	if low := r.lowestRevision(); low < revision {
		return fmt.Errorf("an entry VM went back to revision %d from %d", low, revision)
	}
	return nil
}

// checkPartition holds that the cut-off failure domain served its own callers
// from its own workers.
func (r *run) checkPartition() error {
	records := r.site.RecordsWhere(func(w *site.Worker) bool { return w.Domain != r.cut.domain })
	served, failed, outside := 0, 0, 0
	for _, j := range r.jobs {
		inside := j.callers.transport == r.cut.inner.transport
		if !inside || j.sent.Before(r.cut.began.Add(cutSettles)) || j.ended.After(r.cut.ended) {
			continue
		}
		switch {
		case !j.complete:
			failed++
		case records.StartsOf(j.answer.Ticket) > 0:
			outside++
		default:
			served++
		}
	}
	r.say("inside of the cut: %d jobs complete from its own workers, %d not complete, %d with tasks outside", served, failed, outside)
	if served == 0 || failed > 0 || outside > 0 {
		return fmt.Errorf("the cut-off failure domain did not serve its callers by itself")
	}
	if n := r.tally.outcomes[client.Complete]; n == 0 {
		return fmt.Errorf("no job was complete")
	}
	return nil
}

// publishAgain publishes the document in force under a new revision.
func (r *run) publishAgain(ctx context.Context, change string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	doc := *r.doc
	doc.Revision = r.highestRevision()
	receipt, err := r.site.PublishOnly(ctx, &doc, "demo", change)
	return receipt.Revision, err
}

// publishTimeout bounds one publication.
const publishTimeout = 3 * time.Second

func (r *run) lowestRevision() uint64 {
	lowest := ^uint64(0)
	for _, e := range r.site.Entries() {
		lowest = min(lowest, e.VM.Status().Revision)
	}
	return lowest
}

func (r *run) highestRevision() uint64 {
	highest := uint64(0)
	for _, e := range r.site.Entries() {
		highest = max(highest, e.VM.Status().Revision)
	}
	return highest
}

// awaitRevision waits until every entry VM has a revision in force.
func (r *run) awaitRevision(ctx context.Context, revision uint64, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if err := r.site.AwaitRevision(ctx, revision); err != nil {
		return fmt.Errorf("revision %d is not in force everywhere: %w", revision, err)
	}
	return nil
}
