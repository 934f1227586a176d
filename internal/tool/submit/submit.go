// Package submit implements the caller commands of the command-line tool:
// submitting and cancelling jobs, and getting tickets.
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
	// Ticket to submit the job under; empty: get a new one.
	Ticket  string
	Timeout time.Duration // bounds the whole submission, with retries
	Out     io.Writer
}

// printedAnswer is the answer in the form in which it is printed.
type printedAnswer struct {
	Ticket   string            `json:"ticket"`
	Outcome  client.Outcome    `json:"outcome"`
	Outputs  []json.RawMessage `json:"outputs,omitempty"`
	Reason   string            `json:"reason,omitempty"`
	Detail   string            `json:"detail,omitempty"`
	Revision uint64            `json:"revision,omitempty"`
	Requests int               `json:"requests"`
}

var errNoTasks = errors.New("no tasks: expected a JSON array, or a sequence of JSON values")

// ReadTasks reads the tasks of a job: either one JSON array whose elements are
// the tasks, or a sequence of JSON values, each of them a task.
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

// Run submits a job and prints its answer. If the outcome is not complete, it
// returns an error that carries the exit code of the outcome.
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

// explainError adds advice and the exit code to an error of a submission that got
// no answer.
func explainError(err error) error {
	var (
		noTicket   *client.NoTicketError
		unresolved *client.UnresolvedError
		refused    *client.RefusedError
	)
	message := err.Error()
	if errors.As(err, &refused) {
		message = exit.WithAdvice(message, refused.Reason)
	}
	switch {
	case errors.As(err, &noTicket):
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

// Tickets gets count new tickets and prints one per line.
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

// Cancel cancels the job of a ticket.
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
