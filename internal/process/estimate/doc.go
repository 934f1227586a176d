// Package estimate learns what the tasks of a template use for each client
// account: run time, draw above idle and memory.
//
// An [Estimator] is deterministic: it performs no I/O, reads no clock and
// starts no goroutine. It is not safe for concurrent use.
//
// # Contract
//
// [Estimator.Charge] gives what admission has to reserve for one task: the
// greater of the declared figure, discounted by the evidence against it, and a
// learned high quantile.
//
//   - Without samples, the declared figure is charged with a margin on top.
//   - The weight of the declared figure falls in a straight line and is 0 after
//     [Settings.Trust] samples. An over-declared template is charged what it
//     uses from then on.
//   - The quantile is taken over the last one to two windows of
//     [Settings.Window] samples. A rise is followed as soon as the new samples
//     are more than the quantile leaves out, a fall after at most two windows.
//   - Memory is bounded: [Settings.MaxKeys] pairs of template and account are
//     kept, and the one that was not used for longest makes room for a new one.
//
// Run times are counted in units of 160 microseconds, draw in 16 milliwatts,
// memory in mebibytes. A quantile is never below the samples it stands for and
// at most one bucket above them, 1/16 of the value.
package estimate
