package document

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/pumiceyard/pumiceyard/internal/standin/heap"
)

// encodeLargeDocument returns an encoded document of the size that the system is designed for:
// 44 client accounts with two keys each, and 100 templates.
func encodeLargeDocument(b *testing.B) []byte {
	d := &Document{Site: Site{PowerCapMilliwatts: 1, Domains: map[string]uint64{"d1": 1}}}
	for i := range 100 {
		d.Templates = append(d.Templates, Template{Name: fmt.Sprint("template-", i), Class: Normal, DeadlineMillis: 1000, MaxTasks: 920})
	}
	for i := range 44 {
		name := fmt.Sprint("account-", i)
		d.Accounts = append(d.Accounts, Account{Name: name, Weight: 1, KeyHashes: []string{KeyHash(name), KeyHash(name + "-next")}})
	}
	text, err := json.Marshal(d)
	if err != nil {
		b.Fatal(err)
	}
	return text
}

func mustParse(b *testing.B, text []byte) *Document {
	d, err := Parse(text)
	if err != nil {
		b.Fatal(err)
	}
	return d
}

// BenchmarkMemory reports the memory that one parsed document of the design size holds.
func BenchmarkMemory(b *testing.B) {
	text := encodeLargeDocument(b)
	heap.Report(b, 1, "revision", func() any { return mustParse(b, text) })
}

// BenchmarkParse measures parsing and validating one document of the design size.
func BenchmarkParse(b *testing.B) {
	text := encodeLargeDocument(b)
	for b.Loop() {
		mustParse(b, text)
	}
}
