package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["chaos"] = struct {
		layout Layout
		play   scenario
	}{Layout{Zones: 2, MachinesByZone: 2, WorkersByZone: 6, CPU: 16000, RackSize: 3}, chaos}
}

func (s *Site) anyMachine() *Machine { return s.machines[rand.IntN(len(s.machines))] }

// follow asks for a job until it is final.
func (s *Site) follow(j *Job, until time.Time) {
	for time.Now().Before(until) {
		switch s.Ask(j, s.anyMachine()) {
		case "done", "failed", "cancelled":
			return
		}
		time.Sleep(time.Duration(20+rand.IntN(150)) * time.Millisecond)
	}
}

// callers is how many clients hand jobs in.
var callers = 6

func chaos(s *Site, o options) error {
	r := rand.New(rand.NewPCG(o.seed, 1))
	end := time.Now().Add(time.Duration(o.seconds) * time.Second)
	var wg sync.WaitGroup
	finish := end.Add(30 * time.Second)
	for range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				var j *Job
				switch rand.IntN(7) {
				case 5:
					j = s.NewJob("/q1/", Step{Count: 1 + rand.IntN(6), CPU: 6800, Takes: time.Duration(200+rand.IntN(900)) * time.Millisecond})
					j.BestEffort = rand.IntN(2) == 0
				case 0:
					j = s.NewJob("/q0/", Step{Count: 1 + rand.IntN(8), CPU: 2000, Takes: 60 * time.Millisecond})
				case 1:
					j = s.NewJob("/q1/", Step{Count: 2, CPU: 4000, Takes: 900 * time.Millisecond}, Step{Count: 2, CPU: 2000, Takes: 200 * time.Millisecond, After: []int{0}})
				case 2:
					j = s.NewJob("/q1/", Step{Count: 3, CPU: 3000, Takes: 2500 * time.Millisecond})
				case 4:
					j = s.NewJob("/q0/", Step{Count: 2, CPU: 3000, Takes: 200 * time.Millisecond, Constraints: "r0-1"}, Step{Count: 1, CPU: 3000, Takes: 100 * time.Millisecond, After: []int{0}, Constraints: "r1-0"})
				default:
					j = s.NewJob("/q0/", Step{Count: 2, CPU: 3000, Takes: 200 * time.Millisecond}, Step{Count: 1, CPU: 3000, Takes: 100 * time.Millisecond, After: []int{0}})
				}
				wg.Go(func() {
					if !s.Submit(j, s.anyMachine) || j.BestEffort {
						return
					}
					if rand.IntN(8) == 0 {
						time.Sleep(time.Duration(rand.IntN(700)) * time.Millisecond)
						for range 20 {
							if s.Cancel(j, s.anyMachine()) {
								break
							}
						}
					}
					s.follow(j, finish)
					if j.final == "" {
						s.mu.Lock()
						s.broken("LOST: %s is not final in time", j.ID)
						s.mu.Unlock()
					}
				})
				time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
			}
		})
	}
	if o.trouble {
		wg.Go(func() {
			for time.Now().Before(end) {
				s.trouble(r, o, &wg)
				time.Sleep(time.Duration(200+r.IntN(2500)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return nil
}

func (s *Site) trouble(r *rand.Rand, o options, wg *sync.WaitGroup) {
	d := time.Duration(300+r.IntN(4000)) * time.Millisecond
	switch r.IntN(16) {
	case 0, 1:
		m := s.machines[r.IntN(len(s.machines))]
		m.Signal(syscall.SIGKILL)
		wg.Go(func() { time.Sleep(d / 2); _ = m.Start(o.root) })
	case 2:
		m := s.machines[r.IntN(len(s.machines))]
		m.Signal(syscall.SIGTERM)
		wg.Go(func() {
			time.Sleep(6 * time.Second)
			m.Signal(syscall.SIGKILL)
			time.Sleep(200 * time.Millisecond)
			_ = m.Start(o.root)
		})
	case 3:
		m := s.machines[r.IntN(len(s.machines))]
		m.Signal(syscall.SIGSTOP)
		wg.Go(func() { time.Sleep(d); m.Signal(syscall.SIGCONT) })
	case 4, 5:
		w := s.workers[r.IntN(len(s.workers))]
		w.Crash()
		wg.Go(func() { time.Sleep(d); w.Restart() })
	case 6:
		w := s.workers[r.IntN(len(s.workers))]
		s.log("worker %d silent", w.index)
		w.mu.Lock()
		w.silent = true
		w.mu.Unlock()
		wg.Go(func() { time.Sleep(d); w.mu.Lock(); w.silent = false; w.mu.Unlock() })
	case 7:
		for i := range 3 {
			w := s.workers[(r.IntN(len(s.workers))+i)%len(s.workers)]
			s.log("worker %d late", w.index)
			w.mu.Lock()
			w.late, w.lateS = 0.3, 6
			w.mu.Unlock()
			wg.Go(func() { time.Sleep(d); w.mu.Lock(); w.late = 0; w.mu.Unlock() })
		}
	case 8:
		mode := []string{"silent", "busy", "reset"}[r.IntN(3)]
		s.log("store %s", mode)
		s.store.SetFault(-1, StoreFault{Mode: mode})
		wg.Go(func() { time.Sleep(d); s.store.SetFault(-1, StoreFault{}); s.log("store back") })
	case 9:
		s.log("store loses answers")
		s.store.SetFault(-1, StoreFault{Lost: 0.3, LateS: 6})
		wg.Go(func() { time.Sleep(d); s.store.SetFault(-1, StoreFault{}); s.log("store back") })
	case 11:
		w := s.workers[r.IntN(len(s.workers))]
		w.Leave(2*time.Second + d)
		wg.Go(func() { time.Sleep(4*time.Second + 2*d); w.Restart() })
	case 12:
		for _, m := range s.machines {
			m.Signal(syscall.SIGKILL)
		}
		time.Sleep(300 * time.Millisecond)
		for _, m := range s.machines {
			_ = m.Start(o.root)
		}
	case 13, 14, 15:
		m := s.machines[r.IntN(len(s.machines))]
		still, moving := time.Duration(100+r.IntN(900))*time.Millisecond, time.Duration(10+r.IntN(150))*time.Millisecond
		wg.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); {
				m.Signal(syscall.SIGSTOP)
				time.Sleep(still)
				m.Signal(syscall.SIGCONT)
				time.Sleep(moving)
			}
		})
	case 10:
		m := s.machines[r.IntN(len(s.machines))]
		s.log("store silent for %s", m.name)
		s.store.SetFault(m.index, StoreFault{Mode: "silent"})
		wg.Go(func() { time.Sleep(d); s.store.SetFault(m.index, StoreFault{}); s.log("store back for %s", m.name) })
	}
}
