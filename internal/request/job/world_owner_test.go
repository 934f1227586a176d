package job

import (
	"slices"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// owner holds worker leases.
type owner struct {
	w      *world
	name   string
	life   int
	queue  []offer
	leases map[*worker]*lease
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
	owner   *owner
	life    int
	worker  *worker
	inc     uint64 // of the worker: a connection ends with the process
	epoch   uint64
	out, in uint64 // streams
	flights map[taskKey]offer
}

type taskKey struct {
	sub   *submission
	index uint32
}

func (o *owner) crash() {
	o.life++
	o.queue, o.leases = nil, map[*worker]*lease{}
}

// acquire gets the lease on a worker that nobody holds.
func (o *owner) acquire(k *worker) {
	if k.dead || (k.lease != nil && k.lease.owner != o) {
		return
	}
	o.lose(k)
	k.epoch++
	l := &lease{owner: o, life: o.life, worker: k, inc: k.inc, epoch: k.epoch, out: o.w.next(), in: o.w.next(), flights: map[taskKey]offer{}}
	k.lease, o.leases[k] = l, l
}

// lose ends a lease on the owner's side: what was sent has an unknown fate.
func (o *owner) lose(k *worker) {
	l := o.leases[k]
	if l == nil {
		return
	}
	delete(o.leases, k)
	for _, s := range o.w.subs {
		for index := range s.starts {
			if x, ok := l.flights[taskKey{s, uint32(index)}]; ok {
				o.report(x, k.name, nil, reason.LeaseLost)
			}
		}
	}
}

func (o *owner) take(x offer) {
	if x.session.life == o.life {
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
	o.w.send(&packet{stream: x.session.in, doubles: true,
		arrive: func() { v.result(x, worker, r, code) },
		lost:   func() { v.leave(x.session) },
	})
}

// place sends one waiting task to an allowed worker.
func (o *owner) place(arg int) {
	if len(o.queue) == 0 {
		return
	}
	i := arg % len(o.queue)
	x := o.queue[i]
	o.queue = slices.Delete(o.queue, i, i+1)
	if x.session.left {
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
	if _, taken := l.flights[key]; taken {
		o.report(x, l.worker.name, nil, reason.DuplicateTask)
		return
	}
	l.flights[key] = x
	o.w.tally.attempts++
	o.w.send(&packet{stream: l.out, doubles: true, arrive: func() { l.worker.start(l, x) }, lost: func() { o.breakLease(l) }})
}

// breakLease is the end of a stream to a worker, as the owner sees it.
func (o *owner) breakLease(l *lease) {
	if o.leases[l.worker] == l {
		o.lose(l.worker)
	}
}

// landed frees what a task occupied and tells its home.
func (l *lease) landed(key taskKey, r *Record, code reason.Code) {
	x, ok := l.flights[key]
	if !ok || l.owner.leases[l.worker] != l {
		return
	}
	delete(l.flights, key)
	l.owner.report(x, l.worker.name, r, code)
}

// worker applies the rules of package standin/worker.
type worker struct {
	w      *world
	name   string
	inc    uint64
	dead   bool
	epoch  uint64
	lease  *lease
	sealed map[*submission]ticket.Generation
	closed map[*submission]reason.Code
	tasks  map[taskKey]*Record
	order  []taskKey
	waits  []func()               // follows that wait for the end of a task
	lives  map[*submission]uint64 // incarnation when the candidates were chosen
}

// wake answers the follows that wait here.
func (k *worker) wake() {
	waits := k.waits
	k.waits = nil
	for _, again := range waits {
		again()
	}
}

// restart forgets everything but which life the tickets name.
func (k *worker) restart() {
	if k.lives == nil {
		k.lives = map[*submission]uint64{}
	}
	k.wake()
	k.inc, k.lease, k.order = k.w.next(), nil, nil
	k.sealed, k.closed = map[*submission]ticket.Generation{}, map[*submission]reason.Code{}
	k.tasks = map[taskKey]*Record{}
}

// life is the incarnation that the ticket of s was minted for.
func (k *worker) life(s *submission) uint64 {
	if k.lives[s] == 0 {
		k.lives[s] = k.inc
	}
	return k.lives[s]
}

func (k *worker) start(l *lease, x offer) {
	if k.inc != l.inc {
		l.owner.breakLease(l)
		return
	}
	key := taskKey{x.sub, x.index}
	code := k.refusal(l, x)
	if code == "" {
		k.run(key)
		return
	}
	k.w.send(&packet{stream: l.in, arrive: func() { l.landed(key, nil, code) }, lost: func() { l.owner.breakLease(l) }})
}

// refusal returns why a start is not accepted, or "".
func (k *worker) refusal(l *lease, x offer) reason.Code {
	switch {
	case k.tasks[taskKey{x.sub, x.index}] != nil && k.w.removed != workerDuplicate:
		return reason.DuplicateTask
	case k.dead || k.lease != l:
		return reason.StaleEpoch
	case k.inc != k.life(x.sub) && k.w.removed != workerRestart:
		return reason.WorkerRestarted
	case k.closed[x.sub] != "" || (x.gen.Less(k.sealed[x.sub]) && k.w.removed != workerGeneration):
		return reason.Sealed
	}
	return ""
}

func (k *worker) run(key taskKey) {
	k.tasks[key] = &Record{Index: key.index, State: RecordRunning}
	k.order = append(k.order, key)
	k.w.tally.starts++
	key.sub.starts[key.index]++
	if key.sub.starts[key.index] > 1 {
		k.w.tally.secondStarts++
		k.w.violate("task %d of %v started twice, now on %s", key.index, key.sub.id, k.name)
	}
	if key.sub.never {
		k.w.violate("task %d of %v started after not_run", key.index, key.sub.id)
	}
}

// end lets a running task end.
func (k *worker) end(arg int, fails bool) {
	if len(k.order) == 0 {
		return
	}
	key := k.order[arg%len(k.order)]
	k.order = slices.DeleteFunc(k.order, func(o taskKey) bool { return o == key })
	r := k.tasks[key]
	r.State, r.Output = RecordDone, []byte(key.sub.output(key.index))
	if fails {
		r.State, r.Output, r.Failure = RecordFailed, nil, "failed"
	}
	k.wake()
	if l := k.lease; l != nil {
		k.w.send(&packet{stream: l.in, arrive: func() { l.landed(key, r, "") }, lost: func() { l.owner.breakLease(l) }})
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
