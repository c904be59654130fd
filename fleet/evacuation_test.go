package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"wisteriafold/membership"
	"wisteriafold/wire"
)

// evacuation is one change of the set in the store.
type evacuation struct {
	at      time.Duration
	version uint64
	set     []string
}

// newEvacuationSimulation returns a simulation whose daemons keep the set of evacuated
// data centres.
func newEvacuationSimulation(t *testing.T, seed uint64, daemons int) *simulation {
	w := newSimulation(t, seed, daemons)
	for _, d := range w.daemons {
		d.fleet.TrackEvacuations()
	}
	w.evacuate()
	return w
}

// evacuate replaces the set in the store.
func (w *simulation) evacuate(dataCentres ...string) {
	w.storeVersion += 1 + uint64(w.rng.IntN(5)) // other tables are written, too
	w.evacuated = dataCentres
	w.evacuations = append(w.evacuations, evacuation{w.now, w.storeVersion, dataCentres})
}

// checkEvacuated asserts that a daemon never knows a set that was not in the store, and
// that it knows each change that was accepted before the time that ConfirmedAt returns.
func (w *simulation) checkEvacuated(d *daemon) {
	set, version := d.fleet.Evacuated()
	if version == 0 {
		return
	}
	at, confirmed := d.fleet.ConfirmedAt()
	var inStore []string
	for _, e := range w.evacuations {
		if e.version <= version {
			inStore = e.set
		}
		if confirmed && e.at < at {
			require.GreaterOrEqual(w.t, version, e.version, "%s confirms %s without a change of %s", d.peer, at, e.at)
		}
	}
	require.ElementsMatch(w.t, inStore, set, d.peer)
}

// know reports whether all daemons but one know exactly the given set.
func (w *simulation) know(except string, dataCentres ...string) bool {
	for _, d := range w.daemons {
		set, version := d.fleet.Evacuated()
		if d.peer != except && (version == 0 || strings.Join(set, " ") != strings.Join(dataCentres, " ")) {
			return false
		}
	}
	return true
}

// inRegion reports whether newSimulation puts the daemon at an address in region r.
func inRegion(peer string, r byte) bool { return (peer[8]-'0')%2 == r }

// Bound of the time from the acceptance of an evacuation to its being in force.
const evacuationBound = 5 * time.Second

// Failure: an evacuation, a second one, or the end of one does not reach all daemons in
// time, under delays, refused readers, and links down between regions.
func TestEvacuationsReachAllDaemonsInTime(t *testing.T) {
	for name, disturb := range map[string]func(w *simulation){
		"undisturbed":             func(*simulation) {},
		"delayed messages":        func(w *simulation) { w.loss = 0.2 },
		"usual readers refused":   func(w *simulation) { w.storeRefuses = func(peer string) bool { return peer < "10.0.0.06" } },
		"readers lost silently":   func(w *simulation) { w.paused = func(peer string) bool { return peer < "10.0.0.02" } },
		"one region has no store": func(w *simulation) { w.storeRefuses = func(peer string) bool { return inRegion(peer, 0) } },
		"and messages delayed": func(w *simulation) {
			w.loss = 0.2
			w.storeRefuses = func(peer string) bool { return inRegion(peer, 0) }
		},
		"pushes between regions lost": func(w *simulation) {
			w.storeRefuses = func(peer string) bool { return inRegion(peer, 0) }
			w.partitioned = func(_, to string) bool { return to < "10.0.0.06" && inRegion(to, 0) }
		},
		"regions cut apart": func(w *simulation) {
			w.partitioned = func(from, to string) bool { return inRegion(from, 0) != inRegion(to, 0) }
		},
	} {
		worst := time.Duration(0)
		for seed := range uint64(20) {
			w := newEvacuationSimulation(t, seed, 32)
			w.run(5 * time.Second)
			disturb(w)
			w.run(w.now + time.Duration(w.rng.IntN(2000))*time.Millisecond)
			for _, set := range [][]string{{"dc1"}, {"dc1", "dc2"}, {"dc2"}, {}} {
				w.evacuate(set...)
				began := w.now
				inForce := func() bool {
					for _, d := range w.daemons {
						if now, _ := d.fleet.Evacuated(); !w.paused(d.peer) && !w.partitioned(d.peer, d.peer) && strings.Join(now, " ") != strings.Join(set, " ") {
							return false
						}
					}
					return true
				}
				for !inForce() {
					w.run(w.now + 50*time.Millisecond)
					require.Less(t, w.now-began, evacuationBound, "%s, seed %d, %v", name, seed, set)
				}
				worst = max(worst, w.now-began)
			}
		}
		t.Logf("%s: in force after at most %s", name, worst)
	}
}

// Failure: the daemons of a region that cannot read the store hear of an evacuation only
// when they ask another region, although its readers know it.
func TestEvacuationIsPushedToRegionsThatCannotReadTheStore(t *testing.T) {
	for seed := range uint64(20) {
		w := newEvacuationSimulation(t, seed, 32)
		w.storeRefuses = func(peer string) bool { return inRegion(peer, 0) }
		w.run(10 * time.Second)
		w.evacuate("dc1")
		w.run(w.now + RefreshInterval + 300*time.Millisecond)
		require.True(t, w.know("", "dc1"), "seed %d", seed)
	}
}

// Failure: while some daemons do not keep the set yet, among them the usual readers, the
// others read the store one by one.
func TestFewDaemonsReadTheStoreWhileSomeDoNotKeepTheSet(t *testing.T) {
	w := newEvacuationSimulation(t, 1, 32)
	for _, d := range w.daemons[:2] {
		d.fleet.tracksEvacuated = false
	}
	w.run(5 * time.Second)
	before := w.reads
	w.run(35 * time.Second)
	t.Logf("%.1f reads a second", float64(w.reads-before)/30)
	require.Less(t, float64(w.reads-before)/30, 8.0, "in each of two regions, two daemons read every %s, and few others now and then", RefreshInterval)
	w.evacuate("dc1")
	w.run(w.now + evacuationBound)
	for _, d := range w.daemons[2:] {
		set, _ := d.fleet.Evacuated()
		require.Equal(t, []string{"dc1"}, set, d.peer)
	}
}

// Failure: a set that was in the store goes back to an earlier one, or a daemon confirms
// a time without the changes before it, while links, readers and processes fail.
func TestEvacuationsStayCorrectDuringPartitionsAndDelays(t *testing.T) {
	for seed := range uint64(30) {
		w := newEvacuationSimulation(t, seed, 12)
		w.loss = 0.1
		w.run(3 * time.Second)
		for g := uint64(2); g < 12; g++ {
			a, b := w.rng.IntN(12), w.rng.IntN(12)
			one, other := w.daemons[a].peer, w.daemons[b].peer
			w.paused = func(peer string) bool { return peer == one && w.rng.IntN(2) == 0 }
			w.partitioned = func(from, to string) bool { return from == other || to == other }
			w.storeRefuses = func(peer string) bool { return peer == other }
			w.accept(g)
			w.evacuate(fmt.Sprint("dc", w.rng.IntN(4)))
			w.run(w.now + time.Duration(500+w.rng.IntN(3000))*time.Millisecond)
		}
		w.evacuate("dc0", "dc3")
		w.paused, w.loss = func(string) bool { return false }, 0
		w.partitioned = func(string, string) bool { return false }
		w.storeRefuses = func(string) bool { return false }
		w.run(w.now + 6*time.Second)
		require.True(t, w.know("", "dc0", "dc3"), "seed %d", seed)
	}
}

// Failure: a daemon that starts while nobody reaches the store has no set and is never
// ready, or takes the missing set for an empty one. A daemon cut off from all keeps the
// last known set.
func TestDaemonThatStartsDuringAnOutageLearnsTheSetFromPeers(t *testing.T) {
	w := newEvacuationSimulation(t, 1, 6)
	w.evacuate("dc2")
	w.run(5 * time.Second)
	d := w.daemons[3]
	w.storeRefuses = func(string) bool { return true }
	w.partitioned = func(from, to string) bool { return from == d.peer || to == d.peer }
	w.evacuate("dc1") // accepted, but nobody can read it
	old := d.fleet
	w.run(w.now + 10*time.Second)
	require.True(t, w.know("", "dc2"), "the last known set stays in force")

	e := proto.Clone(old.self).(*membership.Entry)
	e.Incarnation++
	d.generation, d.document = 0, nil
	d.fleet = New(e, d)
	d.fleet.TrackEvacuations()
	d.fleet.Merge(old.dir.All())
	w.run(w.now + 3*time.Second)
	_, version := d.fleet.Evacuated()
	require.Zero(t, version, "nothing is known while it is cut off")
	w.partitioned = func(string, string) bool { return false }
	w.run(w.now + 4*time.Second)
	require.True(t, w.know("", "dc2"))
	w.storeRefuses = func(string) bool { return false }
	w.run(w.now + evacuationBound)
	require.True(t, w.know("", "dc1"))
}

// Failure: an older set, from a slower reader, replaces a newer one; or a daemon that
// does not keep the set confirms the configuration of one that does.
func TestHigherVersionOfTheSetHolds(t *testing.T) {
	w := newEvacuationSimulation(t, 1, 1)
	f := w.daemons[0].fleet
	require.False(t, f.takeEvacuated(nil, 3), "daemons that start push no empty set")
	f.HandleStoreRead(time.Second, Reading{Document: []byte("1"), Version: 1, Evacuated: []string{"b", "a"}, StoreVersion: 7}, true)
	f.HandleStoreRead(2*time.Second, Reading{Document: []byte("1"), Version: 1, StoreVersion: 6}, true)
	f.HandleStoreRead(2*time.Second, Reading{StoreVersion: 9}, false)
	f.Receive(3*time.Second, "x", freshnessOf(0, 5, "c"))
	set, version := f.Evacuated()
	require.Equal(t, []string{"a", "b"}, set)
	require.Equal(t, uint64(7), version)
	f.Receive(3*time.Second, "x", freshnessOf(0, 7, "c"))
	set, _ = f.Evacuated()
	require.Equal(t, []string{"a", "b", "c"}, set, "of one version, the union holds")
	f.Receive(3*time.Second, "x", freshnessOf(0, 8))
	set, _ = f.Evacuated()
	require.Empty(t, set)

	confirmed, _ := f.ConfirmedAt()
	f.ask(10*time.Second, "x")
	f.Receive(10*time.Second, "x", freshnessOf(f.askID, 0))
	at, _ := f.ConfirmedAt()
	require.Equal(t, confirmed, at)
	f.ask(11*time.Second, "x")
	f.Receive(11*time.Second, "x", freshnessOf(f.askID, 8))
	at, _ = f.ConfirmedAt()
	require.Equal(t, 11*time.Second, at)
}

// Failure: daemons that do not keep the set pay for it, or names without end do not fit
// in a message.
func TestSetIsNotSentWhereItIsNotKeptOrTooLarge(t *testing.T) {
	w := newSimulation(t, 1, 1)
	f := w.daemons[0].fleet
	f.HandleStoreRead(time.Second, Reading{Document: []byte("1"), Version: 1, Evacuated: []string{"a"}, StoreVersion: 7}, true)
	m := f.freshness(1, time.Second, 1).GetFreshness()
	require.Zero(t, m.OperatorVersion)
	require.Empty(t, m.Evacuated)
	f.TrackEvacuations()
	f.HandleStoreRead(time.Second, Reading{Evacuated: []string{strings.Repeat("a", MaxEvacuatedBytes+1)}, StoreVersion: 8}, true)
	require.Zero(t, f.freshness(1, time.Second, 1).GetFreshness().OperatorVersion)
}

// freshnessOf returns an answer that confirms generation 1 now and carries a set.
func freshnessOf(id, version uint64, evacuated ...string) *wire.Fleet {
	return &wire.Fleet{Kind: &wire.Fleet_Freshness{Freshness: &wire.Freshness{Id: id, Generation: 1, OperatorVersion: version, Evacuated: evacuated}}}
}
