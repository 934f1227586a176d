package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/pause"
	"github.com/pumiceyard/pumiceyard/internal/standin/worker"
	"github.com/pumiceyard/pumiceyard/internal/tool/verdict"
	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

const (
	perWatt = 1000 // milliwatts
	// lowerAfter of the load the cap is lowered, in percent: the workers of the
	// entry VM that was killed have no holder then.
	lowerAfter = 50
	percent    = 100
)

// powerWatch follows the site's draw, in milliwatts, idle included. The run's
// mutex guards it.
type powerWatch struct {
	cap  uint64 // that every failure domain keeps to by now
	peak uint64 // over the cap that counted at the time
	over float64

	lowered time.Time // the lower cap was published
	next    uint64    // the lower cap
	above   time.Time // last sample above the lower cap
	kept    time.Time // every domain's plan under the lower cap was complete

	// Of the samples from kept on, while jobs were submitted.
	samples int
	drawn   uint64
	idle    uint64 // of the workers that live
}

// overCap is the highest draw over the cap of its time.
func (p *powerWatch) overCap() float64 { return p.over }

// see takes a sample.
func (p *powerWatch) see(now time.Time, draw, idle uint64, loaded bool) {
	p.peak = max(p.peak, draw)
	p.over = max(p.over, float64(draw)/float64(p.cap))
	if p.next > 0 && draw > p.next {
		p.above = now
	}
	if !p.kept.IsZero() && loaded {
		p.samples++
		p.drawn += draw
		p.idle += idle
	}
}

// report prints what became of the lower cap.
func (p *powerWatch) report(w io.Writer) {
	fmt.Fprintf(w, "peak draw\t%d W\n", p.peak/perWatt)
	if p.lowered.IsZero() {
		return
	}
	below := max(0, p.above.Sub(p.lowered))
	fmt.Fprintf(w, "draw below the lower cap for good after\t%d ms\n", below.Milliseconds())
	if p.kept.IsZero() {
		fmt.Fprintf(w, "the lower cap was not in force by the end\n")
		return
	}
	fmt.Fprintf(w, "lower cap in force in every failure domain after\t%d ms\n", p.kept.Sub(p.lowered).Milliseconds())
	if p.samples > 0 {
		whole := float64(p.cap) * float64(p.samples)
		fmt.Fprintf(w, "mean draw over the lower cap from then on\t%.3f\n", float64(p.drawn)/whole)
		fmt.Fprintf(w, "  both above idle\t%.3f\n", float64(p.drawn-p.idle)/(whole-float64(p.idle)))
	}
}

// watchPower samples the site's draw until the returned function is called.
func (r *run) watchPower() func() {
	end := time.Now().Add(r.opt.Load)
	return verdict.SampleDraw(r.site, func(uint64) {
		draw, idle := r.draw()
		now := time.Now()
		r.mu.Lock()
		r.watch.see(now, draw, idle, now.Before(end))
		r.mu.Unlock()
	})
}

// draw is the site's present draw, and what of it is idle draw, in milliwatts.
func (r *run) draw() (draw, idle uint64) {
	for _, w := range r.site.Workers() {
		now, _ := w.Draw()
		if now > 0 {
			draw += uint64(now)
			idle += uint64(w.Idle())
		}
	}
	return draw, idle
}

// allotted is what is in force at workers, in milliwatts.
func (r *run) allotted() uint64 {
	var sum uint64
	for _, w := range r.site.Workers() {
		sum += w.Allotted()
	}
	return sum
}

// behaviour is Behaviour with a draw that may be another than declared.
func (r *run) behaviour(template string, input []byte) worker.Outcome {
	out := workload.Behaviour(template, input)
	if t := r.doc.Template(template); t != nil {
		out.Milliwatts = uint32(float64(t.Declared.Milliwatts) * r.opt.Draw)
	}
	return out
}

// withCap is the deployment's document with a lower cap, each failure domain's
// part lowered alike.
func (r *run) withCap() *document.Document {
	d := *r.doc
	old := d.Site.PowerCapMilliwatts
	d.Revision = r.revision
	d.Site.PowerCapMilliwatts = r.opt.CapWatts * perWatt
	d.Site.Domains = maps.Clone(d.Site.Domains)
	for name, part := range d.Site.Domains {
		d.Site.Domains[name] = part * d.Site.PowerCapMilliwatts / old
	}
	return &d
}

// lowerCap publishes the lower cap and waits until every failure domain keeps to
// it. From then on the draw is held against it.
func (r *run) lowerCap(ctx context.Context) {
	if !pause.For(ctx, r.opt.Load*lowerAfter/percent) {
		return
	}
	d := r.withCap()
	draw, _ := r.draw()
	r.say("publishing a cap of %d W, the site draws %d W of %d W allotted", r.opt.CapWatts, draw/perWatt, r.allotted()/perWatt)
	r.mu.Lock()
	r.watch.lowered, r.watch.next = time.Now(), d.Site.PowerCapMilliwatts
	r.mu.Unlock()
	if _, err := r.site.Publish(ctx, d, "demo", "demo-cap"); err != nil {
		r.say("the lower cap was not published: %v", err)
		return
	}
	for !r.keeps(d) {
		if !pause.For(ctx, verdict.DrawInterval) {
			return
		}
	}
	r.mu.Lock()
	r.watch.kept, r.watch.cap = time.Now(), r.watch.next
	r.mu.Unlock()
	draw, _ = r.draw()
	r.say("the lower cap is in force: %d W allotted, the site draws %d W; what the entry VMs decided last:", r.allotted()/perWatt, draw/perWatt)
	r.printPower()
}

// keeps reports whether every failure domain is under a plan within its part.
func (r *run) keeps(d *document.Document) bool {
	kept := make(map[string]bool)
	for _, e := range r.site.Entries() {
		p := e.VM.Status().Power
		if p.Complete && uint64(p.Part) <= d.Site.Domains[e.Domain] {
			kept[e.Domain] = true
		}
	}
	return len(kept) == len(d.Site.Domains)
}

// printPower prints each entry VM's watts.
func (r *run) printPower() {
	for _, e := range r.site.Entries() {
		p := e.VM.Status().Power
		fmt.Fprintf(r.opt.Out, "         %-3s plan %d: %4d W allotted, %4d W committed, %4d W free; %s %s\n", e.Name, p.Revision,
			p.Allotted/perWatt, p.Committed/perWatt, p.Free/perWatt, p.LastDecision.Reason, p.LastDecision.Concerns)
	}
}
