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
		Short: "Run entry VMs as processes, inject faults from outside, and check the guarantees",
		Long: `Run entry VMs as separate processes on loopback; delay, cut and silence their
connections; pause, kill and restart the processes; and check from what callers and
workers observe that no guarantee is violated. The seed determines the faults, but not
the timing of the machine. For half of the seeds, each VM is also suspended for
moments in quick succession and runs on 1, 2 or 4 processors, and there is more
short work. For half of the seeds, callers of transient work of some seconds leave
early or lose their connections, and send it again to another failure domain.`,
		GroupID: tryout,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			opt.Out = c.OutOrStdout()
			if opt.LogDir == "" {
				dir, err := os.MkdirTemp("", "pumiceyard-soak")
				if err != nil {
					return err
				}
				opt.LogDir = dir
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
	c.Flags().Uint64Var(&opt.Seed, "seed", 1, "first seed")
	c.Flags().IntVar(&seeds, "seeds", 1, "number of seeds, run one after the other")
	c.Flags().DurationVar(&opt.Duration, "duration", 10*time.Second, "how long faults are injected, for each seed")
	c.Flags().IntVar(&opt.VMs, "vms", 4, "number of entry VMs, in two failure domains")
	c.Flags().BoolVar(&opt.Stalls, "stalls", true, "suspend the VMs in quick succession, for the seeds that say so; the other faults stay the same")
	c.Flags().BoolVar(&opt.Retries, "retries", true, "let callers leave early and send work again, for the seeds that say so, and fail the connections of VMs beside them; the other faults stay the same")
	c.Flags().StringVar(&opt.LogDir, "logs", "", "directory for the logs of the VMs and of the faults, created if missing (default a new temporary one)")
	_ = c.MarkFlagRequired("daemon")
	return c
}
