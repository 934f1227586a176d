// Package policy decides how the dispatcher behaves under load and faults: which submissions
// to admit, in which order to serve them, where to run their tasks, which workers to avoid,
// and when a refused caller should retry.
//
// # Contract
//
// Each decision is a pure function of a snapshot and of Settings. The package does no I/O,
// reads no clock and starts no goroutine. What it needs to remember (WorkerHealth, Progress,
// Pace, RetrySchedule) are plain values that their owners keep. A decision against a submission
// comes with a typed Reason. Times are durations since boot.
//
// The inputs are the callers' estimates of run times (often off by half), the terms of the
// queue, and the load that the holders of shards report, about 15 ms old. Nothing depends on
// the size, the names or the load of a site. The thresholds that operators can set are in
// Settings, each with the load or fault that it is for.
package policy
