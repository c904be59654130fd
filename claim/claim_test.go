package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"wisteriafold/platform"
	"wisteriafold/platform/memory"
	"wisteriafold/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 11)) }

func claims(s *memory.Store, name string, seed uint64) *Claims {
	return New(Config{}, s, s.Objects(), name, newRand(seed))
}

func keyOf(v string) Key { return Key{Organisation: "o", Route: "deposit", Value: v, Digest: "d"} }

// take claims k, with a timeout of one second.
func take(c *Claims, k Key) (*Held, *Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Take(ctx, k)
}

// runInVirtualTime runs test in virtual time, and then waits until the writers are idle.
func runInVirtualTime(t *testing.T, test func(*testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		test(t)
	})
}

func requireRefusal(t *testing.T, err error, o request.Outcome, r request.Reason) {
	t.Helper()
	require.Error(t, err)
	e := request.AsError(err)
	require.Equal(t, o, e.Outcome, e.Error())
	require.Equal(t, r, e.Reason)
}

// runCounter counts the runs of each key and checks the answers that callers get.
type runCounter struct {
	mu       sync.Mutex
	runs     map[string]int
	recorded map[string]string // body of the answer that Record accepted
}

func (w *runCounter) run(key string) *Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[key]++
	return &Answer{Status: 201, Body: []byte(fmt.Sprintf("%s run %d", key, w.runs[key]))}
}

// serve simulates one arrival of a request at an instance. The instance may pause or
// crash, shed the request or lose the answer. serve reports whether the caller is
// done and does not retry.
func (w *runCounter) serve(t *testing.T, c *Claims, key string, r *rand.Rand) bool {
	held, answer, err := take(c, keyOf(key))
	w.mu.Lock()
	ran, recorded := w.runs[key], w.recorded[key]
	w.mu.Unlock()
	switch {
	case answer != nil:
		require.Equal(t, key+" run 1", string(answer.Body))
		return true
	case err != nil:
		if request.AsError(err).Reason == request.ReasonClaimUnknown && recorded == "" {
			require.LessOrEqual(t, ran, 1)
			return true
		}
		return false
	}
	require.Zero(t, ran, "claim taken for a key that has run")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	switch r.IntN(6) {
	case 0: // instance crashes between claim and dispatch
		return false
	case 1: // instance pauses between claim and dispatch
		time.Sleep(time.Duration(r.IntN(5000)) * time.Millisecond)
	case 2: // shed by the gate
		_ = held.Release(ctx)
		return false
	case 3: // request runs and its answer is lost
		w.run(key)
		_ = held.RecordLost(ctx)
		return false
	}
	answer = w.run(key)
	if held.Record(ctx, answer) == nil {
		w.mu.Lock()
		w.recorded[key] = string(answer.Body)
		w.mu.Unlock()
	}
	return r.IntN(2) == 0 // the caller may not receive the answer
}

func TestNoKeyRunsTwiceUnderFaults(t *testing.T) {
	for seed := range uint64(6) {
		runInVirtualTime(t, func(t *testing.T) {
			store := memory.New(memory.WithRand(newRand(seed)))
			w := &runCounter{runs: map[string]int{}, recorded: map[string]string{}}
			var instances []*Claims
			for i := range 4 {
				instances = append(instances, claims(store, fmt.Sprint("i", i), 100*seed+uint64(i)))
			}
			faults := memory.Faults{Delay: 8 * time.Millisecond, LoseAnswers: 0.15, LoseRequests: 0.1, LateCommits: 0.15, LateBy: 700 * time.Millisecond}
			store.SetFaults(faults)
			var wg sync.WaitGroup
			for caller := range 40 {
				wg.Go(func() {
					r := newRand(1000*seed + uint64(caller))
					key := fmt.Sprint("k", caller/2) // two callers race for each key
					for range 25 {
						if w.serve(t, instances[r.IntN(4)], key, r) {
							return
						}
						time.Sleep(time.Duration(50+r.IntN(400)) * time.Millisecond)
					}
				})
			}
			for i := range 20 {
				time.Sleep(400 * time.Millisecond)
				faults.Down = i%5 == 4
				store.SetFaults(faults)
				_, _ = instances[i%4].Maintain(context.Background(), true)
			}
			wg.Wait()
			store.SetFaults(memory.Faults{})
			time.Sleep(time.Second)
			for _, c := range instances {
				_, err := c.Maintain(context.Background(), true)
				require.NoError(t, err)
				require.Zero(t, c.Stats().Unsettled)
			}
			for key, n := range w.runs {
				require.LessOrEqual(t, n, 1, key)
				held, answer, err := take(instances[0], keyOf(key))
				require.Nil(t, held)
				if body := w.recorded[key]; body != "" {
					require.NoError(t, err)
					require.Equal(t, body, string(answer.Body))
				}
			}
		})
	}
}

// storeWithAbandonedClaim returns a store and an instance that has abandoned a claim:
// the store went down while the commit of the claim was still in transit.
func storeWithAbandonedClaim(t *testing.T) (*memory.Store, *Claims) {
	store := memory.New()
	a := claims(store, "a", 1)
	store.SetFate(func(platform.Tx) memory.Fate {
		store.SetFaults(memory.Faults{Down: true})
		return memory.Late
	})
	_, _, err := take(a, keyOf("k"))
	requireRefusal(t, err, request.NotRun, request.ReasonStoreDown)
	store.SetFate(nil)
	store.SetFaults(memory.Faults{})
	require.Equal(t, 1, a.Stats().Unsettled)
	return store, a
}

func TestClaimCommittedAfterItWasAbandonedIsReleased(t *testing.T) {
	for _, landsFirst := range []bool{true, false} {
		runInVirtualTime(t, func(t *testing.T) {
			store, a := storeWithAbandonedClaim(t)
			b := claims(store, "b", 2)
			if landsFirst {
				require.Equal(t, 1, store.Land())
				_, _, err := take(b, keyOf("k"))
				requireRefusal(t, err, request.Unknown, request.ReasonClaimHeld)
			}
			_, err := a.Maintain(context.Background(), false)
			require.NoError(t, err)
			require.Zero(t, store.Land(), "the released row prevents the late commit")
			held, _, err := take(b, keyOf("k"))
			require.NoError(t, err)
			require.NotNil(t, held)
		})
	}
}

func TestOneConflictDoesNotFailItsGroup(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		store := memory.New()
		held, _, err := take(claims(store, "a", 1), keyOf("k7"))
		require.NoError(t, err)
		require.NotNil(t, held)
		w := NewWriter(Config{}, store)
		b := NewWithSubmitter(Config{}, store, store.Objects(), w, "b", newRand(2))
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				held, _, err := take(b, keyOf(fmt.Sprint("k", i)))
				if i == 7 {
					requireRefusal(t, err, request.Unknown, request.ReasonClaimHeld)
					return
				}
				require.NoError(t, err)
				require.NotNil(t, held)
			})
		}
		wg.Wait()
		require.EqualValues(t, 199, w.writes.Load())
		require.LessOrEqual(t, w.commits.Load(), uint64(200/64+1+1), "four groups, one of which is committed twice")
	})
}

func TestRetriesGetTheOutcomeOfTheFirstRun(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		ctx := context.Background()
		store := memory.New()
		a, b := claims(store, "a", 1), claims(store, "b", 2)
		record := func(k string, bytes int) {
			held, _, err := take(a, keyOf(k))
			require.NoError(t, err)
			require.NoError(t, held.MayDispatch())
			require.NoError(t, held.Record(ctx, &Answer{Status: 201, Body: []byte(strings.Repeat("x", bytes))}))
		}
		record("small", 10)
		record("large", 100_000)
		record("huge", 2<<20)
		for k, n := range map[string]int{"small": 10, "large": 100_000} {
			_, answer, err := take(b, keyOf(k))
			require.NoError(t, err)
			require.Len(t, answer.Body, n)
		}
		_, _, err := take(b, keyOf("huge"))
		requireRefusal(t, err, request.Unknown, request.ReasonClaimUnknown)
		other := keyOf("small")
		other.Digest = "another body"
		_, _, err = take(b, other)
		requireRefusal(t, err, request.NotRun, request.ReasonKeyReused)
		_, _, err = take(b, Key{})
		requireRefusal(t, err, request.NotRun, request.ReasonBadRequest)
		e, err := b.Explain(ctx, keyOf("small"))
		require.NoError(t, err)
		require.Equal(t, Answered, e.Row.State)
		require.Equal(t, "a", e.Row.Claimant)
		store.SetFaults(memory.Faults{Down: true})
		_, _, err = take(b, keyOf("new"))
		requireRefusal(t, err, request.NotRun, request.ReasonStoreDown)
		require.Positive(t, request.AsError(err).RetryAfter)
		require.Zero(t, b.Stats().Unsettled, "a claim refused during an outage was certainly not committed")
	})
}

func TestClaimsAreRemovedByAgeOnly(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		ctx := context.Background()
		store := memory.New()
		a := claims(store, "a", 1)
		held, _, err := take(a, keyOf("k"))
		require.NoError(t, err)
		store.SetFate(func(platform.Tx) memory.Fate { return memory.Late })
		_, _, err = take(a, keyOf("late"))
		require.Error(t, err)
		time.Sleep(10 * time.Second)
		store.SetFate(nil)
		began := time.Now()
		for {
			_, err = a.Maintain(ctx, true)
			require.NoError(t, err)
			e, err := a.Explain(ctx, keyOf("k"))
			require.NoError(t, err)
			if !e.Found {
				break
			}
			time.Sleep(10 * time.Minute)
		}
		require.GreaterOrEqual(t, time.Since(began), 24*time.Hour)
		require.Error(t, held.MayDispatch(), "a holder that paused for longer than MaxHold must not run the request")
		require.Zero(t, store.Land(), "a claim from an earlier epoch is never committed")
		require.True(t, errors.Is(held.RecordLost(ctx), ErrRowChanged))
	})
}

// BenchmarkTakeAndRecord measures taking a claim and recording its answer, with many
// concurrent callers that share one writer to an in-memory store without delay.
func BenchmarkTakeAndRecord(b *testing.B) {
	store := memory.New()
	w := NewWriter(Config{Interval: time.Microsecond, Delay: time.Microsecond}, store)
	c := NewWithSubmitter(Config{}, store, store.Objects(), w, "a", newRand(1))
	var n sync.Mutex
	i := 0
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n.Lock()
			i++
			k := fmt.Sprint(i)
			n.Unlock()
			held, _, err := c.Take(context.Background(), keyOf(k))
			if err != nil {
				b.Error(err)
				return
			}
			_ = held.Record(context.Background(), &Answer{Status: 200})
		}
	})
	b.ReportMetric(float64(w.writes.Load())/float64(w.commits.Load()), "writes/commit")
}
