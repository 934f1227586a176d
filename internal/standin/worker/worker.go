// Package worker is an in-process stand-in for an upstream worker, for tests and
// demonstrations. It grants its lease to one entry VM at a time, with an epoch that
// grows with each grant, simulates tasks by timers, and counts every start. Tests
// can kill it, silence it, slow its tasks down or let all of them fail.
//
// The protocol that runs each task at most once relies on the worker: it accepts a
// start only if it has no record of the task, the start is meant for its current
// incarnation, the lease epoch is current, the ticket has not expired, and the
// generation is not below the sealed one.
//
// The worker also stores the allotment of its share of the power cap and keeps its
// draw within it, see power.go.
package worker

import (
	"sync"
	"time"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// Outcome is the simulated result of one task.
type Outcome struct {
	Run        time.Duration // run time at full speed
	Output     []byte
	Failure    string // empty when the task succeeds
	Milliwatts uint32 // real draw above idle; 0: as declared
}

// Behaviour returns the outcome of a task from its template and input.
type Behaviour func(template string, input []byte) Outcome

// Config describes one worker.
type Config struct {
	ID             string
	Incarnation    uint64
	Capacity       *pb.Resources
	IdleMilliwatts uint32
	Behaviour      Behaviour
	// RetainBytes limits the total size of the outputs kept of ended tasks; 0 means
	// 16 MiB.
	RetainBytes int
	// UsageLag is the reported age of the usage figures in heartbeat answers.
	UsageLag time.Duration
}

// Defaults and limits.
const (
	defaultRetainBytes = 16 << 20
	maxTTL             = 10 * time.Second
	// clockSkew is the largest difference between the clocks of an entry VM and of
	// a worker. Records are kept this long past the ticket's expiry: a start that
	// arrives later is refused as expired, so that dropping a record cannot lead
	// to a second start.
	clockSkew = 5 * time.Second
)

// Worker is a simulated worker. It is safe for concurrent use.
type Worker struct {
	cfg Config

	mu              sync.Mutex
	epoch           uint64 // of the lease, advanced by each grant
	holder          uint64 // incarnation of the entry VM that holds the lease, 0: none
	holderName      string
	leaseUntil      time.Time
	ttl             time.Duration
	stream          *stream // the holder's stream, nil while it is disconnected
	submissions     map[ticket.ID]*submission
	running         int    // number of running tasks
	milliwatts      uint32 // draw of the running tasks at full speed, above idle
	peakDraw        uint32
	power           powerState
	runningTasks    map[taskKey]*task // those with a timer
	retained        []retainedOutput  // oldest first
	retainBytes     int               // total size of the retained outputs
	dead            bool
	faults          Faults
	starts          map[taskKey]int // number of starts
	calls           Calls
	nextExpiryCheck time.Time
	traffic         Traffic
	slots           map[ticket.ID]uint32 // in use, by submission
	slotsInUse      uint32
	peakSlots       uint32
}

// Faults are the injected faults. The zero value is a healthy worker.
type Faults struct {
	Silent         bool    // messages are received and never answered
	FailEverything bool    // each task fails at once
	RunTimeFactor  float64 // multiplies run times; 0 means 1
}

type taskKey struct {
	id    ticket.ID
	index uint32
}

type submission struct {
	id            ticket.ID
	minGeneration ticket.Generation // set by seals; starts under a lower one are refused
	closed        string            // set by a seal that closes the submission; then all starts are refused
	expiry        time.Time
	tasks         map[uint32]*task
	changed       chan struct{} // closed and replaced when a task ends
}

type task struct {
	state            pb.TaskState
	output           []byte
	reason           string
	run              time.Duration // time from start to end
	each             *pb.Resources // declared resources
	charged          uint32        // milliwatts charged against the allotment
	draw             uint32        // milliwatts at full speed
	started          time.Time
	timer            *time.Timer
	remaining        time.Duration // run time at full speed that remained at remainingAt
	remainingAt      time.Time
	fullSpeedRunTime time.Duration // run time at full speed
	slowed           bool          // ran below full speed at some time
}

type retainedOutput struct {
	task *task
	size int
}

// New returns a worker whose lease nobody holds and that has run no tasks.
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

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	w.faults = f
	w.mu.Unlock()
}

// Kill simulates a crash: running tasks are lost, the holder's stream ends, and
// every later call fails.
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

// ID returns the worker's name.
func (w *Worker) ID() string { return w.cfg.ID }

// start accepts or refuses one task of a group and starts it if accepted. It
// returns nil if the task has started and not ended yet.
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

// refusalCode returns why a start is refused, or "" if it is accepted.
//
// The check for an existing record comes first, since any other refusal tells the
// home that the task did not start here. The incarnation is checked because a
// restarted worker has lost its seals: without the check it could start a task that
// a recovering entry VM had sealed here and started elsewhere.
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

// finish records the outcome of a running task. The caller holds mu.
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

// release frees the slots and the power of a task that has ended and wakes those
// who follow its submission. The caller holds mu.
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

// retain keeps an output and discards the oldest ones above RetainBytes.
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

// timerFired finishes a task whose run time is over; its timer calls it.
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

// push queues a result for the holder if it is connected. A disconnected holder does
// not get the result later; homes ask for the results of a submission instead.
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

// stop ends a running task on request and reports whether it was running. The
// caller holds mu.
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

// dropExpired drops the records of submissions whose ticket expired more than
// clockSkew ago and that have no running task. The caller holds mu.
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
