package contract_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/contract"
	"wisteriafold/contract/scenario"
)

// shortOptions returns random options with short durations, so that a schedule of a
// few seconds covers many lifetimes of a loan.
func shortOptions(seed uint64, rng *rand.Rand) scenario.Options {
	return scenario.Options{
		Seed: seed, DataCentres: 1 + rng.IntN(3), Daemons: 1 + rng.IntN(3), Step: 50 * time.Millisecond,
		Near: time.Millisecond, Far: 20 * time.Millisecond, Poll: 200 * time.Millisecond,
		Loss: 0.1 * rng.Float64(), Late: 0.1 * rng.Float64(), LateBy: 1000 * time.Millisecond, Double: 0.1 * rng.Float64(),
		Machine: contract.Config{
			LoanTTL: 300 * time.Millisecond, HolderTTL: 600 * time.Millisecond, Margin: 50 * time.Millisecond,
			Fence: 900 * time.Millisecond, Gap: 500 * time.Millisecond, Timeout: 100 * time.Millisecond,
		},
	}
}

// variant modifies the options of schedules.
type variant struct{ options func(*scenario.Options) }

// runSchedule runs one random schedule and returns the number of admissions or the
// first violation.
func runSchedule(seed uint64, v variant) (int64, error) {
	rng := rand.New(rand.NewPCG(seed, 2))
	o := shortOptions(seed, rng)
	if v.options != nil {
		v.options(&o)
	}
	a := org("a", 60, 20, o.DataCentres)
	b := org("b", 10+200*rng.Float64(), 2+60*rng.Float64(), o.DataCentres)
	f := scenario.New(o, []contract.Contract{a, b})
	kinds := make([]scenario.Fault, 1+rng.IntN(4)) // a schedule has one to four kinds of faults
	for i := range kinds {
		kinds[i] = scenario.Fault(rng.IntN(int(scenario.Faults)))
	}
	hot := 0
	traffic := func() {
		if rng.IntN(20) == 0 {
			hot = rng.IntN(64)
		}
		for i, d := range f.Daemons {
			if !d.Running() || (i != hot%len(f.Daemons) && rng.IntN(4) != 0) {
				continue
			}
			for _, name := range []string{"a", "b"} {
				if rng.IntN(10) == 0 {
					f.Return(d, name, time.Duration(rng.Int64N(int64(time.Second))))
				}
				for range 1 + rng.IntN(12) {
					if !f.Take(d, name) {
						break
					}
				}
			}
		}
	}
	for f.Now < 5*time.Second {
		if f.Now > 1000*time.Millisecond && rng.IntN(25) == 0 {
			f.Inject(kinds[rng.IntN(len(kinds))], rng, time.Duration(rng.Int64N(int64(2000*time.Millisecond))))
		}
		f.Run(traffic)
		if f.Check.Violation != nil {
			return 0, fmt.Errorf("seed %d, %d data centres, %v: %w", seed, o.DataCentres, kinds, f.Check.Violation)
		}
	}
	return f.Check.Admitted("a") + f.Check.Admitted("b"), nil
}

// runSeeds calls runSchedule for count seeds from first on.
func runSeeds(first, count uint64, v variant) (int64, error) {
	return runParallel(first, count, func(seed uint64) (int64, error) { return runSchedule(seed, v) })
}

// runParallel runs schedules on all processors and returns the number of admissions
// and the violation of the schedule with the lowest number.
func runParallel(first, count uint64, run func(number uint64) (int64, error)) (int64, error) {
	var next atomic.Uint64
	var admitted atomic.Int64
	var mu sync.Mutex
	var worst error
	worstSeed := first + count
	next.Store(first)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				seed := next.Add(1) - 1
				mu.Lock()
				stop := seed >= worstSeed
				mu.Unlock()
				if stop {
					return
				}
				n, err := run(seed)
				admitted.Add(n)
				if err != nil {
					mu.Lock()
					if seed < worstSeed {
						worst, worstSeed = err, seed
					}
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return admitted.Load(), worst
}

// schedules returns the number of schedules to run: that of the environment
// variable CONTRACT_SCHEDULES, which allows more than CI runs, or def.
func schedules(def uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("CONTRACT_SCHEDULES"), 10, 64); err == nil {
		return n
	}
	return def
}

func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

func TestNoWindowExceedsItsBoundInAnySchedule(t *testing.T) {
	const inCI = 10_000
	admitted, err := runSeeds(1, schedules(inCI), variant{})
	require.NoError(t, err)
	require.Positive(t, admitted)
	t.Logf("%d admissions", admitted)
}

func TestCheckerCatchesBrokenProtocols(t *testing.T) {
	early := variant{options: func(o *scenario.Options) { o.Machine.Margin, o.Loss = -250*time.Millisecond, 0.1 }}
	_, err := runSeeds(1, 400, early)
	require.ErrorContains(t, err, "more than rate*window+burst", "lenders take loans back while borrowers can still use them")

	err = errors.Join(expelSilentHolder(time.Hour, 0), expelSilentHolder(time.Hour, 1))
	require.ErrorContains(t, err, "more than rate*window+burst", "an expelled holder does not stop at the fence time")
}

func TestExpelledHolderStopsAtTheFenceTime(t *testing.T) {
	require.NoError(t, expelSilentHolder(0, 0))
	require.NoError(t, expelSilentHolder(0, 1))
}

// expelSilentHolder removes a holder that has lost the store from its roster, while
// it continues to run and to receive requests, and returns the first violation.
func expelSilentHolder(fence time.Duration, victim int) error {
	o := shortOptions(7, rand.New(rand.NewPCG(7, 7)))
	o.DataCentres, o.Daemons, o.FirstFence, o.Loss, o.Late, o.Double = 1, 2, fence, 0, 0, 0
	f := scenario.New(o, []contract.Contract{org("a", 100, 40, 1)})
	old := f.Daemons[victim]
	traffic := func() {
		for _, d := range f.Daemons {
			for d.Alive && f.Take(d, "a") {
			}
		}
	}
	for f.Now < 12*time.Second {
		if f.Now == 3*time.Second {
			old.NoStore = true
			f.Remove(old, false)
			f.Join(0)
		}
		f.Run(traffic)
	}
	return f.Check.Violation
}

func TestCheckerCountsEveryWindow(t *testing.T) {
	c := scenario.NewChecker()
	c.Allow(contract.Contract{Name: "a", Version: 1, Rate: 10, Burst: 5})
	for range 5 {
		c.Admit(0, "a", 1)
	}
	for i := range 100 {
		c.Admit(time.Duration(i+1)*100*time.Millisecond, "a", 1)
	}
	require.NoError(t, c.Violation)
	c.Admit(10050*time.Millisecond, "a", 1)
	require.ErrorContains(t, c.Violation, "0.500 tokens more")
}
