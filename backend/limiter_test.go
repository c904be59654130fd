package backend

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// model is how a fake backend server serves a call that is started while n
// calls run, itself included.
type model func(r *rand.Rand, now time.Duration, n int) Result

// lightFor is the virtual time for which saturate runs five calls at most.
const lightFor = 3 * time.Second

// saturate keeps as many calls running as the limiter allows for the given
// virtual time, after some light load, and returns the limits at the end of each tenth of it, and the
// number of answers in the last tenth.
func saturate(cfg Config, d time.Duration, m model) (limits []int, answers int) {
	type call struct {
		start, end time.Duration
		result     Result
	}
	l := NewLimiter(cfg)
	r := rand.New(rand.NewPCG(7, 7))
	var open []call
	var now time.Duration
	for now < d {
		most := l.Limit()
		if now < lightFor {
			most = min(most, 5)
		}
		for len(open) < most {
			res := m(r, now, len(open)+1)
			open = append(open, call{now, now + res.Latency, res})
		}
		i := 0
		for j := range open {
			if cmp.Compare(open[j].end, open[i].end) < 0 {
				i = j
			}
		}
		c := open[i]
		if c.end > d*time.Duration(len(limits)+1)/10 {
			limits = append(limits, l.Limit())
		}
		now = c.end
		l.Finish(epoch.Add(now), len(open), epoch.Add(c.start), c.result)
		if now >= d-d/10 && !c.result.Shed {
			answers++
		}
		open = slices.Delete(open, i, i+1)
	}
	return limits, answers
}

var fifty = Config{Slots: 50, Connections: 400}

func steady(mean time.Duration) model {
	return func(r *rand.Rand, _ time.Duration, _ int) Result {
		return Result{Latency: time.Duration(float64(mean) * (0.5 + r.Float64()))}
	}
}

func TestColdLimitReachesTheSlotsWithinASecond(t *testing.T) {
	limits, _ := saturate(fifty, 10*time.Second, steady(20*time.Millisecond))
	require.Equal(t, 50, limits[3], "one second after the light load")
	require.Equal(t, 50, limits[9])
}

func TestLongTailDoesNotCollapseTheLimit(t *testing.T) {
	limits, answers := saturate(fifty, 60*time.Second, func(r *rand.Rand, _ time.Duration, _ int) Result {
		pareto := math.Pow(1-r.Float64(), -1/1.3)
		return Result{Latency: time.Duration(float64(5*time.Millisecond) * min(pareto, 1000))}
	})
	require.GreaterOrEqual(t, slices.Min(limits), 40, "%v", limits)
	require.Positive(t, answers)
}

func TestSlowServiceDoesNotCutTheLimitForLong(t *testing.T) {
	limits, _ := saturate(fifty, 60*time.Second, func(r *rand.Rand, now time.Duration, n int) Result {
		mean := 10 * time.Millisecond
		if now > 12*time.Second {
			mean *= 10
		}
		return steady(mean)(r, now, n)
	})
	slices.Sort(limits)
	require.GreaterOrEqual(t, limits[0], 40, "%v", limits)
	require.Equal(t, 50, limits[5], "%v", limits)
}

func TestLimitSettlesWhereTheBackendShedsLittle(t *testing.T) {
	for _, real := range []int{8, 20, 35} {
		limits, answers := saturate(fifty, 20*time.Second, func(r *rand.Rand, now time.Duration, n int) Result {
			if n > real {
				return Result{Shed: true, Latency: time.Millisecond}
			}
			return steady(20*time.Millisecond)(r, now, n)
		})
		most := float64(real) * 2 / 0.02
		require.GreaterOrEqual(t, float64(answers), 0.85*most, "slots %d, limits %v", real, limits)
		require.LessOrEqual(t, limits[9], real+2, "%v", limits)
	}
}

func TestLimitFollowsBackendQueueingDown(t *testing.T) {
	// Only 10 of 50 declared slots work in parallel: beyond them latency grows
	// and throughput does not.
	limits, answers := saturate(fifty, 120*time.Second, func(r *rand.Rand, now time.Duration, n int) Result {
		res := steady(20*time.Millisecond)(r, now, n)
		res.Latency = time.Duration(float64(res.Latency) * max(1, float64(n)/10))
		return res
	})
	require.LessOrEqual(t, limits[9], 35, "%v", limits)
	require.GreaterOrEqual(t, float64(answers), 0.95*10/0.02*12)
}
