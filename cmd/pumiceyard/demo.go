package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/tool/demo"
	"github.com/pumiceyard/pumiceyard/internal/tool/keptsite"
	"github.com/pumiceyard/pumiceyard/internal/tool/standin"
)

func tryoutCommands() []*cobra.Command {
	return []*cobra.Command{demoCommand(), loadCommand(), standinCommand(), soakCommand()}
}

func demoCommand() *cobra.Command {
	var opt demo.Options
	c := &cobra.Command{
		Use:     "demo",
		Short:   "Run a small site in this process, inject faults, and check the guarantees",
		GroupID: tryout,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			opt.Out = c.OutOrStdout()
			if err := demo.Run(c.Context(), opt); err != nil {
				return err
			}
			return keptsite.Demo(c.Context(), c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&opt.Deployment, "deployment", "tsagaan-shavar", "sample deployment: tsagaan-shavar or ventilsvaz")
	c.Flags().DurationVar(&opt.Load, "load", 9*time.Second, "how long jobs are submitted")
	c.Flags().StringVar((*string)(&opt.Scenario), "scenario", string(demo.Crash), "fault to inject: crash, rolling-restart, partition, store-outage")
	c.Flags().Uint64Var(&opt.Seed, "seed", 1, "seed of the workload")
	c.Flags().Uint64Var(&opt.CapWatts, "cap-watts", 0, "lower the site's power cap to this many watts half way through (default unchanged)")
	c.Flags().Float64Var(&opt.Draw, "draw", 1, "power that tasks draw, as a multiple of what their template declares")
	c.Flags().Float64Var(&opt.Rate, "rate", 1, "jobs submitted, as a multiple of the deployment's usual rate")
	c.Flags().StringVar(&opt.Explain, "explain", "", "template whose slowest job is explained at the end (default the slowest of any)")
	return c
}

func standinCommand() *cobra.Command {
	var (
		opt  standin.Options
		kept bool
	)
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run simulated platform and workers, for trying daemons by hand",
		Long: `Run a simulated platform service and workers, for trying daemons by hand, until
interrupted. Nothing is written to disk. List each daemon that you start with its peer
listener's address, as in --entry e1,ub-bayangol,127.0.0.1:8082.`,
		GroupID: tryout,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			opt.Out = c.OutOrStdout()
			if kept {
				return keptsite.Serve(c.Context(), opt.Listen, []string{"hall-a", "hall-b"}, max(opt.Workers/2, 1), c.OutOrStdout())
			}
			return standin.Run(c.Context(), opt)
		},
	}
	c.Flags().StringVar(&opt.Deployment, "deployment", "tsagaan-shavar", "sample deployment: tsagaan-shavar or ventilsvaz")
	c.Flags().BoolVar(&kept, "kept", false, "run the store and workers of kept submissions, in the domains hall-a and hall-b")
	c.Flags().IntVar(&opt.Workers, "workers", 16, "number of workers in all failure domains together")
	c.Flags().StringVar(&opt.Listen, "listen", "127.0.0.1:7000", "address of the platform's service")
	c.Flags().StringArrayVar(&opt.Entries, "entry", nil, "entry VM to list: name,domain,host:port (repeatable)")
	return c
}
