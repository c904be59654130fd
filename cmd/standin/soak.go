package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"wisteriafold/standin/soak"
)

// exitTooSlow is the exit code of a soak for which the machine was too slow.
const exitTooSlow = 3

// Errors of runs that did not pass. The verdict has been printed.
var (
	errSoakFailed  = eris.New("the soak did not pass: read the verdict above, the logs in its folder and the stories of its requests (wisteriafold trace ID FILE...)")
	errSoakTooSlow = eris.New("the machine was too slow for the soak to tell anything: run less beside it")
)

func soakCommand() *cobra.Command {
	cfg := soak.Config{}
	var kinds []string
	var keep bool
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run daemons as processes, inject faults and check what callers and backend servers see",
		Long: `soak starts daemons of the users' platform on loopback addresses, with stand-ins for the
store, backend servers and callers, plays the schedule of a seed and prints a verdict
as JSON. It ends every process that it has started. The exit code is 1 when a promise was
broken or the run could not begin, and 3 when the machine was too slow to tell.`,
		Example: "  standin soak --program bin/wisteriafoldd --seed 1 --for 60s",
		Args:    cobra.NoArgs,
	}
	f := c.Flags()
	f.StringVar(&cfg.Program, "program", "bin/wisteriafoldd", "daemon to run")
	f.StringVar(&cfg.Dir, "dir", "", "folder for settings, logs, schedule and verdict; a temporary one if empty")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the schedule")
	f.DurationVar(&cfg.For, "for", time.Minute, "length of the schedule")
	f.IntVar(&cfg.Daemons, "daemons", 5, "number of daemons, each beside a backend server")
	f.StringSliceVar(&kinds, "kinds", nil, "kinds of faults, all if empty: "+fmt.Sprint(soak.Kinds()))
	f.BoolVar(&keep, "keep", false, "keep the folder of a run that passed")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		for _, k := range kinds {
			if !slices.Contains(soak.Kinds(), soak.Kind(k)) {
				return eris.Errorf("--kinds: %q is none of %v", k, soak.Kinds())
			}
			cfg.Kinds = append(cfg.Kinds, soak.Kind(k))
		}
		if cfg.Daemons < 2 {
			return eris.New("--daemons: give 2 or more")
		}
		made := cfg.Dir == ""
		if made {
			dir, err := os.MkdirTemp("", "soak")
			if err != nil {
				return err
			}
			cfg.Dir = dir
		}
		ctx, stop := interrupted()
		defer stop()
		v, err := soak.Run(ctx, cfg)
		if err != nil {
			return err
		}
		text, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), string(text))
		switch {
		case v.TooSlow:
			return errSoakTooSlow
		case !v.Passed():
			return errSoakFailed
		}
		if made && !keep {
			return os.RemoveAll(cfg.Dir)
		}
		return nil
	}
	return c
}
