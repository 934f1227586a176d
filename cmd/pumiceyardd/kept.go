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

// keptCommand runs an entry VM for submissions under their callers' own keys.
func keptCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "kept --settings FILE",
		Short: "Run one entry VM for submissions that are kept in the store",
		Args:  cobra.NoArgs,
	}
	path := c.Flags().String("settings", "", "settings file, JSON (required)")
	check := c.Flags().Bool("check", false, "check the settings and exit")
	_ = c.MarkFlagRequired("settings")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := daemon.LoadSettings(*path)
		if err != nil || *check {
			return err
		}
		log := oplog.Start(os.Stdout, 0)
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
		// Addresses and names hold for the life of a process; the file is checked so
		// that a mistake shows before the next start.
		if _, err := daemon.LoadSettings(path); err != nil {
			klog.ErrorS(err, "kept: the settings in force stay")
			return
		}
		klog.InfoS("kept: settings read again", "path", path)
	})
}
