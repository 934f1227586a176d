// Package shard schedules the submissions of one shard on its workers. A shard is a set of workers
// of one failure domain. One entry VM at a time, the holder, controls it under a fencing token.
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
// Three mechanisms ensure this:
//
//   - Fencing token. Once a worker has seen a token, only its holder, or that of a newer
//     one, can start or stop runs there or extend the lease.
//   - Run numbers. A start order without an answer may still be carried out seconds
//     later. Once the worker has acknowledged a stop of the same run, it never is.
//   - Leases. A worker that cannot be reached ends all its runs when its lease expires.
//     Only then are their tasks started elsewhere.
//
// # Recovery
//
// Workers list an ended run until the holder acknowledges it, and the holder acknowledges it only
// when its effect is stored. A new holder therefore recovers the state of the shard from the
// records in the store and one listing of each worker. A task of an adopted submission
// that no worker lists is started again only once every worker has answered under the new
// token or the leases that earlier holders granted have certainly expired (the barrier).
package shard
