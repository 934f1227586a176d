package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/tool/operate"
)

const (
	operatorsVariable = "PUMICEYARD_OPERATORS"
	operatorPort      = "8081"
	watchEvery        = time.Second
)

// operatorFlags are shared by the operators' commands.
type operatorFlags struct {
	operators []string
	port      string
}

func (f *operatorFlags) add(c *cobra.Command) {
	c.GroupID = operators
	c.Flags().StringSliceVar(&f.operators, "operators", nil, "base URLs of operators' listeners (or "+operatorsVariable+"; default http://127.0.0.1:"+operatorPort+")")
	c.Flags().StringVar(&f.port, "operator-port", operatorPort, "port of the operators' listeners of entry VMs that only the platform's list names")
}

func (f *operatorFlags) site() (*operate.Site, error) {
	named := f.operators
	if len(named) == 0 {
		named = fromEnvironment(operatorsVariable)
	}
	if len(named) == 0 {
		named = []string{"http://127.0.0.1:" + operatorPort}
	}
	return operate.NewSite(named, f.port)
}

// siteCommand is a command that talks to operators' listeners.
func siteCommand(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, *operate.Site, []string) error) *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  args,
		RunE: func(c *cobra.Command, args []string) error {
			site, err := flags.site()
			if err != nil {
				return err
			}
			return run(c, site, args)
		},
	}
	flags.add(c)
	return c
}

func operatorCommands() []*cobra.Command {
	return []*cobra.Command{statusCommand(), explainCommand(), reasonsCommand(), keysCommand(), settingsCommand()}
}

func statusCommand() *cobra.Command {
	var watch, asJSON bool
	c := siteCommand("status", "Show all entry VMs: readiness, revision in force, leases, slots, queue", cobra.NoArgs,
		func(c *cobra.Command, s *operate.Site, _ []string) error {
			if watch {
				return s.Watch(c.Context(), watchEvery, c.OutOrStdout())
			}
			return s.Status(c.Context(), asJSON, c.OutOrStdout())
		})
	c.Flags().BoolVarP(&watch, "watch", "w", false, "show it again every second")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.MarkFlagsMutuallyExclusive("watch", "json")
	return c
}

func explainCommand() *cobra.Command {
	var asJSON bool
	c := siteCommand("explain TICKET", "Show what happened to a job, over all entry VMs, and why", cobra.ExactArgs(1),
		func(c *cobra.Command, s *operate.Site, args []string) error {
			return s.Explain(c.Context(), args[0], asJSON, c.OutOrStdout())
		})
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON, all steps")
	return c
}
