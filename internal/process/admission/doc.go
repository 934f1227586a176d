// Package admission decides whether a submission is taken in or refused before
// anything of it has run.
//
// A refusal is early, typed and true: it is given before a task is queued, so
// "not run" holds by construction, and it says after how long a retry makes
// sense. Work that is taken in has a fair chance to end by its deadline; work
// that has none is refused while its caller can still turn elsewhere.
//
// # Contract
//
//   - Decide is a deterministic core: it does no I/O, reads no clock and starts
//     no goroutine. Its only state is the seeded source of the jitter and the
//     retry budgets, so the same calls give the same decisions.
//   - A Controller is not safe for concurrent use; one duty of the process owns
//     it.
//   - Checks run from the most lasting cause to the most passing one, so the
//     reason given is the one that a retry would meet last.
package admission
