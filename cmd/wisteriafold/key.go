package main

import (
	"crypto/rand"
	"fmt"

	"github.com/spf13/cobra"

	"wisteriafold/organisation"
)

func keyCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "key",
		Short: "Create keys",
	}
	c.AddCommand(&cobra.Command{
		Use:     "new",
		Short:   "Create a key and print it with its digest",
		Long:    "key new prints a key and its digest. Give the key to the organisation: it is stored nowhere else. Put the digest into the configuration.",
		Example: "  wisteriafold key new",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			key, id, err := organisation.NewKey(rand.Reader)
			if err != nil {
				return err
			}
			text := fmt.Sprintf("key:    %s\ndigest: %s", key, id)
			return output(cmd, struct {
				Key    string `json:"key"`
				Digest string `json:"digest"`
			}{key, id.String()}, text)
		},
	})
	return c
}
