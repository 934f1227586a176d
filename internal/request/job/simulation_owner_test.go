package job

import (
	"slices"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// owner is a process that holds worker leases and starts tasks on these workers.
type owner struct {
	w           *simulation
	name        string
	incarnation int
	queue       []offer
	leases      map[*worker]*lease
}

// offer is a task that a driver assigned to an owner.
type offer struct {
	session *session
	sub     *submission
	gen     ticket.Generation
	index   uint32
	allowed []string
}

// lease is a worker lease from the owner's view; it may have lapsed at the worker.
type lease struct {
	owner                *owner
	ownerIncarnation     int
	worker               *worker
	workerIncarnation    uint64 // the connection ends with the worker's process
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

// loseLease ends a lease on the owner's side. It is unknown which of the starts
// in flight took effect.
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

// report sends a result to the driver that assigned the task.
func (o *owner) report(x offer, worker string, r *Record, code reason.Code) {
	v := x.session.vm
	o.w.send(&message{stream: x.session.fromOwner, mayDuplicate: true,
		onArrival: func() { v.handleResult(x, worker, r, code) },
		onLoss:    func() { v.endSession(x.session) },
	})
}

// startTask sends the start of a queued task to an allowed worker.
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

// breakLease handles the end of a stream to a worker on the owner's side.
func (o *owner) breakLease(l *lease) {
	if o.leases[l.worker] == l {
		o.loseLease(l.worker)
	}
}

// taskAnswered removes a task from those in flight and reports to its driver.
func (l *lease) taskAnswered(key taskKey, r *Record, code reason.Code) {
	x, ok := l.inFlight[key]
	if !ok || l.owner.leases[l.worker] != l {
		return
	}
	delete(l.inFlight, key)
	l.owner.report(x, l.worker.name, r, code)
}

// worker accepts and refuses starts by the rules of package standin/worker.
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
	ticketIncarnations map[*submission]uint64 // incarnation of the worker when the ticket was minted
}

// resumeFollows continues the follows that wait for the end of a task.
func (k *worker) resumeFollows() {
	waits := k.pendingFollows
	k.pendingFollows = nil
	for _, again := range waits {
		again()
	}
}

// restart begins a new incarnation without leases, seals and records. Only the
// incarnations that the tickets name are kept.
func (k *worker) restart() {
	if k.ticketIncarnations == nil {
		k.ticketIncarnations = map[*submission]uint64{}
	}
	k.resumeFollows()
	k.incarnation, k.lease, k.runningTasks = k.w.nextID(), nil, nil
	k.sealed, k.closed = map[*submission]ticket.Generation{}, map[*submission]reason.Code{}
	k.tasks = map[taskKey]*Record{}
}

// ticketIncarnation returns the incarnation of the worker that the ticket of s names.
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
	case k.tasks[taskKey{x.sub, x.index}] != nil && k.w.disabled != workerDuplicate:
		return reason.DuplicateTask
	case k.isDead || k.lease != l:
		return reason.StaleEpoch
	case k.incarnation != k.ticketIncarnation(x.sub) && k.w.disabled != workerRestart:
		return reason.WorkerRestarted
	case k.closed[x.sub] != "" || (x.gen.Less(k.sealed[x.sub]) && k.w.disabled != workerGeneration):
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

// endTask ends a running task.
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
