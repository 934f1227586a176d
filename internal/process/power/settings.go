package power

import "time"

// Settings are the policy of a [Ledger]. Every field must be set; start from
// [DefaultSettings].
type Settings struct {
	// ThrottleAfter, CheckpointAfter and StopAfter count from the moment a
	// worker's draw does not fit its allotment any more.
	ThrottleAfter   time.Duration
	CheckpointAfter time.Duration
	StopAfter       time.Duration
	// RestoreAfter is how long a worker's load must fit at full speed before
	// a throttle is lifted.
	RestoreAfter time.Duration
	// MinPermille is the lowest speed a worker is throttled to.
	MinPermille int64
	// ReportLag bounds the age of the usage that reports carry.
	ReportLag time.Duration
	// RetryEvery is the time between sends of an unacknowledged transfer.
	RetryEvery time.Duration
	// RequestEvery is the least time between requests to peers.
	RequestEvery time.Duration
	// HoldDown is how long a VM that has asked for watts gives none away.
	HoldDown time.Duration
	// SummaryTTL is how long a peer's summary counts.
	SummaryTTL time.Duration
	// KeepPermille is the part of a worker's allotment above idle that is
	// left there when unused watts move elsewhere.
	KeepPermille int64
	// MinTransfer is the smallest amount that moves.
	MinTransfer Milliwatts
	// StrandedPermille of the part must be recoverable for StrandedAfter
	// before a new plan is asked for.
	StrandedPermille int64
	StrandedAfter    time.Duration
}

// DefaultSettings fit tasks of 50 ms to a few seconds and a report lag of 2 s.
func DefaultSettings() Settings {
	return Settings{
		ThrottleAfter:    100 * time.Millisecond,
		CheckpointAfter:  500 * time.Millisecond,
		StopAfter:        1500 * time.Millisecond,
		RestoreAfter:     2 * time.Second,
		MinPermille:      300,
		ReportLag:        2 * time.Second,
		RetryEvery:       20 * time.Millisecond,
		RequestEvery:     50 * time.Millisecond,
		HoldDown:         500 * time.Millisecond,
		SummaryTTL:       3 * time.Second,
		KeepPermille:     100,
		MinTransfer:      5_000,
		StrandedPermille: 20,
		StrandedAfter:    10 * time.Second,
	}
}
