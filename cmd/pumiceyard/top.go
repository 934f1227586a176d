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
		Short:   "Show holders, workers, room, queues and calls of the store as they change",
		GroupID: operators,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o.Out = c.OutOrStdout()
			if len(o.URLs) == 0 {
				o.URLs = fromEnvironment(metricsVariable)
			}
			return top.Run(c.Context(), o)
		},
	}
	c.Flags().StringSliceVar(&o.URLs, "metrics", nil, "metrics URLs of entry VMs that keep submissions (or "+metricsVariable+")")
	c.Flags().DurationVar(&o.Every, "every", time.Second, "between two pictures")
	c.Flags().IntVar(&o.Count, "count", 0, "pictures to show; 0: until interrupted")
	return c
}
