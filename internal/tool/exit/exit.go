// Package exit holds the exit codes of the command-line tool.
package exit

import (
	"errors"
	"fmt"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/tool/advice"
)

// The exit codes. Scripts rely on them.
const (
	Complete = 0 // the job is complete, or the request was carried out
	Other    = 1 // wrong usage, or any other error
	NotRun   = 2 // nothing of the job has run or will run
	Failed   = 3 // the job ended, and something of it may have run
	Unknown  = 4 // it can not be said whether something of the job ran
)

// Error is an error with an exit code of its own.
type Error struct {
	Code int
	Err  error
}

func (e *Error) Error() string { return e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// Code is the exit code of an error.
func Code(err error) int {
	var coded *Error
	switch {
	case err == nil:
		return Complete
	case errors.As(err, &coded):
		return coded.Code
	}
	return Other
}

// WithAdvice adds to a message what to do about a reason code.
func WithAdvice(message, code string) string {
	if e, ok := advice.For(reason.Code(code)); ok && e.Action != "nothing" {
		return fmt.Sprintf("%s\n  what to do: %s", message, e.Action)
	}
	return message
}
