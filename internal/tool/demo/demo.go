// Package demo runs a small site with real sockets in one process, submits real
// jobs through the SDK, breaks things on the way and checks every promise
// against the workers' own records of starts.
package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/process/entry"
	"github.com/pumiceyard/pumiceyard/internal/standin/site"
	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// Options of a run.
type Options struct {
	Deployment string
	Load       time.Duration // how long jobs are submitted
	Seed       uint64
	Scenario   Scenario // what breaks; empty: Crash
	Explain    string   // template whose slowest job is explained; empty: any
	CapWatts   uint64   // the site's cap is lowered to it half way; 0: it stays
	Draw       float64  // what tasks draw over what their template declares
	Rate       float64  // jobs over the deployment's usual rate
	Out        io.Writer
}

const startTimeout = 10 * time.Second

// Bounds of planned stops. Callers learn at once which entry VMs there are, so
// that a VM need not take requests for long after it turned unready.
const (
	shutdownMillis = 10_000
	unreadyMillis  = 300
)

func tune(s *entry.Settings) {
	s.ShutdownMillis = shutdownMillis
	s.UnreadyMillis = unreadyMillis
}

// run is one demo under way.
type run struct {
	opt     Options
	profile *workload.Profile
	doc     *document.Document
	site    *site.Site
	began   time.Time
	// revision of the document that the demo published last.
	revision uint64

	mu      sync.Mutex
	tally   tally
	watch   powerWatch
	slowest slowest
	jobs    []job
	script  script
	all     callers // that reach every entry VM
	cut     cut
	outage  outage
}

// Run runs the demo and returns an error when a promise was broken.
func Run(ctx context.Context, opt Options) error {
	script, ok := scripts()[cmp.Or(opt.Scenario, Crash)]
	if !ok {
		return &UnknownScenarioError{opt.Scenario}
	}
	profile, err := workload.Load(opt.Deployment)
	if err != nil {
		return err
	}
	doc, err := profile.Configuration()
	if err != nil {
		return err
	}
	profile = profile.Steady()
	profile.Seed = opt.Seed
	opt.Load = cmp.Or(script.load, opt.Load)
	if err := profile.SetDuration(opt.Load); err != nil {
		return err
	}
	r := &run{opt: opt, profile: profile, doc: doc, began: time.Now(), script: script}
	r.watch.cap = doc.Site.PowerCapMilliwatts
	profile.Scale(opt.Rate)
	err = r.start(ctx)
	if r.site != nil {
		defer r.site.Stop()
	}
	if err != nil {
		return err
	}
	stopWatch := r.watchPower()
	broken := r.load(ctx)
	stopWatch()
	return errors.Join(broken, r.report(), r.script.check(r))
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.opt.Out, "%6.2fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// start brings the site up and publishes the configuration.
func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	domains := workload.Domains(r.doc)
	opt := site.Defaults(domains)
	opt.EntryVMs = int(r.profile.Site.EntryVMs)
	opt.Workers = int(r.profile.Site.Workers)
	opt.WorkersPerRack = int(r.profile.Site.PerRack)
	opt.Behaviour = r.behaviour
	opt.AdjustSettings = tune
	r.say("starting %s: %d failure domains, %d entry VMs, %d workers with 8 slots, stand-in platform", r.profile.Name, len(domains), opt.EntryVMs, opt.Workers)
	s, err := site.Start(opt)
	if err != nil {
		return err
	}
	r.site = s
	revision, err := s.Publish(ctx, r.doc, "demo", "demo-first")
	if err != nil {
		return fmt.Errorf("publishing: %w", err)
	}
	r.revision = revision
	r.say("configuration revision %d is in force on all entry VMs: %d templates, %d client accounts", revision, len(r.doc.Templates), len(r.doc.Accounts))
	if err := s.AwaitReady(ctx); err != nil {
		return fmt.Errorf("site: %w", err)
	}
	r.say("all entry VMs are ready, every worker's lease is held")
	r.say("watts are allotted: %d W at workers, the cap is %d W", r.allotted()/perWatt, r.watch.cap/perWatt)
	if r.all, err = newCallers(r.profile, s.Endpoints()); err != nil {
		return err
	}
	return r.planCut()
}

// load submits the jobs at their times, whatever the site does, and breaks
// things meanwhile.
func (r *run) load(ctx context.Context) error {
	driving, stop := context.WithCancel(ctx)
	defer stop()
	var faults sync.WaitGroup
	var broken error
	faults.Go(func() {
		broken = r.script.faults(r, ctx)
		if r.script.load != 0 {
			stop()
		}
	})
	if r.opt.CapWatts > 0 {
		faults.Go(func() { r.lowerCap(ctx) })
	}
	arrivals := workload.Schedule(r.profile)
	number := 0
	workload.Drive(driving, arrivals, int(r.profile.MaxUnderWay), func(a *workload.Arrival, due time.Time) {
		ctx, cancel := context.WithTimeout(ctx, r.profile.AnswerTimeout())
		defer cancel()
		by := r.callersOf(&number)
		j := job{arrival: a, callers: by, sent: time.Now()}
		answer, err := by.clients[a.Stream.Account].Submit(ctx, client.Job{Template: a.Stream.Template, Tasks: a.Tasks()})
		j.answer, j.ended = answer, time.Now()
		r.record(j, time.Since(due), err)
	})
	faults.Wait()
	return broken
}

// callersOf picks the callers of the next job.
func (r *run) callersOf(number *int) callers {
	if r.script.caller == nil {
		return r.all
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	*number++
	return r.script.caller(r, *number)
}
