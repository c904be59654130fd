package backend

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/request"
)

func callOf(id string) *request.Call {
	return &request.Call{ID: id, Importance: request.Normal, Deadline: time.Now().Add(time.Minute)}
}

func reasonOf(err error) request.Reason { return request.AsError(err).Reason }

func TestCancelledCallIsRemovedFromTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(oneSlot, time.Now)
		first, err := g.Enter(t.Context(), callOf("first"), 1)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		var refused error
		go func() { _, refused = g.Enter(ctx, callOf("second"), 1) }()
		synctest.Wait()
		require.EqualValues(t, 1, g.Report().Queued)
		cancel()
		synctest.Wait()
		require.Equal(t, request.ReasonCancelled, reasonOf(refused))
		require.Equal(t, request.NotRun, request.AsError(refused).Outcome)
		require.Zero(t, g.Report().Queued)
		first.Done(Result{})
		require.Zero(t, g.Report().InFlight)
	})
}

func TestDrainRefusesNewCallsAndFinishesEarlierOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(oneSlot, time.Now)
		first, err := g.Enter(t.Context(), callOf("first"), 1)
		require.NoError(t, err)
		var second *Permit
		go func() { second, _ = g.Enter(t.Context(), callOf("second"), 1) }()
		synctest.Wait()
		g.Drain()
		_, err = g.Enter(t.Context(), callOf("third"), 1)
		require.Equal(t, request.ReasonDraining, reasonOf(err))
		first.Done(Result{})
		synctest.Wait()
		require.NotNil(t, second, "a call that waited before the drain still runs")
		select {
		case <-g.Drained():
			t.Fatal("idle while a call runs")
		default:
		}
		second.Done(Result{})
		<-g.Drained()
		g.Resume()
		fourth, err := g.Enter(t.Context(), callOf("fourth"), 1)
		require.NoError(t, err)
		g.Drain()
		again := g.Drained()
		require.Empty(t, again)
		fourth.Done(Result{})
		<-again
	})
}

func TestEvictedCallGetsTheGivenReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(oneSlot, time.Now)
		first, err := g.Enter(t.Context(), callOf("first"), 1)
		require.NoError(t, err)
		var refused error
		go func() { _, refused = g.Enter(t.Context(), callOf("second"), 1) }()
		synctest.Wait()
		require.Equal(t, 1, g.Evict(func(c *request.Call) bool { return c.ID == "second" }, request.ReasonBadKey))
		synctest.Wait()
		require.Equal(t, request.ReasonBadKey, reasonOf(refused))
		first.Done(Result{})
	})
}

func TestWaitingCallTimesOutWithoutOtherTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(oneSlot, time.Now)
		first, err := g.Enter(t.Context(), callOf("first"), 1)
		require.NoError(t, err)
		enteredAt := time.Now()
		_, err = g.Enter(t.Context(), callOf("second"), 1)
		require.Equal(t, request.ReasonQueueTimeout, reasonOf(err))
		require.LessOrEqual(t, time.Since(enteredAt), defaultMaxWait+2*sweepInterval)
		first.Done(Result{})
	})
}

func TestGateHoldsItsLimitsUnderConcurrentUse(t *testing.T) {
	cfg := Config{Slots: 8, MaxConnections: 6, MaxQueue: 16}
	g := NewGate(cfg, time.Now)
	var inGate, most, ran, refused atomic.Int64
	var wg sync.WaitGroup
	for worker := range 40 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(worker), 3))
			for range 200 {
				ctx, cancel := context.WithCancel(context.Background())
				if r.IntN(4) == 0 {
					go cancel()
				}
				pass, err := g.Enter(ctx, callOf("x"), 1)
				if err == nil {
					n := inGate.Add(1)
					for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
					}
					inGate.Add(-1)
					ran.Add(1)
					pass.Done(Result{Shed: r.IntN(50) == 0})
				} else {
					refused.Add(1)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	require.LessOrEqual(t, most.Load(), int64(6))
	require.Equal(t, int64(8000), ran.Load()+refused.Load())
	c := g.Counts()
	require.Equal(t, c.Started, c.Finished)
	require.Zero(t, g.Report().InFlight)
	require.Zero(t, g.Report().Queued)
	g.Drain()
	<-g.Drained()
}
