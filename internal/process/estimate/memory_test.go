package estimate

import (
	"fmt"
	"testing"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/standin/heap"
)

// BenchmarkMemory is what an Estimator holds for each pair of client account
// and template, at the design size of 44 accounts with 20 templates in use.
func BenchmarkMemory(b *testing.B) {
	const accounts, templates = 44, 20
	heap.Report(b, accounts*templates, "pair", func() any {
		e := New(DefaultSettings())
		for a := range accounts {
			for t := range templates {
				e.Observe(fmt.Sprint("template", t), fmt.Sprint("account", a), Sample{Time: time.Millisecond, Milliwatts: 1000})
			}
		}
		return e
	})
}
