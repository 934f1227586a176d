// Package shard drives the submissions of one shard: the workers of one failure
// domain, held by one entry VM at a time under a fencing token.
//
// # Contract
//
// A Shard is a deterministic core: no I/O, no clock, no goroutine. Events and the
// present time go in; Take returns the actions to carry out. It is not safe for
// concurrent use. Times are since boot and never go backwards.
//
// # What must hold
//
// No task runs twice at once, and none starts after a run of it has completed.
// Three things are needed for that:
//
//   - The token. Only the holder of the newest token can start, stop or extend
//     runs at a worker that has seen it.
//   - Run numbers. An order without an answer may be carried out seconds later;
//     once a stop of the same run is acknowledged it never is.
//   - Leases. A worker that cannot be reached ends all its runs when its lease is
//     over. Only then do they start elsewhere.
//
// # Recovery
//
// Workers list an end until it is acknowledged, and it is acknowledged only when
// its effect is in the store. A new holder therefore learns all from the records
// in the store and one listing of each worker. A task of an adopted submission
// that nobody lists starts again only when each worker has answered under the new
// token, or its lease has certainly run out (the barrier).
package shard
