package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/config"
	"wisteriafold/instance"
)

// Failure: applying a directory, which does not tell of evacuations, ends one; or diff
// shows one as a difference.
func TestEvacuationLastsUntilItIsUndone(t *testing.T) {
	_, address := table(t)
	var res config.Result
	succeed(t, &res, "apply", directory(t, configurationText), "--platform", address)
	evacuated := func() []string {
		var shown struct {
			Configuration config.Configuration `json:"configuration"`
		}
		succeed(t, &shown, "show", "--platform", address)
		return shown.Configuration.Evacuated()
	}
	succeed(t, &res, "evacuate", "east-1", "--platform", address)
	require.Equal(t, config.Accepted, res.Outcome)
	require.Equal(t, []string{"east-1"}, evacuated())
	succeed(t, &res, "evacuate", "east-1", "--platform", address)
	require.Equal(t, config.Unchanged, res.Outcome)

	var d difference
	succeed(t, &d, "diff", directory(t, configurationText), "--platform", address)
	require.Empty(t, d.Changes)
	succeed(t, &res, "apply", changed(t, "30"), "--platform", address)
	require.Equal(t, config.Accepted, res.Outcome)
	require.Equal(t, []string{"east-1"}, evacuated())

	succeed(t, &res, "evacuate", "east-1", "--undo", "--platform", address)
	require.Empty(t, evacuated())
	_, code, err := command("evacuate", "east-9", "--platform", address)
	require.ErrorContains(t, err, "east-1")
	require.Equal(t, exitUsage, code)

	st := instance.Status{}
	st.Gate.Evacuated = true
	require.Contains(t, statusText([]instance.Status{st}), "evacuated")
}
