// Package ownership decides, without asking anybody, which entry VM should
// hold which worker's lease, and which workers a submission may use.
//
// # Contract
//
// Every function is pure: the same arguments give the same result on every VM,
// whatever their order. Both decisions use rendezvous hashing (highest random
// weight): each pair of a key and a node has a pseudo-random weight, and the
// nodes with the highest weights win. When a node joins or goes, only the keys
// that it wins or held move.
//
// Holder is advice. The worker's own lease decides who holds it, so two entry
// VMs that disagree on who lives waste a message and start nothing twice.
//
// Candidates makes the workers of a submission derivable from its ticket, so
// that recovery after the death of a home asks tens of workers and not
// thousands. It depends on the list of workers that is passed in: two VMs with
// different lists can derive different candidates. Digest tells the difference.
// A VM whose digest differs from the one recorded must not conclude anything
// from the candidates that it derived itself.
package ownership
