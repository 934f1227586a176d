// Package demo runs a small site with real sockets in one process, submits real
// jobs through the SDK, breaks things on the way and checks every promise
// against the workers' own records of starts.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/process/entry"
	"github.com/pumiceyard/pumiceyard/internal/standin/site"
)

// Options of a run.
type Options struct {
	Deployment string
	Load       time.Duration // how long jobs are submitted
	Seed       uint64
	Explain    string  // template whose slowest job is explained; empty: any
	CapWatts   uint64  // the site's cap is lowered to it half way; 0: it stays
	Draw       float64 // what tasks draw over what their template declares
	Rate       float64 // jobs over the deployment's usual rate
	Out        io.Writer
}

const (
	entryVMs     = 8
	workers      = 50
	startTimeout = 10 * time.Second
	answerBound  = 15 * time.Second // for one job, with its repeats
)

// run is one demo under way.
type run struct {
	opt   Options
	dep   *Deployment
	site  *site.Site
	began time.Time
	// revision of the document that the demo published last.
	revision uint64

	mu      sync.Mutex
	tally   tally
	watch   powerWatch
	slowest slowest
	clients map[string]*client.Client
}

// Run runs the demo and returns an error when a promise was broken.
func Run(ctx context.Context, opt Options) error {
	dep, err := Load(opt.Deployment)
	if err != nil {
		return err
	}
	slices.Sort(dep.Domains)
	r := &run{opt: opt, dep: dep, began: time.Now(), clients: make(map[string]*client.Client)}
	r.watch.cap = dep.Document.Site.PowerCapMilliwatts
	if err := r.start(ctx); err != nil {
		return err
	}
	defer r.site.Stop()
	stopWatch := r.watchPower()
	r.load(ctx)
	stopWatch()
	return r.report()
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.opt.Out, "%6.2fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// start brings the site up and publishes the configuration.
func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	opt := site.Defaults(r.dep.Domains)
	opt.EntryVMs = entryVMs
	opt.Workers = workers
	opt.PerRack = r.dep.PerRack
	opt.Behaviour = r.behaviour
	opt.Tune = func(s *entry.Settings) { s.ShutdownMillis = 10_000 }
	r.say("starting %s: %d failure domains, %d entry VMs, %d workers with 8 slots, stand-in platform", r.dep.Name, len(r.dep.Domains), entryVMs, workers)
	s, err := site.Start(opt)
	if err != nil {
		return err
	}
	r.site = s
	revision, err := s.Publish(ctx, r.dep.Document, "demo", "demo-first")
	if err != nil {
		return fmt.Errorf("publishing: %w", err)
	}
	r.revision = revision
	r.say("configuration revision %d is in force on all entry VMs: %d templates, %d client accounts", revision, len(r.dep.Document.Templates), len(r.dep.Document.Accounts))
	if err := s.AwaitReady(ctx); err != nil {
		return fmt.Errorf("site: %w", err)
	}
	r.say("all entry VMs are ready, every worker's lease is held")
	r.say("watts are allotted: %d W at workers, the cap is %d W", r.allotted()/perWatt, r.watch.cap/perWatt)
	return r.connect()
}

// connect makes one SDK client per account.
func (r *run) connect() error {
	for _, s := range r.dep.Streams {
		if r.clients[s.Account] != nil {
			continue
		}
		c, err := client.New(client.Options{Endpoints: r.site.Endpoints(), Key: s.Key, NotRunRetries: 2})
		if err != nil {
			return err
		}
		r.clients[s.Account] = c
	}
	return nil
}

// load submits every stream's jobs and breaks things meanwhile.
func (r *run) load(ctx context.Context) {
	var streams sync.WaitGroup
	for i := range r.dep.Streams {
		streams.Go(func() { r.stream(ctx, i) })
	}
	streams.Go(func() { r.faults(ctx) })
	if r.opt.CapWatts > 0 {
		streams.Go(func() { r.lowerCap(ctx) })
	}
	streams.Wait()
}

// faults kills one entry VM and one worker, a third of the load apart.
func (r *run) faults(ctx context.Context) {
	third := r.opt.Load / 3
	if !pause(ctx, third) {
		return
	}
	victim := r.site.Entries()[2]
	r.say("killing entry VM %s (%s): its jobs lose their home, its workers their lease holder", victim.Name, victim.Domain)
	r.site.KillEntry(victim)
	if !pause(ctx, third) {
		return
	}
	w := r.site.Workers()[7]
	r.say("killing worker %s (%s, rack %s): tasks that run there can not be proven to have ended", w.ID(), w.Domain, w.Rack)
	r.site.KillWorker(w)
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stream submits one stream's jobs at its rate, whatever the site does: a slow
// site must not lower the load it is measured under.
func (r *run) stream(ctx context.Context, i int) {
	s := &r.dep.Streams[i]
	rng := rand.New(rand.NewPCG(r.opt.Seed, uint64(i)))
	var jobs sync.WaitGroup
	end := time.Now().Add(r.opt.Load)
	rate := s.PerSecond * r.opt.Rate
	next := time.Now().Add(s.After)
	for n := 0; next.Before(end) && ctx.Err() == nil; n++ {
		if !pause(ctx, time.Until(next)) {
			break
		}
		base := n * s.Tasks
		tasks, longest := s.tasks(rng, base)
		due := next
		jobs.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, answerBound)
			defer cancel()
			a, err := r.clients[s.Account].Submit(ctx, client.Job{Template: s.Template, Tasks: tasks})
			r.record(s, base, longest, time.Since(due), a, err)
		})
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
	}
	jobs.Wait()
}
