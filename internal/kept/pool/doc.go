// Package pool decides which waiting tasks get the free capacity of a pool: the shards of one failure
// domain that one entry VM holds.
//
// Tasks that cannot start at once wait at their home VM, which tells pools how many there are (Demand).
// The holder of a pool orders the demands of all homes in one queue, and offers free capacity to the most
// urgent (Grant). The home VM then assigns tasks to the granted shard. A task is thus bound to a shard only
// when it can start there, and what waits is known in one place: its home VM.
//
// # Contract
//
// A Pool is a deterministic core: no I/O, no clock, no goroutine. Demands, replies and the free capacity of
// the workers go in, grants come out. All that it knows may be lost with its VM: homes tell the next holder
// their demands again, and a grant that is lost or late binds nobody.
package pool
