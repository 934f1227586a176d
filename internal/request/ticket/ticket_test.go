package ticket

import (
	"testing"
	"time"
)

var key = []byte("0123456789abcdef")

// BenchmarkMint measures issuing and parsing one ticket, and the length of its token.
func BenchmarkMint(b *testing.B) {
	m := NewMinter(key, "vm-001", "domain-03", 1)
	expiry := time.Unix(1_800_000_000, 0)
	var token string
	b.ReportAllocs()
	for b.Loop() {
		_, token = m.Mint("site-managers", expiry, 1, 2)
		if _, err := Parse(key, token); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(token)), "B/token")
}
