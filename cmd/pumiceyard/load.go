package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/tool/load"
	"github.com/pumiceyard/pumiceyard/internal/tool/workload"
)

func loadCommand() *cobra.Command {
	var opt load.Options
	var profile, site string
	var seed uint64
	var duration time.Duration
	c := &cobra.Command{
		Use:     "load",
		GroupID: tryout,
		Short:   "Put an open-loop load on a site and report how it answered",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if site != "" && site != "demo" {
				return &workload.FieldError{Path: "--site", Value: site, Allowed: "demo, or give --endpoints"}
			}
			p, err := workload.Load(profile)
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				p.Seed = seed
			}
			if c.Flags().Changed("duration") {
				if err := p.SetDuration(duration); err != nil {
					return err
				}
			}
			opt.Profile = p
			opt.Out = c.OutOrStdout()
			return load.Run(c.Context(), opt)
		},
	}
	f := c.Flags()
	f.StringVar(&profile, "profile", "tsagaan-shavar", "tsagaan-shavar, ventilsvaz, burst, or a JSON file")
	f.StringVar(&site, "site", "", "demo: start a site of the size that the profile needs in this process")
	f.StringSliceVar(&opt.Endpoints, "endpoints", nil, "base URLs of the entry VMs of a site that runs elsewhere")
	f.Uint64Var(&seed, "seed", 0, "seed, instead of the profile's")
	f.DurationVar(&duration, "duration", 0, "how long jobs arrive, instead of the profile's duration")
	f.StringVar(&opt.JSON, "json", "", "write the report as JSON to this file")
	f.StringVar(&opt.HTML, "html", "", "write the report as one HTML page with plots to this file")
	f.StringVar(&opt.Compare, "compare", "", "JSON report of an earlier run; ratios to its figures are printed")
	c.MarkFlagsMutuallyExclusive("site", "endpoints")
	c.MarkFlagsOneRequired("site", "endpoints")
	return c
}
