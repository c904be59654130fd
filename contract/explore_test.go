package contract_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/contract"
	"wisteriafold/contract/scenario"
)

// disturbance is what happens to the fleet in one slot of an explored schedule.
type disturbance int

const (
	noDisturbance disturbance = iota
	loseAll                   // every message sent in the slot is lost
	delayAll                  // every message sent in the slot is delayed by up to 700 ms
	pauseA                    // the first holder is paused for 700 ms and resumes with its old loans
	pauseB                    // the second holder is paused likewise
	takeOverA                 // the first holder loses the store and another daemon replaces it
	disturbances
)

const (
	exploreSlots = 5
	exploreSlot  = 300 * time.Millisecond
	exploreWarm  = 1500 * time.Millisecond
)

// TestEverySmallScheduleKeepsTheBound runs the production code through every
// sequence of disturbances, with two holders that are also borrowers, both with
// more demand than they can serve, and one daemon that takes over from the first.
func TestEverySmallScheduleKeepsTheBound(t *testing.T) {
	count := uint64(1)
	for range exploreSlots {
		count *= uint64(disturbances)
	}
	admitted, err := runParallel(0, count, explore)
	require.NoError(t, err)
	require.Positive(t, admitted)
}

func explore(number uint64) (int64, error) {
	o := shortOptions(number, rand.New(rand.NewPCG(1, 1)))
	o.DataCentres, o.Daemons, o.Loss, o.Late, o.Double, o.LateBy = 1, 2, 0, 0, 0, 700*time.Millisecond
	o.Machine.Fence = 600 * time.Millisecond
	f := scenario.New(o, []contract.Contract{org("a", 60, 6, 1)})
	a, b := f.Daemons[0], f.Daemons[1]
	takeAll := func() {
		for _, d := range f.Daemons {
			for d.Running() && f.Take(d, "a") {
			}
		}
	}
	left, taken := number, false
	end := exploreWarm + exploreSlots*exploreSlot
	for f.Now < end+2*time.Second {
		if at := f.Now - exploreWarm; at >= 0 && at%exploreSlot == 0 {
			f.Loss, f.Late = 0, 0
			if f.Now < end {
				taken = apply(f, disturbance(left%uint64(disturbances)), a, b, taken)
				left /= uint64(disturbances)
			}
		}
		f.Run(takeAll)
	}
	return f.Check.Admitted("a"), f.Check.Violation
}

func apply(f *scenario.Fleet, what disturbance, a, b *scenario.Daemon, taken bool) bool {
	switch what {
	case loseAll:
		f.Loss = 1
	case delayAll:
		f.Late = 1
	case pauseA:
		a.PausedUntil = f.Now + 700*time.Millisecond
	case pauseB:
		b.PausedUntil = f.Now + 700*time.Millisecond
	case takeOverA:
		if !taken {
			a.NoStore = true
			f.Remove(a, false)
			f.Join(0)
		}
		return true
	}
	return taken
}
