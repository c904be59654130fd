package main

import (
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"wisteriafold/try"
)

func tryCommand() *cobra.Command {
	opt := try.Options{}
	var logFile string
	c := &cobra.Command{
		Use:   "try",
		Short: "Run a whole deployment in one process and check invariants",
		Long: `try starts a platform stand-in, 16 daemons and 16 backend server stand-ins on
loopback addresses, applies the example configuration and drives callers through
chains of three services. Meanwhile it withdraws a key, drains an endpoint,
makes the platform fail, applies a change and shuts a daemon down. The last
line is JSON; the exit code is 1 when an invariant is broken.`,
		Example: "  wisteriafold try --deployment kurume\n  wisteriafold try --deployment linie --duration 30s --log decisions.jsonl",
		Args:    usage(cobra.NoArgs),
	}
	c.Flags().StringVar(&opt.Deployment, "deployment", "kurume", "kurume or linie")
	c.Flags().DurationVar(&opt.Duration, "duration", 10*time.Second, "how long to send traffic")
	c.Flags().Uint64Var(&opt.Seed, "seed", 1, "seed of the intervals between the callers' requests")
	c.Flags().StringVar(&logFile, "log", "", "file for the daemons' logs (JSON lines)")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		opt.Progress = cmd.OutOrStdout()
		opt.Log = io.Discard
		if logFile != "" {
			f, err := os.Create(logFile)
			if err != nil {
				return withCode(exitUsage, eris.Wrap(err, "--log"))
			}
			defer f.Close()
			opt.Log = f
		}
		sum, err := try.Run(opt)
		if err != nil {
			return err
		}
		if err := sum.Print(cmd.OutOrStdout()); err != nil {
			return err
		}
		if len(sum.Broken) > 0 {
			return eris.Errorf("%d invariants are broken, see above", len(sum.Broken))
		}
		return nil
	}
	return c
}
