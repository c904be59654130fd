package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"wisteriafold/membership"
	"wisteriafold/platform"
	"wisteriafold/wire"
)

// simulation runs the control state of many daemons in virtual time. Links between
// them may delay messages or be partitioned, and the store may refuse some daemons.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	events  []event
	daemons []*daemon

	generation   uint64 // generation in the store
	epoch        uint64 // epoch of the store
	acceptedAt   map[uint64]time.Duration
	evacuated    []string // data centres evacuated according to the store
	storeVersion uint64   // version of the store, 0 while the daemons do not keep the set
	evacuations  []evacuation
	reads        int
	removed      []string
	filler       []byte // padding appended to each document
	loss         float64
	storeRefuses func(peer string) bool     // whether the store refuses the daemon
	partitioned  func(from, to string) bool // whether the link between two daemons is down
	paused       func(peer string) bool     // whether the daemon is suspended
}

type event struct {
	at  time.Duration
	run func()
}

type daemon struct {
	w          *simulation
	peer       string
	fleet      *Fleet
	generation uint64
	document   []byte
	restored   *membership.Entry // last entry of a previous process

	storeEpochs []uint64 // epochs of the store that were reported as new
}

func newSimulation(t *testing.T, seed uint64, daemons int) *simulation {
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), acceptedAt: map[uint64]time.Duration{},
		storeRefuses: func(string) bool { return false }, partitioned: func(string, string) bool { return false },
		paused: func(string) bool { return false },
	}
	w.accept(1)
	var entries []*membership.Entry
	for i := range daemons {
		entries = append(entries, &membership.Entry{
			Peer: fmt.Sprintf("10.0.0.%02d:7000", i), Region: fmt.Sprintf("r%d", i%2),
			DataCentre: fmt.Sprintf("dc%d", i%4), Incarnation: 1,
		})
	}
	for _, e := range entries {
		d := &daemon{w: w, peer: e.Peer}
		d.fleet = New(e, d)
		d.fleet.Merge(entries)
		w.daemons = append(w.daemons, d)
		w.tick(d, time.Duration(w.rng.IntN(100))*time.Millisecond)
	}
	return w
}

// accept writes a newer configuration to the store.
func (w *simulation) accept(generation uint64) {
	w.generation = generation
	w.acceptedAt[generation] = w.now
}

func (w *simulation) after(d time.Duration, run func()) {
	at := w.now + d
	i := sort.Search(len(w.events), func(i int) bool { return w.events[i].at > at })
	w.events = slices.Insert(w.events, i, event{at, run})
}

func (w *simulation) tick(d *daemon, in time.Duration) {
	w.after(in, func() {
		if !w.paused(d.peer) {
			d.fleet.Tick(w.now)
			w.check(d)
		}
		w.tick(d, 100*time.Millisecond)
	})
}

func (w *simulation) run(until time.Duration) {
	for {
		if len(w.events) == 0 || w.events[0].at > until {
			w.now = until
			return
		}
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.at
		e.run()
	}
}

// check asserts the invariant of configuration ages: a daemon has every generation
// that was accepted before the time that its ConfirmedAt returns.
func (w *simulation) check(d *daemon) {
	w.checkEvacuated(d)
	at, ok := d.fleet.ConfirmedAt()
	if !ok {
		return
	}
	require.LessOrEqual(w.t, at, w.now)
	for g, accepted := range w.acceptedAt {
		if accepted < at {
			require.GreaterOrEqual(w.t, d.generation, g, "%s has an older generation than it confirms at %s", d.peer, at)
		}
	}
}

func (w *simulation) age(d *daemon) time.Duration {
	at, ok := d.fleet.ConfirmedAt()
	if !ok {
		return time.Hour
	}
	return w.now - at
}

func (w *simulation) worstAge() time.Duration {
	worst := time.Duration(0)
	for _, d := range w.daemons {
		worst = max(worst, w.age(d))
	}
	return worst
}

func (d *daemon) Send(peer string, m *wire.Fleet) {
	w := d.w
	delay := time.Millisecond + time.Duration(w.rng.IntN(25))*time.Millisecond
	if w.rng.Float64() < w.loss {
		delay += time.Duration(w.rng.IntN(3000)) * time.Millisecond // retransmitted by the transport
	}
	deliver := func() {
		for _, x := range w.daemons {
			if x.peer == peer && !w.partitioned(d.peer, peer) && !w.paused(peer) {
				x.fleet.Receive(w.now, d.peer, m)
				w.check(x)
			}
		}
	}
	w.after(delay, deliver)
}

func (d *daemon) ReadStore() {
	w, sent := d.w, d.w.now
	w.reads++
	w.after(4*time.Millisecond, func() {
		generation, ok := w.generation, !w.storeRefuses(d.peer)
		version := platform.NewVersion(w.epoch, generation)
		evacuated, storeVersion := w.evacuated, w.storeVersion
		w.after(time.Duration(w.rng.IntN(30))*time.Millisecond, func() {
			d.fleet.HandleStoreRead(sent, Reading{Document: []byte(fmt.Sprint(generation)), Version: version, Evacuated: evacuated, StoreVersion: storeVersion}, ok)
			w.check(d)
		})
	})
}

func (d *daemon) Adopt(document []byte) uint64 {
	var g uint64
	_, err := fmt.Sscan(string(document), &g)
	require.NoError(d.w.t, err)
	require.GreaterOrEqual(d.w.t, g, uint64(1))
	if g > d.generation {
		d.generation, d.document = g, append([]byte(fmt.Sprint(g, " ")), d.w.filler...)
	}
	return d.generation
}

func (d *daemon) Document() []byte              { return d.document }
func (d *daemon) DirectoryChanged()             {}
func (d *daemon) DeleteRow(e *membership.Entry) { d.w.removed = append(d.w.removed, e.Peer) }

func (d *daemon) Restore(e *membership.Entry) { d.restored = e }

func (d *daemon) StoreEpochChanged(_, to uint64) { d.storeEpochs = append(d.storeEpochs, to) }

func (d *daemon) Superseded(incarnation int64) {
	e := proto.Clone(d.fleet.self).(*membership.Entry)
	e.Incarnation = incarnation + 1
	d.fleet.Announce(e)
}

// Without failures, only one daemon of each region reads the store regularly.
func TestFewDaemonsReadTheStore(t *testing.T) {
	w := newSimulation(t, 1, 16)
	w.run(5 * time.Second)
	before := w.reads
	w.run(65 * time.Second)
	perSecond := float64(w.reads-before) / 60
	require.Less(t, perSecond, 4.0, "two regions read every %s", RefreshInterval)
	require.Less(t, w.worstAge(), 2*time.Second)
}

func TestChangeReachesAllDaemonsWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(t, seed, 16)
		w.run(5 * time.Second)
		w.accept(2)
		w.run(w.now + RefreshInterval + 300*time.Millisecond)
		for _, d := range w.daemons {
			require.Equal(t, uint64(2), d.generation, "seed %d %s", seed, d.peer)
		}
	}
}

// The store refuses the six daemons with the lowest addresses, which are the usual
// readers, while a new configuration, such as one that withdraws a key, is accepted.
// Other daemons must read it in time.
func TestOthersReadWhenReadersAreRefused(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(t, seed, 16)
		w.run(5 * time.Second)
		w.storeRefuses = func(peer string) bool { return peer < "10.0.0.06" }
		w.run(8 * time.Second)
		w.accept(2)
		w.run(10500 * time.Millisecond)
		for range 50 {
			w.run(w.now + 100*time.Millisecond)
			require.Less(t, w.worstAge(), 3500*time.Millisecond, "seed %d at %s", seed, w.now)
		}
		for _, d := range w.daemons {
			require.Equal(t, uint64(2), d.generation, "seed %d %s", seed, d.peer)
		}
	}
}

// Daemons are suspended or partitioned and messages are delayed. No daemon may
// state an age that is too low, and all must catch up afterwards.
func TestAgesStayCorrectDuringPartitionsAndDelays(t *testing.T) {
	for seed := range uint64(30) {
		w := newSimulation(t, seed, 12)
		w.loss = 0.1
		w.run(3 * time.Second)
		for g := uint64(2); g < 12; g++ {
			a, b := w.rng.IntN(12), w.rng.IntN(12)
			one, other := w.daemons[a].peer, w.daemons[b].peer
			w.paused = func(peer string) bool { return peer == one && w.rng.IntN(2) == 0 }
			w.partitioned = func(from, to string) bool { return from == other || to == other }
			w.storeRefuses = func(peer string) bool { return peer == other }
			w.accept(g)
			w.run(w.now + time.Duration(500+w.rng.IntN(3000))*time.Millisecond)
		}
		w.paused, w.loss = func(string) bool { return false }, 0
		w.partitioned = func(string, string) bool { return false }
		w.storeRefuses = func(string) bool { return false }
		w.run(w.now + 6*time.Second)
		for _, d := range w.daemons {
			require.Equal(t, uint64(11), d.generation, "seed %d %s", seed, d.peer)
		}
		require.Less(t, w.worstAge(), 2*time.Second, "seed %d", seed)
	}
}

// A store answer with an older row version than an earlier one must be ignored, and
// so must an answer without a row and a failed read.
func TestOlderRowDoesNotUpdateConfirmed(t *testing.T) {
	w := newSimulation(t, 1, 1)
	f := w.daemons[0].fleet
	f.HandleStoreRead(10*time.Second, Reading{Document: []byte("5"), Version: 50}, true)
	f.HandleStoreRead(12*time.Second, Reading{Document: []byte("4"), Version: 40}, true)
	at, ok := f.ConfirmedAt()
	require.True(t, ok)
	require.Equal(t, 10*time.Second, at)
	f.HandleStoreRead(13*time.Second, Reading{}, true) // the row was deleted
	f.HandleStoreRead(14*time.Second, Reading{}, false)
	at, _ = f.ConfirmedAt()
	require.Equal(t, 10*time.Second, at)
	require.Equal(t, uint64(5), f.Generation())
}

// A daemon that missed an announcement during a partition must get it from the
// comparison of directories.
func TestLostAnnouncementIsRepaired(t *testing.T) {
	w := newSimulation(t, 3, 8)
	w.run(2 * time.Second)
	w.partitioned = func(_, to string) bool { return to == "10.0.0.05:7000" }
	e := &membership.Entry{Peer: "10.0.0.02:7000", Region: "r0", DataCentre: "dc2", Incarnation: 1, Sequence: 1, State: uint32(membership.Draining)}
	w.daemons[2].fleet.Announce(e)
	w.run(4 * time.Second)
	require.Zero(t, w.daemons[5].fleet.Directory().Get(e.Peer).Sequence)
	w.partitioned = func(string, string) bool { return false }
	w.run(12 * time.Second)
	require.Equal(t, uint64(1), w.daemons[5].fleet.Directory().Get(e.Peer).Sequence)
}

// A machine is lost for good. Its daemon must be removed, so that the other daemons
// get its share of the rate limits. A daemon that runs again must rejoin.
func TestLostDaemonIsRemovedAndRejoins(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulation(t, seed, 12)
		w.run(3 * time.Second)
		lost := w.daemons[seed].peer
		w.paused = func(peer string) bool { return peer == lost }
		w.run(3*time.Second + RemoveAfter - time.Second)
		require.Empty(t, w.removed, "a daemon is not removed after a short pause")
		w.run(18 * time.Second)
		require.Equal(t, []string{lost}, w.removed, "seed %d", seed)
		for _, d := range w.daemons {
			if d.peer != lost {
				require.Len(t, d.fleet.Directory().Members(), 11, "seed %d %s", seed, d.peer)
			}
		}
		w.paused = func(string) bool { return false }
		w.run(30 * time.Second)
		for _, d := range w.daemons {
			require.Len(t, d.fleet.Directory().Members(), 12, "seed %d %s", seed, d.peer)
		}
	}
}

// The configuration grows by thousands of routes, to more than a message between
// daemons can carry. The smaller document fits when packed; the larger one does not
// and must be read from the store.
func TestConfigurationOfAnySizeReachesAllDaemons(t *testing.T) {
	for _, size := range []int{256 << 10, 1 << 20} {
		w := newSimulation(t, 1, 16)
		w.run(5 * time.Second)
		w.filler = make([]byte, size)
		for i := range w.filler {
			w.filler[i] = byte('a' + w.rng.IntN(16))
		}
		w.accept(2)
		w.run(w.now + 2500*time.Millisecond)
		for _, d := range w.daemons {
			require.Equal(t, uint64(2), d.generation, "%d bytes, %s", size, d.peer)
		}
	}
	_, err := unpack([]byte("not packed"))
	require.Error(t, err)
	packed := pack([]byte("{}"))
	document, err := unpack(packed)
	require.NoError(t, err)
	require.Equal(t, "{}", string(document))
	require.Nil(t, pack(nil))
}

// Failure: a daemon restarts while the store cannot be read, does not learn that its
// backend server had left, and announces it as ready when a late heartbeat arrives.
func TestRestartedDaemonLearnsFromPeersThatItsBackendLeaves(t *testing.T) {
	for name, announces := range map[string]bool{"asked by a peer": false, "announces itself": true} {
		w := newSimulation(t, 1, 6)
		w.run(5 * time.Second)
		d := w.daemons[0]
		left := proto.Clone(d.fleet.self).(*membership.Entry)
		left.Sequence, left.Service, left.Backend, left.Born, left.State = 1, "s", "i-1", 100, uint32(membership.Gone)
		d.fleet.Announce(left)
		w.run(w.now + time.Second)

		w.storeRefuses = func(string) bool { return true }
		reopened := proto.Clone(left).(*membership.Entry)
		reopened.Incarnation, reopened.Sequence, reopened.State = 2, 0, uint32(membership.Ready)
		d.fleet = New(reopened, d)
		if announces {
			d.fleet.dir.Merge(w.daemons[1].fleet.self)
			d.fleet.Announce(reopened)
		}
		w.run(w.now + 4*time.Second)
		require.NotNil(t, d.restored, name)
		require.Equal(t, uint32(membership.Gone), d.restored.State, name)
	}
}

// Failure: an entry of a backend server that left stands in the way of its successor.
func TestSuccessorOfABackendThatLeftIsNotContradicted(t *testing.T) {
	left := &membership.Entry{Service: "s", Backend: "i-1", Born: 100, State: uint32(membership.Gone)}
	for name, e := range map[string]*membership.Entry{
		"same state":    {Service: "s", Backend: "i-1", Born: 100, State: uint32(membership.Gone)},
		"another id":    {Service: "s", Backend: "i-2", Born: 200, State: uint32(membership.Ready)},
		"later start":   {Service: "s", Backend: "i-1", Born: 200, State: uint32(membership.Ready)},
		"other service": {Service: "other", State: uint32(membership.Unknown)},
	} {
		require.False(t, membership.LeavingForgotten(left, e), name)
	}
	require.True(t, membership.LeavingForgotten(left, &membership.Entry{Service: "s"}))
	require.True(t, membership.LeavingForgotten(left, &membership.Entry{Service: "s", Backend: "i-1", Born: 100, State: uint32(membership.Ready)}))
	ready := &membership.Entry{Service: "s", Backend: "i-1", Born: 100, State: uint32(membership.Ready)}
	require.False(t, membership.LeavingForgotten(ready, &membership.Entry{Service: "s"}))
}

// Failure: the row of a daemon that was removed, and with it the only record that its
// backend server had left, is deleted while heartbeats of before may still arrive; or it
// is never deleted.
func TestRowOfALeavingBackendIsKeptForAMinute(t *testing.T) {
	for name, c := range map[string]struct {
		state   membership.State
		planned bool
		kept    bool
	}{
		"ready, lost":          {membership.Ready, false, false},
		"gone, lost":           {membership.Gone, false, true},
		"draining, lost":       {membership.Draining, false, true},
		"gone, stopped itself": {membership.Gone, true, true},
	} {
		w := newSimulation(t, 1, 6)
		w.run(5 * time.Second)
		d := w.daemons[5]
		last := proto.Clone(d.fleet.self).(*membership.Entry)
		last.Sequence, last.Service, last.Backend, last.Born, last.State = 1, "s", "i-1", 100, uint32(c.state)
		last.Leaving, last.Removed = c.planned, c.planned
		d.fleet.Announce(last)
		w.run(w.now + time.Second)
		w.paused = func(peer string) bool { return peer == d.peer }
		w.run(w.now + RemoveAfter + 5*time.Second)
		require.Equal(t, c.kept, !slices.Contains(w.removed, d.peer), name)
		w.run(w.now + leavingRowRetention)
		require.True(t, slices.Contains(w.removed, d.peer), name)
	}
}
