// Package estimate learns how much run time, power above idle and memory the
// tasks of a template use, separately for each client account.
//
// An [Estimator] is deterministic: it performs no I/O, reads no clock and
// starts no goroutine. It is not safe for concurrent use.
//
// # Contract
//
// [Estimator.Charge] returns what admission has to reserve for one task: the
// greater of the declared value, whose weight decreases with each sample, and a
// high quantile of the samples.
//
//   - Without samples, the declared value plus a margin is charged.
//   - The weight of the declared value falls linearly and is 0 after
//     [Settings.Trust] samples. From then on, a template that declares too much
//     is charged what it uses.
//   - The quantile covers the last one to two windows of [Settings.Window]
//     samples. It follows a rise as soon as the new samples outnumber those above
//     the quantile, and a fall after at most two windows.
//   - Memory is bounded: [Settings.MaxKeys] pairs of template and account are
//     stored, and the least recently used pair is evicted for a new one.
//
// Run times are counted in units of 160 microseconds, power in 16 milliwatts,
// memory in mebibytes. A quantile is never below the samples that it covers and
// at most one bucket, 1/16 of the value, above them.
package estimate
