package load

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
)

// plotData is what the plots of a report show.
type plotData struct {
	span         time.Duration
	distribution map[string]ratios // by template
	buckets      []bucket          // by the scheduled arrival
	marks        []mark
	shades       []span
	draw         []drawPoint
	capKilowatts float64
}

// bucket is a stretch of time in the plots.
type bucket struct {
	ratios   ratios
	outcomes map[client.Outcome]int
}

// drawPoint is the site's draw over a drawBin, in kilowatts.
type drawPoint struct {
	at         time.Duration
	peak, mean float64
}

const (
	bucketsWanted      = 60
	milliwattsPerKilow = 1e6
)

// bucketWidth cuts the arrivals into about bucketsWanted buckets.
func (m *measurement) bucketWidth() time.Duration {
	return max(m.profile.Duration()/bucketsWanted, time.Millisecond)
}

func (m *measurement) plotData() *plotData {
	d := &plotData{span: m.profile.Duration(), distribution: make(map[string]ratios)}
	width := m.bucketWidth()
	for i := range m.results {
		r := &m.results[i]
		b := d.bucket(int(r.Arrival.At / width))
		b.outcomes[r.Outcome]++
		if r.Outcome != client.Complete {
			continue
		}
		b.ratios.record(m.ratio(r))
		name := r.Arrival.Stream.Template
		if _, ok := d.distribution[name]; !ok {
			d.distribution[name] = newRatios()
		}
		d.distribution[name].record(m.ratio(r))
	}
	d.shades = m.bursts()
	if m.local != nil {
		m.addSitePlots(d)
	}
	return d
}

func (d *plotData) bucket(i int) *bucket {
	for len(d.buckets) <= i {
		d.buckets = append(d.buckets, bucket{newRatios(), make(map[client.Outcome]int)})
	}
	return &d.buckets[i]
}

// bursts are the stretches in which any stream's rate is multiplied.
func (m *measurement) bursts() []span {
	var out []span
	for _, s := range m.profile.Streams {
		for _, b := range s.Bursts {
			out = append(out, span{b.At().Seconds(), b.End().Seconds()})
		}
	}
	return out
}

func (m *measurement) addSitePlots(d *plotData) {
	d.marks = slices.SortedFunc(slices.Values(m.local.marks), func(a, b mark) int { return cmp.Compare(a.At, b.At) })
	d.capKilowatts = float64(m.doc.Site.PowerCapMilliwatts) / milliwattsPerKilow
	for i, bin := range m.local.drawBins {
		d.draw = append(d.draw, drawPoint{
			at:   time.Duration(i) * drawBin,
			peak: float64(bin.Peak) / milliwattsPerKilow,
			mean: bin.Mean() / milliwattsPerKilow,
		})
	}
}

// charts draws all plots of a report.
func (d *plotData) charts() []*chart {
	out := []*chart{d.distributionChart(), d.responseChart(), d.outcomeChart()}
	if len(d.draw) > 0 {
		out = append(out, d.drawChart())
	}
	return out
}

func (d *plotData) timeAxis() axis {
	return linearAxis("time of the scheduled arrival, s", d.span.Seconds())
}

// bucketTime is the middle of a bucket, in seconds.
func (d *plotData) bucketTime(i int) float64 {
	return (float64(i) + 0.5) * d.bucketSeconds()
}

func (d *plotData) bucketSeconds() float64 { return d.span.Seconds() / bucketsWanted }

// percentileTicks label the axis of the distribution, which is logarithmic in
// one over the part that is slower.
var percentileTicks = []tick{
	{1, "0"}, {2, "50"}, {10, "90"}, {100, "99"}, {1000, "99.9"}, {10_000, "99.99"},
}

func (d *plotData) distributionChart() *chart {
	c := &chart{title: "Response over ideal by template, complete jobs"}
	highest, most := 2.0, 100.0
	for _, name := range slices.Sorted(maps.Keys(d.distribution)) {
		r := d.distribution[name]
		n := float64(r.TotalCount())
		s := series{name: fmt.Sprintf("%s (%d)", name, r.TotalCount())}
		for slower := 1.0; slower <= n; slower *= 1.1 {
			s.points = append(s.points, point{slower, r.at(100 - 100/slower)})
		}
		s.points = append(s.points, point{n, float64(r.Max()) / ratioScale})
		highest, most = max(highest, float64(r.Max())/ratioScale), max(most, n)
		c.lines = append(c.lines, s)
	}
	c.x = axis{label: "percentile", low: 1, high: most, log: true}
	for _, t := range percentileTicks {
		if t.at <= most {
			c.x.ticks = append(c.x.ticks, t)
		}
	}
	c.y = logAxis("response / ideal", 0.9, highest*1.1)
	return c
}

func (d *plotData) responseChart() *chart {
	c := &chart{title: "Response over ideal over time", x: d.timeAxis(), marks: d.marks, shades: d.shades}
	p50, p99, top := series{name: "p50"}, series{name: "p99"}, series{name: "highest", colour: "#bbb"}
	highest := 2.0
	for i, b := range d.buckets {
		if b.ratios.TotalCount() == 0 {
			continue
		}
		at := d.bucketTime(i)
		most := float64(b.ratios.Max()) / ratioScale
		p50.points = append(p50.points, point{at, b.ratios.at(50)})
		p99.points = append(p99.points, point{at, b.ratios.at(99)})
		top.points = append(top.points, point{at, most})
		highest = max(highest, most)
	}
	c.lines = []series{p50, p99, top}
	c.y = logAxis("response / ideal", 0.9, highest*1.1)
	return c
}

// outcomeColours tells outcomes apart.
var outcomeColours = map[client.Outcome]string{
	client.Complete: "#9fd3c7",
	client.Failed:   "#d55e00",
	client.NotRun:   "#e69f00",
	client.Unknown:  "#7a3db8",
	noAnswer:        "#000000",
}

func (d *plotData) outcomeChart() *chart {
	c := &chart{title: "Outcomes over time", x: d.timeAxis(), marks: d.marks, shades: d.shades}
	highest := 1.0
	for i, b := range d.buckets {
		low := 0.0
		// What is not complete stands at the bottom, where it can be compared.
		for _, outcome := range slices.Backward(outcomes) {
			n := float64(b.outcomes[outcome]) / d.bucketSeconds()
			if n == 0 {
				continue
			}
			from := float64(i) * d.bucketSeconds()
			c.bars = append(c.bars, bar{from, from + d.bucketSeconds(), low, low + n, outcomeColours[outcome]})
			low += n
		}
		highest = max(highest, low)
	}
	for _, outcome := range outcomes {
		c.legend = append(c.legend, series{name: string(outcome), colour: outcomeColours[outcome]})
	}
	c.y = linearAxis("jobs per second", math.Ceil(highest*1.05))
	return c
}

func (d *plotData) drawChart() *chart {
	c := &chart{title: "Draw against the power cap", marks: d.marks, shades: d.shades}
	mean, peak := series{name: "mean"}, series{name: "highest sample"}
	highest := d.capKilowatts
	for _, p := range d.draw {
		mean.points = append(mean.points, point{p.at.Seconds(), p.mean})
		peak.points = append(peak.points, point{p.at.Seconds(), p.peak})
		highest = max(highest, p.peak)
	}
	end := max(d.span, d.draw[len(d.draw)-1].at).Seconds()
	limit := series{name: "cap", colour: "#b00", points: []point{{0, d.capKilowatts}, {end, d.capKilowatts}}}
	c.lines = []series{mean, peak, limit}
	c.x = linearAxis("time, s", end)
	c.y = linearAxis("kW, idle draw included", highest*1.05)
	return c
}
