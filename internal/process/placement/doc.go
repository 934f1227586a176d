// Package placement decides which workers run which tasks, among the workers
// whose lease this entry VM holds.
//
// # Contract
//
// A Placer is a deterministic core: it does no I/O, reads no clock, starts no
// goroutine and takes its randomness from a seed. The same calls in the same
// order give the same placements. It is not safe for concurrent use; the
// goroutine that owns the leases owns the Placer.
//
// The lease makes the accounting exact: nobody else starts tasks on a worker
// that is held here, so what Place reserves is free until Free is called. Free
// is called only when the worker itself reported that a task ended. A timeout,
// a silent connection or a lost answer frees nothing, because the task may
// still run.
//
// # Order of choice
//
// Workers are tried by tier (healthy, probation, slow, suspect), then by the
// free share of their scarcest resource, then round robin over racks. One pick
// takes up to Settings.BatchSize tasks of a request, so that one message
// carries several tasks. Workers in probation and under suspicion run one task
// at a time, and ejected workers get none.
//
// The cost of a call depends on the number of picks, not on the number of
// workers. A worker with free slots that is short of another resource is
// passed over, and that costs one step for each such worker.
package placement
