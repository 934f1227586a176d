package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/daemon"
	"github.com/pumiceyard/pumiceyard/internal/kept/oplog"
	"github.com/pumiceyard/pumiceyard/internal/kept/serve"
)

// keptCommand runs an entry VM for kept submissions: those that are stored under keys
// their callers choose.
func keptCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "kept --settings FILE",
		Short: "Run one entry VM for kept submissions, which are stored under their callers' keys",
		Args:  cobra.NoArgs,
	}
	path := c.Flags().String("settings", "", "settings file, JSON (required)")
	check := c.Flags().Bool("check", false, "check the settings and exit")
	verbosity := c.Flags().Int("v", 0, "log verbosity; 1 adds what \"pumiceyard kept bound\" reads: each submission, worker and completed run")
	_ = c.MarkFlagRequired("settings")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := daemon.LoadSettings(*path)
		if err != nil || *check {
			return err
		}
		log := oplog.Start(os.Stdout, *verbosity)
		defer log.Stop()
		return serveKept(c.Context(), *path, s)
	}
	return c
}

func serveKept(ctx context.Context, path string, s *daemon.Settings) error {
	start := func() (serve.StopFunc, error) {
		d, err := daemon.Start(s)
		if err != nil {
			return nil, err
		}
		return d.Stop, nil
	}
	return serve.RunUntilSignal(ctx, start, func() {
		// Names and addresses cannot change while the process runs. The file is only
		// checked, so that a mistake shows before the next start.
		if _, err := daemon.LoadSettings(path); err != nil {
			klog.ErrorS(err, "kept: settings file is invalid; the running process keeps its settings")
			return
		}
		klog.InfoS("kept: settings file checked; changes apply at the next start", "path", path)
	})
}
