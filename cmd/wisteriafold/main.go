// Command wisteriafold is the operator's command line tool: it checks and
// applies configurations, queries daemons and reads their logs.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"wisteriafold/config"
	"wisteriafold/platform/host"
)

// Exit codes. Scripts rely on them.
const (
	exitOK       = 0
	exitFailed   = 1 // an invariant is broken, or the command failed
	exitUsage    = 2 // invalid arguments or invalid configuration
	exitConflict = 3 // the apply lost a race with another apply or with --outcome: nothing of it is in force
	exitUnknown  = 4 // whether the apply was accepted is unknown: ask again with --outcome
	exitPartial  = 5 // accepted, but not confirmed by all instances in time
)

// exitError adds the exit code of the process to an error.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code, err}
}

// usage wraps a check of arguments so that its error carries exitUsage.
func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error { return withCode(exitUsage, check(c, args)) }
}

func main() { os.Exit(mainCode()) }

func mainCode() int {
	err := rootCommand().Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "wisteriafold:", err)
	return codeOf(err)
}

// codeOf returns the exit code for the error that a command returned.
func codeOf(err error) int {
	if err == nil {
		return exitOK
	}
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	var problems config.Problems
	var settings *host.SettingsError
	if errors.As(err, &problems) || errors.As(err, &settings) {
		return exitUsage
	}
	return exitFailed
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "wisteriafold",
		Short: "Operate a wisteriafold fleet",
		Long: `wisteriafold checks and applies configurations, shows what is in force and
explains how a request was handled or would be.

Exit codes: 0 success, 1 failed, 2 wrong arguments or configuration, 3 lost a
race with another apply, 4 outcome of the apply unknown, 5 accepted but not
confirmed everywhere in time.`,
		Args:          usage(cobra.NoArgs),
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().Bool("json", false, "print JSON for programs")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return withCode(exitUsage, err) })
	root.AddCommand(
		checkCommand(), applyCommand(), diffCommand(), showCommand(), evacuateCommand(),
		statusCommand(), explainCommand(), traceCommand(), settingsCommand(), claimCommand(), keyCommand(), tryCommand(),
	)
	return root
}
