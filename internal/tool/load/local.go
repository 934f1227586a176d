package load

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/process/entry"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
	"github.com/pumiceyard/pumiceyard/internal/standin/site"
	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
	"github.com/pumiceyard/pumiceyard/internal/tool/verdict"
	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

// localSite is the in-process site under load, and what is measured at it.
type localSite struct {
	site    *site.Site
	entries []*site.Entry // in the order of their start
	options site.Options
	meters  *meters
	base    siteTraffic // before the load

	began    time.Time
	draw     verdict.Draw
	drawBins []verdict.Draw // one per drawBin
	unwatch  func()
	quotas   *quotaWatch

	mu    sync.Mutex
	marks []mark
}

// mark is something that happened to the site during the load.
type mark struct {
	At   time.Duration // after the start of the load
	Text string
}

// shutdownMillis bounds a planned stop of the in-process site's entry VMs.
const shutdownMillis = 10_000

// drawBin is the width of one point in the plot of the draw.
const drawBin = 100 * time.Millisecond

// roles are those of the listeners whose bytes are reported.
var roles = []string{"caller", "peer", "worker", "platform"}

// meters count bytes by the role of the listener that they pass.
type meters struct{ byRole map[string]*traffic }

func newMeters() *meters {
	m := &meters{byRole: map[string]*traffic{"operator": {}}}
	for _, role := range roles {
		m.byRole[role] = &traffic{}
	}
	return m
}

// WrapListener implements entry.ListenerWrapper.
func (m *meters) WrapListener(role string, l net.Listener) net.Listener {
	return countedListener{l, m.byRole[role]}
}

// siteTraffic is what passed inside the site up to a time.
type siteTraffic struct {
	bytes   map[string]int64 // by role, both directions
	workers worker.Traffic
}

func (l *localSite) trafficNow() siteTraffic {
	t := siteTraffic{bytes: make(map[string]int64)}
	for _, role := range roles {
		t.bytes[role] = l.meters.byRole[role].total()
	}
	for _, w := range l.site.Workers() {
		one := w.Traffic()
		t.workers.Received += one.Received
		t.workers.Sent += one.Sent
		t.workers.Refused += one.Refused
		t.workers.Duplicates += one.Duplicates
	}
	return t
}

// startLocal starts a site of the profile's size with the document in force.
func startLocal(ctx context.Context, p *workload.Profile, doc *document.Document) (*localSite, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	l := &localSite{meters: newMeters(), quotas: newQuotaWatch(doc)}
	l.options = site.Defaults(workload.Domains(doc))
	l.options.EntryVMs = int(p.Site.EntryVMs)
	l.options.Workers = int(p.Site.Workers)
	l.options.WorkersPerRack = int(p.Site.PerRack)
	l.options.Behaviour = workload.Behaviour
	l.options.AdjustSettings = func(s *entry.Settings) { s.ShutdownMillis = shutdownMillis }
	l.options.Wrapper = l.meters
	s, err := site.Start(l.options)
	if err != nil {
		return nil, err
	}
	l.site, l.entries = s, s.Entries()
	if _, err = s.Publish(ctx, doc, "load", "load-first"); err == nil {
		err = s.AwaitReady(ctx)
	}
	if err != nil {
		s.Stop()
		return nil, err
	}
	return l, nil
}

func (l *localSite) stop() { l.site.Stop() }

// slots is how many slots the site has before any fault.
func (l *localSite) slots() float64 {
	return float64(l.options.Workers) * float64(l.options.Capacity.Slots)
}

// beginLoad notes the traffic before the load and samples the draw until
// endLoad.
func (l *localSite) beginLoad() {
	l.began = time.Now()
	l.base = l.trafficNow()
	l.unwatch = verdict.SampleDraw(l.site, func(milliwatts uint64) {
		l.draw.Add(milliwatts)
		bin := int(time.Since(l.began) / drawBin)
		for len(l.drawBins) <= bin {
			l.drawBins = append(l.drawBins, verdict.Draw{})
		}
		l.drawBins[bin].Add(milliwatts)
		l.quotas.sample(l.inUse())
	})
}

// inUse returns the slots that each submission occupies now. The workers are
// asked one after another, so a task that ends on one while another starts
// elsewhere may be counted beside it.
func (l *localSite) inUse() map[ticket.ID]uint32 {
	out := make(map[ticket.ID]uint32)
	for _, w := range l.site.Workers() {
		w.EachInUse(func(id ticket.ID, slots uint32) { out[id] += slots })
	}
	return out
}

// submitted notes whose submission a ticket is.
func (l *localSite) submitted(token, account string) {
	l.quotas.submitted(site.SubmissionID(token), account)
}

// peakSlotsOfWorker is the most slots in use at a time on any worker.
func (l *localSite) peakSlotsOfWorker() uint32 {
	var peak uint32
	for _, w := range l.site.Workers() {
		peak = max(peak, w.PeakSlots())
	}
	return peak
}

func (l *localSite) endLoad() { l.unwatch() }

// inject brings about the faults at their times and returns when all are over.
func (l *localSite) inject(ctx context.Context, faults []workload.Fault, say func(string, ...any)) {
	began := time.Now()
	var under sync.WaitGroup
	for i := range faults {
		under.Go(func() {
			f := &faults[i]
			if !pause.For(ctx, f.At()) {
				return
			}
			l.note(time.Since(began), l.begin(f), say)
			if f.For() > 0 && pause.For(ctx, f.For()) {
				l.note(time.Since(began), l.end(f), say)
			}
		})
	}
	under.Wait()
}

func (l *localSite) note(at time.Duration, text string, say func(string, ...any)) {
	say("%5.1fs  %s", at.Seconds(), text)
	l.mu.Lock()
	l.marks = append(l.marks, mark{at, text})
	l.mu.Unlock()
}

// begin brings about a fault and returns what was done.
func (l *localSite) begin(f *workload.Fault) string {
	if f.Kind == workload.KillEntryVM {
		e := l.entries[f.Index]
		l.site.KillEntry(e)
		return fmt.Sprintf("entry VM %s (%s) killed", e.Name, e.Domain)
	}
	w := l.site.Workers()[f.Index]
	switch f.Kind {
	case workload.KillWorker:
		l.site.KillWorker(w)
		return fmt.Sprintf("worker %s (%s) killed", w.ID(), w.Domain)
	case workload.FailEverything:
		w.SetFaults(worker.Faults{FailEverything: true})
		return fmt.Sprintf("worker %s (%s) fails every task", w.ID(), w.Domain)
	default:
		w.SetFaults(worker.Faults{Silent: true})
		return fmt.Sprintf("worker %s (%s) falls silent", w.ID(), w.Domain)
	}
}

func (l *localSite) end(f *workload.Fault) string {
	w := l.site.Workers()[f.Index]
	w.SetFaults(worker.Faults{})
	return fmt.Sprintf("worker %s (%s) is well again", w.ID(), w.Domain)
}
