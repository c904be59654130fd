package main

import (
	"fmt"
	"net/url"

	"github.com/spf13/cobra"

	"wisteriafold/claim"
	"wisteriafold/instance"
)

func claimCommand() *cobra.Command {
	var f operatorFlags
	var organisation, route string
	c := &cobra.Command{
		Use:     "claim KEY",
		Short:   "Show the state of an idempotency key and the reason for it",
		Example: "  wisteriafold claim order-7 --organisation kyushu-museum --route deposit --operator 127.0.0.1:7401",
		Args:    cobra.ExactArgs(1),
	}
	f.flags(c)
	c.Flags().StringVar(&organisation, "organisation", "", "organisation that owns the key of the request")
	c.Flags().StringVar(&route, "route", "", "name of the route")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		addresses, err := f.addresses()
		if err != nil {
			return err
		}
		query := url.Values{"organisation": {organisation}, "route": {route}, "key": {args[0]}}
		var x claim.Explanation
		if err := getJSON(addresses[0], instance.PathClaim+"?"+query.Encode(), &x); err != nil {
			return err
		}
		return output(cmd, x, claimText(args[0], &x))
	}
	return c
}

func claimText(key string, x *claim.Explanation) string {
	if !x.Found {
		return fmt.Sprintf("%s: no claim: %s", key, x.Meaning)
	}
	return fmt.Sprintf("%s: %s by %s, %d epochs old: %s", key, x.Row.State, x.Row.Claimant, x.Epochs, x.Meaning)
}
