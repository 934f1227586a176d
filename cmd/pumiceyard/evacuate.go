package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/tool/evacuations"
)

const storeVariable = "PUMICEYARD_STORE"

var errNoStore = errors.New("no store address: give --store HOST:PORT or set " + storeVariable)

func keptEvacuate() *cobra.Command {
	return domainCommand("evacuate DOMAIN", "Stop starting work in a failure domain until it is returned", cobra.ExactArgs(1),
		func(ctx context.Context, _ *cobra.Command, r evacuations.Requests, args []string) error {
			return r.Evacuate(ctx, args[0])
		})
}

func keptReturn() *cobra.Command {
	return domainCommand("return DOMAIN", "Put an evacuated failure domain back into use", cobra.ExactArgs(1),
		func(ctx context.Context, _ *cobra.Command, r evacuations.Requests, args []string) error {
			return r.CancelEvacuation(ctx, args[0])
		})
}

func keptEvacuated() *cobra.Command {
	return domainCommand("evacuated", "List the evacuated failure domains", cobra.NoArgs,
		func(ctx context.Context, c *cobra.Command, r evacuations.Requests, _ []string) error {
			list, err := r.List(ctx)
			if err != nil {
				return err
			}
			for _, domain := range list {
				if _, err := fmt.Fprintln(c.OutOrStdout(), domain); err != nil {
					return err
				}
			}
			return nil
		})
}

// domainCommand makes a command that reads or writes the evacuation requests in the store.
func domainCommand(use, short string, args cobra.PositionalArgs, do func(context.Context, *cobra.Command, evacuations.Requests, []string) error) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: args}
	address := c.Flags().String("store", os.Getenv(storeVariable), "host:port of the platform's store (or "+storeVariable+")")
	timeout := c.Flags().Duration("timeout", 10*time.Second, "give up after this time")
	c.RunE = func(c *cobra.Command, args []string) error {
		if *address == "" {
			return errNoStore
		}
		ctx, cancel := context.WithTimeout(c.Context(), *timeout)
		defer cancel()
		return do(ctx, c, evacuations.NewRequests(*address), args)
	}
	return c
}
