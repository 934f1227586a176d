package admission

import (
	"fmt"
	"time"
)

// Settings are the tunable parameters of a Controller.
type Settings struct {
	// MaxQueuedTasks bounds the queued tasks of all accounts together, and
	// MaxAccountTasks those of one account.
	MaxQueuedTasks  int `json:"maxQueuedTasks"`
	MaxAccountTasks int `json:"maxAccountTasks"`
	// BrownOut holds, for each class, the longest wait at which it is still
	// admitted. The wait is the time that the queued work takes at the current
	// drain rate. More urgent classes have longer limits, so they are refused last.
	BrownOut [classCount]time.Duration `json:"brownOut"`
	// DeadlineMargin is added to the expected end before it is compared with the
	// deadline.
	DeadlineMargin time.Duration `json:"deadlineMargin"`
	// RetryRatio is how many retries each first attempt adds to the account's
	// retry budget; RetryBurst is the maximum of the budget.
	RetryRatio float64 `json:"retryRatio"`
	RetryBurst float64 `json:"retryBurst"`
	// MinRetryAfter and MaxRetryAfter bound RetryAfter of a refusal before
	// jitter, which at most doubles it.
	MinRetryAfter time.Duration `json:"minRetryAfter"`
	MaxRetryAfter time.Duration `json:"maxRetryAfter"`
}

// Defaults returns settings for an entry VM with about 50 slots.
func Defaults() Settings {
	return Settings{
		MaxQueuedTasks:  100_000,
		MaxAccountTasks: 25_000,
		BrownOut:        [classCount]time.Duration{30 * time.Second, 20 * time.Second, 10 * time.Second},
		DeadlineMargin:  5 * time.Millisecond,
		RetryRatio:      0.1,
		RetryBurst:      20,
		MinRetryAfter:   100 * time.Millisecond,
		MaxRetryAfter:   10 * time.Second,
	}
}

// SettingError reports an invalid setting.
type SettingError struct {
	Setting string
	Problem string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("admission: setting %s %s", e.Setting, e.Problem)
}

// Validate reports the first invalid setting, as a *SettingError.
func (s Settings) Validate() error {
	switch {
	case s.MaxAccountTasks < 1:
		return &SettingError{"maxAccountTasks", "must be at least 1"}
	case s.MaxQueuedTasks < s.MaxAccountTasks:
		return &SettingError{"maxQueuedTasks", "must be at least maxAccountTasks"}
	case s.BrownOut[Bulk] <= 0:
		return &SettingError{"brownOut", "must be positive durations"}
	case s.BrownOut[Urgent] < s.BrownOut[Normal], s.BrownOut[Normal] < s.BrownOut[Bulk]:
		return &SettingError{"brownOut", "must not be longer for a less pressing class"}
	case s.DeadlineMargin < 0:
		return &SettingError{"deadlineMargin", "must not be negative"}
	case s.RetryRatio < 0 || s.RetryRatio > 1:
		return &SettingError{"retryRatio", "must be from 0 to 1"}
	case s.RetryBurst < 1:
		return &SettingError{"retryBurst", "must be at least 1"}
	case s.MinRetryAfter <= 0 || s.MaxRetryAfter < s.MinRetryAfter:
		return &SettingError{"minRetryAfter", "must be positive and at most maxRetryAfter"}
	}
	return nil
}
