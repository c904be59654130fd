package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/membership"
	"wisteriafold/platform"
)

// drill makes the store unreachable for some time. It comes back with an earlier
// generation and set of evacuated data centres, and the operator writes again what it had
// written after some more time.
func (w *simulation) drill(copied uint64, copiedSet []string, away, rewriteAfter time.Duration) {
	newest, newestSet := w.generation, w.evacuated
	w.storeRefuses = func(string) bool { return true }
	w.after(away, func() {
		w.epoch++
		w.generation, w.evacuated = copied, copiedSet
		w.storeRefuses = func(string) bool { return false }
	})
	w.after(away+rewriteAfter, func() {
		w.generation, w.evacuated = max(w.generation, newest), newestSet
	})
}

// restart replaces a daemon by one that knows only what it reads.
func (w *simulation) restart(d *daemon) {
	self := &membership.Entry{Peer: d.peer, Region: d.fleet.self.Region, DataCentre: d.fleet.self.DataCentre, Incarnation: d.fleet.self.Incarnation + 1}
	entries := d.fleet.dir.All()
	d.generation, d.document = 0, nil
	d.fleet = New(self, d)
	d.fleet.Merge(entries)
	d.fleet.Announce(self)
}

// Failure: the store comes back from an earlier copy, and a daemon takes the copy for a
// confirmation of its configuration although a newer one was accepted and lost; goes back
// to the older one; or never confirms a configuration again, as its version is lower.
// Daemons restart meanwhile, and two drills come in a row.
func TestStoreFromAnEarlierCopyConfirmsNothingOlder(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newSimulation(t, seed, 8)
			w.run(5 * time.Second)
			for drill := range uint64(2) {
				copied := w.generation
				for range w.rng.IntN(4) { // generations that the copy lacks, some of which no daemon has read
					w.accept(w.generation + 1)
					w.run(w.now + time.Duration(w.rng.IntN(700))*time.Millisecond)
				}
				highest := make(map[string]uint64)
				for _, d := range w.daemons {
					highest[d.peer] = d.generation
				}
				w.drill(copied, nil, time.Duration(200+w.rng.IntN(1500))*time.Millisecond, time.Duration(w.rng.IntN(1900))*time.Millisecond)
				var restarted *daemon
				if w.rng.IntN(2) == 0 {
					restarted = w.daemons[w.rng.IntN(len(w.daemons))]
					w.after(time.Duration(w.rng.IntN(4000))*time.Millisecond, func() { w.restart(restarted) })
				}
				w.run(w.now + 10*time.Second) // check asserts that no daemon confirms too much
				for _, d := range w.daemons {
					require.Equal(t, w.generation, d.generation, d.peer)
					require.GreaterOrEqual(t, d.generation, highest[d.peer])
					require.Less(t, w.age(d), 3*time.Second, "%s confirms nothing", d.peer)
					require.Equal(t, drill+1, d.fleet.Epoch(), d.peer)
					if d != restarted && drill == 0 {
						require.Equal(t, []uint64{1}, d.storeEpochs, d.peer)
					}
				}
			}
		})
	}
}

// Failure: all daemons end right after the store came back from a copy that holds an
// older configuration. The new ones confirm it, and serve a key that was withdrawn.
func TestDaemonsThatStartOnAnEarlierCopyWaitForTheOperator(t *testing.T) {
	w := newSimulation(t, 1, 6)
	w.run(5 * time.Second)
	w.accept(2)
	w.run(w.now + 3*time.Second)
	w.drill(1, nil, 300*time.Millisecond, 1800*time.Millisecond)
	w.run(w.now + 400*time.Millisecond)
	for _, d := range w.daemons {
		w.restart(d)
	}
	w.run(w.now + time.Second) // check asserts that none confirms generation 1
	for _, d := range w.daemons {
		require.Equal(t, time.Hour, w.age(d), "%s has confirmed generation %d", d.peer, d.generation)
	}
	w.run(w.now + 5*time.Second)
	for _, d := range w.daemons {
		require.Equal(t, uint64(2), d.generation)
		require.Less(t, w.age(d), 3*time.Second)
	}
}

// Failure: an evacuation that the copy lacks is lifted until the operator writes it again.
func TestEvacuationHoldsWhileTheOperatorWritesItAgain(t *testing.T) {
	self := &membership.Entry{Peer: "10.0.0.1:7000", Region: "r0", DataCentre: "dc0", Incarnation: 1}
	d := &daemon{w: newSimulation(t, 1, 1), peer: self.Peer}
	f := New(self, d)
	f.TrackEvacuations()
	read := func(at time.Duration, epoch, sequence uint64, evacuated ...string) {
		f.Tick(at)
		f.HandleStoreRead(at, Reading{Document: []byte("1"), Version: platform.NewVersion(epoch, 3), Evacuated: evacuated, StoreVersion: platform.NewVersion(epoch, sequence)}, true)
	}
	inForce := func() []string {
		names, version := f.Evacuated()
		require.NotZero(t, version)
		return names
	}
	read(10*time.Second, 0, 50, "a", "b")
	read(12*time.Second, 1, 40, "c") // the copy
	require.Equal(t, []string{"a", "b", "c"}, inForce())
	read(13*time.Second, 1, 41, "a", "c")
	require.Equal(t, []string{"a", "b", "c"}, inForce())
	f.Tick(12*time.Second + rewriteWait)
	require.Equal(t, []string{"a", "c"}, inForce(), "b was not written again")
	require.Equal(t, []uint64{1}, d.storeEpochs)
}
