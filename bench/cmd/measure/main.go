// Command measure runs the experiments of package bench and prints one line
// for each measure. It exits with 1 when a measure is red and with 2 when it
// was asked for something that it cannot do.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"wisteriafold/bench"
)

// errRed reports that a bound was not met.
var errRed = errors.New("a measure is red: its line above names value and bound")

func main() {
	err := command(os.Stdout).Execute()
	switch {
	case errors.Is(err, errRed):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// options are the flags.
type options struct {
	bench.Params
	seeds  []uint
	plots  string
	only   []string
	ablate bool
}

func command(out io.Writer) *cobra.Command {
	o := options{Params: bench.DefaultParams()}
	c := &cobra.Command{
		Use:           "measure",
		Short:         "measure the decision code against its bounds, beside a naive version",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return o.run(out) },
	}
	f := c.Flags()
	f.UintSliceVar(&o.seeds, "seed", []uint{1, 2, 3}, "seeds; the worst value of them is printed")
	f.IntVar(&o.Depth, "depth", o.Depth, "services in the chain")
	f.Float64Var(&o.Overload, "overload", o.Overload, "demand as a multiple of the bottleneck's capacity")
	f.IntVar(&o.Organisations, "organisations", o.Organisations, "organisations that share the demand")
	f.DurationVar(&o.Duration, "duration", o.Duration, "virtual time of the experiments with steady demand")
	f.StringVar(&o.plots, "plots", "bench/out", "directory for the plots, empty for none")
	f.StringSliceVar(&o.only, "only", nil, "experiments to run; all when empty")
	f.BoolVar(&o.ablate, "ablate", true, "print the table with each mechanism switched off")
	return c
}

func (o *options) run(out io.Writer) error {
	o.Seeds = nil
	for _, s := range o.seeds {
		o.Seeds = append(o.Seeds, uint64(s))
	}
	if err := o.Validate(); err != nil {
		return err
	}
	chosen, err := bench.Select(o.only)
	if err != nil {
		return err
	}
	if o.plots != "" {
		if err := os.MkdirAll(o.plots, 0o755); err != nil {
			return err
		}
	}
	red := false
	for i, outcome := range bench.Measured(chosen, o.Params) {
		for _, m := range outcome.Measures {
			fmt.Fprintln(out, m)
			red = red || !m.OK()
		}
		if o.plots != "" && len(outcome.Curves) > 0 {
			if err := bench.Plot(o.plots, chosen[i].Name, outcome.Curves); err != nil {
				return err
			}
		}
	}
	if o.ablate {
		bench.WriteAblations(out, bench.Ablations(o.Params, o.Seeds[0]))
	}
	if red {
		return errRed
	}
	return nil
}
