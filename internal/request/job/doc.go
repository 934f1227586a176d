// Package job is the state machine of one submission at the entry VM that
// drives it: its home, or the entry VM that recovers it after the home is gone.
//
// Contract. The caller of this package delivers events (assignments, results,
// lost owners, answers to seals, the passing of time) and carries out the
// actions that come back; nothing here reads a clock, sends a message or starts
// a goroutine. The machine keeps four promises whatever the order of events,
// and however often one of them comes:
//
//   - A task index is handed out again only when no earlier hand-out of it can
//     still start: its owner said so for a task it never sent, or every worker
//     it was allowed on has sealed its generation off and knows no record of it.
//   - An answer is complete, with an output for each index, or it is a failure.
//   - NotRun is answered only when no task has started and one candidate has
//     accepted the closing of the submission. A recovering entry VM asks all
//     candidates, so it can not miss the closing.
//   - There is one answer. Events after it change nothing.
//
// A batch is a set of indexes that were handed out together, with the workers
// they may start on. When nothing certain is known of a batch any more, each of
// its workers is sealed under the job's next generation; the answers tell which
// indexes started. Recovery is the same step over all candidates at once.
//
// Raising the generation never puts a job above another driver that took over:
// only asking all candidates does. What stays outside this package, and has to
// hold for the promises: a worker tells a record before any other refusal, and
// refuses starts that name an earlier incarnation of it; an owner has one start
// of a task under way to a worker, and each hand-out reaches it at most once.
package job
