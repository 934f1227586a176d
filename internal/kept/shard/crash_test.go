package shard

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// storedSubmission returns a submission that is stored.
func (w *world) storedSubmission(id submission.ID, tasks int, work runhost.Work) *submission.Record {
	r := w.submission(id, tasks, work)
	r.Transient = false
	return r
}

// crashCount returns how many workers the tasks of a submission have crashed.
func (w *world) crashCount(id submission.ID) int { return runhost.SumOf(w.ledger.Crashes, id) }

// crash crashes workers.
func (w *world) crash(ids ...string) {
	for _, id := range ids {
		w.hosts[id].Advance(w.now)
		w.hosts[id].Crash()
	}
}

// loseWorkerOf crashes the worker of a submission's first task for good.
func (w *world) loseWorkerOf(id submission.ID) {
	lost := w.shard.jobs[id].tasks[0].host.info.ID
	w.crash(lost)
	delete(w.hosts, lost)
}

// Guards against a task that crashes one worker after the other.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, stored := range []bool{false, true} {
		t.Run(fmt.Sprintf("stored %v", stored), func(t *testing.T) {
			w := newWorld(t, 6)
			w.run(100 * ms)
			r := w.submission("poison", 1, runhost.Work{Time: 50 * ms, Crashes: true})
			r.Transient = !stored
			w.assign(r)
			w.assign(w.submission("beside", 10, runhost.Work{Time: 300 * ms}))
			w.run(8 * time.Second)
			w.expectState("poison", submission.Failed)
			w.expectState("beside", submission.Done)
			if n := w.crashCount("poison"); n != 2 {
				t.Errorf("it has crashed %d workers, want 2", n)
			}
		})
	}
}

// Guards against a submission that fails because tasks of others crash the workers that it shares with them.
func TestSubmissionsBesideCrashingTasksComplete(t *testing.T) {
	w := newWorld(t, 6)
	w.run(100 * ms)
	for i := range 4 {
		w.assign(w.storedSubmission(submission.ID(fmt.Sprintf("poison%d", i)), 1, runhost.Work{Time: 150 * ms, Crashes: true}))
		w.assign(w.storedSubmission(submission.ID(fmt.Sprintf("good%d", i)), 2, runhost.Work{Time: 400 * ms}))
		w.run(400 * ms)
	}
	w.run(20 * time.Second)
	for i := range 4 {
		w.expectState(submission.ID(fmt.Sprintf("poison%d", i)), submission.Failed)
		w.expectState(submission.ID(fmt.Sprintf("good%d", i)), submission.Done)
	}
}

// Guards against submissions that fail because several workers lose power at once, twice in a row.
func TestWorkersLostTogetherFailNoTask(t *testing.T) {
	for _, share := range []int{2, 3, 8} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d of 8 workers, seed %d", share, seed), func(t *testing.T) {
				w := newWorld(t, 8)
				w.run(100 * ms)
				for i := range 8 {
					w.assign(w.storedSubmission(submission.ID(fmt.Sprint("s", i)), 2, runhost.Work{Time: 800 * ms}))
				}
				random := rand.New(rand.NewPCG(seed, 1))
				for range 2 {
					w.run(300 * ms)
					ids := slices.DeleteFunc(slices.Sorted(maps.Keys(w.hosts)), func(id string) bool { return w.hosts[id].Crashed() })
					random.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
					w.crash(ids[:min(share, len(ids))]...)
					w.run(1300 * ms)
				}
				w.run(10 * time.Second)
				for i := range 8 {
					w.expectState(submission.ID(fmt.Sprint("s", i)), submission.Done)
				}
			})
		}
	}
}

// Guards against a submission that fails because its workers are cut off one after the other, though they go
// on running.
func TestUnreachableWorkersFailNoStoredTask(t *testing.T) {
	w := newWorld(t, 3)
	w.run(100 * ms)
	w.assign(w.storedSubmission("s", 1, runhost.Work{Time: 1500 * ms}))
	for range 3 {
		w.run(200 * ms)
		last := w.starts[len(w.starts)-1].Worker.ID
		w.unreachable[last] = true
		w.run(1200 * ms)
		clear(w.unreachable)
		w.run(50 * ms)
	}
	if l := w.shard.jobs["s"].tasks[0].losses; len(l) > 0 {
		t.Errorf("workers that answer again count as lost: %+v", l)
	}
	w.run(10 * time.Second)
	w.expectState("s", submission.Done)
}

// Guards against a loss that is counted several times because it is detected in several ways.
func TestCrashIsCountedOnce(t *testing.T) {
	w := newWorld(t, 3)
	w.run(100 * ms)
	w.assign(w.storedSubmission("s", 1, runhost.Work{Time: 900 * ms}))
	w.run(50 * ms)
	id := w.starts[0].Worker.ID
	address := w.hosts[id].Info.Address
	w.crash(id)
	w.run(1500 * ms) // its lease expires
	w.shard.WorkerGone(w.now, id)
	w.addHost("next", address)
	w.hosts["next"].Info.Revision += 1000
	w.updateList()
	w.shard.WorkerGone(w.now, id)
	w.run(50 * ms)
	if l := w.shard.jobs["s"].tasks[0].losses; len(l) != 1 || !l[0].Certain {
		t.Errorf("the losses are %+v, want one that is certain", l)
	}
}

// Guards against losses that are forgotten when the holder changes between two crashes.
func TestLossesSurviveATakeover(t *testing.T) {
	w := newWorld(t, 6)
	w.run(100 * ms)
	var saved *submission.Record
	w.assign(w.storedSubmission("poison", 1, runhost.Work{Time: 50 * ms, Crashes: true}))
	for w.crashCount("poison") == 0 || saved == nil || w.startCount("poison") < 2 {
		w.now += testTick
		w.step()
		for _, j := range w.shard.jobs {
			if p := j.progress(); len(p.Losses) > 0 {
				rec := *j.rec
				rec.Progress = p
				saved = &rec
			}
		}
	}
	rec, err := submission.DecodeRecord("poison", saved.Encode())
	if err != nil {
		t.Fatal(err)
	}
	w.newHolder(2, true)
	w.shard.AddRecords(w.now, []StoredRecord{{Record: rec, Revision: 2}})
	w.run(10 * time.Second)
	if w.finals["poison"] != submission.Failed {
		t.Errorf("it is %s, want failed", w.finals["poison"])
	}
	if n := w.crashCount("poison"); n > runhost.CrashLimit {
		t.Errorf("it has crashed %d workers", n)
	}
}

// Guards against a loss that is not counted because the start order had no answer, was carried out late and
// crashed its worker at once.
func TestLateStartThatCrashesCounts(t *testing.T) {
	w := newWorld(t, 6)
	w.run(100 * ms)
	w.startDelay = func(StartAction) time.Duration { return testTick }
	w.assign(w.storedSubmission("poison", 1, runhost.Work{Crashes: true}))
	w.run(20 * time.Second)
	w.expectState("poison", submission.Failed)
	if n := w.crashCount("poison"); n > runhost.CrashLimit {
		t.Errorf("it has crashed %d workers", n)
	}
}

// Guards against a sequence of submissions that crash workers and so leave no capacity for others.
func TestCrashingTasksLeaveCapacityForOthers(t *testing.T) {
	w := newWorld(t, 16)
	w.run(100 * ms)
	done, all := 0, 0
	for i := range 60 {
		if i%4 == 0 {
			w.assign(w.storedSubmission(submission.ID(fmt.Sprint("poison", i)), 1, runhost.Work{Time: 50 * ms, Crashes: true}))
		}
		w.assign(w.storedSubmission(submission.ID(fmt.Sprint("good", i)), 2, runhost.Work{Time: 100 * ms}))
		all++
		w.run(200 * ms)
	}
	w.run(30 * time.Second)
	for i := range 60 {
		if i%4 == 0 {
			w.expectState(submission.ID(fmt.Sprint("poison", i)), submission.Failed)
		}
		if w.states[submission.ID(fmt.Sprint("good", i))] == submission.Done {
			done++
		}
	}
	if done != all {
		t.Errorf("%d of %d other submissions are done", done, all)
	}
	for ref, n := range w.ledger.StartsAfterCrashLimit {
		if n > runhost.MaxStartsAfterCrashLimit {
			t.Errorf("%v was started %d times after %d crashes", ref, n, runhost.CrashLimit)
		}
	}
}

// uncertainLoss returns a loss of a run that an earlier holder has seen and stored, without knowing whether the worker at
// the address has ended.
func uncertainLoss(run uint64, weight int, address string) submission.Loss {
	return submission.Loss{Worker: "lost", Run: run, Weight: weight, Address: address, Under: true}
}

// Guards against a suspect that waits anew with each loss for the outcome of an old one, though nobody can learn it any
// more.
func TestOldUncertainLossDelaysNoStart(t *testing.T) {
	w := newWorld(t, 2)
	w.run(100 * ms)
	r := w.storedSubmission("s", 1, runhost.Work{Time: 5 * time.Second})
	r.Progress.RecordLosses(submission.Task{}, []submission.Loss{uncertainLoss(1, 2, "of another domain")})
	r.MaxRunElsewhere = 1
	w.assign(r)
	w.run(policy.LossConfirmationTime)
	if n := w.startCount("s"); n != 1 {
		t.Fatalf("%d starts, want 1", n)
	}
	w.crash(w.starts[0].Worker.ID)
	w.run(crashDowntime + 100*ms)
	if l := w.shard.jobs["s"].tasks[0].losses; len(l) != 2 || !l[1].Certain {
		t.Fatalf("the losses are %+v, want a second one that is certain", l)
	}
	if n := w.startCount("s"); n != 2 {
		t.Errorf("%d starts once the second loss is certain, want 2", n)
	}
}

// Guards against a task that goes on crashing workers in another domain, as it leaves an evacuated one before it is
// known there that the worker that it was alone on has ended.
func TestSuspectLeavesAnEvacuatedDomainWithItsLossesKnown(t *testing.T) {
	w := newWorld(t, 1)
	w.run(100 * ms)
	r := w.storedSubmission("s", 1, runhost.Work{Time: 5 * time.Second})
	r.Progress.RecordLosses(submission.Task{}, []submission.Loss{uncertainLoss(1, 1, "of another domain")})
	r.Progress.Losses[submission.Task{}][0].Certain = true
	r.MaxRunElsewhere = 1
	w.assign(r)
	w.run(100 * ms)
	w.crash(w.starts[0].Worker.ID)
	w.shard.SetEvacuated(w.now, true)
	w.run(crashDowntime + 100*ms)
	if len(w.reassigns) > 0 || w.finals["s"] != submission.Failed {
		t.Errorf("it is %q with %d reassignments once the loss of its worker is certain, want failed with none", w.finals["s"], len(w.reassigns))
	}
}

// Guards against a suspect that never starts again on an idle shard, as the worker reserved for it cannot run it.
func TestSuspectGetsAWorkerThatCanRunIt(t *testing.T) {
	for name, unsuitable := range map[string]func(*worker.Info){
		"label":   func(i *worker.Info) { i.Labels = nil },
		"memory":  func(i *worker.Info) { i.MemMB = 1000 },
		"GPU":     func(i *worker.Info) { i.GPU = 0 },
		"size":    func(i *worker.Info) { i.CPUMilli = 4000 },
		"service": func(i *worker.Info) { i.Service = "lab" },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 4)
			for _, id := range []string{"w0", "w1", "w2", "w3"} {
				info := &w.hosts[id].Info
				info.Labels, info.GPU = []string{"b"}, 1
			}
			unsuitable(&w.hosts["w0"].Info)
			w.updateList()
			w.run(100 * ms)
			r := w.storedSubmission("s", 1, runhost.Work{Time: 300 * ms})
			r.Steps[0].RequiredLabel, r.Steps[0].MemMB, r.Steps[0].GPU = "b", 2000, 1
			w.assign(r)
			w.run(50 * ms)
			w.loseWorkerOf("s")
			w.run(4 * time.Second)
			w.expectState("s", submission.Done)
		})
	}
}

// Guards against a submission that is shown as failed though only one worker crashed under it: an earlier worker had ended
// before it could begin anything, or fell silent until its lease was over and crashed later.
func TestOneCrashUnderATaskFailsNoSubmission(t *testing.T) {
	for name, loseFirst := range map[string]func(w *world){
		"the first start has no answer": func(w *world) {
			w.crash("w0")
			w.assignStored(4)
			w.run(1300 * ms)
		},
		"the first worker is silent and crashes later": func(w *world) {
			w.assignStored(4)
			w.run(200 * ms)
			w.unreachable["w0"] = true
			w.run(1300 * ms)
			w.crash("w0")
			clear(w.unreachable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5)
			w.run(100 * ms)
			loseFirst(w)
			lostOnce := w.tasksWithLosses()
			if len(lostOnce) == 0 {
				t.Fatal("no task has lost a worker")
			}
			for len(lostOnce) > 0 {
				task := lostOnce[0]
				lostOnce = lostOnce[1:]
				for end := w.now + 10*time.Second; task.state != taskRunning && w.now < end; {
					w.step()
				}
				w.run(300 * ms)
				if task.state == taskRunning && len(task.losses) == 1 {
					w.crash(task.host.info.ID)
				}
				w.run(7 * time.Second)
			}
			w.run(20 * time.Second)
			for i := range 4 {
				if id := submission.ID(fmt.Sprint("s", i)); w.finals[id] != submission.Done {
					t.Errorf("%s is %q, want done", id, w.finals[id])
				}
			}
		})
	}
}

// assignStored assigns n stored submissions of one task of 2.5 s.
func (w *world) assignStored(n int) {
	for i := range n {
		w.assign(w.storedSubmission(submission.ID(fmt.Sprint("s", i)), 1, runhost.Work{CPUMilli: 8000, Time: 2500 * ms}))
	}
	w.run(20 * ms)
}

// tasksWithLosses returns the tasks under which a worker counts as lost.
func (w *world) tasksWithLosses() (out []*task) {
	for _, id := range slices.Sorted(maps.Keys(w.shard.jobs)) {
		for _, t := range w.shard.jobs[id].tasks {
			if len(t.losses) > 0 {
				out = append(out, t)
			}
		}
	}
	return out
}
