package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/tool/demo"
	"github.com/pumiceyard/pumiceyard/internal/tool/keptsite"
	"github.com/pumiceyard/pumiceyard/internal/tool/standin"
)

func tryingCommands() []*cobra.Command {
	return []*cobra.Command{demoCommand(), loadCommand(), standinCommand(), soakCommand()}
}

func demoCommand() *cobra.Command {
	var opt demo.Options
	c := &cobra.Command{
		Use:     "demo",
		Short:   "Run a small site in this process, break things, and check the promises",
		GroupID: trying,
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
	c.Flags().StringVar((*string)(&opt.Scenario), "scenario", string(demo.Crash), "what breaks: crash, rolling-restart, partition, store-outage")
	c.Flags().Uint64Var(&opt.Seed, "seed", 1, "seed of the workload")
	c.Flags().Uint64Var(&opt.CapWatts, "cap-watts", 0, "lower the site's cap to this half way, in watts (default it stays)")
	c.Flags().Float64Var(&opt.Draw, "draw", 1, "what tasks draw, over what their template declares")
	c.Flags().Float64Var(&opt.Rate, "rate", 1, "jobs submitted, over the deployment's usual rate")
	c.Flags().StringVar(&opt.Explain, "explain", "", "template whose slowest job is explained at the end (default any)")
	return c
}

func standinCommand() *cobra.Command {
	var (
		opt  standin.Options
		kept bool
	)
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run the platform's and the workers' stand-ins, for trying daemons by hand",
		Long: `Run the platform's and the workers' stand-ins, for trying daemons by hand, until
it is interrupted. Nothing is written to disk. Each daemon that you start has to
be listed: --entry e1,ub-bayangol,127.0.0.1:8082 with its peer listener's address.`,
		GroupID: trying,
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
	c.Flags().BoolVar(&kept, "kept", false, "the store and workers of kept submissions, in the domains hall-a and hall-b")
	c.Flags().IntVar(&opt.Workers, "workers", 16, "how many workers, over all failure domains")
	c.Flags().StringVar(&opt.Listen, "listen", "127.0.0.1:7000", "address of the platform's service")
	c.Flags().StringArrayVar(&opt.Entries, "entry", nil, "list an entry VM: name,domain,host:port (repeatable)")
	return c
}
