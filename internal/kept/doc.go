// Package kept groups the packages that serve kept submissions: jobs with an ID chosen by
// the caller, which are stored before they are accepted. They complete, or fail with a
// reason, even if entry VMs are lost meanwhile.
//
// The main packages, by the lifetime of what they handle:
//
//   - a request: submission (types and the stored record)
//   - a connection: link (streams between entry VMs)
//   - a process: store (interface of the platform's store), relay (calls of the store,
//     also through peers), journal (batched writes), site (membership, and which VM
//     holds which shard), shard (jobs and workers of one shard), vm (the entry VM,
//     which combines them), serve and daemon (the process)
//
// site and shard are deterministic cores: events with a time go in, typed actions
// come out, without I/O, clock or goroutine.
//
// docs/design/platform.md explains the design.
package kept
