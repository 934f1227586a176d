package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/process/entry"
	"github.com/pumiceyard/pumiceyard/internal/request/reason"
	"github.com/pumiceyard/pumiceyard/internal/tool/advice"
	"github.com/pumiceyard/pumiceyard/internal/tool/keys"
	"github.com/pumiceyard/pumiceyard/internal/tool/submit"
)

func keysCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "keys",
		Short:   "Make client accounts' keys and their hashes",
		GroupID: operators,
		Long: `Make client accounts' keys and their hashes.

To rotate a key without interruption: make a new key, add its hash to the account's
key_hashes next to the old one and publish; give the new key to the caller; once the
caller uses it, remove the old hash and publish again.`,
	}
	c.AddCommand(&cobra.Command{
		Use:   "new",
		Short: "Print a new key and its hash",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return keys.New(c.OutOrStdout()) },
	}, &cobra.Command{
		Use:   "hash",
		Short: "Read a key from standard input and print its hash",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return keys.Hash(c.InOrStdin(), c.OutOrStdout()) },
	})
	return c
}

// sampleSecret is the ticket key and peer token in the output of settings --sample.
const sampleSecret = "sample-secret-not-for-use"

func settingsCommand() *cobra.Command {
	s := entry.DefaultSettings()
	var (
		port   uint16
		sample bool
	)
	c := &cobra.Command{
		Use:     "settings",
		Short:   "Print the daemon's default settings as JSON",
		Long:    "Print the daemon's default settings as JSON. Fill in the name, the domain, the\nplatform and both secrets; pumiceyardd --check reports what is missing.",
		GroupID: operators,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if port != 0 {
				s.CallerListen, s.OperatorListen, s.PeerListen = loopback(port), loopback(port+1), loopback(port+2)
			}
			if sample {
				s.TicketKey, s.PeerToken = sampleSecret, sampleSecret
			}
			return submit.Print(c.OutOrStdout(), s)
		},
	}
	c.Flags().StringVar(&s.Name, "name", "", "name of the entry VM")
	c.Flags().StringVar(&s.Domain, "domain", "", "failure domain of the entry VM")
	c.Flags().StringVar(&s.Platform, "platform", "", "base URL of the platform's service")
	c.Flags().Uint16Var(&port, "port", 0, "listen on loopback, for callers at this port, for operators and peers at the next two")
	c.Flags().BoolVar(&sample, "sample", false, "fill in sample secrets, for trials only")
	return c
}

func loopback(port uint16) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func reasonsCommand() *cobra.Command {
	var markdown bool
	c := &cobra.Command{
		Use:     "reasons [CODE]",
		Short:   "Explain reason codes and what to do about them",
		GroupID: operators,
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if markdown {
				_, err := io.WriteString(c.OutOrStdout(), advice.Markdown())
				return err
			}
			return printReasons(c.OutOrStdout(), args)
		},
	}
	c.Flags().BoolVar(&markdown, "markdown", false, "print the tables of docs/OPERATIONS.md")
	return c
}

func printReasons(w io.Writer, args []string) error {
	entries := advice.All()
	if len(args) == 1 {
		e, ok := advice.For(reason.Code(args[0]))
		if !ok {
			return fmt.Errorf("no reason code %q; pumiceyard reasons lists all", args[0])
		}
		entries = []advice.Entry{e}
	}
	for _, e := range entries {
		fmt.Fprintf(w, "%s: %s\n  what to do: %s\n", e.Code, e.Meaning, e.Action)
	}
	return nil
}
