// Package replay drives the order of work and admission on a virtual clock with
// the mixes of the two first users, and compares them with first-in-first-out
// order and random placement. It has test files only.
//
// Placement is a stand-in, any free slot. Workers are alike, so that a random
// worker with a free slot gives the baseline the same figures.
package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/process/fairness"
)

const (
	slotsPerWorker = 8
	stragglerOdds  = 0.005
	stragglerTimes = 5
)

// place is where a mix runs. A home spreads a build over the entry VMs that hold
// workers, so one of them sees a part of it, except when it is cut off.
type place struct {
	name    string
	workers int
	build   int // tasks of a build that arrive here
	length  time.Duration
}

var (
	wholeSite = place{"site", 50, 920, 3 * time.Minute} // as if one queue held all workers
	oneVM     = place{"vm", 6, 115, 20 * time.Minute}
	cutOff    = place{"alone", 6, 920, 20 * time.Minute}
)

func (p place) slots() int { return p.workers * slotsPerWorker }

// stream is one kind of work that an account sends.
type stream struct {
	account, template string
	class             fairness.Class
	tasks             int
	took, declared    time.Duration // mean run time of a task, and what is claimed
	load              float64       // part of the capacity
	burst             int           // jobs that arrive together
}

func (s *stream) name() string { return s.account + "/" + s.template }

// mix is one user's work.
type mix struct {
	name      string
	roundTrip time.Duration // caller to entry VM and back
	accounts  []fairness.Account
	streams   []stream
	place     place
}

const ms = time.Millisecond

func equal(names ...string) []fairness.Account {
	out := make([]fairness.Account, 0, len(names))
	for _, name := range names {
		out = append(out, fairness.Account{Name: name, Weight: 1})
	}
	return out
}

func tsagaanShavar(p place) mix {
	return mix{"tsagaan", 6 * ms, equal("foremen", "managers", "homeowners", "planning"), []stream{
		{"foremen", "check", fairness.Urgent, 1, 50 * ms, 50 * ms, 0.08, 1},
		{"managers", "check", fairness.Urgent, 1, 50 * ms, 50 * ms, 0.03, 1},
		{"managers", "assign", fairness.Normal, 1, 120 * ms, 100 * ms, 0.05, 1},
		{"homeowners", "quote", fairness.Normal, 8, 200 * ms, 50 * ms, 0.15, 1},
		{"managers", "lookup", fairness.Normal, 1, 60 * ms, 60 * ms, 0.04, 200},
		{"planning", "build", fairness.Bulk, p.build, 400 * ms, 400 * ms, 0.45, 1},
		{"planning", "replan", fairness.Normal, 4, 2000 * ms, 100 * ms, 0.10, 1},
	}, p}
}

func ventilsvaz(p place) mix {
	return mix{"ventilsvaz", 2 * ms, equal("distributor", "engineers", "brno"), []stream{
		{"distributor", "check", fairness.Urgent, 1, 50 * ms, 50 * ms, 0.08, 1},
		{"engineers", "check", fairness.Urgent, 1, 50 * ms, 80 * ms, 0.04, 1},
		{"brno", "lookup", fairness.Normal, 1, 60 * ms, 60 * ms, 0.06, 100},
		{"engineers", "price", fairness.Normal, 16, 250 * ms, 100 * ms, 0.12, 1},
		{"distributor", "build", fairness.Normal, p.build, 300 * ms, 50 * ms, 0.30, 1},
		{"engineers", "build", fairness.Normal, p.build, 600 * ms, 600 * ms, 0.30, 1},
	}, p}
}

// seed makes each run draw the same arrivals.
const seed = 1

// arrival is one job of a trace.
type arrival struct {
	at     time.Duration
	stream *stream
	took   []time.Duration // run time of each task
}

// trace draws the arrivals of a mix. Each stream has its own random source, so a
// change to one stream leaves the others as they were.
func trace(m mix) []arrival {
	var out []arrival
	for i := range m.streams {
		s := &m.streams[i]
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		work := float64(s.took) * float64(s.tasks*s.burst) * (1 + stragglerOdds*(stragglerTimes-1))
		gap := work / (s.load * float64(m.place.slots()))
		for at := random.ExpFloat64() * gap; at < float64(m.place.length); at += random.ExpFloat64() * gap {
			for range s.burst {
				out = append(out, arrival{time.Duration(at), s, runTimes(s, random)})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

func runTimes(s *stream, random *rand.Rand) []time.Duration {
	out := make([]time.Duration, s.tasks)
	for i := range out {
		took := float64(s.took) * (0.5 + random.Float64())
		if random.Float64() < stragglerOdds {
			took *= stragglerTimes
		}
		out[i] = time.Duration(took)
	}
	return out
}
