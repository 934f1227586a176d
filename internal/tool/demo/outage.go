package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
	platformstandin "github.com/pumiceyard/pumiceyard/internal/standin/platform"
	"github.com/pumiceyard/pumiceyard/internal/standin/site"
)

// outageHalf is half the time for which the platform is out.
const outageHalf = 4 * time.Second

// storeOutage takes the platform out, and kills and replaces an entry VM
// meanwhile. What the killed VM had taken may end as unknown; every job of the
// others goes on.
func (r *run) storeOutage(ctx context.Context) error {
	pause.For(ctx, 2*settle)
	r.say("the platform is out: no store, no list of VMs")
	r.site.Platform.SetFaults(platformstandin.Faults{Outage: true})
	pause.For(ctx, settle)
	if err := r.refusedPublication(ctx); err != nil {
		return err
	}
	if err := r.replaceKilled(ctx); err != nil {
		return err
	}
	r.outage.settled = time.Now()
	pause.For(ctx, outageHalf)
	r.outage.ended = time.Now()
	r.site.Platform.SetFaults(platformstandin.Faults{})
	r.say("the platform is back")
	if err := r.publishAfter(ctx); err != nil {
		return err
	}
	if err := r.await(ctx, r.site.AwaitReady); err != nil {
		return err
	}
	pause.For(ctx, 2*settle)
	return nil
}

// outage is what the store-outage scenario did.
type outage struct {
	settled time.Time // the killed entry VM is replaced, the platform still out
	ended   time.Time
}

// refusedPublication publishes during the outage.
func (r *run) refusedPublication(ctx context.Context) error {
	before := r.highestRevision()
	_, err := r.publishAgain(ctx, "demo-during-outage")
	var down *storeclient.UnavailableError
	if !errors.As(err, &down) {
		return fmt.Errorf("a publication during the outage ended with %v, not with a refusal", err)
	}
	r.say("publishing is refused: %v", down)
	if after := r.highestRevision(); after != before {
		return fmt.Errorf("a refused publication put revision %d in force", after)
	}
	return nil
}

// replaceKilled kills an entry VM and starts one in its place, which has nobody
// but its peers to ask for the list of VMs and the configuration.
func (r *run) replaceKilled(ctx context.Context) error {
	victim := r.site.Entries()[2]
	if err := r.all.setEndpoints(r.site.EndpointsWhere(func(e *site.Entry) bool { return e != victim })); err != nil {
		return err
	}
	r.site.KillEntry(victim)
	r.say("killed entry VM %s (%s)", victim.Name, victim.Domain)
	began := time.Now()
	fresh, err := r.site.AddEntry(victim.Domain)
	if err != nil {
		return err
	}
	if err := r.await(ctx, r.site.AwaitReady); err != nil {
		return fmt.Errorf("replacing an entry VM during the outage: %w", err)
	}
	r.say("%s took its place with revision %d of its peers, ready with all leases held after %.1f s",
		fresh.Name, fresh.VM.Status().Revision, time.Since(began).Seconds())
	return r.all.setEndpoints(r.site.Endpoints())
}

// publishAfter publishes once the platform is back. The store client's circuit
// breaker is the publisher's own, so that the first attempt finds the store.
func (r *run) publishAfter(ctx context.Context) error {
	began := time.Now()
	revision, err := r.publishAgain(ctx, "demo-after-outage")
	if err != nil {
		return fmt.Errorf("publishing after the outage: %w", err)
	}
	if err := r.awaitRevision(ctx, revision, healWithin); err != nil {
		return err
	}
	r.say("revision %d is in force on all entry VMs %.1f s after the outage", revision, time.Since(began).Seconds())
	return nil
}

// checkOutage holds that jobs went on during the outage, the replaced entry VM
// aside.
func (r *run) checkOutage() error {
	served, other := 0, 0
	for _, j := range r.jobs {
		if j.sent.Before(r.outage.settled) || j.ended.After(r.outage.ended) {
			continue
		}
		if j.complete {
			served++
		} else {
			other++
		}
	}
	r.say("during the outage, after the replacement: %d jobs complete, %d not", served, other)
	if served == 0 || other > 0 {
		return errors.New("jobs did not go on during the outage")
	}
	if n := r.tally.outcomes[client.NotRun] + r.tally.outcomes[client.Failed]; n > 0 {
		return fmt.Errorf("%d jobs failed or were not run", n)
	}
	return nil
}
