// Package fairness decides whose tasks start next at an entry VM that holds
// workers.
//
// Between client accounts it shares the scarce resource (slots or watts) by
// weight, over a tree of accounts with quotas. Within an account it runs
// multi-level feedback on attained service, because declared sizes are often
// far off: a job sinks as it consumes, so a short job never waits for a long
// one that came earlier.
//
// # Contract
//
//   - A Queue is a deterministic core: it does no I/O, reads no clock, starts no
//     goroutine and draws no random number. The same calls give the same picks.
//   - It is not safe for concurrent use; one duty of the process owns it.
//   - Times passed in must not go backwards. One that does is read as the latest
//     time seen, so that a stepped clock cannot produce negative service.
//   - Next changes no count. The caller either calls Start for the pick, or Park,
//     and then asks again.
//   - Service is counted in share-seconds: one share-second is the whole
//     capacity of the scarce resource for one second.
//   - A lent share is regained as tasks end: an account that becomes active is
//     offered every freed slot until it holds its due.
package fairness
