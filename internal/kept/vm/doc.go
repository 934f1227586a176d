// Package vm implements an entry VM, which accepts submissions and runs them under the IDs that
// their callers chose. It connects the callers' requests, the store, the links to peer entry VMs,
// and the workers of the shards that this VM holds.
//
// # Terms
//
//   - A stored submission has a record in the store and survives the loss of any VM. A transient
//     submission is kept in memory only; its caller waits for the result.
//   - The home VM of a submission is the entry VM that accepted it from the caller.
//   - A shard is a group of workers of one failure domain. Its holder is the one entry VM that may
//     start tasks on them. Each change of holder raises the shard's fencing token.
//   - A part is the tasks of a transient submission that one shard has.
//
// # Goroutines
//
// One goroutine, the engine, owns all state and takes typed events from a bounded ring buffer.
// Every other goroutine does one job: a watch, a journal, a link, a session with a worker, an order
// in flight. They end with the VM's context and reach the engine only through events.
//
// # Structure of the engine
//
// Each round applies all queued events, then lets each component do what is due, then sends one
// frame to each peer. Components are layered: code may use the layers below its own, never those
// above.
//
//	callers                 callers.go   requests become events, answers come back on a channel
//	  |
//	home VM                 stored.go, states.go, cancel.go   stored submissions
//	                        transient.go, partreport.go,      transient submissions and their parts
//	                        recall.go, deferred.go, losses.go
//	                        latebinding.go, grants.go, join.go   demands at pools, and the use of their grants
//	                        withoutpools.go           waiting tasks where holders form no pools
//	  |
//	moves between shards    evacuate.go, offload.go   tasks whose shard must not, or need not, start them
//	  |
//	shard holder            engine.go (runShard), shards.go, persist.go, storedworkers.go
//	                        session.go, workers.go    the workers of a shard, and orders to them
//	                        heldpools.go              demands on the shards of a domain, and grants to them
//	  |
//	knowledge of the site   load.go          capacity and queues of shards, as their holders report them
//	                        waiting.go       waiting submissions by queue and failure domain
//	                        workerlists.go   workers of a failure domain
//	                        evacuation       evacuated failure domains (a package of its own)
//	  |
//	communication           peers.go, relaycalls.go   links, frames, and store calls relayed for peers
//	                        watch.go, sweep.go        watches of the store, this VM's session there,
//	                                                  and removal of old final states
//
// vm.go starts and stops all of it; events.go lists the events; metrics.go has the metrics.
//
// Decisions are made in packages without I/O or clock: policy (which submissions to admit, in what
// order, and where), shard (what runs on which worker), site (which VM holds which shard), and
// evacuation.
package vm
