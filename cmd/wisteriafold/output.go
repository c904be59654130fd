package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"
)

// wantsJSON reports whether --json was given.
func wantsJSON(c *cobra.Command) bool {
	on, _ := c.Flags().GetBool("json") // the root command declares the flag
	return on
}

// output writes v as JSON if --json was given, and text otherwise.
func output(c *cobra.Command, v any, text string) error {
	if !wantsJSON(c) {
		_, err := fmt.Fprintln(c.OutOrStdout(), text)
		return err
	}
	enc := json.NewEncoder(c.OutOrStdout())
	if isatty.IsTerminal(os.Stdout.Fd()) {
		enc.SetIndent("", "  ")
	}
	return enc.Encode(v)
}
