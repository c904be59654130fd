package main

import (
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"wisteriafold/platform/host"
	"wisteriafold/trace"
)

// traceCommand shows the lines about a request in collected log files.
func traceCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "trace REQUEST_ID FILE...",
		Short:   "Show the log lines about a request, and the line that explains its outcome",
		Example: "  wisteriafold trace 9c41d07be2a35f68 logs/*.json",
		Args:    usage(cobra.MinimumNArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var logs []io.Reader
			for _, name := range args[1:] {
				f, err := os.Open(name)
				if err != nil {
					return eris.Wrap(err, "open a log file: name files that can be read")
				}
				defer func() { _ = f.Close() }()
				logs = append(logs, f)
			}
			lines, err := trace.Collect(args[0], logs...)
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return eris.Errorf("no line about request %s: add the logs of all instances; lines above the log rate per second are only counted (log_routine_skipped_total)", args[0])
			}
			return output(cmd, lines, traceText(lines))
		},
	}
}

func traceText(lines []trace.Line) string {
	var b strings.Builder
	for _, l := range lines {
		b.WriteString(l.String() + "\n")
	}
	if cause, ok := trace.Cause(lines); ok {
		b.WriteString("cause: " + cause.String() + "\n")
	}
	return b.String()
}

// settingsCommand checks a settings file of the users' platform and shows the
// values that the daemon uses.
func settingsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "settings FILE",
		Short:   "Check a settings file of the users' platform and show the values that the daemon uses",
		Example: "  wisteriafold settings /etc/wisteriafold/node.yaml",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := host.LoadSettings(args[0])
			if err != nil {
				return err
			}
			text := "instance " + s.Instance + " in " + s.DataCentre + ", " + s.Region + ": " + s.Service + " at " + s.Backend +
				"\ncallers " + s.Listen.Callers + ", peers " + s.Listen.Peers + ", metrics " + s.Listen.Metrics + ", store " + s.StoreAddress + "\n"
			return output(cmd, s, text)
		},
	}
}
