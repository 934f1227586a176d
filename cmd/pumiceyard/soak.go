package main

import (
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/tool/soak"
)

func soakCommand() *cobra.Command {
	var (
		opt   soak.Options
		seeds int
	)
	c := &cobra.Command{
		Use:   "soak --daemon PATH",
		Short: "Run entry VMs as processes, break things from outside, and check the promises",
		Long: `Run entry VMs as separate processes on loopback, delay, cut and silence their
connections, pause, kill and restart them, and check by what callers and workers see
that no promise is broken. The seed decides the faults; the machine's timing is its own.`,
		GroupID: trying,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			opt.Out = c.OutOrStdout()
			if opt.Logs == "" {
				dir, err := os.MkdirTemp("", "pumiceyard-soak")
				if err != nil {
					return err
				}
				opt.Logs = dir
			}
			var broken error
			for range seeds {
				broken = errors.Join(broken, soak.Run(c.Context(), opt))
				opt.Seed++
			}
			return broken
		},
	}
	c.Flags().StringVar(&opt.Daemon, "daemon", "", "path of pumiceyardd (required)")
	c.Flags().Uint64Var(&opt.Seed, "seed", 1, "the first seed")
	c.Flags().IntVar(&seeds, "seeds", 1, "how many seeds, one after the other")
	c.Flags().DurationVar(&opt.Duration, "duration", 10*time.Second, "how long faults are made, for each seed")
	c.Flags().IntVar(&opt.VMs, "vms", 4, "entry VMs, in two failure domains")
	c.Flags().StringVar(&opt.Logs, "logs", "", "directory for the VMs' logs (default a new one)")
	_ = c.MarkFlagRequired("daemon")
	return c
}
