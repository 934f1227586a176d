package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/tool/logstory"
	"github.com/pumiceyard/pumiceyard/internal/tool/losses"
)

// keptCommand groups the commands for submissions under the caller's own key.
func keptCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "kept",
		Short:   "Submit work under a key of your own, which is kept until it has ended",
		GroupID: callers,
	}
	c.AddCommand(keptSubmit(), keptState(), keptCancel(), keptWaiting(), keptExplain(), keptLosses(),
		keptEvacuate(), keptReturn(), keptEvacuated())
	return c
}

// keptFlags are shared by the commands.
type keptFlags struct {
	endpoints []string
	timeout   time.Duration
}

func (f *keptFlags) add(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.endpoints, "endpoints", nil, "callers' base URLs of entry VMs (or "+endpointsVariable+"; default http://127.0.0.1:8080)")
	c.Flags().DurationVar(&f.timeout, "timeout", 30*time.Second, "give up after it")
}

// run calls do with a client, within the timeout.
func (f *keptFlags) run(c *cobra.Command, do func(context.Context, *client.KeptClient) error) error {
	endpoints := f.endpoints
	if len(endpoints) == 0 {
		endpoints = fromEnvironment(endpointsVariable)
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
		Short: "Submit equal tasks; the same key again is the same submission",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			work.Queue, work.Key = args[0], args[1]
			work.Steps = []client.WorkStep{step}
			return flags.run(c, func(ctx context.Context, k *client.KeptClient) error {
				state, err := k.Submit(ctx, work)
				if err == nil && wait && !state.Final() {
					state, err = k.Wait(ctx, work.Key)
				}
				return say(c, state, err)
			})
		},
	}
	flags.add(c)
	c.Flags().Uint32Var(&step.Count, "tasks", 1, "tasks")
	c.Flags().Uint32Var(&step.CPUMilli, "cpu-milli", 1000, "processor of a task, thousandths of a core")
	c.Flags().Uint32Var(&step.MemoryMB, "memory-mb", 64, "memory of a task")
	c.Flags().DurationVar(&step.Estimate, "estimate", 100*time.Millisecond, "time of a task")
	c.Flags().StringVar(&work.Spec, "spec", "", "handed to the workers; the stand-in takes {\"run_millis\":100,\"cpu_milli\":1000}")
	c.Flags().BoolVar(&work.Transient, "transient", false, "it need not be kept; the answer is its end")
	c.Flags().BoolVar(&wait, "wait", false, "wait for its end")
	return c
}

func say(c *cobra.Command, state client.State, err error) error {
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.OutOrStdout(), state)
	return err
}

func keptState() *cobra.Command {
	return keptKeyed("state KEY", "Say how far a submission is", (*client.KeptClient).State)
}

func keptCancel() *cobra.Command {
	return keptKeyed("cancel KEY", "End a submission and say its final state", (*client.KeptClient).Cancel)
}

func keptKeyed(use, short string, do func(*client.KeptClient, context.Context, string) (client.State, error)) *cobra.Command {
	var flags keptFlags
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return flags.run(c, func(ctx context.Context, k *client.KeptClient) error {
				state, err := do(k, ctx, args[0])
				return say(c, state, err)
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
		Short: "Count the submissions of a queue that have not begun",
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
		Short: "Tell what became of a submission, from the logs of entry VMs",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			files, err := openAll(args[1:])
			defer closeAll(files)
			if err != nil {
				return err
			}
			logs := make([]logstory.Log, len(files))
			for i, f := range files {
				logs[i] = logstory.Log{Name: f.Name(), In: f}
			}
			_, err = logstory.Tell(args[0], logs, c.OutOrStdout())
			return err
		},
	}
}

func keptLosses() *cobra.Command {
	c := &cobra.Command{
		Use:   "losses LOG...",
		Short: "Count the submissions that were not served in time by cause, from the logs of entry VMs",
		Args:  cobra.MinimumNArgs(1),
	}
	every := c.Flags().Duration("every", 0, "one table for each such span of time; 0: one for all")
	c.RunE = func(c *cobra.Command, args []string) error {
		files, err := openAll(args)
		defer closeAll(files)
		if err != nil {
			return err
		}
		logs := make([]io.Reader, len(files))
		for i, f := range files {
			logs[i] = f
		}
		account, err := losses.Read(logs, *every)
		if err != nil {
			return err
		}
		return account.Write(c.OutOrStdout(), *every > 0)
	}
	return c
}

// openAll opens files for reading. Those that were opened before an error are returned.
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
		_ = f.Close() // it was only read
	}
}
