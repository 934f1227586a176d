package shard

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// transientPlay is a world in which home VMs submit transient submissions to a shard. A home that is lost hands nothing
// over any more, and its callers send again through another home, at the earliest retryDelay later.
type transientPlay struct {
	*world
	rand    *rand.Rand
	open    map[submission.ID]*submission.Record // their homes are alive
	retryAt map[submission.ID]time.Duration      // when callers send again whose home is lost
	last    map[submission.ID]*submission.Record
	homes   int
	lostAt  time.Duration // when a home was last lost
}

// retryDelay is how long after their connection broke callers send again.
const retryDelay = 1100 * ms

func (p *transientPlay) home() string { return fmt.Sprintf("vm%d", p.homes%2) }

func (p *transientPlay) submit() {
	id := submission.ID(fmt.Sprint("s", len(p.last)))
	work := runhost.Work{Time: time.Duration(20+p.rand.IntN(800)) * ms, CPUMilli: 3000, Fails: p.rand.IntN(6) == 0}
	r := p.submission(id, 1+p.rand.IntN(4), work)
	r.Home, r.Serial = p.home(), 1
	p.open[id], p.last[id] = r, r
	p.assign(r)
}

// loseHome loses the home VM of all open submissions. The holder learns it at once.
func (p *transientPlay) loseHome() {
	lost := p.home()
	p.homes++
	p.lostAt = p.now
	for _, id := range slices.Sorted(maps.Keys(p.open)) {
		if p.open[id].Home == lost {
			p.retryAt[id] = p.now + retryDelay + time.Duration(p.rand.IntN(500))*ms
			delete(p.open, id)
		}
	}
	p.shard.HomeLost(p.now, lost)
}

// takeOver replaces the holder, to which the homes hand their submissions over. Two failures in a row are left out: see
// TestNextAttemptWaitsForWorkersThatHaveNotAnswered.
func (p *transientPlay) takeOver() {
	if p.now-p.lostAt < 2*time.Second {
		return
	}
	p.newHolder(p.shard.Token()+1, p.rand.IntN(2) == 0)
	p.advance(time.Duration(p.rand.IntN(3)) * 20 * ms)
	for _, id := range slices.Sorted(maps.Keys(p.open)) {
		p.shard.Resume(p.now, p.open[id])
	}
}

func (p *transientPlay) event() {
	id := fmt.Sprint("w", p.rand.IntN(3))
	switch p.rand.IntN(12) {
	case 0, 1, 2, 3:
		p.submit()
	case 4:
		p.loseHome()
	case 5:
		p.takeOver()
	case 6:
		p.unreachable[id] = !p.unreachable[id]
	case 7:
		p.losesStartReply = func(s StartAction) bool { return p.rand.IntN(3) == 0 }
	case 8:
		p.startDelay = func(s StartAction) time.Duration { return time.Duration(p.rand.IntN(2)*p.rand.IntN(600)) * ms }
	case 9:
		p.stopDelay = func(s StopAction) time.Duration { return time.Duration(p.rand.IntN(2)*p.rand.IntN(600)) * ms }
	case 10:
		p.startDelay, p.stopDelay, p.losesStartReply = nil, nil, nil
	case 11:
		p.handleLag[id] = time.Duration(p.rand.IntN(3)) * 30 * ms
	}
	p.advance(time.Duration(p.rand.IntN(7)) * 40 * ms)
}

func (p *transientPlay) advance(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.step()
		for _, id := range slices.Sorted(maps.Keys(p.retryAt)) {
			if p.now >= p.retryAt[id] {
				next := p.nextAttempt(p.last[id])
				next.Home = p.home()
				p.open[id], p.last[id] = next, next
				delete(p.retryAt, id)
				p.assign(next)
			}
		}
	}
}

// Guards against two runs of a transient submission's task at once when homes, holders, workers and orders fail.
func TestRandomFaultsRunNoTransientTaskTwice(t *testing.T) {
	for seed := range uint64(*randomRuns) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := &transientPlay{
				world:   newWorld(t, 3),
				rand:    rand.New(rand.NewPCG(seed+uint64(*randomSeed), 5)),
				open:    make(map[submission.ID]*submission.Record),
				retryAt: make(map[submission.ID]time.Duration),
				last:    make(map[submission.ID]*submission.Record),
			}
			p.advance(100 * ms)
			for range 60 {
				p.event()
			}
			p.startDelay, p.stopDelay, p.losesStartReply = nil, nil, nil
			clear(p.unreachable)
			p.advance(10 * time.Second)
			if len(p.ledger.Violations) > 0 {
				t.Error(p.ledger.Violations)
			}
			if counted := p.shard.countStrayRuns(); !maps.Equal(counted, p.shard.strayCounts) || len(counted) > 0 {
				t.Errorf("stray runs %v are counted as %v", counted, p.shard.strayCounts)
			}
			if n := p.shard.Size(); n > 0 {
				t.Errorf("%d submissions are left", n)
			}
		})
	}
}
