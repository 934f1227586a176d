// Package power keeps the draw of a site under its cap by construction.
//
// A [Ledger] is the decision core of one entry VM. It performs no I/O, reads
// no clock and starts no goroutine: events and the current time go in, typed
// actions with typed reasons come out. It is not safe for concurrent use.
//
// # Contract
//
// Watts live at workers. Each worker stores a [Record]: the revision of the
// plan it was last brought under, the part of its share it was given under
// that plan, and the allotment in force, which is the draw its lease holder
// may cause there, idle included. An entry VM has no budget but the allotments
// of the workers it leases, and a pool of watts on their way between workers.
//
// The worker accepts a new allotment only under its current lease epoch and a
// plan revision that is not lower than its record's, stores it before it
// answers, and hands the record to the next holder with the lease. It handles
// allotments, starts and throttles of one holder in the order they were sent.
// A restart of a worker ends its tasks, loses the record and raises the
// worker's incarnation.
//
// From this follows the invariant: for each failure domain, the allotments in
// force at its workers plus the watts in pools and in transfers never pass the
// domain's part of the cap. Every step either moves watts in the order give,
// confirm, take, or loses them:
//
//   - An allotment is lowered first; the difference is used elsewhere only
//     after the worker has confirmed it.
//   - A transfer leaves the giver's pool before it is sent. The receiver takes
//     it once, whatever is lost, doubled or reordered.
//   - The watts of a dead or paused holder stay at its workers and come back
//     when the workers are leased again. Its pool and its unfinished transfers
//     are stranded: lost until the next plan, never doubled.
//   - A new [Plan] voids all watts off workers. Workers are brought under it
//     by lowering only; they are raised to their shares after every present
//     worker of the domain has been brought under it.
//
// All watts are in [Milliwatts], all times are durations on the caller's
// monotonic clock.
package power
