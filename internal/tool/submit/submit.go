// Package submit is what the command-line tool does for callers.
package submit

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/tool/exit"
)

// Options of one submission.
type Options struct {
	Client client.Options
	Job    client.Job
	// Ticket under which the job is put; empty: a new one.
	Ticket  string
	Timeout time.Duration // until the answer is given up
	Out     io.Writer
}

// answer is what is printed.
type printedAnswer struct {
	Ticket   string            `json:"ticket"`
	Outcome  client.Outcome    `json:"outcome"`
	Outputs  []json.RawMessage `json:"outputs,omitempty"`
	Reason   string            `json:"reason,omitempty"`
	Detail   string            `json:"detail,omitempty"`
	Revision uint64            `json:"revision,omitempty"`
	Requests int               `json:"requests"`
}

var errNoTasks = errors.New("no tasks: give a JSON array, or JSON values one after the other")

// ReadTasks reads the tasks of a job: one JSON array, or JSON values one after
// the other, each of them a task.
func ReadTasks(r io.Reader) ([]json.RawMessage, error) {
	var values []json.RawMessage
	d := json.NewDecoder(r)
	for {
		var v json.RawMessage
		err := d.Decode(&v)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("tasks: byte %d: %w", d.InputOffset(), err)
		}
		values = append(values, v)
	}
	if len(values) == 1 && bytes.HasPrefix(values[0], []byte("[")) {
		var elements []json.RawMessage
		if err := json.Unmarshal(values[0], &elements); err != nil {
			return nil, err
		}
		values = elements
	}
	if len(values) == 0 {
		return nil, errNoTasks
	}
	return values, nil
}

// Run submits a job, prints its answer, and returns an error with the exit code
// of any other outcome than complete.
func Run(ctx context.Context, opt Options) error {
	c, err := client.New(opt.Client)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, opt.Timeout)
	defer cancel()
	a, err := submitOrResume(ctx, c, &opt)
	if err != nil {
		return explainError(err)
	}
	out := printedAnswer{a.Ticket, a.Outcome, a.Outputs, a.Reason, a.Detail, a.Revision, a.Sent}
	if err := Print(opt.Out, out); err != nil {
		return err
	}
	return outcomeError(a)
}

func submitOrResume(ctx context.Context, c *client.Client, opt *Options) (*client.Answer, error) {
	if opt.Ticket != "" {
		return c.Resume(ctx, opt.Ticket, opt.Job)
	}
	return c.Submit(ctx, opt.Job)
}

// explainError gives an error without an answer its exit code.
func explainError(err error) error {
	var (
		none       *client.NoTicketError
		unresolved *client.UnresolvedError
		refused    *client.RefusedError
	)
	message := err.Error()
	if errors.As(err, &refused) {
		message = exit.WithAdvice(message, refused.Reason)
	}
	switch {
	case errors.As(err, &none):
		return &exit.Error{Code: exit.NotRun, Err: errors.New(message)}
	case errors.As(err, &unresolved):
		return &exit.Error{Code: exit.Unknown, Err: fmt.Errorf("%s\n  what to do: submit the same tasks again with --ticket %s", message, unresolved.Ticket)}
	}
	return errors.New(message)
}

var exitCodes = map[client.Outcome]int{
	client.NotRun:  exit.NotRun,
	client.Failed:  exit.Failed,
	client.Unknown: exit.Unknown,
}

func outcomeError(a *client.Answer) error {
	if a.Outcome == client.Complete {
		return nil
	}
	code, ok := exitCodes[a.Outcome]
	if !ok {
		code = exit.Other
	}
	message := exit.WithAdvice(fmt.Sprintf("%s, %s: %s", a.Outcome, a.Reason, a.Detail), a.Reason)
	return &exit.Error{Code: code, Err: fmt.Errorf("%s\n  why: pumiceyard explain %s", message, a.Ticket)}
}

// Print writes a value as indented JSON.
func Print(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// Tickets prints new tickets, one a line.
func Tickets(ctx context.Context, opt client.Options, count int, w io.Writer) error {
	c, err := client.New(opt)
	if err != nil {
		return err
	}
	tickets, err := c.Tickets(ctx, count)
	if err != nil {
		return explainError(err)
	}
	for _, t := range tickets {
		fmt.Fprintln(w, t.Token)
	}
	return nil
}

// Cancel gives a job up.
func Cancel(ctx context.Context, opt client.Options, ticket string) error {
	c, err := client.New(opt)
	if err != nil {
		return err
	}
	if err := c.Cancel(ctx, ticket); err != nil {
		return explainError(err)
	}
	return nil
}
