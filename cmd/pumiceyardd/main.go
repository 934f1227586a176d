// Command pumiceyardd runs one entry VM of a pumiceyard site.
package main

import (
	"context"
	"errors"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/process/entry"
	"github.com/pumiceyard/pumiceyard/platform"
)

func main() {
	root := &cobra.Command{
		Use:           "pumiceyardd --settings FILE",
		Short:         "Run one entry VM, which accepts callers' jobs and runs their tasks on leased workers",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	settings := root.Flags().String("settings", "", "settings file, JSON (required)")
	check := root.Flags().Bool("check", false, "check the settings and exit")
	logFlags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(logFlags)
	root.Flags().AddGoFlag(logFlags.Lookup("v"))
	_ = root.MarkFlagRequired("settings")
	root.RunE = func(c *cobra.Command, _ []string) error {
		s, err := entry.LoadSettings(*settings)
		if err != nil || *check {
			return err
		}
		return run(c.Context(), s)
	}
	root.AddCommand(keptCommand(), platform.Command())
	if err := root.Execute(); err != nil {
		root.PrintErrln("pumiceyardd:", err)
		os.Exit(1)
	}
}

var errSuperseded = errors.New("another process with this entry VM's name was started later")

// run serves until SIGTERM or SIGINT, or until a process started later has taken the
// VM's name, then shuts down gracefully.
func run(ctx context.Context, s entry.Settings) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	vm, err := entry.Start(s)
	if err != nil {
		return err
	}
	superseded := false
	select {
	case <-ctx.Done():
	case <-vm.Superseded():
		superseded = true
	}
	vm.Stop(context.Background())
	klog.Flush()
	if superseded {
		return errSuperseded
	}
	return nil
}
