// Package spill decides how many tasks of a job that have not started are sent
// to which other entry VM.
//
// # Contract
//
// Plan is pure: it does no I/O, reads no clock and keeps no state. The same
// arguments give the same moves in the same order.
//
// Only tasks that were never sent to a peer may be counted in want. A task is
// moved at most once: the peer that receives it queues it until it has a slot
// or its deadline passes, and never passes it on. Otherwise two VMs that each
// believe the other to be idle would send a task to and fro, and each move
// costs a message.
//
// The order is: free slots here, free slots of peers in the own failure
// domain, free slots of other domains, and last the queues of the own domain.
// Tasks are never queued in another domain: from here they can still go
// anywhere, from there they cannot.
//
// Adverts are some time old, and every home reads the same ones. Four rules
// keep homes from sending to the same peer all at once, which would fill its
// queue while others idle: a home uses only Settings.Share of what a peer
// offers, takes off what it sent since the advert, orders peers of about equal
// spare by a hash with its own name, and sends at most Settings.Batch.
package spill
