// Package job is the state machine of one submission at its driver: the entry VM
// that accepted it (its home), or the entry VM that recovers it when the home
// cannot be reached.
//
// Terms. Owners are the processes that hold worker leases; the driver assigns
// tasks to owners, which start them on workers. Candidates are the workers that
// may ever run the submission's tasks. A generation is the fencing token of the
// starts; to seal a worker means to make it refuse starts of the submission under
// lower generations and report the tasks that have started there.
//
// The caller of this package delivers events (assignments, results, lost owners,
// replies to seals, the passing of time) and executes the actions that are
// returned. The package reads no clock, sends no message and starts no goroutine.
// It guarantees, for any order of events and for repeated events:
//
//   - A task is reassigned only when no earlier assignment of it can still start:
//     its owner reported that it never sent the start, or every worker allowed for
//     it has been sealed above the assignment's generation and has no record of it.
//   - An answer is complete, with an output for each task, or it is a failure.
//   - NotRun is answered only if no task has started and one candidate has
//     recorded that the submission is closed. A recovering entry VM asks all
//     candidates, so it cannot miss that record.
//   - There is one answer. Later events change nothing.
//
// A batch is a set of tasks that were assigned together, with the workers that
// they may start on. When it is no longer certain which tasks of a batch have
// started, each of its workers is sealed under the job's next generation; the
// replies tell which tasks started. Recovery is the same step over all candidates.
//
// Raising its own generation never puts a job above another driver that took
// over; only asking all candidates does. The guarantees also depend on code
// outside this package: a worker that has a record of a task reports that before
// any other reason for refusal, and refuses starts that name an earlier
// incarnation of it; an owner has at most one start of a task in flight to a
// worker, and each assignment reaches it at most once.
package job
