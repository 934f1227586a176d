// Package kept groups what serves kept submissions: jobs under an identity that
// the caller chose, which are stored before they are accepted and which end, or
// fail with a reason, whatever entry VMs are lost meanwhile.
//
// The packages by life span:
//
//   - a request: submission (types and the stored record)
//   - a connection: link (between entry VMs)
//   - a process: store (what is asked of the platform's store), journal (grouped
//     writes), site (who lives, who holds which shard), shard (the jobs and
//     workers of one failure domain), vm (the entry VM that joins them)
//
// site and shard are deterministic cores: events and a time go in, typed actions
// come out, without I/O, clock or goroutine.
//
// docs/design/platform.md says why it is built so.
package kept
