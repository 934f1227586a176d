// Package policy holds the decisions of the dispatcher under load and faults: whom to
// admit, in what order, where to run, whom to trust, and when a refused caller should
// come back.
//
// # Contract
//
// Each decision is a pure function of a snapshot and of Settings: no I/O, no clock, no
// goroutine, no state but Trust, which is a plain value that its owner keeps. A decision
// against a submission comes with a typed Reason. Times are since boot.
//
// What the functions rely on: the caller's estimates (often off by a half), the queue's
// terms, and what the holders of shards say of their room, some 15 ms old. Nothing here
// depends on a site's size, names or load; thresholds are in Settings, with the load that
// each answers.
package policy
