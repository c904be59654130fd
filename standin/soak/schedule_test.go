package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure: a seed that found a fault gives another schedule the next time.
func TestSeedDeterminesTheSchedule(t *testing.T) {
	a, b := Schedule(7, time.Minute, 5, nil), Schedule(7, time.Minute, 5, nil)
	require.Equal(t, a, b)
	require.NotEqual(t, a, Schedule(8, time.Minute, 5, nil))
	require.Greater(t, len(a), 40)
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		for _, f := range Schedule(seed, time.Minute, 5, nil) {
			seen[f.Kind] = true
			require.Less(t, f.Target, 5)
		}
	}
	require.Len(t, seen, len(weights), "each kind occurs")
	for _, f := range Schedule(1, time.Minute, 5, []Kind{Pause}) {
		require.Equal(t, Pause, f.Kind)
	}
	require.Empty(t, Schedule(1, time.Minute, 5, []Kind{"nothing"}))
}
