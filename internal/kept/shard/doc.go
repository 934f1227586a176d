// Package shard schedules the submissions of one shard on its workers. A shard is a set of workers
// of one failure domain. One entry VM at a time, the holder, controls it under a fencing token.
//
// # Terms
//
//   - A submission consists of steps, and a step of equal tasks. A run is one attempt to
//     carry out a task. Runs of a task are numbered.
//   - The home VM of a submission is the entry VM that received it from its caller. It gives
//     the submission, or parts of it, to shards, and the holders report to it.
//   - The record of a stored submission is in the store. A transient submission is known to
//     its home VM and the holder only, while its caller waits.
//   - A hold is a heartbeat from the holder to a worker. It extends the lease of the worker's
//     runs, and the worker answers it with a listing of its running and ended runs.
//   - A worker that restarts is a new incarnation, also if it keeps its ID.
//   - A suspect is a task that may have crashed a worker.
//
// # Contract
//
// A Shard is a deterministic state machine without I/O, clock or goroutines. The caller passes
// events and the current time to its methods, and TakeActions returns the actions to carry out. It is
// not safe for concurrent use. Times are durations since boot and never go backwards.
//
// # Invariants
//
// A task never has two runs at the same time, and none starts after one of its runs has completed.
// Four mechanisms ensure this:
//
//   - Fencing token. Once a worker has seen a token, only its holder, or that of a newer
//     one, can start or stop runs there or extend the lease.
//   - Run numbers. A start order without an answer may still be carried out seconds
//     later. Once the worker has acknowledged a stop of the same run, it never is.
//   - Leases. A worker that cannot be reached ends all its runs when its lease expires.
//     Only then are their tasks started elsewhere, and once start orders that have no answer yet
//     are void.
//   - Listings. While a worker lists a run of a task, no other run of it starts, until the run has
//     ended or the worker's lease or incarnation has. If this holder started the run, and no later
//     one, it goes on as the task's run. Any other is stopped: that of an earlier attempt to have
//     the submission carried out, an older one, or one of an earlier holder that was not handed over.
//
// # Recovery
//
// Workers list an ended run until the holder acknowledges it. The holder acknowledges it only when
// its effect is stored, or at once for a transient submission, whose home VM is told the outcome. A
// new holder therefore recovers the state of the shard from the records in the store, the
// submissions that home VMs hand over, and one listing of each worker. A task of an adopted
// submission that no worker lists is started again only once every worker has answered under the
// new token or the leases that earlier holders granted have certainly expired (the barrier). For
// transient submissions the barrier ends earlier.
//
// A worker lists a limited number of ended runs at a time. While its newest listing has so many, a run
// that it lacks may have ended, possibly completed: its task is not released, and nothing starts there.
package shard
