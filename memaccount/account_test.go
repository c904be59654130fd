package memaccount_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wisteriafold/memaccount"
)

// Failure: the bytes held together exceed the limit, or a part takes the room of others.
func TestReservationsStayWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := memaccount.New(100)
		parts := []*memaccount.Part{a.Part(100), a.Part(60)}
		var holdings []*memaccount.Holding
		held := map[*memaccount.Holding]int64{}
		partOf := map[*memaccount.Holding]int{}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "part")
				h := parts[i].Hold()
				holdings, partOf[h] = append(holdings, h), i
			},
			"reserve": func(t *rapid.T) {
				if len(holdings) == 0 {
					t.Skip("nothing to reserve for")
				}
				h := rapid.SampledFrom(holdings).Draw(t, "holding")
				n := rapid.Int64Range(1, 40).Draw(t, "bytes")
				var total, part int64
				for o, b := range held {
					total += b
					if partOf[o] == partOf[h] {
						part += b
					}
				}
				fits := total+n <= 100 && part+n <= parts[partOf[h]].Limit()
				require.Equal(t, fits, h.TryReserve(n))
				if fits {
					held[h] += n
				}
			},
			"trim": func(t *rapid.T) {
				if len(holdings) == 0 {
					t.Skip("nothing to trim")
				}
				h := rapid.SampledFrom(holdings).Draw(t, "holding")
				n := rapid.Int64Range(0, 40).Draw(t, "bytes")
				h.Trim(n)
				held[h] = min(held[h], n)
			},
			"": func(t *rapid.T) {
				var total int64
				for h, b := range held {
					total += b
					require.Equal(t, b, h.Bytes())
				}
				require.Equal(t, total, a.Stats().Used)
				require.LessOrEqual(t, total, a.Stats().Limit)
				require.LessOrEqual(t, parts[1].Used(), int64(60))
			},
		})
	})
}

// Failure: a reservation that does not fit fails at once, or waits beyond its deadline,
// or is overtaken without end by smaller ones.
func TestReservationsWaitInOrderUntilTheirDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memaccount.New(100).Part(100)
		first, large, small := p.Hold(), p.Hold(), p.Hold()
		require.True(t, first.TryReserve(90))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started := time.Now()
		require.ErrorIs(t, large.Reserve(ctx, 50), context.DeadlineExceeded)
		require.Equal(t, time.Second, time.Since(started))
		require.Zero(t, large.Bytes())

		granted := make(chan error, 1)
		go func() { granted <- large.Reserve(t.Context(), 50) }()
		synctest.Wait()
		require.False(t, small.TryReserve(5), "it would overtake the waiting one")
		first.Trim(45)
		require.NoError(t, <-granted)
		require.True(t, small.TryReserve(5))
		require.ErrorIs(t, small.Reserve(t.Context(), 96), memaccount.ErrTooLarge)
		first.Release()
		first.Release()
		large.Release()
		small.Release()
		require.Zero(t, p.Used())
	})
}

// Failure: one long answer that waits for room holds up all ordinary ones.
func TestSmallReservationsOvertakeLargerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memaccount.New(6400).Part(6400)
		first, large, small := p.Hold(), p.Hold(), p.Hold()
		require.True(t, first.TryReserve(6200))
		granted := make(chan error, 2)
		go func() { granted <- large.Reserve(t.Context(), 1000) }()
		synctest.Wait()
		require.True(t, small.TryReserve(100))
		require.NoError(t, small.Reserve(t.Context(), 100))
		go func() { granted <- small.Reserve(t.Context(), 100) }()
		synctest.Wait()
		first.Trim(6100)
		require.NoError(t, <-granted)
		require.EqualValues(t, 300, small.Bytes())
		require.Zero(t, large.Bytes())
		first.Release()
		require.NoError(t, <-granted)
		require.EqualValues(t, 1300, p.Used())
	})
}

// Failure: holders that grow step by step wait for each other until their deadlines.
func TestHoldersThatWaitForEachOtherGiveUpOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := memaccount.New(100)
		p := a.Part(50)
		other := a.Part(100).Hold()
		require.True(t, other.TryReserve(40), "holders of other parts do not count")
		var finished, gaveUp atomic.Int64
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				h := p.Hold()
				defer h.Release()
				for range 30 {
					if err := h.Reserve(t.Context(), 1); err != nil {
						assert.ErrorIs(t, err, memaccount.ErrNoRoom)
						gaveUp.Add(1)
						return
					}
					time.Sleep(time.Duration(1+rand.IntN(3)) * time.Millisecond)
				}
				finished.Add(1)
			})
		}
		wg.Wait()
		require.Positive(t, finished.Load(), "not all give up")
		require.Positive(t, gaveUp.Load())
		require.Zero(t, p.Used())
	})
}

// Failure: a reservation that is granted while its context ends is lost and never given
// back, or counts although it failed.
func TestReservationsUnderRacesAreGivenBack(t *testing.T) {
	a := memaccount.New(64)
	parts := []*memaccount.Part{a.Part(64), a.Part(32)}
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for range 200 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.IntN(200))*time.Microsecond)
				h := parts[i%2].Hold()
				for range 3 {
					err := h.Reserve(ctx, 1+rand.Int64N(16))
					assert.True(t, err == nil || ctx.Err() != nil || errors.Is(err, memaccount.ErrNoRoom) || errors.Is(err, memaccount.ErrTooLarge), err)
				}
				h.Release()
				cancel()
			}
		})
	}
	wg.Wait()
	require.Zero(t, a.Stats().Used)
	require.Zero(t, a.Stats().Waiting)
}
