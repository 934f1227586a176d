package losses

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/pumiceyard/pumiceyard/internal/tool/logstory"
)

// ForecastOutcome is the forecast of an attempt that could not start at once, with its outcome.
type ForecastOutcome struct {
	Ratio float64 // forecast of the time to its end, as a multiple of its objective; +Inf: it has no end
	Cause Cause
}

// forecastRatio returns the forecast of a line as a multiple of the objective; known is false if the line lacks either.
func forecastRatio(ev *logstory.Event) (r float64, known bool) {
	objective := ev.Duration("objective")
	switch ends := ev.Duration("ends_after"); {
	case objective <= 0:
		return 0, false
	case ends < 0:
		return math.Inf(1), true
	default:
		return float64(ends) / float64(objective), ends > 0
	}
}

// WriteForecasts prints forecasts beside outcomes in ten groups of equal size, the shortest forecasts
// first. It prints nothing if the logs have no forecasts.
func (a *Report) WriteForecasts(out io.Writer) error {
	if len(a.Forecasts) == 0 {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(a.Forecasts), func(a, b ForecastOutcome) int { return cmp.Compare(a.Ratio, b.Ratio) })
	columns := []Cause{InTime, WaitedForCapacity, SlowRun, RunLostOrFailed, RefusedAtOnce, RefusedAfterWait, CallerGone, GivenUp}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "forecast/objective\tall")
	for _, c := range columns {
		fmt.Fprintf(w, "\t%s", c)
	}
	fmt.Fprintln(w)
	for i := range 10 {
		group := sorted[len(sorted)*i/10 : len(sorted)*(i+1)/10]
		if len(group) == 0 {
			continue
		}
		fmt.Fprintf(w, "%.2f to %.2f\t%d", group[0].Ratio, group[len(group)-1].Ratio, len(group))
		for _, c := range columns {
			fmt.Fprintf(w, "\t%s", strconv.Itoa(countCause(group, c)))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func countCause(group []ForecastOutcome, c Cause) int {
	n := 0
	for _, f := range group {
		if f.Cause == c {
			n++
		}
	}
	return n
}
