package bench

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/contract/scenario"
)

// The overshoot of any way is seen: gossiped counters exceed the bound, static
// parts and conserved shares do not.
func TestGossipOvershootsAndSharesDoNot(t *testing.T) {
	w := newSharesWay(5)
	ours := runContracts(w, w.fleet.Check, 5, contractExcess, 8*time.Second)
	require.Zero(t, ours.Overshoot)
	require.Zero(t, runContracts(newStaticWay(), allowed(), 5, contractExcess, 8*time.Second).Overshoot)
	require.Positive(t, runContracts(newGossipWay(), allowed(), 5, contractExcess, 8*time.Second).Overshoot)
}

// BenchmarkContractFaults prints, for each fault, the part of the requests
// within the rate that were refused, and the overshoot.
func BenchmarkContractFaults(b *testing.B) {
	const every, lasts = 10 * time.Second, 4 * time.Second
	for kind := range scenario.Faults {
		b.Run(kind.String(), func(b *testing.B) {
			for i := range b.N {
				seed := uint64(i + 1)
				rng := rand.New(rand.NewPCG(seed, 4))
				w := newSharesWay(seed)
				w.faults = func(f *scenario.Fleet) {
					if f.Now > 0 && f.Now%every == 0 {
						f.Inject(kind, rng, lasts)
					}
				}
				reportContracts(b, runContracts(w, w.fleet.Check, seed, contractLoad, contractFor))
			}
		})
	}
	for _, loss := range []float64{0, 0.02, 0.1} {
		b.Run(fmt.Sprintf("loss-and-delay-%g%%", loss*100), func(b *testing.B) {
			for i := range b.N {
				seed := uint64(i + 1)
				w := newSharesWay(seed)
				w.fleet.Loss, w.fleet.Late, w.fleet.Double = loss, loss, loss
				reportContracts(b, runContracts(w, w.fleet.Check, seed, contractLoad, contractFor))
			}
		})
	}
}

func reportContracts(b *testing.B, r contractResult) {
	b.ReportMetric(100*r.wrongful(), "refused-%")
	b.ReportMetric(r.Overshoot, "overshoot-tokens")
	b.ReportMetric(0, "ns/op")
}
