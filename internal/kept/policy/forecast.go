package policy

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/timespan"
)

// Backlog is the load of all shards that can take a submission, as far as its forecast depends on
// it. Times are those in which all their workers together do the work.
type Backlog struct {
	FreeSlots int           // tasks of its size that can start now
	Ahead     time.Duration // queued work in time, of its priority and above
	InTime    time.Duration // queued work in time, of all priorities
	Late      time.Duration // queued work that is late, of its priority and above
	Own       time.Duration // work of the submission itself without that of one task; counts with ByLastStart
	// Overtaking and Arriving are the shares of the capacity that is taken by arriving work: of higher
	// priorities only, and of all.
	Overtaking float64
	Arriving   float64
}

// Forecast is what a submission that arrives now would get.
type Forecast struct {
	Start time.Duration // when its tasks would start
	End   time.Duration
	Band  LatenessBand // in which it would end
}

// minShareLeft is the least share of the capacity that is assumed to be left to work that is served after
// arriving work. Under overload that work does not take all: it becomes late and steps back, and work that
// is spread unevenly leaves some workers to others.
const minShareLeft = 0.1

// Forecast returns what a submission gets that arrives now, by the order of Urgency: first it waits for
// the work in time of its priority and above, and for what arrives above it meanwhile. If that takes
// so long that it becomes late, it waits for all work in time, and for what arrives. With ByLastStart, its start is that of
// its last task.
func (s *Settings) Forecast(now time.Duration, w *Work, b Backlog) Forecast {
	if b.FreeSlots > 0 && b.Ahead == 0 {
		return w.forecastFrom(now)
	}
	ahead := b.Ahead
	if s.ByLastStart {
		ahead += min(b.Own, w.RunTime)
	}
	start := after(now, ahead, b.Overtaking)
	if w.Band(start) == InTime || !s.Bands {
		return w.forecastFrom(start)
	}
	late := w.ReceivedAt + w.Objective - w.RunTime
	return w.forecastFrom(max(after(now, timespan.Add(b.InTime, b.Late), b.Arriving), late))
}

func (w *Work) forecastFrom(start time.Duration) Forecast {
	return Forecast{Start: start, End: start + w.RunTime, Band: w.Band(start)}
}

// after returns when queued work is done if arriving work takes a share of the capacity.
func after(now, queued time.Duration, share float64) time.Duration {
	return now + timespan.Times(queued, 1/max(1-share, minShareLeft))
}

// AdmitForecast decides on arrival by a forecast: a submission that KeepWaiting would refuse
// before its start is refused at once.
func (s *Settings) AdmitForecast(w *Work, f Forecast) Reason {
	switch {
	case f.Band == TooLate:
		return ForecastTooLate
	case s.WaitShare > 0 && w.CallerTimeout > 0 && f.Start-w.ReceivedAt > time.Duration(s.WaitShare*float64(w.CallerTimeout)):
		return ForecastWaitsTooLong
	default:
		return ""
	}
}
