package contract_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/contract"
	"wisteriafold/contract/scenario"
)

func steadyOptions(seed uint64, dcs, daemons int) scenario.Options {
	return scenario.Options{
		Seed: seed, DataCentres: dcs, Daemons: daemons, Step: 10 * time.Millisecond,
		Near: time.Millisecond, Far: 20 * time.Millisecond, Poll: 500 * time.Millisecond,
	}
}

func org(name string, rate, burst float64, dcs int) contract.Contract {
	return contract.Contract{Name: name, Rate: rate, Burst: burst, Shares: scenario.EvenShares(dcs)}
}

func TestTinyDeploymentUsesItsWholeRate(t *testing.T) {
	f := scenario.New(steadyOptions(1, 1, 1), []contract.Contract{org("a", 100, 50, 1)})
	for f.Now < 20*time.Second {
		f.Run(nil)
		for range 2 {
			f.Take(f.Daemons[0], "a")
		}
	}
	require.NoError(t, f.Check.Violation)
	t.Log(f.Check.Admitted("a"))
}

func TestDemandAtOneDaemonReachesTheWholeRate(t *testing.T) {
	f := scenario.New(steadyOptions(1, 4, 4), []contract.Contract{org("a", 400, 200, 4)})
	for f.Now < 20*time.Second {
		f.Run(nil)
		for range 8 {
			f.Take(f.Daemons[0], "a")
		}
		if f.Now%time.Second == 0 {
			t.Log(f.Now, f.Check.Admitted("a"))
		}
	}
	require.NoError(t, f.Check.Violation)
}

// A token that is given back after its bucket was full would let the window that
// begins while the bucket is full admit one token more than its bound. Random
// schedules found this failure.
func TestTokenGivenBackAfterTheBucketWasFullIsLost(t *testing.T) {
	f := scenario.New(steadyOptions(1, 1, 1), []contract.Contract{org("a", 200, 10, 1)})
	d := f.Daemons[0]
	drain := func() {
		for f.Take(d, "a") {
		}
	}
	for f.Now < 6*time.Second {
		f.Run(drain)
	}
	for f.Return(d, "a", 500*time.Millisecond); f.Now < 6450*time.Millisecond; {
		f.Run(nil)
	}
	f.Run(func() { f.Take(d, "a") }) // the bucket is full now
	for f.Now < 8*time.Second {
		f.Run(drain)
	}
	require.NoError(t, f.Check.Violation)
}

func TestLeavingHandsSharesOverWithoutWaiting(t *testing.T) {
	f := scenario.New(steadyOptions(1, 1, 3), []contract.Contract{org("a", 100, 50, 1)})
	for f.Now < 5*time.Second {
		f.Run(nil)
	}
	f.Inject(scenario.Leave, rand.New(rand.NewPCG(1, 1)), 0)
	for f.Now < 15*time.Second {
		f.Run(nil)
	}
	var rate float64
	for _, d := range f.Daemons {
		for _, s := range d.Machine.Status(d.Clock()).Shares {
			if d.Alive {
				rate += s.Own.Rate
			}
		}
	}
	require.InDelta(t, 100, rate, 1e-6, "all shares are held again, long before the fence time")
}

// A link is a contract whose tokens are bytes; one request takes many of them.
func TestLinkCarriesLargePieces(t *testing.T) {
	const bytesPerSecond, piece = 3_750_000, 64 << 10
	f := scenario.New(steadyOptions(1, 4, 2), []contract.Contract{org("link", bytesPerSecond, bytesPerSecond, 4)})
	sent := 0
	for f.Now < 10*time.Second {
		f.Run(func() {
			d := f.Daemons[0]
			if f.Now%(50*time.Millisecond) == 0 && d.Machine.Limiter().TakeN(d.Clock(), "link", piece).OK {
				f.Check.Admit(f.Now, "link", piece)
				sent += piece
			}
		})
	}
	require.NoError(t, f.Check.Violation)
	const offered, running = piece * 20, 6 // bytes per second, seconds after the start
	require.Greater(t, float64(sent), 0.9*offered*running)
}
