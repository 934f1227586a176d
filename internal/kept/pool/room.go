package pool

import (
	"time"

	"github.com/pumiceyard/pumiceyard/internal/kept/policy"
	"github.com/pumiceyard/pumiceyard/internal/kept/worker"
)

// Room is the capacity of a shard's workers that new tasks may use, as its holder knows it.
type Room struct {
	Token   uint64 // fencing token of the shard
	Workers []Worker
	Bound   []Bound // submissions with tasks that are bound to the shard and wait for a worker, the most urgent ones
	Waiting int     // number of all such tasks
	EndRate float64 // runs that are expected to end there, per second
	At      time.Duration
}

// Worker is a worker that new tasks may be started on.
type Worker struct {
	Info   worker.Info
	Free   Resources // without the tasks that it has; reservations are not taken off
	Tasks  int       // that it has
	Health policy.WorkerHealth
}

// Bound is a submission that waits at its shard. It gets no grants, but a large task of it keeps room from
// less urgent demands.
type Bound struct {
	Queue string
	Work  policy.Work
	Size  Size // of the next task
	Since time.Duration
}

// Resources are those of a worker that a task uses.
type Resources struct {
	CPUMilli int64 // in thousandths of a core
	MemMB    int64
	GPU      int64
}

func (s *Size) resources() Resources {
	return Resources{CPUMilli: s.CPUMilli, MemMB: s.MemMB, GPU: s.GPU}
}

// Plus returns the sum of two amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPUMilli: r.CPUMilli + o.CPUMilli, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Minus returns the difference of two amounts.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPUMilli: r.CPUMilli - o.CPUMilli, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Covers reports whether there is enough of each resource.
func (r Resources) Covers(o Resources) bool {
	return r.CPUMilli >= o.CPUMilli && r.MemMB >= o.MemMB && r.GPU >= o.GPU
}

// slot is a worker of a shard with what is reserved on it.
type slot struct {
	worker   *Worker
	shard    string
	reserved Resources
	tasks    int  // that are reserved
	held     bool // for a larger task that is more urgent than what has not been served yet
	kept     bool // the same, for a task of a demand: also from tasks that are bound to the shard
}

func (s *slot) free() Resources { return s.worker.Free.Minus(s.reserved) }

// suits reports whether tasks of a size may run on the worker at all.
func (s *slot) suits(z *Size) bool {
	return s.worker.Info.Suits(z.Service, z.RequiredLabel, z.CPUMilli, z.MemMB, z.GPU)
}

// fits reports whether a task of a size can start on the worker now.
func (s *slot) fits(now time.Duration, z *Size) bool {
	return s.suits(z) && s.free().Covers(z.resources()) && s.worker.Health.CanAccept(now, s.worker.Tasks+s.tasks)
}

// fitsSoon reports whether a task of a size fits once a run of the usual size on the worker has ended.
func (s *slot) fitsSoon(z *Size) bool {
	usual := (s.worker.Info.CPUMilli - s.worker.Free.CPUMilli) / int64(max(s.worker.Tasks, 1))
	return s.suits(z) && s.free().CPUMilli+usual >= z.CPUMilli
}
