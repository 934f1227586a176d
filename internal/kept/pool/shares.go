package pool

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
)

// group returns the group of a demand's submission.
func (d *Demand) group() policy.Group {
	return policy.Group{Priority: d.Work.Priority, Queue: d.Queue, Callers: d.Caller}
}

// Standings returns the standings of the groups with demands when they were last ordered, other than WithinShare.
func (p *Pool) Standings() map[policy.Group]policy.Standing { return p.standings }

// setStandings sets the standings of the groups of all demands. Work that is bound to a shard has its own from there.
func (p *Pool) setStandings(now time.Duration, pace func(string) float64) {
	if p.settings.Shares == nil {
		return
	}
	waiting := make(map[policy.Group]time.Duration)
	for _, e := range p.demands {
		if n := e.left(); n > 0 {
			waiting[e.group()] += policy.CoreTime(n, e.Size.CPUMilli, pacedWork(&e.Work, pace(e.Queue)).RunTime)
		}
	}
	p.standings = p.settings.Shares.Standings(now, p.settings.Policy.ShareFloor, waiting)
	for _, e := range p.demands {
		e.Work.Standing = p.standings[e.group()]
	}
}
