package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/pause"
)

// Retries are callers of transient work that lasts for seconds. Some of them leave before it ends, and an attempt that
// has had no result is followed by another one at a VM of another failure domain. Faults of the connections between
// the VMs, and of all connections of a VM, come with them. All of it is drawn from random numbers of its own, so that
// the rest of a seed is the same with retries and without.

// Timing of retries.
const (
	retryDelay       = 1300 * time.Millisecond // between the end of an attempt and the next one
	minStay          = 50 * time.Millisecond   // of a caller that leaves early
	maxStay          = 2000 * time.Millisecond
	minLongWork      = 100 * time.Millisecond
	maxLongWork      = 3000 * time.Millisecond
	maxRetryInterval = 160 * time.Millisecond // between two submissions
	maxResetGap      = 4 * time.Millisecond   // between the resets of the connections to callers and to other VMs
)

const (
	retriesEvery   = 2 // one seed in retriesEvery is played with retries
	leavesEvery    = 2 // one attempt in leavesEvery is left early, unless it is the last one
	maxAttempts    = 4 // of a submission
	maxLongTasks   = 6
	retryingCaller = submitters + 1 // number of these callers in the keys of their submissions
)

// retriesOf returns whether a seed is played with retries.
func retriesOf(seed uint64) bool {
	return rand.New(rand.NewPCG(seed, 4)).IntN(retriesEvery) == 0
}

// attempt is one attempt of a caller to submit its work to a VM.
type attempt struct {
	at   *process
	stay time.Duration // how long the caller waits for the result
}

// drawAttempts returns the attempts at a submission, each at a VM of another failure domain than the one before.
func (s *soak) drawAttempts(r *rand.Rand) []attempt {
	attempts := make([]attempt, maxAttempts)
	domain := ""
	for i := range attempts {
		a := attempt{at: s.drawVM(r, domain), stay: attemptTimeout}
		stay := minStay + time.Duration(r.Int64N(int64(maxStay-minStay)))
		if r.IntN(leavesEvery) == 0 && i < maxAttempts-1 {
			a.stay = stay
		}
		attempts[i], domain = a, a.at.domain
	}
	return attempts
}

// drawVM returns a VM outside a failure domain, or any VM if there is none.
func (s *soak) drawVM(r *rand.Rand, outside string) *process {
	var from []*process
	for _, p := range s.vms {
		if p.domain != outside {
			from = append(from, p)
		}
	}
	if len(from) == 0 {
		from = s.vms
	}
	return from[r.IntN(len(from))]
}

// submitLongWork submits transient work that its callers send again, until ctx ends, and waits for the answers.
func (s *soak) submitLongWork(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.opt.Seed, 400))
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("s%d-c%d-%d", s.opt.Seed, retryingCaller, n)
		millis := minLongWork + time.Duration(r.Int64N(int64(maxLongWork-minLongWork)))
		w := newSmallWork(key, 1+r.Uint32N(maxLongTasks), int(millis.Milliseconds()), true)
		attempts := s.drawAttempts(r)
		running.Go(func() {
			outcome := retry(ctx, attempts, func(a attempt) (client.State, error) { return s.submitFor(a, w) })
			s.mu.Lock()
			defer s.mu.Unlock()
			s.outcomes["retried "+outcome]++
		})
		sleep(ctx, time.Duration(r.Int64N(int64(maxRetryInterval))))
	}
}

// retry makes one attempt after the other until one has a result. It makes none after the end of ctx.
func retry(ctx context.Context, attempts []attempt, submit func(attempt) (client.State, error)) string {
	for i, a := range attempts {
		if i > 0 && !pause.For(ctx, retryDelay) {
			break
		}
		if state, err := submit(a); err == nil {
			return string(state)
		}
	}
	return "without result"
}

// submitFor makes an attempt, and logs when it begins and ends.
func (s *soak) submitFor(a attempt, w client.Work) (client.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.stay)
	defer cancel()
	s.callers.writeLine(fmt.Sprintf("\"attempt begins\" id=%q vm=%q stay=%q", w.Key, a.at.name, a.stay))
	state, err := client.SubmitOnce(ctx, "http://"+a.at.callerProxy.address(), w)
	s.callers.writeLine(fmt.Sprintf("\"attempt ends\" id=%q vm=%q state=%q left=%v err=%q", w.Key, a.at.name, state, ctx.Err() != nil, fmt.Sprint(err)))
	return state, err
}

// randomConnectionFault returns a fault of a VM's connections. r determines its kind, target and duration.
func (s *soak) randomConnectionFault(r *rand.Rand) fault {
	p := s.vms[r.IntN(len(s.vms))]
	d := time.Duration(r.Int64N(int64(maxFaultDuration)))
	gap := time.Duration(r.Int64N(int64(maxResetGap)))
	peer := p.name + "'s listener for peers"
	choices := []fault{
		{"all connections reset", p.name, func() { s.resetAllConnections(p, gap) }},
		{"requests lost", peer, func() { applyFor(d, p.peerProxy, func(x *proxy) { x.dropToTarget = true }) }},
		{"replies lost", peer, func() { applyFor(d, p.peerProxy, func(x *proxy) { x.dropToCaller = true }) }},
	}
	return choices[r.IntN(len(choices))]
}

// resetAllConnections resets a VM's connections to the callers that send again and, after the gap, those from and to
// the other VMs and to the store.
func (s *soak) resetAllConnections(p *process, gap time.Duration) {
	p.callerProxy.resetConnections()
	time.Sleep(gap)
	p.peerProxy.resetConnections()
	for _, other := range s.vms {
		if other != p {
			other.peerProxy.resetConnectionsFrom(p.name)
		}
	}
	p.storeProxy.resetConnections()
}
