// Package exit defines the exit codes of the command-line tool and the errors that
// carry them.
package exit

import (
	"errors"
	"fmt"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/tool/advice"
)

// Exit codes. They must not change, since scripts rely on them.
const (
	Complete = 0 // the job completed, or the command succeeded
	Other    = 1 // usage error, or any error without a code of its own
	NotRun   = 2 // no task of the job has run or will run
	Failed   = 3 // the job ended without completing, and some of its tasks may have run
	Unknown  = 4 // it is unknown whether any task of the job ran
)

// Error is an error that sets the exit code.
type Error struct {
	Code int
	Err  error
}

func (e *Error) Error() string { return e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// Code returns the exit code for err; nil is Complete.
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

// WithAdvice appends to a message the advice for a reason code, if there is any.
func WithAdvice(message, code string) string {
	if e, ok := advice.For(reason.Code(code)); ok && e.Action != "nothing" {
		return fmt.Sprintf("%s\n  what to do: %s", message, e.Action)
	}
	return message
}
