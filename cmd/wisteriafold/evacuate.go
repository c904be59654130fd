package main

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/spf13/cobra"

	"wisteriafold/config"
	"wisteriafold/platform"
)

func evacuateCommand() *cobra.Command {
	var s storeFlags
	var undo bool
	c := &cobra.Command{
		Use:   "evacuate DATA_CENTRE",
		Short: "Keep requests away from the backend servers of a data centre",
		Long: `evacuate marks a data centre in the configuration in force. Its backend servers
receive no more requests; those that run finish. Its daemons go on serving their
callers by endpoints elsewhere. apply keeps the mark; --undo removes it.`,
		Example: "  wisteriafold evacuate east-1 --platform 127.0.0.1:6000\n  wisteriafold evacuate east-1 --undo",
		Args:    usage(cobra.ExactArgs(1)),
	}
	s.flags(c)
	c.Flags().BoolVar(&undo, "undo", false, "end the evacuation")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		client := s.open()
		defer client.Close()
		res, err := evacuate(cmd.Context(), client, args[0], !undo)
		if err != nil {
			return withCode(applyCode(err), err)
		}
		state := "evacuated"
		if undo {
			state = "not evacuated"
		}
		return output(cmd, res, fmt.Sprintf("%s: data centre %s is %s in generation %d", res.Outcome, args[0], state, res.Generation))
	}
	return c
}

func evacuate(ctx context.Context, table platform.Table, dataCentre string, evacuated bool) (config.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	base, err := config.Read(ctx, table)
	if err != nil {
		return config.Result{}, err
	}
	id, err := config.NewApplyID(base, rand.Reader)
	if err != nil {
		return config.Result{}, err
	}
	res, err := config.Evacuate(ctx, table, base, dataCentre, evacuated, id)
	if err != nil && res.Outcome == "" {
		return res, withCode(exitUsage, err) // the data centre is not declared
	}
	return res, err
}
