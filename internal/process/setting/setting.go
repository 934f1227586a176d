// Package setting holds the error that a part reports when one of its settings
// cannot be used.
package setting

// Error names one setting and what is wrong with it.
type Error struct {
	Field   string // JSON name of the setting, with its part in front
	Problem string // what is wrong, and the range that is accepted
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "setting " + e.Field + ": " + e.Problem
}
