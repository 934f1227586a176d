package bound

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/tool/logstory"
)

// Span is a time from From to To, in seconds.
type Span struct{ From, To float64 }

// minDark is the shortest time without any VM that is told, in seconds: lines of an idle site are as far apart.
const minDark = 0.2

// life is the time from the start of a VM's process to its last line.
type life struct{ from, to time.Time }

// readLives returns the lives of the VMs' processes, by the source of their lines.
func readLives(all []logstory.Event) map[string][]life {
	out := make(map[string][]life)
	for i := range all {
		ev := &all[i]
		l := out[ev.Source]
		if len(l) == 0 || ev.Message == "started" {
			l = append(l, life{from: ev.At})
		}
		l[len(l)-1].to = ev.At
		out[ev.Source] = l
	}
	return out
}

// lifeLeft returns how long a VM's process still wrote lines after a time.
func lifeLeft(lives []life, at time.Time) time.Duration {
	for _, l := range lives {
		if !l.from.After(at) && !l.to.Before(at) {
			return l.to.Sub(at)
		}
	}
	return 0
}

// darkSpans returns the times in which no VM's process was up, after the first start.
func darkSpans(lives map[string][]life, first time.Time) []Span {
	var all []life
	for _, l := range lives {
		all = append(all, l...)
	}
	slices.SortFunc(all, func(a, b life) int { return cmp.Or(a.from.Compare(b.from), a.to.Compare(b.to)) })
	var out []Span
	for i, upTo := 0, first; i < len(all); i++ {
		if s := (Span{From: upTo.Sub(first).Seconds(), To: all[i].from.Sub(first).Seconds()}); s.To-s.From > minDark {
			out = append(out, s)
		}
		if all[i].to.After(upTo) {
			upTo = all[i].to
		}
	}
	return out
}
