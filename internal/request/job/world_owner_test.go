package job

import (
	"slices"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// owner holds worker leases.
type owner struct {
	w           *simulation
	name        string
	incarnation int
	queue       []offer
	leases      map[*worker]*lease
}

// offer is one task that a home handed over.
type offer struct {
	session *session
	sub     *submission
	gen     ticket.Generation
	index   uint32
	allowed []string
}

// lease is what an owner believes to hold.
type lease struct {
	owner                *owner
	ownerIncarnation     int
	worker               *worker
	workerIncarnation    uint64 // of the worker: a connection ends with the process
	epoch                uint64
	toWorker, fromWorker uint64 // streams
	inFlight             map[taskKey]offer
}

type taskKey struct {
	sub   *submission
	index uint32
}

func (o *owner) crash() {
	o.incarnation++
	o.queue, o.leases = nil, map[*worker]*lease{}
}

// acquire gets the lease on a worker that nobody holds.
func (o *owner) acquire(k *worker) {
	if k.isDead || (k.lease != nil && k.lease.owner != o) {
		return
	}
	o.loseLease(k)
	k.epoch++
	l := &lease{owner: o, ownerIncarnation: o.incarnation, worker: k, workerIncarnation: k.incarnation, epoch: k.epoch, toWorker: o.w.nextID(), fromWorker: o.w.nextID(), inFlight: map[taskKey]offer{}}
	k.lease, o.leases[k] = l, l
}

// lose ends a lease on the owner's side: what was sent has an unknown fate.
func (o *owner) loseLease(k *worker) {
	l := o.leases[k]
	if l == nil {
		return
	}
	delete(o.leases, k)
	for _, s := range o.w.subs {
		for index := range s.starts {
			if x, ok := l.inFlight[taskKey{s, uint32(index)}]; ok {
				o.report(x, k.name, nil, reason.LeaseLost)
			}
		}
	}
}

func (o *owner) enqueue(x offer) {
	if x.session.ownerIncarnation == o.incarnation {
		o.queue = append(o.queue, x)
	}
}

func (o *owner) withdraw(ss *session, s *submission) {
	var rest []offer
	for _, x := range o.queue {
		if x.session == ss && x.sub == s {
			o.report(x, "", nil, reason.Withdrawn)
			continue
		}
		rest = append(rest, x)
	}
	o.queue = rest
}

// report queues a result for a home.
func (o *owner) report(x offer, worker string, r *Record, code reason.Code) {
	v := x.session.vm
	o.w.send(&message{stream: x.session.fromOwner, mayDuplicate: true,
		onArrival: func() { v.handleResult(x, worker, r, code) },
		onLoss:    func() { v.endSession(x.session) },
	})
}

// place sends one waiting task to an allowed worker.
func (o *owner) startTask(arg int) {
	if len(o.queue) == 0 {
		return
	}
	i := arg % len(o.queue)
	x := o.queue[i]
	o.queue = slices.Delete(o.queue, i, i+1)
	if x.session.ownerNotified {
		return
	}
	var fits []*lease
	for _, k := range o.w.workers {
		if l := o.leases[k]; l != nil && slices.Contains(x.allowed, k.name) {
			fits = append(fits, l)
		}
	}
	if len(fits) == 0 {
		o.report(x, "", nil, reason.NotAllowedHere)
		return
	}
	l, key := fits[arg%len(fits)], taskKey{x.sub, x.index}
	if _, taken := l.inFlight[key]; taken {
		o.report(x, l.worker.name, nil, reason.DuplicateTask)
		return
	}
	l.inFlight[key] = x
	o.w.counters.attempts++
	o.w.send(&message{stream: l.toWorker, mayDuplicate: true, onArrival: func() { l.worker.handleStart(l, x) }, onLoss: func() { o.breakLease(l) }})
}

// breakLease is the end of a stream to a worker, as the owner sees it.
func (o *owner) breakLease(l *lease) {
	if o.leases[l.worker] == l {
		o.loseLease(l.worker)
	}
}

// landed frees what a task occupied and tells its home.
func (l *lease) taskAnswered(key taskKey, r *Record, code reason.Code) {
	x, ok := l.inFlight[key]
	if !ok || l.owner.leases[l.worker] != l {
		return
	}
	delete(l.inFlight, key)
	l.owner.report(x, l.worker.name, r, code)
}

// worker applies the rules of package standin/worker.
type worker struct {
	w                  *simulation
	name               string
	incarnation        uint64
	isDead             bool
	epoch              uint64
	lease              *lease
	sealed             map[*submission]ticket.Generation
	closed             map[*submission]reason.Code
	tasks              map[taskKey]*Record
	runningTasks       []taskKey
	pendingFollows     []func()               // follows that wait for the end of a task
	ticketIncarnations map[*submission]uint64 // incarnation when the candidates were chosen
}

// wake answers the follows that wait here.
func (k *worker) resumeFollows() {
	waits := k.pendingFollows
	k.pendingFollows = nil
	for _, again := range waits {
		again()
	}
}

// restart forgets everything but which life the tickets name.
func (k *worker) restart() {
	if k.ticketIncarnations == nil {
		k.ticketIncarnations = map[*submission]uint64{}
	}
	k.resumeFollows()
	k.incarnation, k.lease, k.runningTasks = k.w.nextID(), nil, nil
	k.sealed, k.closed = map[*submission]ticket.Generation{}, map[*submission]reason.Code{}
	k.tasks = map[taskKey]*Record{}
}

// life is the incarnation that the ticket of s was minted for.
func (k *worker) ticketIncarnation(s *submission) uint64 {
	if k.ticketIncarnations[s] == 0 {
		k.ticketIncarnations[s] = k.incarnation
	}
	return k.ticketIncarnations[s]
}

func (k *worker) handleStart(l *lease, x offer) {
	if k.incarnation != l.workerIncarnation {
		l.owner.breakLease(l)
		return
	}
	key := taskKey{x.sub, x.index}
	code := k.refusal(l, x)
	if code == "" {
		k.run(key)
		return
	}
	k.w.send(&message{stream: l.fromWorker, onArrival: func() { l.taskAnswered(key, nil, code) }, onLoss: func() { l.owner.breakLease(l) }})
}

// refusal returns why a start is not accepted, or "".
func (k *worker) refusal(l *lease, x offer) reason.Code {
	switch {
	case k.tasks[taskKey{x.sub, x.index}] != nil && k.w.removed != workerDuplicate:
		return reason.DuplicateTask
	case k.isDead || k.lease != l:
		return reason.StaleEpoch
	case k.incarnation != k.ticketIncarnation(x.sub) && k.w.removed != workerRestart:
		return reason.WorkerRestarted
	case k.closed[x.sub] != "" || (x.gen.Less(k.sealed[x.sub]) && k.w.removed != workerGeneration):
		return reason.Sealed
	}
	return ""
}

func (k *worker) run(key taskKey) {
	k.tasks[key] = &Record{Index: key.index, State: RecordRunning}
	k.runningTasks = append(k.runningTasks, key)
	k.w.counters.starts++
	key.sub.starts[key.index]++
	if key.sub.starts[key.index] > 1 {
		k.w.counters.secondStarts++
		k.w.reportViolation("task %d of %v started twice, now on %s", key.index, key.sub.id, k.name)
	}
	if key.sub.toldNotRun {
		k.w.reportViolation("task %d of %v started after not_run", key.index, key.sub.id)
	}
}

// end lets a running task end.
func (k *worker) endTask(arg int, fails bool) {
	if len(k.runningTasks) == 0 {
		return
	}
	key := k.runningTasks[arg%len(k.runningTasks)]
	k.runningTasks = slices.DeleteFunc(k.runningTasks, func(o taskKey) bool { return o == key })
	r := k.tasks[key]
	r.State, r.Output = RecordDone, []byte(key.sub.output(key.index))
	if fails {
		r.State, r.Output, r.Failure = RecordFailed, nil, "failed"
	}
	k.resumeFollows()
	if l := k.lease; l != nil {
		k.w.send(&message{stream: l.fromWorker, onArrival: func() { l.taskAnswered(key, r, "") }, onLoss: func() { l.owner.breakLease(l) }})
	}
}

func (k *worker) seal(s *submission, m Seal) SealReply {
	r := SealReply{Worker: k.name, RequestedGen: m.Gen, Closed: k.closed[s]}
	for index := range s.starts {
		if t := k.tasks[taskKey{s, uint32(index)}]; t != nil {
			r.Records = append(r.Records, *t)
		}
	}
	if !m.Gen.Less(k.sealed[s]) {
		k.sealed[s], r.Sealed = m.Gen, true
		if m.Closed != "" && k.closed[s] == "" {
			k.closed[s] = m.Closed
		}
	}
	r.HighestGen = k.sealed[s]
	return r
}
