// Package fairness decides which tasks start next on the workers that an entry VM
// holds.
//
// Between client accounts it shares the scarce resource (slots or power) by
// weight, over a tree of accounts with quotas. Within an account it uses a
// multi-level feedback queue on attained service, because declared sizes are
// often far off: a job drops to lower levels as it consumes service, so a short
// job never waits for a long one that arrived earlier.
//
// # Contract
//
//   - A Queue is deterministic: it does no I/O, reads no clock, starts no
//     goroutine and uses no random numbers. The same calls give the same picks.
//   - It is not safe for concurrent use; one goroutine owns it.
//   - Times passed in should not go backwards. An earlier time is replaced by the
//     latest one seen, so that a clock step cannot produce negative service.
//   - Next does not count the pick as started. The caller calls either Start or
//     Park for the pick before it calls Next again.
//   - Service is counted in share-seconds: one share-second is the whole
//     capacity of the scarce resource for one second.
//   - Unused shares are lent to other accounts and returned as tasks end: an
//     account that becomes active gets every freed slot until it has its share.
package fairness
