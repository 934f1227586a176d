package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/client"
	"github.com/pumiceyard/pumiceyard/internal/tool/submit"
)

const (
	keyVariable       = "PUMICEYARD_KEY"
	endpointsVariable = "PUMICEYARD_ENDPOINTS"
	defaultTimeout    = 2 * time.Minute
)

var errNoKey = errors.New("no account key: give --key or set " + keyVariable)

// callerFlags are the flags that all caller commands share.
type callerFlags struct {
	endpoints []string
	key       string
}

func (f *callerFlags) add(c *cobra.Command) {
	c.GroupID = callers
	c.Flags().StringSliceVar(&f.endpoints, "endpoints", nil, "base URLs of the entry VMs' caller listeners, or of the load balancer (or "+endpointsVariable+"; default http://127.0.0.1:8080)")
	c.Flags().StringVar(&f.key, "key", "", "the client account's key (or "+keyVariable+", which other users of the machine cannot read)")
}

func (f *callerFlags) options() (client.Options, error) {
	opt := client.Options{Endpoints: f.endpoints, Key: cmp.Or(f.key, os.Getenv(keyVariable)), Prefetch: 1}
	if len(opt.Endpoints) == 0 {
		opt.Endpoints = urlsFromEnvironment(endpointsVariable)
	}
	if len(opt.Endpoints) == 0 {
		opt.Endpoints = []string{"http://127.0.0.1:8080"}
	}
	if opt.Key == "" {
		return opt, errNoKey
	}
	return opt, nil
}

func callerCommands() []*cobra.Command {
	return []*cobra.Command{submitCommand(), ticketsCommand(), cancelCommand(), keptCommand()}
}

func submitCommand() *cobra.Command {
	var (
		flags   callerFlags
		opt     submit.Options
		tasks   string
		retries int
	)
	c := &cobra.Command{
		Use:   "submit TEMPLATE",
		Short: "Run a job and print its answer",
		Long: `Run a job and print its answer as JSON.

Tasks are JSON: one array, or a sequence of values. To submit a job again that may
already have been submitted, give its --ticket: the job runs at most once.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var err error
			if opt.Client, err = flags.options(); err != nil {
				return err
			}
			if opt.Job.Tasks, err = readTasks(c, tasks); err != nil {
				return err
			}
			opt.Client.NotRunRetries = retries
			opt.Job.Template = args[0]
			opt.Out = c.OutOrStdout()
			return submit.Run(c.Context(), opt)
		},
	}
	flags.add(c)
	c.Flags().StringVarP(&tasks, "tasks", "f", "-", "file with the tasks; - is standard input")
	c.Flags().StringVar(&opt.Ticket, "ticket", "", "submit the job under this ticket, which may have been used before")
	c.Flags().DurationVar(&opt.Job.Deadline, "deadline", 0, "time limit of the job (default the template's)")
	c.Flags().DurationVar(&opt.Timeout, "timeout", defaultTimeout, "how long to wait for the answer")
	c.Flags().IntVar(&retries, "retries", 0, "how many times a job that was not run is resubmitted")
	return c
}

func readTasks(c *cobra.Command, path string) ([]json.RawMessage, error) {
	if path == "-" {
		return submit.ReadTasks(c.InOrStdin())
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return submit.ReadTasks(file)
}

func ticketsCommand() *cobra.Command {
	var (
		flags callerFlags
		count int
	)
	c := &cobra.Command{
		Use:   "tickets",
		Short: "Print new tickets, one per line",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			opt, err := flags.options()
			if err != nil {
				return err
			}
			return submit.Tickets(c.Context(), opt, count, c.OutOrStdout())
		},
	}
	flags.add(c)
	c.Flags().IntVarP(&count, "count", "n", 1, "number of tickets")
	return c
}

func cancelCommand() *cobra.Command {
	var flags callerFlags
	c := &cobra.Command{
		Use:   "cancel TICKET",
		Short: "Cancel a job; its submitter gets the final answer",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			opt, err := flags.options()
			if err != nil {
				return err
			}
			return submit.Cancel(c.Context(), opt, args[0])
		},
	}
	flags.add(c)
	return c
}
