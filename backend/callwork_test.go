package backend

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/request"
)

// Failure: the averages begin with the service time of a single call, so that for
// hundreds of calls after a start calls count by their work, as if classes with calls of
// the same length differed.
func TestClassesOfEqualLengthNeverCountByWork(t *testing.T) {
	byWork := 0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var w callWork
		var times routeTimes
		for range 3000 {
			route := string(rune('a' + rng.IntN(3)))
			w.offered(request.Importance(rng.IntN(request.Classes)), times.median(route))
			if w.meanCall() > 0 {
				byWork++
			}
			times.add(route, time.Duration(10+rng.IntN(80))*time.Millisecond, 0)
		}
	}
	require.Zero(t, byWork, "of 300000 calls")
}
