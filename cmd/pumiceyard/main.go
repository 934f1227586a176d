// Command pumiceyard is the command-line tool for callers and operators of a pumiceyard
// site.
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
  0  success
  1  wrong usage, or any other error
  2  not run: nothing of the job has run or will run
  3  failed: the job ended, and something of it may have run
  4  unknown: the job may or may not have run`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddGroup(&cobra.Group{ID: callers, Title: "For callers:"}, &cobra.Group{ID: operators, Title: "For operators:"}, &cobra.Group{ID: tryout, Title: "For trying it out:"})
	root.AddCommand(callerCommands()...)
	root.AddCommand(operatorCommands()...)
	root.AddCommand(configurationCommands()...)
	root.AddCommand(tryoutCommands()...)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		root.PrintErrln("pumiceyard:", err)
		os.Exit(exit.Code(err))
	}
}

// IDs of the groups that the help lists commands under.
const (
	callers   = "callers"
	operators = "operators"
	tryout    = "trying"
)

// urlsFromEnvironment returns the URLs in an environment variable, which are separated by
// commas or spaces.
func urlsFromEnvironment(name string) []string {
	return strings.FieldsFunc(os.Getenv(name), func(r rune) bool { return r == ',' || r == ' ' })
}
