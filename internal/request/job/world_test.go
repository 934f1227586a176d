package job

import (
	"fmt"
	"slices"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// world is a small site: entry VMs that drive submissions with the real job
// machine, owners of worker leases, workers that apply the acceptance rules, and
// the messages between them.
//
// Messages of one stream (home to owner and back, owner to worker and back) keep
// their order and lose their tail when the stream breaks; what is under way
// then may still arrive, at any later time. Calls (seals, follows, submissions)
// are lost, doubled, delayed and reordered at will. Of messages in streams, the
// starts and the results for a home are doubled too, because the workers and the
// machine promise to bear it; a batch for an owner is not.
type world struct {
	removed  guard
	now      time.Time
	vms      []*vm
	owners   []*owner
	workers  []*worker
	subs     []*submission
	net      []*packet
	lastID   uint64 // of incarnations and streams
	tally    tally
	violated error // the first one
}

// guard is a part of the protocol that a test removes, to see that the property
// notices.
type guard uint8

const (
	nothing guard = iota
	workerGeneration
	workerDuplicate
	workerRestart
	askAll
	homeIncarnation
	closeFirst
)

// tally counts what happened over many worlds.
type tally struct{ attempts, starts, recoveries, completes, failures, unknowns, notRuns, secondStarts int }

func (t *tally) add(o tally) {
	t.attempts += o.attempts
	t.starts += o.starts
	t.recoveries += o.recoveries
	t.completes += o.completes
	t.failures += o.failures
	t.unknowns += o.unknowns
	t.notRuns += o.notRuns
	t.secondStarts += o.secondStarts
}

// submission is what its caller and an observer of all workers know.
type submission struct {
	id     ticket.ID
	home   string
	starts []int  // by task index
	never  bool   // somebody was told that nothing ran
	final  bool   // an answer came since it was asked last
	driver uint64 // where an answer pointed to
}

const (
	tasksEach   = 6
	deadlineIn  = 400 * time.Millisecond
	settleIn    = 50 * time.Millisecond
	offerLimit  = 3
	worldVMs    = 3
	worldOwners = 2
)

// packet is one message under way.
type packet struct {
	stream  uint64 // 0: a call, in no order with others
	doubles bool
	arrive  func()
	lost    func()
}

func newWorld(removed guard, workers int) *world {
	w := &world{removed: removed, now: time.Unix(1000, 0)}
	for i := range worldVMs {
		v := &vm{w: w, name: fmt.Sprintf("vm%d", i)}
		v.start()
		w.vms = append(w.vms, v)
	}
	for i := range worldOwners {
		w.owners = append(w.owners, &owner{w: w, name: fmt.Sprintf("owner%d", i), leases: map[*worker]*lease{}})
	}
	for i := range workers {
		k := &worker{w: w, name: fmt.Sprintf("w%d", i)}
		k.restart()
		w.workers = append(w.workers, k)
		w.owners[i%worldOwners].acquire(k)
	}
	// Two homes, the younger and the older one of the first two VMs.
	for i := range 2 {
		w.subs = append(w.subs, &submission{
			id:     ticket.ID{Incarnation: w.vms[i].inc, Counter: uint64(i)},
			home:   w.vms[i].name,
			starts: make([]int, tasksEach),
		})
	}
	return w
}

func (w *world) next() uint64 { w.lastID++; return w.lastID }

func (w *world) violate(format string, args ...any) {
	if w.violated == nil {
		w.violated = fmt.Errorf(format, args...)
	}
}

// send puts a message under way.
func (w *world) send(p *packet) { w.net = append(w.net, p) }

// take removes the message at i, or the oldest of its stream.
func (w *world) take(i int) *packet {
	if s := w.net[i].stream; s != 0 {
		i = slices.IndexFunc(w.net, func(p *packet) bool { return p.stream == s })
	}
	p := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	return p
}

func (w *world) deliver(i int, twice bool) {
	if len(w.net) == 0 {
		return
	}
	p := w.take(i % len(w.net))
	if twice && p.doubles {
		w.send(&packet{arrive: p.arrive, doubles: true})
	}
	p.arrive()
}

// lose drops a message. A stream that loses one loses all later ones too.
func (w *world) lose(i int) {
	if len(w.net) == 0 {
		return
	}
	p := w.take(i % len(w.net))
	if p.stream != 0 {
		w.net = slices.DeleteFunc(w.net, func(o *packet) bool { return o.stream == p.stream })
	}
	if p.lost != nil {
		p.lost()
	}
}

// output is what a task of a submission computes.
func (s *submission) output(index uint32) string { return fmt.Sprintf("%v/%d", s.id, index) }

// answered checks an answer that a caller of s got.
func (w *world) answered(s *submission, a *Answer) {
	if a.Reason == reason.RecoveredElsewhere {
		s.driver = a.Driver
		return
	}
	started := slices.Max(s.starts) > 0
	switch a.Outcome {
	case reason.Complete:
		w.tally.completes++
		for i := range s.starts {
			if i >= len(a.Outputs) || string(a.Outputs[i]) != s.output(uint32(i)) {
				w.violate("complete answer of %v without the output of task %d", s.id, i)
			}
		}
	case reason.NotRun:
		w.tally.notRuns++
		s.never = true
		if started {
			w.violate("not_run, but tasks of %v have started", s.id)
		}
	case reason.Failed:
		w.tally.failures++
	case reason.Unknown:
		w.tally.unknowns++
	}
	s.final = true
}

// vm is an entry VM as a driver of submissions: the steps of package home
// around the job machine.
type vm struct {
	w        *world
	name     string
	inc      uint64
	cut      bool // the others can not reach it
	jobs     map[ticket.ID]*entry
	sessions map[*owner]*session
}

type entry struct {
	job *Job
	sub *submission
}

// session is one stream between a home and an owner.
type session struct {
	vm      *vm
	inc     uint64
	owner   *owner
	life    int // of the owner
	out, in uint64
	left    bool // the owner has learnt that it ended
}

// start begins a new life of the VM: nothing is kept, the incarnation is new.
func (v *vm) start() {
	for _, s := range v.sessions {
		s.left = true
	}
	v.inc, v.jobs, v.sessions = v.w.next(), map[ticket.ID]*entry{}, map[*owner]*session{}
}

// lives reports whether the VM of an incarnation can be reached from v.
func (w *world) lives(v *vm, inc uint64) *vm {
	for _, o := range w.vms {
		if o.inc == inc && (o == v || (!o.cut && !v.cut)) {
			return o
		}
	}
	return nil
}

func (w *world) isHome(v *vm, s *submission) bool {
	return v.name == s.home && (v.inc == s.id.Incarnation || w.removed == homeIncarnation)
}

// submit routes a submission that reached v.
func (w *world) submit(v *vm, s *submission) {
	if w.isHome(v, s) {
		v.drive(s, false)
		return
	}
	target := w.lives(v, s.id.Incarnation)
	if target != nil && s.driver != 0 && s.driver != target.inc {
		if target = w.lives(v, s.driver); target == nil {
			target = w.lives(v, s.id.Incarnation)
		}
	}
	if target == nil {
		v.drive(s, true)
		return
	}
	w.send(&packet{doubles: true, arrive: func() { target.drive(s, !w.isHome(target, s)) }})
}

// drive attaches to a submission, or takes it.
func (v *vm) drive(s *submission, recovery bool) {
	e := v.jobs[s.id]
	if e != nil {
		author := e.job.Superseded()
		if author == 0 || v.w.lives(v, author) != nil {
			if a := e.job.Answer(); a != nil {
				v.w.answered(s, a)
			}
			return
		}
	}
	spec := Spec{ID: s.id, Inputs: make([][]byte, tasksEach), Deadline: v.w.now.Add(deadlineIn), SettleFor: settleIn}
	names := v.w.candidates()
	spec.Closers = names[:2]
	var used ticket.Generation
	if e != nil {
		used = e.job.Generation()
	}
	e = &entry{sub: s}
	v.jobs[s.id] = e
	if !recovery && used == (ticket.Generation{}) {
		e.job = New(spec, v.inc)
		return
	}
	v.w.tally.recoveries++
	if v.w.removed == askAll {
		names = names[:1]
	}
	var a Actions
	e.job, a = Recover(spec, v.inc, names, false, used)
	v.act(e, a)
}

// act carries out what a job decided.
func (v *vm) act(e *entry, a Actions) {
	for _, s := range a.Seal {
		v.seal(e, s)
	}
	for _, f := range a.Follow {
		v.follow(e, f)
	}
	for _, name := range a.Withdraw {
		for o, s := range v.sessions {
			if o.name == name {
				v.w.send(&packet{stream: s.out, arrive: func() { s.owner.withdraw(s, e.sub) }})
			}
		}
	}
	if a.Answer != nil {
		v.w.answered(e.sub, a.Answer)
	}
}

// alive reports whether e is still what this life of the VM drives.
func (v *vm) alive(inc uint64, e *entry) bool { return v.inc == inc && v.jobs[e.sub.id] == e }

func (v *vm) seal(e *entry, s Seal) {
	w, inc := v.w, v.inc
	k := w.worker(s.Worker)
	life := k.life(e.sub)
	gone := func() {
		if !v.alive(inc, e) {
			return
		}
		if s.Closed != "" {
			v.act(e, e.job.CloseFailed(s.Gen))
			return
		}
		v.act(e, e.job.Unreachable(s.Worker, s.Gen))
	}
	reply := func(r SealReply) {
		if v.alive(inc, e) {
			v.sealed(e, s, r)
		}
	}
	if s.Closed == closedNotRun && w.removed == closeFirst {
		reply(SealReply{Worker: s.Worker, Asked: s.Gen, Sealed: true, Highest: s.Gen})
		return
	}
	w.send(&packet{doubles: true, lost: gone, arrive: func() {
		if k.dead || k.inc != life {
			w.send(&packet{arrive: gone})
			return
		}
		r := k.seal(e.sub, s)
		w.send(&packet{doubles: true, lost: gone, arrive: func() { reply(r) }})
	}})
}

// sealed passes a seal's answer on, as package home does.
func (v *vm) sealed(e *entry, s Seal, r SealReply) {
	author := r.Highest.Author
	if !r.Sealed && author != v.inc && v.w.lives(v, author) == nil && e.job.Generation().Less(r.Highest) {
		v.w.tally.recoveries++
		v.act(e, e.job.TakeOver(r.Highest, v.w.candidates(), false))
		return
	}
	if s.Closed != "" {
		v.act(e, e.job.Closed(r))
		return
	}
	v.act(e, e.job.Sealed(r))
}

func (v *vm) follow(e *entry, f Follow) {
	w, inc := v.w, v.inc
	k := w.worker(f.Worker)
	gone := func() {
		if v.alive(inc, e) {
			v.act(e, e.job.FollowLost(f.Worker, f.Indexes))
		}
	}
	life := k.life(e.sub)
	w.send(&packet{lost: func() { v.followAgain(inc, e, f) }, arrive: func() {
		if k.dead || k.inc != life {
			w.send(&packet{arrive: gone})
			return
		}
		rest := Follow{Worker: f.Worker}
		for _, index := range f.Indexes {
			r := k.tasks[taskKey{e.sub, index}]
			if r.State == RecordRunning {
				rest.Indexes = append(rest.Indexes, index)
				continue
			}
			w.send(&packet{doubles: true, arrive: func() {
				if v.alive(inc, e) {
					v.ended(e, *r)
				}
			}})
		}
		if len(rest.Indexes) < len(f.Indexes) {
			v.followAgain(inc, e, rest)
			return
		}
		k.waits = append(k.waits, func() { v.followAgain(inc, e, rest) })
	}})
}

func (v *vm) followAgain(inc uint64, e *entry, f Follow) {
	if v.alive(inc, e) && len(f.Indexes) > 0 && e.job.Answer() == nil {
		v.follow(e, f)
	}
}

func (v *vm) ended(e *entry, r Record) {
	if r.State == RecordDone {
		v.act(e, e.job.Done(r.Index, r.Output))
		return
	}
	v.act(e, e.job.Failed(r.Index, reason.TaskFailed, r.Failure))
}

// assign hands tasks of a submission to an owner.
func (v *vm) assign(s *submission, o *owner) {
	e := v.jobs[s.id]
	if e == nil || len(o.leases) == 0 {
		return
	}
	ss := v.sessions[o]
	if ss == nil {
		ss = &session{vm: v, inc: v.inc, owner: o, life: o.life, out: v.w.next(), in: v.w.next()}
		v.sessions[o] = ss
	}
	var names []string
	for _, k := range v.w.workers {
		if o.leases[k] != nil {
			names = append(names, k.name)
		}
	}
	indexes := e.job.Assign(o.name, names, offerLimit)
	gen := e.job.Generation()
	for _, index := range indexes {
		x := offer{session: ss, sub: s, gen: gen, index: index, allowed: names}
		v.w.send(&packet{stream: ss.out, arrive: func() { o.take(x) }, lost: func() { v.leave(ss) }})
	}
}

// leave ends a session on the home's side. The owner learns of it later.
func (v *vm) leave(ss *session) {
	if v.inc != ss.inc || v.sessions[ss.owner] != ss {
		return
	}
	delete(v.sessions, ss.owner)
	v.w.send(&packet{arrive: func() { ss.left = true }})
	for _, s := range v.w.subs {
		if e := v.jobs[s.id]; e != nil {
			v.act(e, e.job.OwnerLost(ss.owner.name))
		}
	}
}

// result brings an owner's word on one task.
func (v *vm) result(x offer, worker string, r *Record, code reason.Code) {
	e := v.jobs[x.sub.id]
	switch {
	case v.inc != x.session.inc || e == nil:
	case code == reason.LeaseLost:
		v.act(e, e.job.Lost(x.session.owner.name, x.gen, []uint32{x.index}, worker))
	case r != nil:
		v.ended(e, *r)
	default:
		v.act(e, e.job.NotStarted(x.session.owner.name, x.gen, x.index, code, worker))
	}
}

// candidates names the workers that may run any submission: all.
func (w *world) candidates() []string {
	var names []string
	for _, k := range w.workers {
		names = append(names, k.name)
	}
	return names
}

func (w *world) worker(name string) *worker {
	i := slices.IndexFunc(w.workers, func(k *worker) bool { return k.name == name })
	return w.workers[i]
}
