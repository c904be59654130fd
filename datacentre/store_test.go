package datacentre

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/platform/memory"
)

// A daemon must read all rosters if the store has dropped the changes since its
// last read.
func TestAllRostersAreReadWhenHistoryIsGone(t *testing.T) {
	store := memory.New()
	join := func(dataCentre, address string, since uint64) Result {
		return Run(t.Context(), store, Job{DataCentre: dataCentre, Region: "r", Join: []string{address}, Since: since})
	}
	first := join("dc0", "a:1", 0)
	require.NoError(t, first.Err)
	require.NoError(t, join("dc1", "b:1", 0).Err)
	store.ForgetHistory(RosterTable)
	res := Run(t.Context(), store, Job{Since: first.Newest})
	require.NoError(t, res.Err)
	require.Len(t, res.Rows, 2)
	require.Greater(t, res.Newest, first.Newest)
	res = Run(t.Context(), store, Job{Since: res.Newest})
	require.NoError(t, res.Err)
	require.Empty(t, res.Rows)
}
