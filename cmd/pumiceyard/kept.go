package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/tool/bound"
	"github.com/pumiceyard/pumiceyard/internal/tool/logstory"
	"github.com/pumiceyard/pumiceyard/internal/tool/losses"
)

// keptCommand groups the commands for submissions under keys that the caller chooses.
func keptCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "kept",
		Short:   "Submit work under a key of your own, and follow it; the site stores it until it has ended",
		GroupID: callers,
	}
	c.AddCommand(keptSubmit(), keptState(), keptCancel(), keptWaiting(), keptExplain(), keptLosses(), keptBound(),
		keptEvacuate(), keptReturn(), keptEvacuated())
	return c
}

// keptFlags are the flags of the commands that call entry VMs.
type keptFlags struct {
	endpoints []string
	timeout   time.Duration
}

func (f *keptFlags) add(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.endpoints, "endpoints", nil, "base URLs of the entry VMs' caller listeners (or "+endpointsVariable+"; default http://127.0.0.1:8080)")
	c.Flags().DurationVar(&f.timeout, "timeout", 30*time.Second, "give up after this time")
}

// run calls do with a client and a context that ends after the timeout.
func (f *keptFlags) run(c *cobra.Command, do func(context.Context, *client.KeptClient) error) error {
	endpoints := f.endpoints
	if len(endpoints) == 0 {
		endpoints = urlsFromEnvironment(endpointsVariable)
	}
	if len(endpoints) == 0 {
		endpoints = []string{"http://127.0.0.1:8080"}
	}
	k, err := client.NewKeptClient(endpoints...)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), f.timeout)
	defer cancel()
	return do(ctx, k)
}

func keptSubmit() *cobra.Command {
	var (
		flags keptFlags
		work  client.Work
		step  client.WorkStep
		wait  bool
	)
	c := &cobra.Command{
		Use:   "submit QUEUE KEY",
		Short: "Submit a number of equal tasks; repeating a key repeats no work",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			work.Queue, work.Key = args[0], args[1]
			work.Steps = []client.WorkStep{step}
			return flags.run(c, func(ctx context.Context, k *client.KeptClient) error {
				state, err := k.Submit(ctx, work)
				if err == nil && wait && !state.Final() {
					state, err = k.Wait(ctx, work.Key)
				}
				return printState(c, state, err)
			})
		},
	}
	flags.add(c)
	c.Flags().Uint32Var(&step.Count, "tasks", 1, "tasks")
	c.Flags().Uint32Var(&step.CPUMilli, "cpu-milli", 1000, "CPU that each task needs, in thousandths of a core")
	c.Flags().Uint32Var(&step.MemoryMB, "memory-mb", 64, "memory that each task needs, in MB")
	c.Flags().DurationVar(&step.Estimate, "estimate", 100*time.Millisecond, "estimated run time of each task")
	c.Flags().StringVar(&work.Spec, "spec", "", "specification handed to the workers; the stand-in workers take {\"run_millis\":100,\"cpu_milli\":1000}")
	c.Flags().BoolVar(&work.Transient, "transient", false, "do not store the submission; the answer is its final state")
	c.Flags().BoolVar(&wait, "wait", false, "wait until the submission has ended")
	return c
}

func printState(c *cobra.Command, state client.State, err error) error {
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.OutOrStdout(), state)
	return err
}

func keptState() *cobra.Command {
	return keptByKey("state KEY", "Print the state of a submission", (*client.KeptClient).State)
}

func keptCancel() *cobra.Command {
	return keptByKey("cancel KEY", "Cancel a submission and print its final state", (*client.KeptClient).Cancel)
}

func keptByKey(use, short string, do func(*client.KeptClient, context.Context, string) (client.State, error)) *cobra.Command {
	var flags keptFlags
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return flags.run(c, func(ctx context.Context, k *client.KeptClient) error {
				state, err := do(k, ctx, args[0])
				return printState(c, state, err)
			})
		},
	}
	flags.add(c)
	return c
}

func keptWaiting() *cobra.Command {
	var flags keptFlags
	c := &cobra.Command{
		Use:   "waiting QUEUE",
		Short: "Count the submissions of a queue that have not started",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return flags.run(c, func(ctx context.Context, k *client.KeptClient) error {
				n, err := k.Waiting(ctx, args[0])
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(c.OutOrStdout(), n)
				return err
			})
		},
	}
	flags.add(c)
	return c
}

func keptExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain KEY LOG...",
		Short: "Reconstruct what happened to a submission from the logs of entry VMs",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			files, err := openAll(args[1:])
			defer closeAll(files)
			if err != nil {
				return err
			}
			logs := make([]logstory.Log, len(files))
			for i, f := range files {
				logs[i] = logstory.Log{Name: f.Name(), Reader: f}
			}
			_, err = logstory.WriteTimeline(args[0], logs, c.OutOrStdout())
			return err
		},
	}
}

func keptLosses() *cobra.Command {
	c := &cobra.Command{
		Use:   "losses LOG...",
		Short: "Count submissions that were not served in time, by cause, and the forecasts on arrival beside the outcomes, from the logs of entry VMs",
		Args:  cobra.MinimumNArgs(1),
	}
	every := c.Flags().Duration("every", 0, "print one table per interval of this length; 0: one table for all")
	c.RunE = func(c *cobra.Command, args []string) error {
		account, err := readLogs(args, func(logs []io.Reader) (*losses.Report, error) { return losses.Read(logs, *every) })
		if err != nil {
			return err
		}
		if err := account.Write(c.OutOrStdout(), *every > 0); err != nil {
			return err
		}
		return account.WriteForecasts(c.OutOrStdout())
	}
	return c
}

func keptBound() *cobra.Command {
	c := &cobra.Command{
		Use:   "bound LOG...",
		Short: "Set what was served in time beside a schedule and an upper bound, all work known beforehand, from the logs (level 1) of entry VMs",
		Args:  cobra.MinimumNArgs(1),
	}
	byRunTime := c.Flags().Bool("by-run-time", false, "take objectives by the run times that tasks had, in place of the callers' estimates")
	c.RunE = func(c *cobra.Command, args []string) error {
		day, err := readLogs(args, func(logs []io.Reader) (*bound.Day, error) { return bound.Read(logs, *byRunTime) })
		if err != nil {
			return err
		}
		return bound.Judge(day).Write(c.OutOrStdout())
	}
	return c
}

// readLogs opens log files, and returns what read makes of them.
func readLogs[T any](paths []string, read func(logs []io.Reader) (T, error)) (out T, err error) {
	files, err := openAll(paths)
	defer closeAll(files)
	if err != nil {
		return out, err
	}
	logs := make([]io.Reader, len(files))
	for i, f := range files {
		logs[i] = f
	}
	return read(logs)
}

// openAll opens files for reading. On an error it returns those already opened, for the
// caller to close.
func openAll(paths []string) ([]*os.File, error) {
	var out []*os.File
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return out, err
		}
		out = append(out, f)
	}
	return out, nil
}

func closeAll(files []*os.File) {
	for _, f := range files {
		_ = f.Close() // opened for reading only
	}
}
