// Package demo runs a small site with real sockets in one process, submits real
// jobs through the SDK, breaks things on the way and checks every promise
// against the workers' own records of starts.
package demo

import (
	"context"
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
	Explain    string  // template whose slowest job is explained; empty: any
	CapWatts   uint64  // the site's cap is lowered to it half way; 0: it stays
	Draw       float64 // what tasks draw over what their template declares
	Rate       float64 // jobs over the deployment's usual rate
	Out        io.Writer
}

const startTimeout = 10 * time.Second

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
	clients map[string]*client.Client
}

// Run runs the demo and returns an error when a promise was broken.
func Run(ctx context.Context, opt Options) error {
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
	if err := profile.SetDuration(opt.Load); err != nil {
		return err
	}
	r := &run{opt: opt, profile: profile, doc: doc, began: time.Now(), clients: make(map[string]*client.Client)}
	r.watch.cap = doc.Site.PowerCapMilliwatts
	profile.Scale(opt.Rate)
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
	domains := workload.Domains(r.doc)
	opt := site.Defaults(domains)
	opt.EntryVMs = int(r.profile.Site.EntryVMs)
	opt.Workers = int(r.profile.Site.Workers)
	opt.PerRack = int(r.profile.Site.PerRack)
	opt.Behaviour = r.behaviour
	opt.Tune = func(s *entry.Settings) { s.ShutdownMillis = 10_000 }
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
	return r.connect()
}

// connect makes one SDK client per account.
func (r *run) connect() error {
	for _, s := range r.profile.Streams {
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

// load submits the jobs at their times, whatever the site does, and breaks
// things meanwhile.
func (r *run) load(ctx context.Context) {
	var faults sync.WaitGroup
	faults.Go(func() { r.faults(ctx) })
	if r.opt.CapWatts > 0 {
		faults.Go(func() { r.lowerCap(ctx) })
	}
	arrivals := workload.Schedule(r.profile)
	workload.Drive(ctx, arrivals, int(r.profile.MaxUnderWay), func(a *workload.Arrival, due time.Time) {
		ctx, cancel := context.WithTimeout(ctx, r.profile.AnswerTimeout())
		defer cancel()
		job := client.Job{Template: a.Stream.Template, Tasks: a.Tasks()}
		answer, err := r.clients[a.Stream.Account].Submit(ctx, job)
		r.record(a, time.Since(due), answer, err)
	})
	faults.Wait()
}

// faults kills one entry VM and one worker, a third of the load apart.
func (r *run) faults(ctx context.Context) {
	third := r.opt.Load / 3
	if !workload.Pause(ctx, third) {
		return
	}
	victim := r.site.Entries()[2]
	r.say("killing entry VM %s (%s): its jobs lose their home, its workers their lease holder", victim.Name, victim.Domain)
	r.site.KillEntry(victim)
	if !workload.Pause(ctx, third) {
		return
	}
	w := r.site.Workers()[7]
	r.say("killing worker %s (%s, rack %s): tasks that run there can not be proven to have ended", w.ID(), w.Domain, w.Rack)
	r.site.KillWorker(w)
}
