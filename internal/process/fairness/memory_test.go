package fairness

import (
	"testing"

	"github.com/pumiceyard/pumiceyard/internal/standin/heap"
)

// BenchmarkMemoryAccount is what a Queue holds for each client account with one
// queued job.
func BenchmarkMemoryAccount(b *testing.B) {
	const accounts = 440
	heap.Report(b, accounts, "account", func() any { return loaded(accounts, accounts) })
}

// BenchmarkMemoryJob is what a Queue holds for each queued job, however many
// tasks it has.
func BenchmarkMemoryJob(b *testing.B) {
	const jobs = 10_000
	heap.Report(b, jobs, "job", func() any { return loaded(44, jobs) })
}
