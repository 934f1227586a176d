package policy

import "cmp"

// QueueKey says by what queued work is summed up for reports.
type QueueKey struct {
	Band     LatenessBand
	Priority int
	Standing Standing
}

// Compare orders queued work as it is served.
func (k QueueKey) Compare(other QueueKey) int {
	return cmp.Or(cmp.Compare(k.Band, other.Band), cmp.Compare(k.Priority, other.Priority), cmp.Compare(k.Standing, other.Standing))
}
