package contract_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/contract"
	"wisteriafold/contract/scenario"
)

func steady(seed uint64, dcs, daemons int) scenario.Options {
	return scenario.Options{
		Seed: seed, DataCentres: dcs, Daemons: daemons, Step: 10 * time.Millisecond,
		Near: time.Millisecond, Far: 20 * time.Millisecond, Poll: 500 * time.Millisecond,
	}
}

func org(name string, rate, burst float64, dcs int) contract.Contract {
	return contract.Contract{Name: name, Rate: rate, Burst: burst, Shares: scenario.EvenShares(dcs)}
}

func TestTinyDeploymentUsesItsWholeRate(t *testing.T) {
	f := scenario.New(steady(1, 1, 1), []contract.Contract{org("a", 100, 50, 1)})
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
	f := scenario.New(steady(1, 4, 4), []contract.Contract{org("a", 400, 200, 4)})
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
