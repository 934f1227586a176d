package job

import (
	"slices"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// vm is an entry VM that drives submissions. It does with the job machine what
// package home does.
type vm struct {
	w           *simulation
	name        string
	incarnation uint64
	isCutOff    bool // it and the other VMs cannot reach each other
	jobs        map[ticket.ID]*entry
	sessions    map[*owner]*session
}

type entry struct {
	job *Job
	sub *submission
}

// session is one stream between a home and an owner.
type session struct {
	vm                 *vm
	vmIncarnation      uint64
	owner              *owner
	ownerIncarnation   int
	toOwner, fromOwner uint64
	ownerNotified      bool // the owner knows that the session has ended
}

// restart begins a new incarnation of the VM without jobs and sessions.
func (v *vm) restart() {
	for _, s := range v.sessions {
		s.ownerNotified = true
	}
	v.incarnation, v.jobs, v.sessions = v.w.nextID(), map[ticket.ID]*entry{}, map[*owner]*session{}
}

// reachableVM returns the VM of an incarnation, or nil if it cannot be reached from v.
func (w *simulation) reachableVM(v *vm, inc uint64) *vm {
	for _, o := range w.vms {
		if o.incarnation == inc && (o == v || (!o.isCutOff && !v.isCutOff)) {
			return o
		}
	}
	return nil
}

func (w *simulation) isHome(v *vm, s *submission) bool {
	return v.name == s.home && (v.incarnation == s.id.Incarnation || w.disabled == homeIncarnation)
}

// submit routes a submission that arrived at v.
func (w *simulation) submit(v *vm, s *submission) {
	if w.isHome(v, s) {
		v.drive(s, false)
		return
	}
	target := w.reachableVM(v, s.id.Incarnation)
	if target != nil && s.driver != 0 && s.driver != target.incarnation {
		if target = w.reachableVM(v, s.driver); target == nil {
			target = w.reachableVM(v, s.id.Incarnation)
		}
	}
	if target == nil {
		v.drive(s, true)
		return
	}
	w.send(&message{mayDuplicate: true, onArrival: func() { target.drive(s, !w.isHome(target, s)) }})
}

// drive attaches the caller to a submission that v drives already, or begins to drive it.
func (v *vm) drive(s *submission, recovery bool) {
	e := v.jobs[s.id]
	if e != nil {
		author := e.job.Superseded()
		if author == 0 || v.w.reachableVM(v, author) != nil {
			if a := e.job.Answer(); a != nil {
				v.w.checkAnswer(s, a)
			}
			return
		}
	}
	spec := Spec{ID: s.id, Inputs: make([][]byte, tasksPerSubmission), Deadline: v.w.now.Add(submissionTimeout), SettleTimeout: settleTimeout}
	names := v.w.candidates()
	spec.CloseCandidates = names[:2]
	var used ticket.Generation
	if e != nil {
		used = e.job.Generation()
	}
	e = &entry{sub: s}
	v.jobs[s.id] = e
	if !recovery && used == (ticket.Generation{}) {
		e.job = New(spec, v.incarnation)
		return
	}
	v.w.counters.recoveries++
	if v.w.disabled == sealAllCandidates {
		names = names[:1]
	}
	var a Actions
	e.job, a = Recover(spec, v.incarnation, names, false, used)
	v.act(e, a)
}

// act executes the actions of a job.
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
				v.w.send(&message{stream: s.toOwner, onArrival: func() { s.owner.withdraw(s, e.sub) }})
			}
		}
	}
	if a.Answer != nil {
		v.w.checkAnswer(e.sub, a.Answer)
	}
}

// isCurrent reports whether the VM has not restarted since the given incarnation and
// still drives the submission with e.
func (v *vm) isCurrent(inc uint64, e *entry) bool {
	return v.incarnation == inc && v.jobs[e.sub.id] == e
}

func (v *vm) seal(e *entry, s Seal) {
	w, inc := v.w, v.incarnation
	k := w.worker(s.Worker)
	want := k.ticketIncarnation(e.sub)
	gone := func() {
		if !v.isCurrent(inc, e) {
			return
		}
		if s.Closed != "" {
			v.act(e, e.job.CloseFailed(s.Gen))
			return
		}
		v.act(e, e.job.WorkerUnreachable(s.Worker, s.Gen))
	}
	reply := func(r SealReply) {
		if v.isCurrent(inc, e) {
			v.handleSealReply(e, s, r)
		}
	}
	skipsRecord := s.Closed == closedNotRun && w.disabled == recordBeforeNotRun || s.Closed != "" && s.Closed != closedNotRun && w.disabled == recordBeforeFailed
	if skipsRecord {
		reply(SealReply{Worker: s.Worker, RequestedGen: s.Gen, Sealed: true, HighestGen: s.Gen})
		return
	}
	w.send(&message{mayDuplicate: true, onLoss: gone, onArrival: func() {
		if k.isDead || k.incarnation != want {
			w.send(&message{onArrival: gone})
			return
		}
		r := k.seal(e.sub, s)
		w.send(&message{mayDuplicate: true, onLoss: gone, onArrival: func() { reply(r) }})
	}})
}

// handleSealReply passes the reply to a seal to the job, as package home does.
func (v *vm) handleSealReply(e *entry, s Seal, r SealReply) {
	author := r.HighestGen.Author
	if !r.Sealed && author != v.incarnation && v.w.reachableVM(v, author) == nil && e.job.Generation().Less(r.HighestGen) {
		v.w.counters.recoveries++
		v.act(e, e.job.TakeOver(r.HighestGen, v.w.candidates(), false))
		return
	}
	if s.Closed != "" {
		v.act(e, e.job.HandleCloseReply(r))
		return
	}
	v.act(e, e.job.HandleSealReply(r))
}

func (v *vm) follow(e *entry, f Follow) {
	w, inc := v.w, v.incarnation
	k := w.worker(f.Worker)
	gone := func() {
		if v.isCurrent(inc, e) {
			v.act(e, e.job.FollowedWorkerLost(f.Worker, f.Indexes))
		}
	}
	want := k.ticketIncarnation(e.sub)
	w.send(&message{onLoss: func() { v.followAgain(inc, e, f) }, onArrival: func() {
		if k.isDead || k.incarnation != want {
			w.send(&message{onArrival: gone})
			return
		}
		rest := Follow{Worker: f.Worker}
		for _, index := range f.Indexes {
			r := k.tasks[taskKey{e.sub, index}]
			if r.State == RecordRunning {
				rest.Indexes = append(rest.Indexes, index)
				continue
			}
			w.send(&message{mayDuplicate: true, onArrival: func() {
				if v.isCurrent(inc, e) {
					v.handleEnd(e, f.Worker, *r)
				}
			}})
		}
		if len(rest.Indexes) < len(f.Indexes) {
			v.followAgain(inc, e, rest)
			return
		}
		k.pendingFollows = append(k.pendingFollows, func() { v.followAgain(inc, e, rest) })
	}})
}

func (v *vm) followAgain(inc uint64, e *entry, f Follow) {
	if v.isCurrent(inc, e) && len(f.Indexes) > 0 && e.job.Answer() == nil {
		v.follow(e, f)
	}
}

func (v *vm) handleEnd(e *entry, worker string, r Record) {
	if r.State == RecordDone {
		v.act(e, e.job.TaskDone(r.Index, worker, r.Output))
		return
	}
	v.act(e, e.job.TaskFailed(r.Index, reason.TaskFailed, r.Failure))
}

// assign assigns tasks of a submission to an owner.
func (v *vm) assign(s *submission, o *owner) {
	e := v.jobs[s.id]
	if e == nil || len(o.leases) == 0 {
		return
	}
	ss := v.sessions[o]
	if ss == nil {
		ss = &session{vm: v, vmIncarnation: v.incarnation, owner: o, ownerIncarnation: o.incarnation, toOwner: v.w.nextID(), fromOwner: v.w.nextID()}
		v.sessions[o] = ss
	}
	var names []string
	for _, k := range v.w.workers {
		if o.leases[k] != nil {
			names = append(names, k.name)
		}
	}
	indexes := e.job.Assign(o.name, names, assignLimit)
	gen := e.job.Generation()
	for _, index := range indexes {
		x := offer{session: ss, sub: s, gen: gen, index: index, allowed: names}
		v.w.send(&message{stream: ss.toOwner, onArrival: func() { o.enqueue(x) }, onLoss: func() { v.endSession(ss) }})
	}
}

// endSession ends a session on the driver's side. The owner learns of it later.
func (v *vm) endSession(ss *session) {
	if v.incarnation != ss.vmIncarnation || v.sessions[ss.owner] != ss {
		return
	}
	delete(v.sessions, ss.owner)
	v.w.send(&message{onArrival: func() { ss.ownerNotified = true }})
	for _, s := range v.w.subs {
		if e := v.jobs[s.id]; e != nil {
			v.act(e, e.job.OwnerLost(ss.owner.name))
		}
	}
}

// handleResult handles an owner's report on one task.
func (v *vm) handleResult(x offer, worker string, r *Record, code reason.Code) {
	e := v.jobs[x.sub.id]
	switch {
	case v.incarnation != x.session.vmIncarnation || e == nil:
	case code == reason.LeaseLost:
		v.act(e, e.job.StartsUnanswered(x.session.owner.name, x.gen, []uint32{x.index}, worker))
	case r != nil:
		v.handleEnd(e, worker, *r)
	default:
		v.act(e, e.job.TaskNotStarted(x.session.owner.name, x.gen, x.index, code, worker))
	}
}

// candidates returns the names of all workers: any of them may run any submission.
func (w *simulation) candidates() []string {
	var names []string
	for _, k := range w.workers {
		names = append(names, k.name)
	}
	return names
}

func (w *simulation) worker(name string) *worker {
	i := slices.IndexFunc(w.workers, func(k *worker) bool { return k.name == name })
	return w.workers[i]
}
