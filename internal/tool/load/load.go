// Package load drives a site through the SDK with an open-loop load from a
// profile, and reports how the site answered.
//
// Arrivals follow the profile's schedule, whatever the site does, and responses
// are counted from the scheduled arrival, so the time a job waits is counted
// wherever it waits. Against an in-process site of a deployment's size the
// promises are checked against the worker stand-ins' own records of starts.
package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// Options of a run.
type Options struct {
	Profile *workload.Profile
	// Endpoints are the entry VMs of a site that runs elsewhere. Empty: a site is
	// started in this process.
	Endpoints []string
	Out       io.Writer // progress and the table
	JSON      string    // file for the report, empty: none
	HTML      string    // file for the report with plots, empty: none
	Compare   string    // file of an older report, empty: none
}

const (
	startTimeout   = 20 * time.Second
	progressPeriod = time.Second
	// notRunRetries is how often the SDK submits a job anew that was not run.
	notRunRetries = 2
)

// run is one load under way.
type run struct {
	opt       Options
	profile   *workload.Profile
	doc       *document.Document
	local     *localSite // nil for a site that runs elsewhere
	transport *transport
	accounts  map[string]*account
	began     time.Time
	collector collector
	saying    sync.Mutex // of opt.Out: faults at the same moment are told by a goroutine each
}

// Run drives the load, writes the reports, and returns an error when a promise
// was broken. An invalid older report is refused before the load.
func Run(ctx context.Context, opt Options) error {
	doc, err := opt.Profile.Configuration()
	if err != nil {
		return err
	}
	older, err := readOlder(opt.Compare)
	if err != nil {
		return err
	}
	overhead, err := measureOverhead(ctx, opt.Profile)
	if err != nil {
		return fmt.Errorf("measuring the tool's own overhead: %w", err)
	}
	r := &run{opt: opt, profile: opt.Profile, doc: doc, transport: newTransport()}
	if err := r.start(ctx); err != nil {
		return err
	}
	if r.local != nil {
		defer r.local.stop()
	}
	report := r.measure(ctx)
	report.addOverhead(overhead)
	if err := report.write(&opt, older); err != nil {
		return err
	}
	return report.verdict
}

func (r *run) say(format string, args ...any) {
	r.saying.Lock()
	defer r.saying.Unlock()
	fmt.Fprintf(r.opt.Out, format+"\n", args...)
}

// start brings the site up, when it is to run in this process, and makes the
// clients of all accounts.
func (r *run) start(ctx context.Context) error {
	endpoints := r.opt.Endpoints
	if len(endpoints) == 0 {
		local, err := startLocal(ctx, r.profile, r.doc)
		if err != nil {
			return fmt.Errorf("starting the in-process site: %w", err)
		}
		r.local = local
		endpoints = local.site.Endpoints()
	}
	r.accounts = make(map[string]*account)
	for i := range r.profile.Streams {
		s := &r.profile.Streams[i]
		if r.accounts[s.Account] != nil {
			continue
		}
		a, err := newAccount(s.Key, endpoints, r.transport)
		if err != nil {
			return err
		}
		r.accounts[s.Account] = a
	}
	return nil
}

// measure submits all jobs and returns the report when all have ended.
func (r *run) measure(ctx context.Context) *Report {
	arrivals := workload.Schedule(r.profile)
	r.say("%s: %d jobs in %v, seed %d", r.profile.Name, len(arrivals), r.profile.Duration(), r.profile.Seed)
	cpu := cpuTime()
	r.began = time.Now()
	ctx, end := context.WithCancel(ctx)
	defer end()
	var duties sync.WaitGroup
	duties.Go(func() { r.progress(ctx) })
	if r.local != nil {
		duties.Go(func() { r.local.inject(ctx, r.profile.Faults, r.say) })
		r.local.beginLoad()
	}
	held := workload.Drive(ctx, arrivals, int(r.profile.MaxUnderWay), func(a *workload.Arrival, due time.Time) {
		r.play(ctx, a, due)
	})
	span := time.Since(r.began)
	end()
	duties.Wait()
	if r.local != nil {
		r.local.endLoad()
	}
	m := &measurement{
		profile:  r.profile,
		doc:      r.doc,
		local:    r.local,
		results:  r.collector.take(),
		planned:  len(arrivals),
		held:     held,
		span:     span,
		cpu:      cpuTime() - cpu,
		exchange: r.transport.counts(),
		began:    r.began,
	}
	return m.report()
}

// play submits one job and notes how it ended.
func (r *run) play(ctx context.Context, a *workload.Arrival, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, r.profile.AnswerTimeout())
	defer cancel()
	r.collector.begin()
	own := r.accounts[a.Stream.Account]
	late := time.Since(due)
	by := callers{own: own.client, elsewhere: own.elsewhere}
	if r.local != nil {
		by.submitted = r.local.submitted
	}
	result := play(ctx, a, due, by)
	result.Late = late
	r.collector.end(result)
}

// progress prints a line each period.
func (r *run) progress(ctx context.Context) {
	for pause.For(ctx, progressPeriod) {
		c := r.collector.counts()
		r.say("%5.1fs  %d under way, %d complete, %d failed, %d not run, %d unknown, %d without an answer",
			time.Since(r.began).Seconds(), c.underWay, c.ended[client.Complete], c.ended[client.Failed],
			c.ended[client.NotRun], c.ended[client.Unknown], c.ended[noAnswer])
	}
}
