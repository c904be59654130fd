package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/request"
)

// Failure: all callers that an overloaded service refused come back at the same time.
func TestTimesToComeBackAfterOverloadAreSpread(t *testing.T) {
	const n, parts = 10_000, 10
	var counts [parts]int
	for i := range n {
		err := request.NewNotRunError(request.ReasonShedEntry, "")
		err.RetryAfter = shedRetryAfter
		after := retryAfterOf(err, &request.Call{Tree: treeOf(fmt.Sprint(i))})
		require.GreaterOrEqual(t, after, shedRetryAfter)
		counts[min(parts*int(after-shedRetryAfter)/int(shedRetryAfter), parts-1)]++
	}
	for _, c := range counts {
		require.InDelta(t, n/parts, c, n/parts/4)
	}
	rate := request.NewNotRunError(request.ReasonRate, "")
	rate.RetryAfter = 70 * time.Millisecond
	require.Equal(t, rate.RetryAfter, retryAfterOf(rate, &request.Call{Tree: treeOf("x")}), "the time at which there is a token is exact")
}
