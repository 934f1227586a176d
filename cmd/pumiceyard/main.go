// Command pumiceyard is the tool for callers and operators of a pumiceyard site.
//
// Exit codes: 0 complete, 1 wrong usage or any other error, 2 not run, 3 failed,
// 4 outcome unknown.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/pumiceyard/pumiceyard/internal/tool/exit"
)

func main() {
	root := &cobra.Command{
		Use:   "pumiceyard",
		Short: "Submit work to a pumiceyard site, operate it, and explain what it did",
		Long: `Submit work to a pumiceyard site, operate it, and explain what it did.

Exit codes:
  0  complete, or carried out
  1  wrong usage, or any other error
  2  not run: nothing of the job has run or will run
  3  failed: the job ended, and something of it may have run
  4  unknown: it can not be said whether something of the job ran`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddGroup(&cobra.Group{ID: callers, Title: "For callers:"}, &cobra.Group{ID: operators, Title: "For operators:"}, &cobra.Group{ID: trying, Title: "For trying it:"})
	root.AddCommand(callerCommands()...)
	root.AddCommand(operatorCommands()...)
	root.AddCommand(configurationCommands()...)
	root.AddCommand(tryingCommands()...)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		root.PrintErrln("pumiceyard:", err)
		os.Exit(exit.Code(err))
	}
}

// Groups of commands.
const (
	callers   = "callers"
	operators = "operators"
	trying    = "trying"
)

// fromEnvironment splits a list of URLs in an environment variable.
func fromEnvironment(name string) []string {
	return strings.FieldsFunc(os.Getenv(name), func(r rune) bool { return r == ',' || r == ' ' })
}
