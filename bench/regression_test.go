package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The regression bounds are run on fewer seconds and fewer retries of the same
// demand. Virtual time and a fixed seed make every run the same.
const (
	shortOverload = 10 * time.Second
	shortFault    = faultFrom + 3*time.Second
	shortRetries  = 2
)

// run plays s under p from seed 1 until end.
func run(s spec, p policy, end time.Duration) *world {
	s.duration = end
	for i := range s.demand {
		s.demand[i].retries = min(s.demand[i].retries, shortRetries)
	}
	w := newWorld(s, p, 1)
	w.run()
	return w
}

func TestGoodputAndImportantRequestsAtThreeTimesTheDemand(t *testing.T) {
	a := run(overloadSpec(DefaultParams()), ours(), shortOverload).account
	require.GreaterOrEqual(t, a.bottleneck(), 0.95)
	require.GreaterOrEqual(t, a.important(), 0.999)
}

func TestEntriesThatShedNothingWasteWork(t *testing.T) {
	p := ours()
	p.noEntry = true
	a := run(overloadSpec(DefaultParams()), p, warmUp+time.Second).account
	require.Greater(t, a.wastedPart(), 0.1)
}

func TestLiarGetsLessThanItsShareAndGoodputHolds(t *testing.T) {
	w := run(slowLiarSpec(DefaultParams()), ours(), shortFault)
	require.GreaterOrEqual(t, w.account.served(shortFault), 0.95)
	require.LessOrEqual(t, w.victimPart(), 1.0/(2*siteEndpoints))
}

func TestLinkKeepsItsRateWithItsBudgetAndNotWithout(t *testing.T) {
	s := largeAnswerSpec(DefaultParams())
	require.LessOrEqual(t, run(s, ours(), shortFault).linkPeak(), linkRate)
	p := ours()
	p.noLink = true
	require.Greater(t, run(s, p, shortFault).linkPeak(), linkRate)
}

func TestAttemptsStayWithinTheAllowance(t *testing.T) {
	for _, from := range []int{0, treeDepth - 1} {
		w := newWorld(treeSpec(true, from), ours(), 1)
		w.account.perTree = true
		a := w.run()
		require.Greater(t, a.maxAt, 1, "retries happen")
		require.LessOrEqual(t, a.maxAt, 1+allowance)
		require.LessOrEqual(t, a.maxExtra, allowance)
	}
}

func TestMeasureVerdictIsByItsSense(t *testing.T) {
	require.False(t, Measure{Bound: 0.95, Value: 0.9}.OK())
	require.False(t, Measure{Sense: AtMost, Bound: 2, Value: 2.1}.OK())
	require.Contains(t, Measure{Name: "x", Sense: AtMost, Bound: 2, Value: 1}.String(), "verdict=ok")
	bad := Params{Seeds: []uint64{1}, Depth: 99}
	require.ErrorContains(t, bad.Validate(), "use 1 to")
}
