package main

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/tool/operate"
)

const defaultWait = 10 * time.Second

func configurationCommands() []*cobra.Command {
	return []*cobra.Command{publishCommand(), rollbackCommand(), getCommand(), diffCommand(), historyCommand()}
}

// changeFlags are shared by the commands that publish.
type changeFlags struct {
	operate.Change
	wait    bool
	timeout time.Duration
}

func (f *changeFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.Author, "author", "", "who publishes (required)")
	c.Flags().StringVar(&f.ID, "change-id", "", "names the change; asking twice under one id publishes once (default made of base and content)")
	c.Flags().Uint64Var(&f.Base, "base", 0, "revision that the change starts from (default the one in force)")
	c.Flags().BoolVar(&f.wait, "wait", false, "wait until every entry VM has it in force, and name those that have not")
	c.Flags().DurationVar(&f.timeout, "timeout", defaultWait, "how long --wait waits")
	_ = c.MarkFlagRequired("author")
}

// change completes what the flags leave out.
func (f *changeFlags) change(c *cobra.Command, s *operate.Site) (operate.Change, error) {
	change := f.Change
	if f.wait {
		change.Wait = f.timeout
	}
	if c.Flags().Changed("base") {
		return change, nil
	}
	revision, err := s.Revision(c.Context())
	change.Base = revision
	return change, err
}

func publishCommand() *cobra.Command {
	var flags changeFlags
	c := siteCommand("publish FILE", "Put a configuration document in force", cobra.ExactArgs(1),
		func(c *cobra.Command, s *operate.Site, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			change, err := flags.change(c, s)
			if err != nil {
				return err
			}
			return s.Publish(c.Context(), text, change, c.OutOrStdout())
		})
	c.Long = `Put a configuration document in force, whole or not at all.

Give --base, the revision that you edited, when others publish too: a change that
came in between is then named and not overwritten.`
	flags.add(c)
	return c
}

func rollbackCommand() *cobra.Command {
	var flags changeFlags
	c := siteCommand("rollback REVISION", "Put a kept revision in force again, as a new one", cobra.ExactArgs(1),
		func(c *cobra.Command, s *operate.Site, args []string) error {
			revision, err := revisionOf(args[0])
			if err != nil {
				return err
			}
			change, err := flags.change(c, s)
			if err != nil {
				return err
			}
			return s.Rollback(c.Context(), revision, change, c.OutOrStdout())
		})
	flags.add(c)
	return c
}

func getCommand() *cobra.Command {
	var revision uint64
	c := siteCommand("get", "Print the configuration document in force", cobra.NoArgs,
		func(c *cobra.Command, s *operate.Site, _ []string) error {
			return s.Get(c.Context(), revision, c.OutOrStdout())
		})
	c.Flags().Uint64Var(&revision, "revision", 0, "print a kept revision instead")
	return c
}

func diffCommand() *cobra.Command {
	return siteCommand("diff FROM TO", "Show what changed between two kept revisions", cobra.ExactArgs(2),
		func(c *cobra.Command, s *operate.Site, args []string) error {
			from, err := revisionOf(args[0])
			if err != nil {
				return err
			}
			to, err := revisionOf(args[1])
			if err != nil {
				return err
			}
			return s.Diff(c.Context(), from, to, c.OutOrStdout())
		})
}

func historyCommand() *cobra.Command {
	var asJSON bool
	c := siteCommand("history", "List the publications that are kept", cobra.NoArgs,
		func(c *cobra.Command, s *operate.Site, _ []string) error {
			return s.History(c.Context(), asJSON, c.OutOrStdout())
		})
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func revisionOf(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a revision number; pumiceyard history lists them", text)
	}
	return n, nil
}
