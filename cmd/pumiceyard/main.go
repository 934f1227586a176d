// Command pumiceyard is the tool for callers and operators of a pumiceyard site.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "pumiceyard",
		Short:         "Submit work to a pumiceyard site, operate it, and explain what it did",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(demoCommand(), loadCommand())
	if err := root.Execute(); err != nil {
		root.PrintErrln("pumiceyard:", err)
		os.Exit(1)
	}
}
