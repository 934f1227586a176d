// Package worker is a small stand-in for an upstream worker: it keeps a lease
// with a growing epoch, runs tasks by waiting, remembers every start, and can
// be made to die, fall silent, straggle or fail everything.
//
// It is the arbiter the at-most-once protocol relies on. A start is accepted
// only when no record of the task exists, for this incarnation of the worker,
// under the current lease epoch, before the ticket's expiry, and under a
// generation that is not sealed off.
//
// It also keeps the record of its part of the power cap, and its guard keeps its
// draw within the allotment, see power.go.
package worker

import (
	"sync"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Outcome is what running one task gives.
type Outcome struct {
	Run        time.Duration // time in its slot
	Output     []byte
	Failure    string // empty when the task succeeds
	Milliwatts uint32 // true draw above idle; 0: as declared
}

// Behaviour decides how one task goes.
type Behaviour func(template string, input []byte) Outcome

// Config describes one worker.
type Config struct {
	ID             string
	Incarnation    uint64
	Capacity       *pb.Resources
	IdleMilliwatts uint32
	Behaviour      Behaviour
	// RetainBytes bounds the outputs kept for tasks that ended.
	RetainBytes int
	// UsageLag is how old a usage report is when it is sent.
	UsageLag time.Duration
}

// Defaults of a Config.
const (
	defaultRetainBytes = 16 << 20
	maxTTL             = 10 * time.Second
	// clockSkew is how far apart the clocks of an entry VM and of a worker may
	// be. Records are kept that much past the ticket's expiry: a start that
	// arrives later is refused by its expiry, so a forgotten record can not
	// turn into a second start.
	clockSkew = 5 * time.Second
)

// Worker is the state of one worker. It is safe for concurrent use.
type Worker struct {
	cfg Config

	mu              sync.Mutex
	epoch           uint64
	holder          uint64 // incarnation of the entry VM that holds the lease, 0: none
	holderName      string
	leaseUntil      time.Time
	ttl             time.Duration
	stream          *stream // the holder's stream, nil while it is disconnected
	submissions     map[ticket.ID]*submission
	running         int
	milliwatts      uint32
	peakDraw        uint32
	power           powerState
	runningTasks    map[taskKey]*task // running
	retained        []retainedOutput
	retainBytes     int
	dead            bool
	faults          Faults
	starts          map[taskKey]int
	calls           Calls
	nextExpiryCheck time.Time
	traffic         Traffic
	slots           map[ticket.ID]uint32 // in use, by submission
	slotsInUse      uint32
	peakSlots       uint32
}

// Faults are switched by tests and the demo.
type Faults struct {
	Silent         bool    // messages are taken and never answered
	FailEverything bool    // each task fails at once
	RunTimeFactor  float64 // run times are multiplied by it when above 0
}

type taskKey struct {
	id    ticket.ID
	index uint32
}

type submission struct {
	id            ticket.ID
	minGeneration ticket.Generation
	closed        string
	expiry        time.Time
	tasks         map[uint32]*task
	changed       chan struct{} // closed and replaced when a task ends
}

type task struct {
	state            pb.TaskState
	output           []byte
	reason           string
	run              time.Duration
	each             *pb.Resources
	charged          uint32 // milliwatts under the cap
	draw             uint32 // milliwatts at full speed
	started          time.Time
	timer            *time.Timer
	remaining        time.Duration // run time at full speed that was left at since
	remainingAt      time.Time
	fullSpeedRunTime time.Duration // run time at full speed
	slowed           bool
}

type retainedOutput struct {
	task *task
	size int
}

// New returns a worker that holds no lease and has run nothing.
func New(cfg Config) *Worker {
	if cfg.RetainBytes == 0 {
		cfg.RetainBytes = defaultRetainBytes
	}
	return &Worker{
		cfg:          cfg,
		power:        newPowerState(cfg.IdleMilliwatts),
		runningTasks: make(map[taskKey]*task),
		submissions:  make(map[ticket.ID]*submission),
		starts:       make(map[taskKey]int),
		slots:        make(map[ticket.ID]uint32),
	}
}

// SetFaults replaces the faults in force.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	w.faults = f
	w.mu.Unlock()
}

// Kill ends the worker as a crash does: tasks vanish, streams break, and every
// later call fails.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for _, s := range w.submissions {
		for _, t := range s.tasks {
			if t.timer != nil {
				t.timer.Stop()
			}
		}
	}
	w.milliwatts, w.power.charged, w.running, w.slotsInUse = 0, 0, 0, 0
	clear(w.slots)
	w.endStream()
}

// ID is the worker's name.
func (w *Worker) ID() string { return w.cfg.ID }

// start decides one task and runs it when it may. It returns nil when the task
// started and has not ended yet.
func (w *Worker) start(now time.Time, epoch uint64, g *pb.StartGroup, i int) *pb.TaskResult {
	index := g.Index[i]
	if code := w.refusalCode(now, epoch, g, index); code != "" {
		w.traffic.Refused++
		if code == reason.DuplicateTask {
			w.traffic.Duplicates++
		}
		return &pb.TaskResult{Index: index, State: pb.TaskState_TASK_STATE_NOT_RUN, Reason: string(code)}
	}
	id := wire.ID(g.Submission)
	out := w.outcomeOf(g.Template, g.Input[i])
	t := &task{state: pb.TaskState_TASK_STATE_RUNNING, each: g.Each, charged: chargedMilliwatts(g), started: now, draw: out.Milliwatts}
	if t.draw == 0 {
		t.draw = g.Each.GetMilliwatts()
	}
	sub := w.submission(id, g.ExpiryUnixMillis)
	sub.tasks[index] = t
	w.starts[taskKey{id, index}]++
	w.running++
	w.reserveSlots(id, max(1, g.Each.GetSlots()))
	w.milliwatts += t.draw
	w.power.charged += uint64(t.charged)
	w.updateSpeed(now)
	if out.Run <= 0 {
		w.finish(sub, t, out)
		return t.result(index)
	}
	t.remaining, t.remainingAt = out.Run, now
	t.fullSpeedRunTime, t.slowed = out.Run, w.power.speed < fullSpeed
	t.timer = time.AfterFunc(w.durationAtSpeed(out.Run), func() { w.timerFired(id, index, out) })
	w.runningTasks[taskKey{id, index}] = t
	return nil
}

// refusal returns why a start is not accepted, or "".
//
// A record comes first: any other refusal tells the home that the task did not
// start here. The incarnation is checked because a restarted worker has
// forgotten its seals; without the check it would start what a recovering entry
// VM has sealed off here and started elsewhere.
func (w *Worker) refusalCode(now time.Time, epoch uint64, g *pb.StartGroup, index uint32) reason.Code {
	sub := w.submissions[wire.ID(g.Submission)]
	if sub != nil && sub.tasks[index] != nil {
		return reason.DuplicateTask
	}
	if g.WorkerIncarnation != 0 && g.WorkerIncarnation != w.cfg.Incarnation {
		return reason.WorkerRestarted
	}
	if epoch != w.epoch || w.holder == 0 || now.After(w.leaseUntil) {
		return reason.StaleEpoch
	}
	if now.UnixMilli() >= int64(g.ExpiryUnixMillis) {
		return reason.TicketExpired
	}
	if sub != nil && (sub.closed != "" || wire.Generation(g.Generation).Less(sub.minGeneration)) {
		return reason.Sealed
	}
	if w.slotsInUse+max(1, g.Each.GetSlots()) > w.cfg.Capacity.GetSlots() || !w.fitsAllotment(chargedMilliwatts(g)) {
		return reason.WorkerBusy
	}
	return ""
}

func (w *Worker) outcomeOf(template string, input []byte) Outcome {
	if w.faults.FailEverything {
		return Outcome{Failure: "worker is broken"}
	}
	var out Outcome
	if w.cfg.Behaviour != nil {
		out = w.cfg.Behaviour(template, input)
	}
	if w.faults.RunTimeFactor > 0 {
		out.Run = time.Duration(float64(out.Run) * w.faults.RunTimeFactor)
	}
	return out
}

func (w *Worker) submission(id ticket.ID, expiryMillis uint64) *submission {
	sub := w.submissions[id]
	if sub == nil {
		sub = &submission{
			id:      id,
			expiry:  time.UnixMilli(int64(expiryMillis)),
			tasks:   make(map[uint32]*task),
			changed: make(chan struct{}),
		}
		w.submissions[id] = sub
	}
	return sub
}

// end records the end of a running task. The caller holds mu.
func (w *Worker) finish(sub *submission, t *task, out Outcome) {
	t.state = pb.TaskState_TASK_STATE_DONE
	t.output = out.Output
	if out.Failure != "" {
		t.state = pb.TaskState_TASK_STATE_FAILED
		t.reason = out.Failure
	}
	w.release(sub, t)
	w.retain(t)
}

// leave frees what a task occupied. The caller holds mu.
func (w *Worker) release(sub *submission, t *task) {
	t.run = time.Since(t.started)
	w.running--
	w.releaseSlots(sub.id, max(1, t.each.GetSlots()))
	w.milliwatts -= t.draw
	w.power.charged -= uint64(t.charged)
	w.updateSpeed(time.Now())
	close(sub.changed)
	sub.changed = make(chan struct{})
}

// retain keeps an output and discards the oldest ones past the bound.
func (w *Worker) retain(t *task) {
	w.retained = append(w.retained, retainedOutput{t, len(t.output)})
	w.retainBytes += len(t.output)
	for w.retainBytes > w.cfg.RetainBytes {
		oldest := w.retained[0]
		w.retained = w.retained[1:]
		w.retainBytes -= oldest.size
		oldest.task.output = nil
		if oldest.task.state == pb.TaskState_TASK_STATE_DONE {
			oldest.task.state = pb.TaskState_TASK_STATE_DISCARDED
		}
	}
}

// ended is called by a task's timer.
func (w *Worker) timerFired(id ticket.ID, index uint32, out Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sub := w.submissions[id]
	if w.dead || sub == nil {
		return
	}
	t := sub.tasks[index]
	if t == nil || t.state != pb.TaskState_TASK_STATE_RUNNING {
		return
	}
	delete(w.runningTasks, taskKey{id, index})
	w.finish(sub, t, out)
	w.push(id, t.result(index))
}

// push hands a result to the holder, if one is connected. A holder that is not
// gets no results later: homes ask by submission instead.
func (w *Worker) push(id ticket.ID, r *pb.TaskResult) {
	if w.stream != nil {
		w.stream.push(id, r)
	}
}

func (t *task) result(index uint32) *pb.TaskResult {
	return &pb.TaskResult{
		Index:      index,
		State:      t.state,
		Output:     t.output,
		Reason:     t.reason,
		RunMicros:  uint32(t.run.Microseconds()),
		Milliwatts: t.meanDraw(),
		Permille:   t.meanSpeed(),
	}
}

// stop ends a running task on request. The caller holds mu.
func (w *Worker) stop(id ticket.ID, index uint32) bool {
	sub := w.submissions[id]
	if sub == nil {
		return false
	}
	t := sub.tasks[index]
	if t == nil || t.state != pb.TaskState_TASK_STATE_RUNNING {
		return false
	}
	t.timer.Stop()
	t.state = pb.TaskState_TASK_STATE_STOPPED
	t.reason = string(reason.Stopped)
	delete(w.runningTasks, taskKey{id, index})
	w.release(sub, t)
	w.push(id, t.result(index))
	return true
}

// sweep forgets submissions whose ticket has expired. The caller holds mu.
func (w *Worker) dropExpired(now time.Time) {
	if now.Before(w.nextExpiryCheck) {
		return
	}
	w.nextExpiryCheck = now.Add(clockSkew)
	for id, sub := range w.submissions {
		if now.After(sub.expiry.Add(clockSkew)) && !sub.anyRunning() {
			delete(w.submissions, id)
		}
	}
}

func (s *submission) anyRunning() bool {
	for _, t := range s.tasks {
		if t.state == pb.TaskState_TASK_STATE_RUNNING {
			return true
		}
	}
	return false
}
