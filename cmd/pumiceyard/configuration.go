package main

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/tool/operate"
)

const defaultActivationTimeout = 10 * time.Second

func configurationCommands() []*cobra.Command {
	return []*cobra.Command{publishCommand(), rollbackCommand(), getCommand(), diffCommand(), historyCommand()}
}

// changeFlags are the flags that publish and rollback share.
type changeFlags struct {
	operate.Change
	wait    bool
	timeout time.Duration
}

func (f *changeFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.Author, "author", "", "who publishes (required)")
	c.Flags().StringVar(&f.ID, "change-id", "", "identifies the change: a request repeated under the same id publishes once (default derived from base and content)")
	c.Flags().Uint64Var(&f.BaseRevision, "base", 0, "revision that the change is based on (default the one in force)")
	c.Flags().BoolVar(&f.wait, "wait", false, "wait until the revision is in force on every entry VM, and name those where it is not")
	c.Flags().DurationVar(&f.timeout, "timeout", defaultActivationTimeout, "how long --wait waits")
	_ = c.MarkFlagRequired("author")
}

// change returns the change that the flags describe. Without --base it is based on the
// revision in force.
func (f *changeFlags) change(c *cobra.Command, s *operate.Site) (operate.Change, error) {
	change := f.Change
	if f.wait {
		change.Wait = f.timeout
	}
	if c.Flags().Changed("base") {
		return change, nil
	}
	revision, err := s.Revision(c.Context())
	change.BaseRevision = revision
	return change, err
}

func publishCommand() *cobra.Command {
	var flags changeFlags
	c := siteCommand("publish FILE", "Publish a configuration document", cobra.ExactArgs(1),
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
	c.Long = `Publish a configuration document. All of it comes into force, or none.

When others publish too, give the revision that you edited as --base: a change that
was published in the meantime is then reported and not overwritten.`
	flags.add(c)
	return c
}

func rollbackCommand() *cobra.Command {
	var flags changeFlags
	c := siteCommand("rollback REVISION", "Publish an earlier revision again, as a new one", cobra.ExactArgs(1),
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
	c.Flags().Uint64Var(&revision, "revision", 0, "print this earlier revision instead")
	return c
}

func diffCommand() *cobra.Command {
	return siteCommand("diff FROM TO", "Show what changed between two revisions", cobra.ExactArgs(2),
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
	c := siteCommand("history", "List the revisions that are still stored", cobra.NoArgs,
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
