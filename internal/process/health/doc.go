// Package health judges workers by the outcomes of their tasks and says how
// far each may be trusted.
//
// # Contract
//
// A Table is a deterministic core: it does no I/O, reads no clock, starts no
// goroutine and takes its jitter from a seed. Events and the present time go
// in, changes of tier with typed reasons come out. The time must not go
// backwards. It is not safe for concurrent use.
//
// # Failures
//
// A worker that fails everything fails fast, and so attracts load: each
// failure frees a slot. The sign is a job failure rate far above the share of
// the one worker. A worker is therefore ejected after a few failures, but only
// after failures that are its own. Three things tell them apart:
//
//   - A failure is first a charge. It counts only when another worker completes
//     a task of the same template that started later. A template that several
//     workers fail before any other completes it is suspended: its failures are
//     charged to nobody until it works again.
//   - While a charge is open, further failures of the template on that worker
//     add nothing: they may all be of one job with bad input.
//   - A confirmed charge weighs less for a template that often fails elsewhere.
//
// Confirmed charges add up and successes take off, as in a CUSUM test. The
// unit of the score is one failure of a template that otherwise never fails.
//
// A worker with an open charge gets no task until the charge is decided, for
// a bounded time. Otherwise a fast failing worker could fail dozens of tasks
// while the slower success that convicts it is still running.
//
// # Return
//
// An ejection ends by time, with exponential backoff and jitter, and leads to
// probation, where one confirmed failure ejects again. At most a stated share
// of a failure domain is ejected at once: when many workers fail together the
// cause is more likely shared, and an empty domain serves nobody.
//
// # Memory
//
// A worker costs one record of fixed size, a template too, and the number of
// templates is bounded. History is kept in memory only; the next holder of a
// worker's lease begins with probation.
package health
