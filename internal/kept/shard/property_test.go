package shard

import (
	"flag"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pumiceyard/pumiceyard/internal/kept/submission"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
	"github.com/pumiceyard/pumiceyard/internal/standin/runhost"
)

// recordStore simulates the store: records of submissions with their revisions, and writes that may take long.
// Writes of a holder that has been replaced have no effect.
type recordStore struct {
	revision         uint64
	open             map[submission.ID]StoredRecord
	final            map[submission.ID]submission.State
	delay            time.Duration
	writes           []recordWrite
	ackedCompletions map[submission.TaskRef]bool // tasks of which a completed run was acknowledged
	ackedFailures    map[submission.TaskRef]int  // number of acknowledged failed runs
	listed           map[string][]worker.Ended   // ended runs in the newest listing of each worker
	moves            int                         // submissions that were to be stored under another shard
	elsewhere        []movedRecord
	violations       []string
}

// movedRecord is a submission that another shard has until it gives it back.
type movedRecord struct {
	until  time.Duration
	record *submission.Record
}

// timeElsewhere is how long another shard keeps a submission that it cannot run either.
const timeElsewhere = 500 * ms

type recordWrite struct {
	at       time.Duration
	by       *Shard
	revision uint64
	record   *submission.Record
	final    submission.State // Unknown: progress
}

// apply carries out the acknowledgements of a holder, and its writes after the delay.
func (r *recordStore) apply(w *world, a Actions) {
	for _, s := range a.Acks {
		for _, e := range r.listed[s.Worker] {
			if e.Seq <= s.UpTo {
				r.recordEnd(e)
			}
		}
		r.listed[s.Worker] = slices.DeleteFunc(r.listed[s.Worker], func(e worker.Ended) bool { return e.Seq <= s.UpTo })
	}
	for _, s := range a.Starts {
		r.checkStart(w, s)
	}
	for _, f := range a.Finals {
		r.writes = append(r.writes, recordWrite{at: w.now + r.delay, by: w.shard, revision: f.Revision,
			record: &submission.Record{ID: f.ID}, final: f.State})
	}
	for _, s := range a.Saves {
		r.writes = append(r.writes, recordWrite{at: w.now + r.delay, by: w.shard, revision: s.Revision, record: s.Record})
	}
	for _, m := range a.Reassigns {
		r.move(w, m)
	}
	r.returnMoved(w)
	pending := r.writes
	r.writes = nil
	for _, o := range pending {
		if o.at > w.now {
			r.writes = append(r.writes, o)
			continue
		}
		r.write(w, o)
	}
}

func (r *recordStore) recordEnd(e worker.Ended) {
	switch e.Reason {
	case worker.Completed:
		r.ackedCompletions[e.Task] = true
	case worker.Failed:
		r.ackedFailures[e.Task]++
	}
}

// checkStart checks a start against the ended runs that were acknowledged before.
func (r *recordStore) checkStart(w *world, s StartAction) {
	if r.ackedCompletions[s.Task] {
		r.violations = append(r.violations, fmt.Sprintf("%v starts after a completed run of it was acknowledged", s.Task))
	}
	rec := r.open[s.Task.ID].Record
	if rec == nil {
		return // its final state is stored, and the holder will learn it
	}
	if r.ackedFailures[s.Task] >= rec.Terms.Attempts {
		r.violations = append(r.violations, fmt.Sprintf("%v starts after %d failed runs", s.Task, r.ackedFailures[s.Task]))
	}
	for _, before := range rec.Steps[s.Task.Step].DependsOn {
		for i := range rec.Steps[before].Count {
			if w.ledger.Completions(submission.TaskRef{ID: rec.ID, Task: submission.Task{Step: before, Index: i}}) == 0 {
				r.violations = append(r.violations, fmt.Sprintf("%v starts before %d.%d is done", s.Task, before, i))
			}
		}
	}
}

// write carries out a write if the record is unchanged and the holder has not been replaced.
func (r *recordStore) write(w *world, o recordWrite) {
	if o.by != w.shard {
		return
	}
	id := o.record.ID
	if r.open[id].Revision != o.revision || o.revision == 0 {
		w.shard.RecordConflict(w.now, id)
		return
	}
	if o.final != submission.Unknown {
		r.end(id, o.final)
		w.shard.FinalStored(w.now, id)
		return
	}
	r.revision++
	r.open[id] = StoredRecord{Record: o.record, Revision: r.revision}
	w.shard.ProgressSaved(w.now, id, r.revision)
}

// move stores every second submission under another shard; for the others there is none.
func (r *recordStore) move(w *world, m ReassignAction) {
	id := m.Record.ID
	r.moves++
	switch {
	case r.open[id].Revision != m.Revision:
		w.shard.RecordConflict(w.now, id)
	case r.moves%2 == 0:
		w.shard.ReassignFailed(w.now, id)
	default:
		r.revision++
		m.Record.Moves++
		r.open[id] = StoredRecord{Record: m.Record, Revision: r.revision}
		r.elsewhere = append(r.elsewhere, movedRecord{until: w.now + timeElsewhere, record: m.Record})
		w.shard.Reassigned(w.now, id, r.revision)
	}
}

// returnMoved stores submissions under this shard again whose time elsewhere is over, and that were not cancelled there.
func (r *recordStore) returnMoved(w *world) {
	r.elsewhere = slices.DeleteFunc(r.elsewhere, func(m movedRecord) bool {
		if m.until > w.now {
			return false
		}
		if id := m.record.ID; r.open[id].Record == m.record {
			r.revision++
			m.record.Token = w.shard.Token()
			r.open[id] = StoredRecord{Record: m.record, Revision: r.revision}
			w.shard.Assign(w.now, r.open[id])
		}
		return true
	})
}

// isElsewhere reports whether another shard has a submission.
func (r *recordStore) isElsewhere(id submission.ID) bool {
	return slices.ContainsFunc(r.elsewhere, func(m movedRecord) bool { return m.record.ID == id })
}

func (r *recordStore) end(id submission.ID, state submission.State) {
	delete(r.open, id)
	r.final[id] = state
}

// randomPlay is a world with a record store, in which random events happen.
type randomPlay struct {
	*world
	submitted map[submission.ID]runhost.Work
	attempts  map[submission.ID]int
}

func newPlay(t *testing.T) *randomPlay {
	w := newWorld(t, 3)
	w.records = &recordStore{
		open:             make(map[submission.ID]StoredRecord),
		final:            make(map[submission.ID]submission.State),
		ackedCompletions: make(map[submission.TaskRef]bool),
		ackedFailures:    make(map[submission.TaskRef]int),
		listed:           make(map[string][]worker.Ended),
	}
	return &randomPlay{world: w, submitted: make(map[submission.ID]runhost.Work), attempts: make(map[submission.ID]int)}
}

// event is a random event. Op selects what happens, N the worker or submission and the amount.
type event struct{ Op, N int }

var reflectAct = reflect.TypeOf(event{})

func (p *randomPlay) apply(a event) {
	workers := slices.Sorted(maps.Keys(p.hosts))
	id := workers[a.N%len(workers)]
	switch a.Op {
	case 0, 1, 2:
		p.submit(a.N)
	case 3:
		p.takeOver(a.N%2 == 0)
	case 4:
		p.replaceWorker(id)
	case 13:
		p.hosts[id].Crash()
		p.restartAt[id] = p.now
	case 5:
		p.unreachable[id] = !p.unreachable[id]
	case 6:
		p.losesStartReply = func(s StartAction) bool { return (s.Task.Index+a.N)%3 == 0 }
	case 7:
		p.startDelay = func(s StartAction) time.Duration {
			return time.Duration((s.Task.Index+a.N)%2) * 300 * ms
		}
		if !p.ordersOutliveWorkers {
			p.stopDelay = func(s StopAction) time.Duration {
				return time.Duration((s.Task.Index+a.N/2)%2) * 300 * ms
			}
		}
	case 8:
		p.losesStartReply, p.startDelay, p.stopDelay = nil, nil, nil
	case 9:
		p.cancel(a.N)
	case 10:
		p.records.delay = time.Duration(a.N%4) * 400 * ms
	case 11:
		p.submitWork(a.N, runhost.Work{Time: time.Duration(a.N%5*40) * ms, Crashes: true})
	case 12:
		for _, id := range workers[:1+a.N%len(workers)] {
			p.hosts[id].Crash()
		}
	}
	p.advance(time.Duration(a.N%7) * 40 * ms)
}

func (p *randomPlay) advance(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.step()
	}
}

// advanceUpTime advances until the workers have been up for d each, on average: a crashed worker can run nothing.
func (p *randomPlay) advanceUpTime(d time.Duration) {
	for up := time.Duration(0); up < d; {
		p.step()
		for _, h := range p.hosts {
			if !h.Crashed() {
				up += testTick / time.Duration(len(p.hosts))
			}
		}
	}
}

func (p *randomPlay) submit(n int) {
	p.submitWork(n, runhost.Work{Time: time.Duration(20+n%5*60) * ms, Fails: n%4 == 0})
}

func (p *randomPlay) submitWork(n int, work runhost.Work) {
	id := submission.ID(fmt.Sprintf("s%d", len(p.submitted)))
	rec := p.submission(id, 1+n%4, work)
	rec.Transient = false
	for i := range n % 3 {
		step := rec.Steps[0]
		step.Count = 1 + (n+i)%3
		step.DependsOn = []int{i}
		rec.Steps = append(rec.Steps, step)
	}
	p.submitted[id] = p.workOf[id]
	p.attempts[id] = rec.Terms.Attempts
	p.records.revision++
	s := StoredRecord{Record: rec, Revision: p.records.revision}
	p.records.open[id] = s
	p.shard.Assign(p.now, s)
}

// takeOver replaces the holder. clean says that the previous one has certainly stopped.
func (p *randomPlay) takeOver(clean bool) {
	p.newHolder(p.shard.Token()+1, clean)
	var all []StoredRecord
	for _, id := range slices.Sorted(maps.Keys(p.records.open)) {
		if p.records.isElsewhere(id) {
			continue
		}
		s := p.records.open[id]
		rec, err := submission.DecodeRecord(id, s.Record.Encode())
		if err != nil {
			p.t.Fatal(err)
		}
		all = append(all, StoredRecord{Record: rec, Revision: s.Revision})
	}
	p.shard.AddRecords(p.now, all)
}

// replaceWorker ends a worker and starts another one at its address.
func (p *randomPlay) replaceWorker(id string) {
	p.recordEnded(id)
	address := p.hosts[id].Info.Address
	p.hosts[id].Crash()
	delete(p.hosts, id)
	delete(p.unreachable, id)
	delete(p.restartAt, id)
	delete(p.records.listed, id)
	p.restarts++
	p.addHost(fmt.Sprintf("%s-%d", id[:2], p.restarts), address)
	p.hosts[fmt.Sprintf("%s-%d", id[:2], p.restarts)].Info.Revision += uint64(p.restarts)
	p.updateList()
}

func (p *randomPlay) cancel(n int) {
	for i, id := range slices.Sorted(maps.Keys(p.records.open)) {
		if i == n%3 {
			p.records.end(id, submission.Cancelled)
			p.shard.Cancel(p.now, id)
			return
		}
	}
}

// maxWorkersEnded returns how many workers have ended under a task of a submission, the maximum over its tasks.
func (p *randomPlay) maxWorkersEnded(id submission.ID) int {
	most := 0
	for ref, workers := range p.endedUnder {
		if ref.ID == id {
			most = max(most, len(workers))
		}
	}
	return most
}

// settleAndCheck ends all faults, lets the submissions end and returns what is wrong then.
func (p *randomPlay) settleAndCheck() error {
	p.losesStartReply, p.startDelay, p.stopDelay = nil, nil, nil
	p.records.delay = 0
	clear(p.unreachable)
	p.advanceUpTime(20 * time.Second)
	if wrong := append(p.records.violations, p.ledger.Violations...); len(wrong) > 0 {
		return fmt.Errorf("%v", wrong)
	}
	if counted := p.shard.countStrayRuns(); !maps.Equal(counted, p.shard.strayCounts) {
		return fmt.Errorf("stray runs %v are counted as %v", counted, p.shard.strayCounts)
	}
	for id, work := range p.submitted {
		state, ended := p.records.final[id]
		switch {
		case !ended:
			return fmt.Errorf("%s has not ended, it is %s", id, p.states[id])
		case state == submission.Failed && !work.Fails && !work.Crashes && p.maxWorkersEnded(id) < 2:
			return fmt.Errorf("%s has failed, its tasks do not, and no two workers have crashed under one", id)
		case state == submission.Failed && work.Fails && p.ledger.MaxFailures(id) < p.attempts[id] && p.maxWorkersEnded(id) < 2:
			return fmt.Errorf("%s has failed after %d failed runs of a task, it has %d attempts", id, p.ledger.MaxFailures(id), p.attempts[id])
		case state == submission.Done && (work.Fails || work.Crashes):
			return fmt.Errorf("%s is done, its tasks do not complete", id)
		}
	}
	for ref, n := range p.ledger.StartsAfterCrashLimit {
		if n > runhost.MaxStartsAfterCrashLimit {
			return fmt.Errorf("%v was started %d times after %d workers had crashed under it", ref, n, runhost.CrashLimit)
		}
	}
	return nil
}

// To run more than the default number of plays: go test ./internal/kept/shard -run Random -timeout 0
// -random-runs 10000 -random-seed 7
var (
	randomRuns = flag.Int("random-runs", 60, "number of plays of random faults")
	randomSeed = flag.Int64("random-seed", 1, "seed of the first play")
)

// play plays events and returns what is wrong after them.
func (p *randomPlay) play(acts []event) error {
	p.advance(100 * ms)
	for _, a := range acts {
		p.apply(a)
	}
	return p.settleAndCheck()
}

// playRandomFaults plays random events in worlds that are prepared by prepare.
func playRandomFaults(t *testing.T, prepare func(*randomPlay)) {
	parameters := gopter.DefaultTestParametersWithSeed(*randomSeed)
	parameters.MinSuccessfulTests = *randomRuns
	properties := gopter.NewProperties(parameters)
	acts := gen.SliceOfN(25, gen.Struct(reflectAct, map[string]gopter.Gen{
		"Op": gen.IntRange(0, 13),
		"N":  gen.IntRange(0, 1000),
	}))
	properties.Property("each task once, in order, to the end", prop.ForAll(func(acts []event) (bool, error) {
		p := newPlay(t)
		prepare(p)
		err := p.play(acts)
		return err == nil, err
	}, acts))
	properties.TestingRun(t)
}

// Stored submissions of several steps end, with each task completed once, in the order of the steps and within
// its attempts, whatever happens to holders, workers, orders and the store.
func TestStoredSubmissionsSurviveRandomFaults(t *testing.T) {
	playRandomFaults(t, func(*randomPlay) {})
}

// The same where a delayed start also reaches the next incarnation of its worker under the same ID.
func TestStoredSubmissionsSurviveOrdersThatOutliveWorkers(t *testing.T) {
	playRandomFaults(t, func(p *randomPlay) { p.ordersOutliveWorkers = true })
}

// Guards against faults that random plays have shown before.
func TestPlaysThatOnceFailed(t *testing.T) {
	plays := map[string][]event{
		"a task runs twice at once": {{13, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 1}, {0, 0}, {0, 0}, {0, 0}, {0, 0},
			{4, 0}, {4, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 0}, {7, 0}, {0, 0}, {4, 0}, {0, 0}, {0, 0}, {0, 55}, {5, 130}, {13, 88}},
		"a task runs twice at once, as it was found": {{13, 162}, {6, 333}, {8, 79}, {0, 479}, {10, 491}, {3, 239}, {5, 347}, {13, 147},
			{1, 709}, {11, 384}, {7, 982}, {6, 159}, {4, 434}, {7, 809}, {12, 177}, {10, 361}, {6, 255}, {9, 284}, {1, 722}, {4, 599},
			{10, 157}, {12, 399}, {11, 500}, {5, 259}, {13, 202}},
		"a submission waits beside idle workers": slices.Repeat([]event{{0, 0}}, 25),
		"a submission that crashes workers has not ended": {{7, 326}, {2, 233}, {9, 398}, {8, 141}, {0, 74}, {6, 655}, {13, 767}, {2, 602},
			{11, 283}, {2, 555}, {12, 794}, {12, 65}, {2, 462}, {3, 526}, {12, 684}, {11, 362}, {7, 621}, {11, 553}, {8, 723}, {11, 163},
			{0, 88}, {11, 274}, {11, 77}, {4, 183}, {11, 326}},
		"a start without an answer and a run are lost with their workers": {{0, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 0}, {0, 0},
			{0, 0}, {5, 6}, {0, 3}, {0, 0}, {0, 0}, {0, 55}, {0, 0}, {0, 76}, {0, 103}, {0, 541}, {0, 0}, {12, 4}, {0, 0}, {0, 0}, {0, 0},
			{0, 0}, {0, 0}},
	}
	for name, acts := range plays {
		t.Run(name, func(t *testing.T) {
			if err := newPlay(t).play(acts); err != nil {
				t.Error(err)
			}
		})
	}
}
