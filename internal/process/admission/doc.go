// Package admission decides whether an entry VM admits a submission or refuses
// it before any of its tasks runs.
//
// A refusal is given before a task is queued, so the answer "not run" holds by
// construction. It carries a reason code and the time after which a retry makes
// sense. An admitted submission can be expected to end by its deadline; one that
// cannot is refused while its caller still has time to go elsewhere.
//
// # Contract
//
//   - Decide is deterministic: it does no I/O, reads no clock and starts no
//     goroutine. Its only state is the seeded random source of the jitter and
//     the retry budgets, so the same calls give the same decisions.
//   - A Controller is not safe for concurrent use; one goroutine owns it.
//   - Checks run from the most permanent cause to the most transient one. When
//     several apply, the refusal names the cause that persists longest.
package admission
