package contract_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/contract"
	"wisteriafold/contract/scenario"
	"wisteriafold/request"
)

func singleDaemonFleet(tb testing.TB, rate float64) *scenario.Fleet {
	f := scenario.New(steadyOptions(1, 1, 1), []contract.Contract{org("a", rate, rate, 1)})
	for f.Now < 4*time.Second {
		f.Run(func() { f.Take(f.Daemons[0], "a") })
	}
	require.NotEmpty(tb, f.Daemons[0].Machine.Status(f.Daemons[0].Clock()).Shares)
	return f
}

func TestWaitRefusesWithReasonAfterMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := contract.Config{Self: "127.0.0.1:1", DataCentre: "dc0", Epoch: time.Now(), Rand: rand.New(rand.NewPCG(1, 1))}
		m := contract.New(cfg)
		require.NoError(t, m.SetContracts(time.Now(), 1, []contract.Contract{{
			Name: "a", Version: 1, Rate: 10, Burst: 5, Shares: scenario.EvenShares(1),
		}}))
		start := time.Now()
		_, err := m.Limiter().Wait(context.Background(), "a")
		require.Equal(t, contract.DefaultMaxWait, time.Since(start).Round(10*time.Millisecond))
		refusal := request.AsError(err)
		require.Equal(t, request.NotRun, refusal.Outcome)
		require.Equal(t, request.ReasonRate, refusal.Reason)
		require.Positive(t, refusal.RetryAfter)

		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		start = time.Now()
		_, err = m.Limiter().Wait(ctx, "a")
		require.Error(t, err)
		require.Equal(t, 30*time.Millisecond, time.Since(start))
	})
}

func TestTakeDoesNotAllocate(t *testing.T) {
	f := singleDaemonFleet(t, 1e6)
	l, now := f.Daemons[0].Machine.Limiter(), f.Daemons[0].Clock()
	require.Zero(t, testing.AllocsPerRun(1000, func() { l.Take(now, "a") }))
}

func BenchmarkTake(b *testing.B) {
	f := singleDaemonFleet(b, 1e9)
	l, now := f.Daemons[0].Machine.Limiter(), f.Daemons[0].Clock()
	b.Run("one", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			l.Take(now, "a")
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				l.Take(now, "a")
			}
		})
	})
}

// BenchmarkControlIdle reports the processor time, bytes and messages of control
// per daemon without requests.
func BenchmarkControlIdle(b *testing.B) {
	for range b.N {
		control(b, 16, 200, 0)
	}
}

// BenchmarkControl reports the processor time, bytes and messages of control per
// daemon, with 20 requests per second at each daemon, spread over all
// organisations.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ daemons, organisations int }{{4, 8}, {4, 64}, {4, 200}, {16, 8}, {16, 64}, {16, 200}, {32, 64}} {
		b.Run(fmt.Sprintf("daemons=%d/organisations=%d", 4*size.daemons, size.organisations), func(b *testing.B) {
			for range b.N {
				control(b, size.daemons, size.organisations, 20)
			}
		})
	}
}

func control(b *testing.B, daemons, organisations int, perDaemon float64) {
	const lasts, step = 4 * time.Second, 20 * time.Millisecond
	o := steadyOptions(1, 4, daemons)
	o.Step, o.CountBytes = step, true
	rate := max(10, 2*perDaemon*float64(4*daemons)/float64(organisations))
	var cs []contract.Contract
	for i := range organisations {
		cs = append(cs, org(fmt.Sprintf("org%d", i), rate, rate, 4))
	}
	f := scenario.New(o, cs)
	rng := rand.New(rand.NewPCG(1, 1))
	waiting := make(map[*contract.Waiter]*scenario.Daemon)
	traffic := func() {
		for w, d := range waiting {
			if v, over := w.Try(d.Clock()); over {
				w.Stop(v)
				delete(waiting, w)
			}
		}
		for _, d := range f.Daemons {
			if rng.Float64() >= perDaemon*step.Seconds() {
				continue
			}
			w, v := d.Machine.Limiter().Await(d.Clock(), cs[rng.IntN(len(cs))].Name, 1)
			if v.OK {
				w.Stop(v)
			} else {
				waiting[w] = d
			}
		}
	}
	for f.Now < 6*time.Second {
		f.Run(traffic)
	}
	f.Bytes, f.Messages = 0, 0
	start := time.Now()
	for end := f.Now + lasts; f.Now < end; {
		f.Run(traffic)
	}
	n := float64(len(f.Daemons)) * lasts.Seconds()
	b.ReportMetric(100*time.Since(start).Seconds()/n, "core-%")
	b.ReportMetric(float64(f.Bytes)/n, "bytes/s")
	b.ReportMetric(float64(f.Messages)/n, "messages/s")
	b.ReportMetric(0, "ns/op")
}
