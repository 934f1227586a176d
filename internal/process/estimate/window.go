package estimate

import "math/bits"

const (
	// subBits gives 16 buckets for each power of two.
	subBits = 4
	// rangeBits is the width of the values that are distinguished: 262,144 units.
	rangeBits = 18
	// buckets covers the range; values below 16 units are counted exactly.
	buckets = (rangeBits - subBits + 1) << subBits
	// maxWindow is the maximum number of samples that a byte counter can hold.
	maxWindow = 255
)

// window is a histogram of up to 255 samples in logarithmic buckets of one byte
// each. An HdrHistogram of the same width takes 8 bytes per bucket, which exceeds
// the memory allowed for each key.
type window struct {
	counts [buckets]uint8
	total  uint8
	max    uint32
}

// bucketOf finds a value's bucket; values beyond the range share the last.
func bucketOf(v uint32) int {
	if v < 1<<subBits {
		return int(v)
	}
	shift := bits.Len32(v) - 1 - subBits
	sub := int(v>>shift) - 1<<subBits
	return min((shift+1)<<subBits+sub, buckets-1)
}

// upperOf is the greatest value of a bucket.
func upperOf(bucket int) uint32 {
	if bucket < 1<<subBits {
		return uint32(bucket)
	}
	shift := bucket>>subBits - 1
	sub := uint32(bucket&(1<<subBits-1) + 1<<subBits)
	return (sub+1)<<shift - 1
}

// add counts a sample.
func (w *window) add(v uint32) {
	w.counts[bucketOf(v)]++
	w.total++
	w.max = max(w.max, v)
}

// quantileOf returns the value that permille thousandths of the samples of both
// windows do not exceed, 0 without samples.
func quantileOf(a, b *window, permille int) uint32 {
	total := int(a.total) + int(b.total)
	if total == 0 {
		return 0
	}
	above := total - (total*permille+999)/1000
	greatest := max(a.max, b.max)
	for i := buckets - 1; i >= 0; i-- {
		above -= int(a.counts[i]) + int(b.counts[i])
		if above >= 0 {
			continue
		}
		if i == buckets-1 {
			return greatest
		}
		return min(upperOf(i), greatest)
	}
	return greatest
}
