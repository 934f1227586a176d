package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/connection/secure"
	"github.com/pumiceyard/pumiceyard/internal/tool/operate"
)

const (
	operatorsVariable = "PUMICEYARD_OPERATORS"
	operatorPort      = "8081"
	watchInterval     = time.Second

	tlsVariables    = "PUMICEYARD_TLS_"
	tlsCertVariable = tlsVariables + "CERT"
	tlsKeyVariable  = tlsVariables + "KEY"
	tlsCAVariable   = tlsVariables + "CA"
)

// operatorFlags are the flags that all operator commands share.
type operatorFlags struct {
	operators []string
	port      string
	tls       secure.Files
}

func (f *operatorFlags) add(c *cobra.Command) {
	c.GroupID = operators
	c.Flags().StringSliceVar(&f.operators, "operators", nil, "base URLs of the entry VMs' operator listeners (or "+operatorsVariable+"; default http://127.0.0.1:"+operatorPort+", https:// with --tls-cert)")
	c.Flags().StringVar(&f.port, "operator-port", operatorPort, "operator port of entry VMs that are known only from the platform's list")
	c.Flags().StringVar(&f.tls.Cert, "tls-cert", "", "client certificate, PEM (or "+tlsCertVariable+")")
	c.Flags().StringVar(&f.tls.Key, "tls-key", "", "private key of the certificate, PEM (or "+tlsKeyVariable+")")
	c.Flags().StringVar(&f.tls.CA, "tls-ca", "", "CA certificates that the entry VMs' certificates are verified with, PEM (or "+tlsCAVariable+")")
}

func (f *operatorFlags) site() (*operate.Site, error) {
	files := secure.Files{
		Cert: cmp.Or(f.tls.Cert, os.Getenv(tlsCertVariable)),
		Key:  cmp.Or(f.tls.Key, os.Getenv(tlsKeyVariable)),
		CA:   cmp.Or(f.tls.CA, os.Getenv(tlsCAVariable)),
	}
	material, err := files.Load()
	if err != nil {
		return nil, explainFile(err)
	}
	named := f.operators
	if len(named) == 0 {
		named = urlsFromEnvironment(operatorsVariable)
	}
	if len(named) == 0 {
		scheme := "http://"
		if material != nil {
			scheme = "https://"
		}
		named = []string{scheme + "127.0.0.1:" + operatorPort}
	}
	return operate.NewSite(named, f.port, material.ClientConfig())
}

// explainFile adds the flag to the error about a file that cannot be used.
func explainFile(err error) error {
	var file *secure.FileError
	if !errors.As(err, &file) {
		return err
	}
	part := string(file.Part)
	return fmt.Errorf("--tls-%s (or %s%s): %w", part, tlsVariables, strings.ToUpper(part), err)
}

// siteCommand makes a command that calls operator listeners.
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
	return []*cobra.Command{statusCommand(), topCommand(), explainCommand(), reasonsCommand(), keysCommand(), settingsCommand()}
}

func statusCommand() *cobra.Command {
	var watch, asJSON bool
	c := siteCommand("status", "Show all entry VMs: readiness, revision in force, leases, slots, queue", cobra.NoArgs,
		func(c *cobra.Command, s *operate.Site, _ []string) error {
			if watch {
				return s.Watch(c.Context(), watchInterval, c.OutOrStdout())
			}
			return s.Status(c.Context(), asJSON, c.OutOrStdout())
		})
	c.Flags().BoolVarP(&watch, "watch", "w", false, "refresh every second")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.MarkFlagsMutuallyExclusive("watch", "json")
	return c
}

func explainCommand() *cobra.Command {
	var asJSON bool
	c := siteCommand("explain TICKET", "Show what happened to a job on all entry VMs, and why", cobra.ExactArgs(1),
		func(c *cobra.Command, s *operate.Site, args []string) error {
			return s.Explain(c.Context(), args[0], asJSON, c.OutOrStdout())
		})
	c.Flags().BoolVar(&asJSON, "json", false, "print all steps as JSON")
	return c
}
