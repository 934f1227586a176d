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

// records is the store of a world: the records of submissions under their revisions, and
// writes that may take long. A write of a holder that has been replaced fails.
type records struct {
	revision uint64
	open     map[submission.ID]StoredRecord
	final    map[submission.ID]submission.State
	delay    time.Duration
	writes   []recordWrite
	noted    map[submission.TaskRef]bool // completed, and an end of it acknowledged or stored
	failed   map[submission.TaskRef]int  // failed runs, acknowledged
	listed   map[string][]worker.Ended   // by worker: the newest listing
	broken   []string
}

type recordWrite struct {
	at       time.Duration
	by       *Shard
	revision uint64
	record   *submission.Record
	final    submission.State // Unknown: progress
}

// take carries out the acknowledgements and puts off the writes of a holder.
func (r *records) take(w *world, a Actions) {
	for _, s := range a.Acks {
		for _, e := range r.listed[s.Worker] {
			if e.Seq <= s.UpTo {
				r.note(e)
			}
		}
		r.listed[s.Worker] = slices.DeleteFunc(r.listed[s.Worker], func(e worker.Ended) bool { return e.Seq <= s.UpTo })
	}
	for _, s := range a.Starts {
		r.check(w, s)
	}
	for _, f := range a.Finals {
		r.writes = append(r.writes, recordWrite{at: w.now + r.delay, by: w.shard, revision: f.Revision,
			record: &submission.Record{ID: f.ID}, final: f.State})
	}
	for _, s := range a.Saves {
		r.writes = append(r.writes, recordWrite{at: w.now + r.delay, by: w.shard, revision: s.Revision, record: s.Record})
	}
	due := r.writes
	r.writes = nil
	for _, o := range due {
		if o.at > w.now {
			r.writes = append(r.writes, o)
			continue
		}
		r.write(w, o)
	}
}

func (r *records) note(e worker.Ended) {
	switch e.Reason {
	case worker.Completed:
		r.noted[e.Task] = true
	case worker.Failed:
		r.failed[e.Task]++
	}
}

// check holds a start against what was acknowledged before.
func (r *records) check(w *world, s StartAction) {
	if r.noted[s.Task] {
		r.broken = append(r.broken, fmt.Sprintf("%v starts after its end was acknowledged", s.Task))
	}
	rec := r.open[s.Task.ID].Record
	if rec == nil {
		return // its end is stored, and the holder will hear of it
	}
	if r.failed[s.Task] >= rec.Terms.Attempts {
		r.broken = append(r.broken, fmt.Sprintf("%v starts after %d failed runs", s.Task, r.failed[s.Task]))
	}
	for _, before := range rec.Steps[s.Task.Step].DependsOn {
		for i := range rec.Steps[before].Count {
			if w.ledger.Done(submission.TaskRef{ID: rec.ID, Task: submission.Task{Step: before, Index: i}}) == 0 {
				r.broken = append(r.broken, fmt.Sprintf("%v starts before %d.%d is done", s.Task, before, i))
			}
		}
	}
}

// write carries out a write if its record is unchanged and its holder not replaced.
func (r *records) write(w *world, o recordWrite) {
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

func (r *records) end(id submission.ID, state submission.State) {
	delete(r.open, id)
	r.final[id] = state
}

// play is a world whose submissions are stored, and what has been submitted.
type play struct {
	*world
	made map[submission.ID]runhost.Work
}

func newPlay(t *testing.T) *play {
	w := newWorld(t, 3)
	w.records = &records{
		open:   make(map[submission.ID]StoredRecord),
		final:  make(map[submission.ID]submission.State),
		noted:  make(map[submission.TaskRef]bool),
		failed: make(map[submission.TaskRef]int),
		listed: make(map[string][]worker.Ended),
	}
	return &play{world: w, made: make(map[submission.ID]runhost.Work)}
}

// act is one random event: op says what happens, n how much of it.
type act struct{ Op, N int }

var reflectAct = reflect.TypeOf(act{})

func (p *play) do(a act) {
	workers := slices.Sorted(maps.Keys(p.hosts))
	id := workers[a.N%len(workers)]
	switch a.Op {
	case 0, 1, 2:
		p.submit(a.N)
	case 3:
		p.takeOver(a.N%2 == 0)
	case 4:
		p.rebirth(id)
	case 13:
		p.hosts[id].Crash()
		p.back[id] = p.now
	case 5:
		p.cut[id] = !p.cut[id]
	case 6:
		p.silent = func(s StartAction) bool { return (s.Task.Index+a.N)%3 == 0 }
	case 7:
		p.late = func(s StartAction) time.Duration {
			return time.Duration((s.Task.Index+a.N)%2) * 300 * ms
		}
	case 8:
		p.silent, p.late = nil, nil
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
	p.pass(time.Duration(a.N%7) * 40 * ms)
}

func (p *play) pass(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.step()
	}
}

func (p *play) submit(n int) {
	p.submitWork(n, runhost.Work{Time: time.Duration(20+n%5*60) * ms, Fails: n%4 == 0})
}

func (p *play) submitWork(n int, work runhost.Work) {
	id := submission.ID(fmt.Sprintf("s%d", len(p.made)))
	rec := p.submission(id, 1+n%4, work)
	rec.Transient = false
	for i := range n % 3 {
		step := rec.Steps[0]
		step.Count = 1 + (n+i)%3
		step.DependsOn = []int{i}
		rec.Steps = append(rec.Steps, step)
	}
	p.made[id] = p.works[id]
	p.records.revision++
	s := StoredRecord{Record: rec, Revision: p.records.revision}
	p.records.open[id] = s
	p.shard.Assign(p.now, s)
}

// takeOver replaces the holder; a clean one has certainly ended.
func (p *play) takeOver(clean bool) {
	p.hold(p.shard.Token()+1, clean)
	var all []StoredRecord
	for _, id := range slices.Sorted(maps.Keys(p.records.open)) {
		s := p.records.open[id]
		rec, err := submission.DecodeRecord(id, s.Record.Encode())
		if err != nil {
			p.t.Fatal(err)
		}
		all = append(all, StoredRecord{Record: rec, Revision: s.Revision})
	}
	p.shard.AddRecords(p.now, all)
}

// rebirth ends a worker's life; another begins at its address.
func (p *play) rebirth(id string) {
	p.noteEnded(id)
	address := p.hosts[id].Info.Address
	p.hosts[id].Crash()
	delete(p.hosts, id)
	delete(p.cut, id)
	delete(p.back, id)
	delete(p.records.listed, id)
	p.lives++
	p.addHost(fmt.Sprintf("%s-%d", id[:2], p.lives), address)
	p.hosts[fmt.Sprintf("%s-%d", id[:2], p.lives)].Info.Revision += uint64(p.lives)
	p.list()
}

func (p *play) cancel(n int) {
	for i, id := range slices.Sorted(maps.Keys(p.records.open)) {
		if i == n%3 {
			p.records.end(id, submission.Cancelled)
			p.shard.Cancel(p.now, id)
			return
		}
	}
}

// endedUnder is the most workers whose lives have ended under one task of a submission.
func (p *play) endedUnder(id submission.ID) int {
	most := 0
	for ref, workers := range p.ended {
		if ref.ID == id {
			most = max(most, len(workers))
		}
	}
	return most
}

// finish lets all faults end and returns what is wrong then.
func (p *play) finish() error {
	p.silent, p.late = nil, nil
	p.records.delay = 0
	clear(p.cut)
	p.pass(20 * time.Second)
	if wrong := append(p.records.broken, p.ledger.Faults...); len(wrong) > 0 {
		return fmt.Errorf("%v", wrong)
	}
	for id, work := range p.made {
		state, ended := p.records.final[id]
		switch {
		case !ended:
			return fmt.Errorf("%s has not ended, it is %s", id, p.states[id])
		case state == submission.Failed && !work.Fails && !work.Crashes && p.endedUnder(id) < 2:
			return fmt.Errorf("%s has failed, its tasks do not, and no two workers have crashed under one", id)
		case state == submission.Done && (work.Fails || work.Crashes):
			return fmt.Errorf("%s is done, its tasks do not complete", id)
		}
	}
	for ref, n := range p.ledger.StartsAfter {
		if n > runhost.StartsAfterMost {
			return fmt.Errorf("%v was started %d times after %d workers had crashed under it", ref, n, runhost.CrashesMost)
		}
	}
	return nil
}

// More than the share of each check by hand: go test ./internal/kept/shard -run Random
// -timeout 0 -random-runs 10000 -random-seed 7
var (
	randomRuns = flag.Int("random-runs", 60, "plays of random faults")
	randomSeed = flag.Int64("random-seed", 1, "of the first play")
)

// Stored submissions of several steps are brought to their end, each task once, in order
// and within its attempts, whatever happens to holders, workers, orders and the store.
func TestStoredSubmissionsSurviveRandomFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*randomSeed)
	parameters.MinSuccessfulTests = *randomRuns
	properties := gopter.NewProperties(parameters)
	acts := gen.SliceOfN(25, gen.Struct(reflectAct, map[string]gopter.Gen{
		"Op": gen.IntRange(0, 13),
		"N":  gen.IntRange(0, 1000),
	}))
	properties.Property("each task once, in order, to the end", prop.ForAll(func(acts []act) (bool, error) {
		p := newPlay(t)
		p.pass(100 * ms)
		for _, a := range acts {
			p.do(a)
		}
		err := p.finish()
		return err == nil, err
	}, acts))
	properties.TestingRun(t)
}
