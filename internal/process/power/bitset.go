package power

// bitset has a bit for each worker of a plan.
type bitset []uint64

const wordBits = 64

func newBitset(n int) bitset { return make(bitset, (n+wordBits-1)/wordBits) }

func (b bitset) set(i int) { b[i/wordBits] |= 1 << (i % wordBits) }

func (b bitset) has(i int) bool { return b[i/wordBits]&(1<<(i%wordBits)) != 0 }

// merge adds the bits of another set of the same plan.
func (b bitset) merge(other bitset) {
	for i := range min(len(b), len(other)) {
		b[i] |= other[i]
	}
}
