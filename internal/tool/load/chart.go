package load

import (
	"fmt"
	"html"
	"html/template"
	"math"
	"strings"
)

// Size of a chart and of its margins, in pixels.
const (
	chartWidth   = 960
	chartHeight  = 340
	marginLeft   = 64
	marginRight  = 16
	marginTop    = 44
	marginBottom = 44
	legendStep   = 15 // pixels of a legend's name per character, halved
	ticksWanted  = 8
)

// palette tells series apart, also for most colour-blind readers.
var palette = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#999999"}

type point struct{ x, y float64 }

// series is one line of a chart.
type series struct {
	name   string
	points []point
	colour string // empty: the next of the palette
}

// tick is a labelled place on an axis.
type tick struct {
	at    float64
	label string
}

// axis maps values to the unit interval.
type axis struct {
	label     string
	low, high float64
	log       bool
	ticks     []tick
}

func (a *axis) place(v float64) float64 {
	v = min(max(v, a.low), a.high)
	if a.log {
		return math.Log(v/a.low) / math.Log(a.high/a.low)
	}
	return (v - a.low) / (a.high - a.low)
}

// linearAxis starts at zero and has round ticks.
func linearAxis(label string, high float64) axis {
	high = max(high, math.SmallestNonzeroFloat32)
	step := math.Pow(10, math.Floor(math.Log10(high/ticksWanted)))
	for _, factor := range []float64{2, 2.5, 2} { // 1, 2, 5, 10
		if high/step > ticksWanted {
			step *= factor
		}
	}
	a := axis{label: label, high: high}
	for v := 0.0; v <= high; v += step {
		a.ticks = append(a.ticks, tick{v, fmt.Sprintf("%.4g", v)})
	}
	return a
}

// logAxis covers low to high with ticks at 1, 2 and 5 times powers of ten.
func logAxis(label string, low, high float64) axis {
	a := axis{label: label, low: low, high: max(high, 2*low), log: true}
	for decade := math.Pow(10, math.Floor(math.Log10(low))); decade <= a.high; decade *= 10 {
		for _, factor := range []float64{1, 2, 5} {
			v := decade * factor
			if v >= a.low && v <= a.high {
				a.ticks = append(a.ticks, tick{v, fmt.Sprintf("%.4g", v)})
			}
		}
	}
	return a
}

// bar is one stacked part of a column.
type bar struct {
	from, to  float64 // on the x axis
	low, high float64 // on the y axis
	colour    string
}

// span is a shaded stretch of the x axis.
type span struct{ from, to float64 }

// chart is one plot.
type chart struct {
	title  string
	x, y   axis
	lines  []series
	bars   []bar
	legend []series // shown besides the lines
	marks  []mark   // vertical lines, by time in seconds
	shades []span
}

// painter writes the SVG of a chart.
type painter struct {
	chart *chart
	out   strings.Builder
}

func (p *painter) printf(format string, args ...any) { fmt.Fprintf(&p.out, format, args...) }

func (p *painter) x(v float64) float64 {
	return marginLeft + p.chart.x.place(v)*(chartWidth-marginLeft-marginRight)
}

func (p *painter) y(v float64) float64 {
	return chartHeight - marginBottom - p.chart.y.place(v)*(chartHeight-marginTop-marginBottom)
}

func (p *painter) text(x, y float64, anchor, colour, text string) {
	p.printf(`<text x="%.1f" y="%.1f" text-anchor="%s" fill="%s">%s</text>`, x, y, anchor, colour, html.EscapeString(text))
}

func (p *painter) line(x1, y1, x2, y2 float64, style string) {
	p.printf(`<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" %s/>`, x1, y1, x2, y2, style)
}

// svg renders the chart.
func (c *chart) svg() template.HTML {
	c.colourLines()
	p := &painter{chart: c}
	p.printf(`<svg viewBox="0 0 %d %d" width="%d" role="img" aria-label="%s" font-family="sans-serif" font-size="12">`,
		chartWidth, chartHeight, chartWidth, html.EscapeString(c.title))
	p.shades()
	p.axes()
	p.bars()
	p.lines()
	p.marks()
	p.legend()
	p.printf("</svg>")
	return template.HTML(p.out.String())
}

func (c *chart) colourLines() {
	for i := range c.lines {
		if c.lines[i].colour == "" {
			c.lines[i].colour = palette[i%len(palette)]
		}
	}
}

func (p *painter) shades() {
	top, bottom := float64(marginTop), float64(chartHeight-marginBottom)
	for _, s := range p.chart.shades {
		from, to := p.x(s.from), p.x(s.to)
		p.printf(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#f3ead2"/>`, from, top, to-from, bottom-top)
	}
}

func (p *painter) axes() {
	const grid = `stroke="#ddd"`
	left, right := float64(marginLeft), float64(chartWidth-marginRight)
	top, bottom := float64(marginTop), float64(chartHeight-marginBottom)
	for _, t := range p.chart.x.ticks {
		p.line(p.x(t.at), top, p.x(t.at), bottom, grid)
		p.text(p.x(t.at), bottom+16, "middle", "#333", t.label)
	}
	for _, t := range p.chart.y.ticks {
		p.line(left, p.y(t.at), right, p.y(t.at), grid)
		p.text(left-6, p.y(t.at)+4, "end", "#333", t.label)
	}
	p.text((left+right)/2, chartHeight-8, "middle", "#333", p.chart.x.label)
	p.printf(`<text transform="translate(14 %.1f) rotate(-90)" text-anchor="middle" fill="#333">%s</text>`,
		(top+bottom)/2, html.EscapeString(p.chart.y.label))
}

func (p *painter) bars() {
	for _, b := range p.chart.bars {
		top, bottom := p.y(b.high), p.y(b.low)
		left, right := p.x(b.from), p.x(b.to)
		p.printf(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`,
			left, top, max(right-left-1, 1), bottom-top, b.colour)
	}
}

func (p *painter) lines() {
	for _, s := range p.chart.lines {
		p.printf(`<polyline fill="none" stroke="%s" stroke-width="1.6" points="`, s.colour)
		for _, at := range s.points {
			p.printf("%.1f,%.1f ", p.x(at.x), p.y(at.y))
		}
		p.printf(`"/>`)
	}
}

// marks numbers the events; their texts stand below the charts.
func (p *painter) marks() {
	for i, m := range p.chart.marks {
		x := p.x(m.At.Seconds())
		p.line(x, marginTop, x, chartHeight-marginBottom, `stroke="#b00" stroke-dasharray="4 3"`)
		p.text(x+3, marginTop+11, "start", "#b00", fmt.Sprint(i+1))
	}
}

func (p *painter) legend() {
	p.text(marginLeft, 16, "start", "#000", p.chart.title)
	x := float64(marginLeft)
	for _, s := range append(p.chart.lines, p.chart.legend...) {
		p.printf(`<rect x="%.1f" y="25" width="10" height="10" fill="%s"/>`, x, s.colour)
		p.text(x+14, 34, "start", "#333", s.name)
		x += 30 + float64(len(s.name)*legendStep)/2
	}
}
