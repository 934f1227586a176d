package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/tool/demo"
)

func demoCommand() *cobra.Command {
	var opt demo.Options
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a small site in this process, break things, and check the promises",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			opt.Out = c.OutOrStdout()
			return demo.Run(c.Context(), opt)
		},
	}
	c.Flags().StringVar(&opt.Deployment, "deployment", "tsagaan-shavar", "sample deployment: tsagaan-shavar or ventilsvaz")
	c.Flags().DurationVar(&opt.Load, "load", 9*time.Second, "how long jobs are submitted")
	c.Flags().Uint64Var(&opt.Seed, "seed", 1, "seed of the workload")
	c.Flags().StringVar(&opt.Explain, "explain", "", "template whose slowest job is explained at the end (default any)")
	return c
}
