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
	lostAt  time.Duration // when a home was last lost, or a caller left

	// Callers leave, and homes answer questions. Their cancellations and answers may be lost or late.
	callersLeave bool
	noFaults     bool // of workers and orders: when a caller comes back, elsewhere, nothing of its submission may run here
	reliable     bool // no messages of homes are lost or late any more
	late         []homeMessage
}

// homeMessage is a message of a home that arrives late.
type homeMessage struct {
	at      time.Duration
	deliver func()
}

const maxHomeMessageDelay = 300 * ms

// returnDelay is how long after they left, or their home gave their submission up, callers send again.
const returnDelay = 1300 * ms

// retryDelay is how long after their connection broke callers send again.
const retryDelay = 1100 * ms

func (p *transientPlay) home() string { return fmt.Sprintf("vm%d", p.homes%2) }

func (p *transientPlay) submit() {
	id := submission.ID(fmt.Sprint("s", len(p.last)))
	longest := 800
	if p.callersLeave {
		longest = 4000 // so that tasks outlast the time until callers come back
	}
	work := runhost.Work{Time: time.Duration(20+p.rand.IntN(longest)) * ms, CPUMilli: 3000, Fails: p.rand.IntN(6) == 0}
	r := p.submission(id, 1+p.rand.IntN(4), work)
	r.Home, r.Serial, r.HomeAnswers = p.home(), 1, p.callersLeave
	p.open[id], p.last[id] = r, r
	p.assign(r)
}

// send delivers a message of a home at once, late, or not at all.
func (p *transientPlay) send(deliver func()) {
	switch n := p.rand.IntN(10); {
	case p.reliable:
		deliver()
	case n < 2:
	case n < 5:
		p.late = append(p.late, homeMessage{p.now + time.Duration(p.rand.Int64N(int64(maxHomeMessageDelay))), deliver})
	default:
		deliver()
	}
}

// answer answers a question of the holder as the home VM of a submission does.
func (p *transientPlay) answer(c ConfirmAction) {
	if r := p.open[c.ID]; r != nil && r.Home == c.Home && r.Serial == c.Serial {
		askedAt := p.now
		p.send(func() { p.shard.Confirmed(c.ID, c.Serial, askedAt) })
		return
	}
	p.send(func() { p.shard.CancelAttempt(p.now, c.ID, c.Serial) })
}

// leave lets the caller of an unfinished submission leave, and its home cancel it.
func (p *transientPlay) leave() {
	ids := slices.DeleteFunc(slices.Sorted(maps.Keys(p.open)), func(id submission.ID) bool { return p.states[id].Final() })
	if len(ids) == 0 {
		return
	}
	id := ids[p.rand.IntN(len(ids))]
	serial := p.open[id].Serial
	p.giveUp(id)
	p.send(func() { p.shard.CancelAttempt(p.now, id, serial) })
}

// giveUp makes the caller of a submission come back later.
func (p *transientPlay) giveUp(id submission.ID) {
	delete(p.open, id)
	p.retryAt[id] = p.now + returnDelay
	p.lostAt = p.now
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

// nextEvent chooses the next event.
func (p *transientPlay) nextEvent() int {
	switch {
	case !p.callersLeave:
		return p.rand.IntN(12)
	case p.noFaults:
		return []int{0, 1, 2, 4, 5, 12, 12, 12}[p.rand.IntN(8)]
	default:
		return p.rand.IntN(15)
	}
}

func (p *transientPlay) event() {
	id := fmt.Sprint("w", p.rand.IntN(3))
	switch p.nextEvent() {
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
	default:
		p.leave()
	}
	p.advance(time.Duration(p.rand.IntN(7)) * 40 * ms)
}

func (p *transientPlay) advance(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.step()
		p.deliverLate()
		if p.callersLeave {
			p.giveUpEnded()
		}
		for _, id := range slices.Sorted(maps.Keys(p.retryAt)) {
			if p.now >= p.retryAt[id] {
				p.comeBack(id)
			}
		}
	}
}

// deliverLate delivers the late messages that are due.
func (p *transientPlay) deliverLate() {
	due := p.late
	p.late = nil
	for _, m := range due {
		if p.now >= m.at {
			m.deliver()
		} else {
			p.late = append(p.late, m)
		}
	}
}

// giveUpEnded lets homes give up the submissions that the holder has ended for lack of an answer.
func (p *transientPlay) giveUpEnded() {
	for _, id := range slices.Sorted(maps.Keys(p.open)) {
		if p.states[id] == submission.Cancelled {
			p.giveUp(id)
		}
	}
}

// comeBack makes the next attempt of a caller. If workers and orders have no faults, it may be at another shard.
func (p *transientPlay) comeBack(id submission.ID) {
	delete(p.retryAt, id)
	if n := p.ledger.CountRunning(id); p.noFaults && n > 0 {
		p.t.Errorf("%d tasks of %s run when its caller comes back", n, id)
	}
	if p.noFaults && p.rand.IntN(2) == 0 {
		return
	}
	next := p.nextAttempt(p.last[id])
	next.Home = p.home()
	p.open[id], p.last[id] = next, next
	delete(p.states, id)
	p.assign(next)
}

// Guards against two runs of a transient submission's task at once when homes, holders, workers and orders fail.
func TestRandomFaultsRunNoTransientTaskTwice(t *testing.T) {
	playTransients(t, func(*transientPlay) {})
}

// Guards against the same when callers leave, and cancellations and answers of homes are lost or late.
func TestRandomLossesOfCancellationsRunNoTaskTwice(t *testing.T) {
	playTransients(t, func(p *transientPlay) { p.callersLeave = true })
}

// Guards against a part that outlasts its caller's return, by when it may run at another shard.
func TestRandomLossesOfCancellationsLeaveNoRuns(t *testing.T) {
	playTransients(t, func(p *transientPlay) { p.callersLeave, p.noFaults = true, true })
}

// playTransients plays random events in as many worlds as were asked for.
func playTransients(t *testing.T, prepare func(*transientPlay)) {
	for seed := range uint64(*randomRuns) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := &transientPlay{
				world:   newWorld(t, 3),
				rand:    rand.New(rand.NewPCG(seed+uint64(*randomSeed), 5)),
				open:    make(map[submission.ID]*submission.Record),
				retryAt: make(map[submission.ID]time.Duration),
				last:    make(map[submission.ID]*submission.Record),
			}
			p.homeWaits = func(c ConfirmAction) bool {
				p.answer(c)
				return false // the answer is a message of its own
			}
			prepare(p)
			p.advance(100 * ms)
			for range 60 {
				p.event()
			}
			p.startDelay, p.stopDelay, p.losesStartReply = nil, nil, nil
			clear(p.unreachable)
			p.reliable = true
			p.advance(10 * time.Second)
			if p.callersLeave {
				p.advance(50 * time.Second) // the tasks are longer
			}
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
