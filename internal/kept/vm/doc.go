// Package vm is an entry VM that serves submissions under their callers' own keys: it joins the
// callers' requests, the store, the links to its peers and the workers of the shards that it
// holds.
//
// # Goroutines
//
// One goroutine, the engine, owns all state and takes typed events from a bounded ring. The
// others are a duty each: a watch, a journal, a link, a session with a worker, an order under way.
// They end with the VM's context, and speak to the engine by events alone.
//
// # Duties of the engine, and who may call whom
//
// Each round takes all waiting events, then lets each duty do what is due, then sends one frame to
// each peer. Arrows go down only: a duty reads those below it, and none above.
//
//	callers, front        callers.go   requests become events, answers come back on a channel
//	  |
//	homes                 home.go, states.go, cancel.go     stored submissions
//	                      transient.go, takeback.go,        transient ones and their parts
//	                      early.go
//	  |
//	moves between shards  evacuate.go, offload.go   what waits where it cannot, or need not, start
//	  |
//	shards held           engine.go (drive), holding.go, ends.go, noted.go
//	                      session.go, workers.go    the workers of a shard, and orders to them
//	  |
//	what is known         load.go      room of shards, by their holders
//	                      waiting.go   what waits in queues, by domain
//	                      lists.go     workers of a domain, by its reader
//	                      evacuation   domains in which nothing may start (package of its own)
//	  |
//	ways                  peers.go, peercalls.go   links, who needs them, frames
//	                      watch.go, sweep.go       what the store says, this VM's key there
//
// The decisions themselves are in packages without I/O or clock: policy (whom to admit, in what
// order, where), shard (what runs where), site (who holds what), evacuation.
package vm
