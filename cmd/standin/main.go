// Command standin runs a stand-in for the platform, for a backend server or for
// callers, for manual trials and tests.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Run stand-ins for the platform, backend servers and callers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), backendCommand(), callerCommand(), soakCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		if errors.Is(err, errSoakTooSlow) {
			os.Exit(exitTooSlow)
		}
		os.Exit(1)
	}
}
