package request

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure: the rank of a route shuts the requests of other routes of its class out, or
// moves requests into another class.
func TestRankOfRouteOrdersTreesWithoutShuttingOthersOut(t *testing.T) {
	const n = 1 << 16
	admitted := func(route Importance, level Priority) float64 {
		count := 0
		for i := range Tree(n) {
			p := PriorityOf(Normal, (i<<treeShift).WithRouteImportance(route, Normal))
			require.Equal(t, Normal, p.Importance())
			if p >= level {
				count++
			}
		}
		return float64(count) / n
	}
	for _, cut := range []float64{0.1, 0.5, 0.9, 0.99} {
		level := Priority(Normal)*ClassWidth + Priority(cut*float64(ClassWidth))
		low, same, high := admitted(Sheddable, level), admitted(Normal, level), admitted(Critical, level)
		require.InDelta(t, 1-cut, same, 0.001)
		require.Greater(t, same, low)
		require.Greater(t, high, same)
		require.GreaterOrEqual(t, low, 0.249*high, "cut %v", cut)
	}
	require.Equal(t, Tree(12345), Tree(12345).WithRouteImportance(High, High))
	require.NotZero(t, Tree(1).WithRouteImportance(Sheddable, Critical)>>treeShift, "a head without a tree means another one")
}
