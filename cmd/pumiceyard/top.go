package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/tool/top"
)

const metricsVariable = "PUMICEYARD_METRICS"

func topCommand() *cobra.Command {
	o := top.Options{}
	c := &cobra.Command{
		Use:     "top",
		Short:   "Show shard holders, workers, free capacity, queues and store calls, refreshed regularly",
		GroupID: operators,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o.Out = c.OutOrStdout()
			if len(o.URLs) == 0 {
				o.URLs = urlsFromEnvironment(metricsVariable)
			}
			return top.Run(c.Context(), o)
		},
	}
	c.Flags().StringSliceVar(&o.URLs, "metrics", nil, "metrics URLs of entry VMs that run pumiceyardd kept (or "+metricsVariable+")")
	c.Flags().DurationVar(&o.Interval, "every", time.Second, "refresh interval")
	c.Flags().IntVar(&o.Count, "count", 0, "number of refreshes; 0: until interrupted")
	return c
}
