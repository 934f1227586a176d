package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/pumiceyard/pumiceyard/internal/kept/daemon"
	"github.com/pumiceyard/pumiceyard/internal/kept/oplog"
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
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	d, err := daemon.Start(s)
	if err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return d.Stop(context.Background())
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				klog.InfoS("kept: stopping", "signal", sig.String())
				return d.Stop(context.Background())
			}
			// Addresses and names hold for the life of a process; the file is checked
			// so that a mistake shows before the next start.
			if _, err := daemon.LoadSettings(path); err != nil {
				klog.ErrorS(err, "kept: the settings in force stay")
				continue
			}
			klog.InfoS("kept: settings read again", "path", path)
		}
	}
}
