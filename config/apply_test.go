package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"wisteriafold/platform"
	"wisteriafold/platform/memory"
)

// marked returns a configuration with two organisations that have the same rate,
// so that a partly applied configuration is detected.
func marked(mark int) *Configuration {
	return &Configuration{
		Organisations: []Organisation{{Name: "a", Rate: float64(mark), Burst: 1, Weight: 1}, {Name: "b", Rate: float64(mark), Burst: 1, Weight: 1}},
		DataCentres:   []DataCentre{{Name: "east-1", Region: "east"}},
		Settings:      newSettings(),
	}
}

func mustRead(t testing.TB, table platform.Table) *Stored {
	t.Helper()
	s, err := Read(context.Background(), table)
	require.NoError(t, err)
	return s
}

func mustApply(t testing.TB, table platform.Table, c *Configuration, r *rand.ChaCha8) Result {
	t.Helper()
	base := mustRead(t, table)
	id, err := NewApplyID(base, r)
	require.NoError(t, err)
	res, err := Apply(context.Background(), table, base, c, id)
	require.NoError(t, err)
	return res
}

func TestApplyWritesOnlyWhatDiffersAndReadsBackTheSame(t *testing.T) {
	store, r := memory.New(), rand.NewChaCha8([32]byte{1})
	c := parse(t, validConfig)
	first := mustApply(t, store, c, r)
	require.Equal(t, Result{first.ID, Accepted, 1, 9}, first)
	got := mustRead(t, store).Snapshot
	require.Equal(t, c, asWritten(got.Configuration))
	require.Equal(t, Unchanged, mustApply(t, store, c, r).Outcome)

	changed := *c
	changed.Organisations = []Organisation{c.Organisations[0]}
	changed.Organisations[0].Rate = 30
	changed.Keys = nil
	require.Equal(t, "~ organisation museum: rate 20 -> 30\n- key "+digestA+": organisation museum",
		fmt.Sprintf("%v\n%v", Diff(c, &changed)[1], Diff(c, &changed)[0]))
	second := mustApply(t, store, &changed, r)
	require.Equal(t, Result{second.ID, Accepted, 2, 2}, second)
	require.Empty(t, mustRead(t, store).Snapshot.Configuration.Keys)
}

func TestYAMLOfAConfigurationLoadsAnEqualConfiguration(t *testing.T) {
	c := parse(t, validConfig)
	text, err := c.YAML()
	require.NoError(t, err)
	require.Equal(t, c, parse(t, string(text)))
}

func TestApplyThatLosesARaceIsRejectedWithRaceError(t *testing.T) {
	store, r := memory.New(), rand.NewChaCha8([32]byte{2})
	base := mustRead(t, store)
	id1, _ := NewApplyID(base, r)
	id2, _ := NewApplyID(base, r)
	_, err := Apply(context.Background(), store, base, marked(1), id1)
	require.NoError(t, err)
	res, err := Apply(context.Background(), store, base, marked(2), id2)
	var race *RaceError
	require.ErrorAs(t, err, &race)
	require.Equal(t, RaceError{0, 1}, *race)
	require.Equal(t, Rejected, res.Outcome)
	require.Equal(t, marked(1), asWritten(mustRead(t, store).Snapshot.Configuration))
}

// The write is still in progress when the operator asks for the outcome. A missing
// outcome row proves nothing, so Resolve must give an answer that the late write
// can't change.
func TestRejectionByResolveIsNotOverturnedByALateWrite(t *testing.T) {
	store, r := memory.New(), rand.NewChaCha8([32]byte{3})
	base := mustRead(t, store)
	id, _ := NewApplyID(base, r)
	store.SetFate(func(tx platform.Tx) memory.Fate {
		if len(tx.Writes) > 1 {
			return memory.Late
		}
		return memory.Take
	})
	res, err := Apply(context.Background(), store, base, marked(1), id)
	var fenced *FencedError
	require.ErrorAs(t, err, &fenced)
	require.Equal(t, Rejected, res.Outcome)
	require.Equal(t, 0, store.Land())
	require.Equal(t, uint64(0), mustRead(t, store).Snapshot.Generation)
	res, err = Resolve(context.Background(), store, id)
	require.ErrorAs(t, err, &fenced)
	require.Equal(t, Rejected, res.Outcome)
}

// The store fails after it has committed the write and lost the answer.
func TestUnknownErrorNamesTheCommandThatFindsTheOutcome(t *testing.T) {
	store, r := memory.New(), rand.NewChaCha8([32]byte{4})
	base := mustRead(t, store)
	id, _ := NewApplyID(base, r)
	store.SetFate(func(platform.Tx) memory.Fate {
		store.SetFaults(memory.Faults{Down: true})
		return memory.LoseAnswer
	})
	res, err := Apply(context.Background(), store, base, marked(1), id)
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, Unknown, res.Outcome)
	require.Contains(t, err.Error(), "wisteriafold apply --outcome "+id)
	store.SetFaults(memory.Faults{})
	res, err = Resolve(context.Background(), store, id)
	require.NoError(t, err)
	require.Equal(t, Result{id, Accepted, 1, 0}, res)

	store.SetFaults(memory.Faults{Down: true})
	res, err = Apply(context.Background(), store, base, marked(2), id)
	var unavailable *platform.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.Equal(t, Rejected, res.Outcome)
}

func TestOutcomesAreKeptForABoundedNumberOfGenerations(t *testing.T) {
	store, r := memory.New(), rand.NewChaCha8([32]byte{5})
	ctx := context.Background()
	var first string
	base := mustRead(t, store)
	for i := range applyRetention + 20 {
		id, _ := NewApplyID(base, r)
		if i == 0 {
			first = id
		}
		_, err := Apply(ctx, store, base, marked(i+1), id)
		require.NoError(t, err)
		h, v, err := readHead(ctx, store)
		require.NoError(t, err)
		rows, err := marked(i + 1).rows()
		require.NoError(t, err)
		c := &content{rows: rows, digest: h.Digest, snapshot: NewSnapshot(h.Generation, v, h.Digest, marked(i+1))}
		base = &Stored{c.snapshot, c}
	}
	kept, err := store.Scan(ctx, AppliesTable, "", 2*applyRetention)
	require.NoError(t, err)
	require.LessOrEqual(t, len(kept), applyRetention+2)
	res, err := Resolve(ctx, store, first)
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, Unknown, res.Outcome)
}

// raceOp and raceState model the store as one register that is replaced by
// applies conditional on its generation.
type raceOp struct {
	apply bool
	base  uint64
	mark  int
}

type raceOut struct {
	accepted   bool
	generation uint64
	mark       int
}

type raceState struct {
	generation uint64
	mark       int
}

var raceModel = porcupine.Model{
	Init: func() any { return raceState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(raceState), input.(raceOp), output.(raceOut)
		switch {
		case !in.apply:
			return out.generation == s.generation && out.mark == s.mark, s
		case !out.accepted:
			return true, s
		}
		return in.base == s.generation && out.generation == s.generation+1, raceState{out.generation, in.mark}
	},
}

// race runs operators against a faulty store in virtual time and returns the
// history of their reads and applies.
type race struct {
	mu      sync.Mutex
	history []porcupine.Operation
	store   *memory.Store
	begin   time.Time
}

func (r *race) record(client int, call time.Time, in raceOp, out raceOut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: in, Output: out,
		Call: int64(call.Sub(r.begin)), Return: int64(time.Since(r.begin)),
	})
}

func (r *race) operator(client, applies int, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	secret := rand.NewChaCha8([32]byte{byte(seed), byte(client)})
	for n := range applies {
		time.Sleep(time.Duration(random.IntN(50_000)) * time.Microsecond)
		called := time.Now()
		base, err := Read(context.Background(), r.store)
		if err != nil {
			var busy *BusyError
			var unavailable *platform.UnavailableError
			if errors.As(err, &busy) || errors.As(err, &unavailable) {
				continue
			}
			return err
		}
		mark, err := readMark(base.Snapshot.Configuration)
		if err != nil {
			return err
		}
		r.record(client, called, raceOp{}, raceOut{generation: base.Snapshot.Generation, mark: mark})
		if err := r.applyOnce(client, base, client*1000+n+1, secret, random); err != nil {
			return err
		}
	}
	return nil
}

func (r *race) applyOnce(client int, base *Stored, mark int, secret *rand.ChaCha8, random *rand.Rand) error {
	called := time.Now()
	id, err := NewApplyID(base, secret)
	if err != nil {
		return err
	}
	res, err := Apply(context.Background(), r.store, base, marked(mark), id)
	for res.Outcome == Unknown {
		time.Sleep(time.Duration(random.IntN(20_000)) * time.Microsecond)
		res, err = Resolve(context.Background(), r.store, id)
	}
	if (res.Outcome == Accepted) != (err == nil) {
		return fmt.Errorf("outcome %s with error %w", res.Outcome, err)
	}
	r.record(client, called, raceOp{true, base.Snapshot.Generation, mark}, raceOut{accepted: err == nil, generation: res.Generation})
	return nil
}

func readMark(c *Configuration) (int, error) {
	if len(c.Organisations) == 0 {
		return 0, nil
	}
	if len(c.Organisations) != 2 || c.Organisations[0].Rate != c.Organisations[1].Rate {
		return 0, fmt.Errorf("part of an apply is in force: %v", c.Organisations)
	}
	return int(c.Organisations[0].Rate), nil
}

func TestAppliesOfEightOperatorsWithLostAnswersAreLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New(memory.WithRand(rand.New(rand.NewPCG(seed, 99))))
			r := &race{store: store, begin: time.Now()}
			faults := memory.Faults{Delay: time.Millisecond, LoseAnswers: 0.25, LoseRequests: 0.15, LateCommits: 0.15, LateBy: 30 * time.Millisecond}
			store.SetFaults(faults)
			var done sync.WaitGroup
			failed := make([]error, 8)
			for client := range failed {
				done.Add(1)
				go func() {
					defer done.Done()
					failed[client] = r.operator(client, 25, seed)
				}()
			}
			for range 5 {
				time.Sleep(100 * time.Millisecond)
				store.SetFaults(memory.Faults{Down: true})
				time.Sleep(20 * time.Millisecond)
				store.SetFaults(faults)
			}
			done.Wait()
			time.Sleep(time.Second) // late writes are committed
			for _, err := range failed {
				require.NoError(t, err)
			}
			r.checkAccepted(t)
			require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(raceModel, r.history, time.Minute))
		})
	}
}

// checkAccepted requires that the generations of the accepted applies are 1 to n
// without a gap, and that the last of them is in force.
func (r *race) checkAccepted(t *testing.T) {
	t.Helper()
	byGeneration := map[uint64]int{}
	rejected := 0
	for _, op := range r.history {
		in, out := op.Input.(raceOp), op.Output.(raceOut)
		if in.apply && out.accepted {
			require.Zero(t, byGeneration[out.generation])
			byGeneration[out.generation] = in.mark
		} else if in.apply {
			rejected++
		}
	}
	require.NotZero(t, rejected)
	n := uint64(len(byGeneration))
	require.Greater(t, n, uint64(10))
	for g := uint64(1); g <= n; g++ {
		require.NotZero(t, byGeneration[g], "generation %d", g)
	}
	r.store.SetFaults(memory.Faults{})
	last := mustRead(t, r.store).Snapshot
	require.Equal(t, n, last.Generation)
	mark, err := readMark(last.Configuration)
	require.NoError(t, err)
	require.Equal(t, byGeneration[n], mark)
}
