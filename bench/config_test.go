package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestConfigurationMeetsItsBounds(t *testing.T) {
	for _, m := range configuration(1, 12).Measures {
		require.True(t, m.OK(), m.String())
	}
}

// BenchmarkConfigSpread prints the points of the slopes in docs/CAPACITY.md.
func BenchmarkConfigSpread(b *testing.B) {
	for _, daemons := range []int{16, 64, 256, 800} {
		for _, changes := range []float64{0, 0.72, 4} {
			b.Run(fmt.Sprintf("daemons=%d/changes=%g", daemons, changes), func(b *testing.B) {
				var c ConfigCost
				for b.Loop() {
					c = ConfigSpread(1, daemons, changes, time.Minute)
				}
				b.ReportMetric(c.Bytes, "B/s")
				b.ReportMetric(c.BusiestBytes, "busiest-B/s")
				b.ReportMetric(c.Messages, "msg/s")
				b.ReportMetric(c.Reads, "reads/s")
				b.ReportMetric(c.Core*100, "%core")
			})
		}
	}
}
