package demo

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/standin/site"
	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
)

// Scenario names what the demo breaks.
type Scenario string

// The scenarios.
const (
	// Crash kills an entry VM and a worker.
	Crash Scenario = "crash"
	// RollingRestart replaces each entry VM by a planned stop.
	RollingRestart Scenario = "rolling-restart"
	// Partition cuts one failure domain off.
	Partition Scenario = "partition"
	// StoreOutage takes the platform out and replaces an entry VM meanwhile.
	StoreOutage Scenario = "store-outage"
)

// script is how a scenario runs.
type script struct {
	// faults breaks things under load. The load of the longer scenarios ends
	// with it. Its error is a promise that was seen broken on the way.
	faults func(*run, context.Context) error
	// check judges the jobs once all have ended.
	check func(*run) error
	// load is how long jobs are submitted at most; 0: as the options say.
	load time.Duration
	// caller picks the callers of a job, by its number; nil: those of the site.
	caller func(r *run, number int) callers
}

// longestLoad bounds the load of a scenario that ends by itself.
const longestLoad = time.Minute

// scripts are the scenarios by name.
func scripts() map[Scenario]script {
	return map[Scenario]script{
		Crash:          {faults: (*run).crash, check: (*run).checkNothing},
		RollingRestart: {faults: (*run).rollingRestart, check: (*run).checkAllComplete, load: longestLoad},
		StoreOutage:    {faults: (*run).storeOutage, check: (*run).checkOutage, load: longestLoad},
		Partition:      {faults: (*run).partition, check: (*run).checkPartition, load: longestLoad, caller: (*run).partitionCaller},
	}
}

// UnknownScenarioError names a scenario that there is not.
type UnknownScenarioError struct{ Name Scenario }

func (e *UnknownScenarioError) Error() string {
	var names []string
	for name := range scripts() {
		names = append(names, string(name))
	}
	slices.Sort(names)
	return fmt.Sprintf("no scenario %q: there are %s", e.Name, strings.Join(names, ", "))
}

// job is one job as its caller saw it.
type job struct {
	arrival  *workload.Arrival
	callers  callers
	sent     time.Time
	ended    time.Time
	answer   *client.Answer // nil: none
	complete bool
}

// crash kills one entry VM and one worker, a third of the load apart.
func (r *run) crash(ctx context.Context) error {
	third := r.opt.Load / 3
	if !pause.For(ctx, third) {
		return ctx.Err()
	}
	victim := r.site.Entries()[2]
	r.say("killing entry VM %s (%s): its jobs lose their home, its workers their lease holder", victim.Name, victim.Domain)
	r.site.KillEntry(victim)
	if !pause.For(ctx, third) {
		return ctx.Err()
	}
	w := r.site.Workers()[7]
	r.say("killing worker %s (%s, rack %s): tasks that run there can not be proven to have ended", w.ID(), w.Domain, w.Rack)
	r.site.KillWorker(w)
	return nil
}

// checkNothing is for a scenario with no promise beyond those of every run.
func (r *run) checkNothing() error { return nil }

// settle is the time before the first fault and after the last.
const settle = 500 * time.Millisecond

// rollingRestart stops each entry VM as planned and replaces it by a new one.
func (r *run) rollingRestart(ctx context.Context) error {
	pause.For(ctx, settle)
	for i, old := range r.site.Entries() {
		fresh, err := r.replace(ctx, old)
		if err != nil {
			return err
		}
		r.say("%d of %d: %s (%s) was stopped as planned, %s took its place", i+1, r.profile.Site.EntryVMs, old.Name, old.Domain, fresh.Name)
	}
	if err := r.await(ctx, r.site.AwaitReady); err != nil {
		return err
	}
	pause.For(ctx, settle)
	return nil
}

// replace starts a new entry VM and stops the old one as planned. Callers are
// told of the new one when it is ready, and no longer of the old one.
func (r *run) replace(ctx context.Context, old *site.Entry) (*site.Entry, error) {
	fresh, err := r.site.AddEntry(old.Domain)
	if err != nil {
		return nil, err
	}
	if err := r.await(ctx, r.site.AwaitReady); err != nil {
		return nil, err
	}
	endpoints := r.site.EndpointsWhere(func(e *site.Entry) bool { return e != old })
	if err := r.all.setEndpoints(endpoints); err != nil {
		return nil, err
	}
	if !r.site.StopEntry(ctx, old) {
		return nil, fmt.Errorf("entry VM %s had not finished at the bound of its planned stop", old.Name)
	}
	return fresh, nil
}

// await waits for the site, for startTimeout at most.
func (r *run) await(ctx context.Context, site func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return site(ctx)
}

// checkAllComplete holds a planned change to its promise: no request is cut off
// and no job ends otherwise than complete.
func (r *run) checkAllComplete() error {
	cut := r.all.cutOff()
	r.say("requests cut off %d, jobs not complete %d", cut, r.tally.jobs-r.tally.outcomes[client.Complete])
	var errs []error
	if cut > 0 {
		errs = append(errs, fmt.Errorf("%d requests were cut off", cut))
	}
	if n := r.tally.jobs - r.tally.outcomes[client.Complete]; n > 0 {
		errs = append(errs, fmt.Errorf("%d jobs were not complete", n))
	}
	return errors.Join(errs...)
}
