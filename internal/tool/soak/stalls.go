package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Stalls suspend a VM's process several times in quick succession, as a machine does that gives it too little
// processor time. All that is drawn for them comes from random numbers of their own, so that the other faults of a
// seed are the same with stalls and without.

// Timing of stalls.
const (
	minStall     = 300 * time.Millisecond
	maxStall     = 2500 * time.Millisecond
	maxStallsRow = 4                       // stalls of a VM in quick succession
	maxStallGap  = 300 * time.Millisecond  // between them
	maxStallRest = 4000 * time.Millisecond // between two such rows
	// maxStartWait is how long a stall waits for the VM to order a start.
	maxStartWait = 500 * time.Millisecond
)

// stallsEvery: one seed in stallsEvery is played with stalls.
const stallsEvery = 2

// stalls says whether a soak has stalls, and on how many processors each VM runs Go code at once (GOMAXPROCS) if so.
type stalls struct {
	on    bool
	procs []int // by VM
}

// stallsOf returns what the seed determines about stalls.
func stallsOf(seed uint64, vms int) stalls {
	r := rand.New(rand.NewPCG(seed, 3))
	if r.IntN(stallsEvery) != 0 {
		return stalls{}
	}
	choices := []int{1, 2, 4}
	st := stalls{on: true}
	for range vms {
		st.procs = append(st.procs, choices[r.IntN(len(choices))])
	}
	return st
}

// injectStalls stalls all VMs at random intervals until ctx ends.
func (s *soak) injectStalls(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for i, p := range s.vms {
		r := rand.New(rand.NewPCG(s.opt.Seed, uint64(200+i)))
		running.Go(func() { s.stallRepeatedly(ctx, p, r) })
	}
}

func (s *soak) stallRepeatedly(ctx context.Context, p *process, r *rand.Rand) {
	below := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	for ctx.Err() == nil {
		sleep(ctx, below(maxStallRest))
		for range 2 + r.IntN(maxStallsRow-1) {
			sleep(ctx, below(maxStallGap))
			if d := minStall + below(maxStall-minStall); ctx.Err() == nil {
				s.stall(p, d)
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stall suspends a VM's process for the given time. It begins when the VM orders a start, so that decisions are still
// to be carried out when the process goes on, or after maxStartWait.
func (s *soak) stall(p *process, d time.Duration) {
	f := fault{kind: "stall", target: p.name}
	suspended := make(chan struct{})
	suspend := func() {
		p.signal(syscall.SIGSTOP)
		close(suspended)
	}
	p.onStart.Store(&suspend)
	select {
	case <-suspended:
	case <-time.After(maxStartWait):
	}
	atStart := !p.onStart.CompareAndSwap(&suspend, nil)
	if !atStart {
		suspend()
	}
	<-suspended
	s.faults.write("begins", f)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	s.faults.write("ends", f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stallCount++
	if atStart {
		s.stallsAtStarts++
	}
}

// submitShortWork submits jobs of many short tasks until ctx ends, then waits for the answers.
func (s *soak) submitShortWork(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.opt.Seed, 300))
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("s%d-c%d-%d", s.opt.Seed, submitters, n)
		w := newSmallWork(key, 1+r.Uint32N(30), 5+r.IntN(100), r.IntN(2) == 0)
		at := s.vms[r.IntN(len(s.vms))]
		running.Go(func() { s.submit(at, w) })
		sleep(ctx, minSubmitInterval+time.Duration(r.IntN(40))*time.Millisecond)
	}
}

// startLine is in each line in which a VM says that it orders a start.
var startLine = []byte(`"kept: start"`)

// startWatcher writes what a VM logs to its log, and calls onStart once when the VM orders a start.
type startWatcher struct {
	log     io.Writer
	onStart *atomic.Pointer[func()] // nil in it: nobody waits for a start
}

func (w *startWatcher) Write(b []byte) (int, error) {
	if f := w.onStart.Load(); f != nil && bytes.Contains(b, startLine) && w.onStart.CompareAndSwap(f, nil) {
		(*f)()
	}
	return w.log.Write(b)
}
