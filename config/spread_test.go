package config

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"wisteriafold/platform"
	"wisteriafold/platform/memory"
	"wisteriafold/wire"
)

// maxSpreadTime is the time within which a change must be in force at each daemon
// that can reach the store, or a peer that can reach it.
const maxSpreadTime = 2 * time.Second

func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	for _, size := range []struct{ dataCentres, each int }{{1, 1}, {2, 2}, {4, 4}, {3, 120}} {
		t.Run(fmt.Sprintf("%dx%d", size.dataCentres, size.each), func(t *testing.T) {
			f := newFleet(t, 1, size.dataCentres, size.each)
			f.apply(marked(1))
			f.run(20 * time.Second)
			for i := 2; i < 8; i++ {
				g := f.apply(marked(i))
				f.run(maxSpreadTime)
				require.Empty(t, f.behind(g, nil))
			}
			stored := mustRead(t, f.store).Snapshot
			for _, d := range f.daemons {
				require.Equal(t, stored.Configuration, d.published.Configuration)
				require.Equal(t, marked(7), asWritten(d.published.Configuration))
			}
		})
	}
}

func TestReadsOfTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	for _, each := range []int{4, 120} {
		f := newFleet(t, 1, 2, each)
		f.apply(marked(1))
		f.run(20 * time.Second)
		f.reads = 0
		f.run(60 * time.Second)
		// two relays in each of two data centres, two reads a second each
		require.LessOrEqual(t, f.reads, 2*relayCount*2*60+8, "with %d in each data centre", each)
	}
}

func TestOneDaemonThatReachesTheStoreIsEnough(t *testing.T) {
	f := newFleet(t, 2, 4, 4)
	f.apply(marked(1))
	f.run(10 * time.Second)
	storeReader := f.daemons[f.names[0]].topology.relays[0]
	f.storeUnreachable = func(d string) bool { return d != storeReader }
	f.run(5 * time.Second)
	for i := 2; i < 12; i++ {
		g := f.apply(marked(i))
		f.run(maxSpreadTime)
		require.Empty(t, f.behind(g, nil), "generation %d", g)
	}
	for _, d := range f.daemons {
		require.Less(t, f.now.Sub(d.ConfirmedAt()), 10*time.Second, "peers confirm the generation")
	}
}

// With twenty data centres, a relay that can't reach the store can't ask all of
// them at once.
func TestOneOfTwentyDataCentresReachesTheStore(t *testing.T) {
	f := newFleet(t, 20, 20, 2)
	f.apply(marked(1))
	f.run(10 * time.Second)
	storeReader := f.daemons[f.names[0]].topology.relays[0]
	f.storeUnreachable = func(d string) bool { return d != storeReader }
	f.run(10 * time.Second)
	for i := 2; i < 42; i++ {
		f.run(time.Duration(f.random.Int64N(int64(maxSpreadTime))))
		g := f.apply(marked(i))
		f.run(maxSpreadTime)
		require.Empty(t, f.behind(g, nil), "generation %d", g)
	}
}

// A rack with inner nodes of the first tree fails at the moment of a change,
// before any daemon has detected the failure.
func TestChangeIsInTimeWhileARackIsLost(t *testing.T) {
	f := newFleet(t, 14, 1, 400)
	f.apply(marked(1))
	f.run(15 * time.Second)
	top := f.daemons[f.names[0]].topology
	for _, address := range top.order[:40] {
		f.daemons[address].stopped = top.rank(address) < 0
	}
	g := f.apply(marked(2))
	f.run(maxSpreadTime)
	require.Empty(t, f.behind(g, nil))
}

func TestStoreThatLostCommitsLowersNoGeneration(t *testing.T) {
	f := newFleet(t, 12, 2, 4)
	f.apply(marked(1))
	f.apply(marked(2))
	g := f.apply(marked(3))
	f.run(5 * time.Second)
	f.store = memory.New()
	var regressed *RegressedError
	_, err := Reader{f.store}.Read(context.Background(), 100)
	require.ErrorAs(t, err, &regressed)
	for range 100 { // writes to other tables raise the version above the previous one
		_, err := f.store.Commit(context.Background(), platform.Tx{Writes: []platform.Write{{Table: "other", Key: "k"}}})
		require.NoError(t, err)
	}
	f.apply(marked(9))
	lost := f.now
	for _, d := range f.daemons {
		d.needsFull = true // the next read is of the whole table
	}
	f.run(20 * time.Second)
	for _, d := range f.daemons {
		require.Equal(t, g, d.Snapshot().Generation)
		require.LessOrEqual(t, d.ConfirmedAt().Sub(lost), time.Duration(0))
	}
}

func TestGapIsFilledWithoutSendingEverything(t *testing.T) {
	f := newFleet(t, 13, 1, 4)
	f.apply(marked(1))
	f.run(5 * time.Second)
	isolated := f.rosters["dc0"][1]
	f.linkCut = func(a, b string) bool { return a == isolated || b == isolated }
	f.storeUnreachable = func(d string) bool { return d == isolated }
	for i := 2; i < 5; i++ {
		f.apply(marked(i))
		f.run(maxSpreadTime)
	}
	d, other := f.daemons[isolated], f.daemons[f.rosters["dc0"][2]]
	d.receiveDelta(f.now, other.opts.Self, other.deltas(3, true)[0])
	require.Equal(t, uint64(1), d.Snapshot().Generation)
	require.False(t, d.needsFull, "a missing generation is not a corrupt one")
	f.linkCut = func(string, string) bool { return false }
	f.run(maxSpreadTime)
	require.Empty(t, f.behind(4, nil))
}

func TestPartitionHealsAndNoGenerationDecreases(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		f := newFleet(t, seed, 3, 12)
		f.lossRate = 0.05
		f.apply(marked(1))
		f.run(15 * time.Second)
		side := func(a string) bool { return strings.HasPrefix(a, "10.2.") }
		f.linkCut = func(a, b string) bool { return side(a) != side(b) }
		f.storeUnreachable = side
		var g uint64
		for i := 2; i < 20; i++ {
			g = f.apply(marked(i))
			f.run(500 * time.Millisecond)
		}
		f.run(maxSpreadTime)
		require.Empty(t, f.behind(g, func(a string) bool { return !side(a) }))
		require.Len(t, f.behind(2, side), 12, "the partition separates the data centre")
		for _, a := range f.rosters["dc2"] {
			require.Greater(t, f.now.Sub(f.daemons[a].ConfirmedAt()), 10*time.Second, "daemons that are cut off report an old configuration")
		}
		f.linkCut = func(string, string) bool { return false }
		f.run(maxSpreadTime) // the store is still unreachable: peers send the generation
		require.Empty(t, f.behind(g, nil))
	}
}

func TestDaemonStartedWhileTheStoreIsDownTakesTheNewestFromPeers(t *testing.T) {
	f := newFleet(t, 3, 2, 6)
	f.apply(withKeys(marked(1), 2000)) // more than one part
	f.run(10 * time.Second)
	g := f.apply(withKeys(marked(2), 1999))
	f.run(5 * time.Second)
	f.storeUnreachable = func(string) bool { return true }
	for _, address := range f.rosters["dc0"] {
		f.start(address, "dc0")
		f.run(maxSpreadTime)
		require.Empty(t, f.behind(g, nil))
		require.Len(t, f.daemons[address].published.Configuration.Keys, 1999)
	}
	// a data centre that starts as a whole can only ask the other one
	for _, address := range f.rosters["dc1"] {
		f.start(address, "dc1")
	}
	f.run(5 * time.Second)
	require.Empty(t, f.behind(g, nil))
}

// A link queues at most 256 messages for a peer, and a frame holds at most
// 256 KiB.
func TestLargeContentFitsTheLinks(t *testing.T) {
	f := newFleet(t, 17, 1, 2)
	f.apply(withKeys(marked(1), 40_000))
	f.run(5 * time.Second)
	parts := f.daemons[f.names[0]].deltas(0, false)
	require.Less(t, len(parts), 256/2)
	for _, p := range parts {
		require.Less(t, proto.Size(p), wire.MaxFrameBytes)
	}
}

func TestDaemonThatIsOnNoRosterAsksItsSeeds(t *testing.T) {
	f := newFleet(t, 4, 1, 3)
	g := f.apply(marked(1))
	f.run(5 * time.Second)
	f.rosters = map[string][]string{}
	f.names = append(f.names, "10.9.0.0:7000")
	d := f.start("10.9.0.0:7000", "dc9")
	d.opts.Seeds = []string{"10.0.0.9:7000", "10.0.0.1:7000"} // the first does not exist
	f.run(maxSpreadTime)
	require.Empty(t, f.behind(g, nil))
}

// Two thirds of the daemons of one data centre, including inner nodes of both
// trees, are dead but still on the roster.
func TestDeadDaemonsDoNotCutOffTheOthers(t *testing.T) {
	f := newFleet(t, 5, 1, 60)
	f.apply(marked(1))
	f.run(20 * time.Second)
	top := f.daemons[f.names[0]].topology
	for i, address := range top.order {
		if i%3 != 0 && top.rank(address) != 0 {
			f.daemons[address].stopped = true
		}
	}
	f.run(20 * time.Second)
	for i := 2; i < 6; i++ {
		g := f.apply(marked(i))
		f.run(2 * maxSpreadTime)
		require.Empty(t, f.behind(g, nil))
	}
}

func TestCandidateTakesOverWhenBothRelaysAreDead(t *testing.T) {
	f := newFleet(t, 6, 1, 20)
	f.apply(marked(1))
	f.run(20 * time.Second)
	for _, r := range f.daemons[f.names[0]].topology.relays[:relayCount] {
		f.daemons[r].stopped = true
	}
	f.run(takeoverAge + 4*takeoverStep)
	g := f.apply(marked(2))
	f.run(takeoverAge + 4*takeoverStep)
	require.Empty(t, f.behind(g, nil))
}

// The generation that withdraws a key is large, and its later parts are lost. The
// key must be refused, and no other change of the generation may be in force.
func TestKeyWithdrawalIsInTheFirstPart(t *testing.T) {
	f := newFleet(t, 7, 1, 6)
	c := withKeys(marked(1), 3000)
	f.apply(c)
	f.run(15 * time.Second)
	last := f.daemons[f.names[0]].topology.relays
	d := f.daemons[last[len(last)-1]]
	g0 := d.Snapshot().Generation
	next := withKeys(marked(2), 2999)
	next.Organisations = append(next.Organisations, manyOrganisations(1000)...)
	relay := f.daemons[d.topology.relays[0]]
	f.apply(next)
	f.linkCut = func(string, string) bool { return true }
	f.run(time.Second)
	require.Equal(t, g0+1, relay.Snapshot().Generation)
	parts := relay.deltas(g0, true)
	require.Greater(t, len(parts), 1)
	d.receiveDelta(f.now, relay.opts.Self, parts[0])
	require.Equal(t, []string{c.Keys[2999].Digest}, d.withdrawn)
	require.Equal(t, g0, d.published.Generation)
	require.Equal(t, 1.0, d.published.Organisations()[0].Rate)
	f.linkCut = func(string, string) bool { return false }
	f.run(2 * maxSpreadTime)
	require.Empty(t, d.withdrawn)
	require.Equal(t, g0+1, d.published.Generation)
}

func manyOrganisations(n int) []Organisation {
	out := make([]Organisation, n)
	for i := range out {
		out[i] = Organisation{Name: fmt.Sprintf("c%04d", i), Rate: 1, Burst: 1, Weight: 1}
	}
	return out
}

// Organisations returns the organisations of the snapshot.
func (s *Snapshot) Organisations() []Organisation { return s.Configuration.Organisations }

func TestDeltaWithWrongDigestIsNotApplied(t *testing.T) {
	f := newFleet(t, 8, 1, 3)
	f.apply(marked(1))
	f.run(5 * time.Second)
	d := f.daemons[f.names[0]]
	parts := d.deltas(0, false)
	parts[0].Generation += 5
	parts[0].Rows = parts[0].Rows[1:]
	d.receiveDelta(f.now, f.names[1], parts[0])
	require.Equal(t, uint64(1), d.Snapshot().Generation)
	require.Contains(t, d.Status(f.now).LastError, "its digest is")
	for _, other := range f.names {
		f.daemons[other].receiveDelta(f.now, f.names[1], parts[0])
	}
	f.run(5 * time.Second)
	for _, d := range f.daemons {
		require.False(t, d.needsFull, "there is no newer generation to ask for")
	}
	g := f.apply(marked(2))
	f.run(maxSpreadTime)
	require.Empty(t, f.behind(g, nil))
}

func TestConfirmationNamesInstancesThatAreBehind(t *testing.T) {
	f := newFleet(t, 9, 3, 40)
	g := f.apply(marked(1))
	f.run(25 * time.Second)
	asker := f.daemons[f.names[0]]
	asker.AskConfirmed(f.now)
	f.run(time.Second)
	status := asker.Confirmed()
	require.Len(t, status, 3)
	for _, s := range status {
		require.True(t, s.Confirmed(g), "%+v", s)
		require.Empty(t, s.Laggards)
	}
	dead := f.rosters["dc1"][7]
	f.daemons[dead].stopped = true
	f.run(2 * reportExpiry)
	g = f.apply(marked(2))
	f.run(6 * time.Second)
	asker.AskConfirmed(f.now)
	f.run(time.Second)
	for _, s := range asker.Confirmed() {
		require.Equal(t, s.DataCentre != "dc1", s.Confirmed(g), "%+v", s)
		if s.DataCentre == "dc1" {
			require.Equal(t, []Laggard{{Instance: dead}}, s.Laggards)
			require.Equal(t, 39, s.Members)
			require.Equal(t, g, s.Lowest)
		}
	}
}

// The result of a read is dropped because the daemon is busy, or it arrives late
// and then says nothing about the time since the read began.
func TestLostResultOfAReadDoesNotStopLaterReads(t *testing.T) {
	f := newFleet(t, 15, 1, 1)
	f.apply(marked(1))
	f.run(5 * time.Second)
	d := f.daemons[f.names[0]]
	f.dropReads = true
	f.run(time.Second)
	f.dropReads = false
	before := d.ConfirmedAt()
	d.relay.started = d.relay.started.Add(-readTimeout)
	f.run(tickEvery)
	require.Equal(t, 1, d.relay.lostReads)
	d.Fetched(f.now, Update{}, nil)
	require.Equal(t, before, d.ConfirmedAt())
	g := f.apply(marked(2))
	f.run(maxSpreadTime)
	require.Empty(t, f.behind(g, nil))
	require.True(t, d.ConfirmedAt().After(before))
}

// The daemon calls SetRoster after every change of membership, also when the
// roster is the same.
func TestUnchangedRosterKeepsTheLevelsAboveUnresponsiveParents(t *testing.T) {
	f := newFleet(t, 18, 1, 30)
	f.apply(marked(1))
	f.run(5 * time.Second)
	order := f.daemons[f.names[0]].topology.order
	f.daemons[order[0]].stopped = true // parent of the fourth daemon
	f.run(10 * time.Second)
	d := f.daemons[order[3]]
	require.NotZero(t, d.asks.level[treeDelta])
	d.SetRoster("dc0", f.rosters["dc0"])
	require.NotZero(t, d.asks.level[treeDelta])
	d.SetRoster("dc0", order[1:])
	require.Zero(t, d.asks.level[treeDelta])
}

func TestDataCentreThatDoesNotAnswerIsNotConfirmed(t *testing.T) {
	f := newFleet(t, 16, 2, 3)
	g := f.apply(marked(1))
	f.run(15 * time.Second)
	f.linkCut = func(a, b string) bool { return a[:5] != b[:5] }
	asker := f.daemons[f.names[0]]
	asker.AskConfirmed(f.now)
	f.run(time.Second)
	status := asker.Confirmed()
	require.Len(t, status, 2)
	require.True(t, status[0].Confirmed(g))
	require.False(t, status[1].Confirmed(g))
	require.Len(t, status[1].Laggards, 3)
}

func TestConfigurationAgeIsNeverUnderstated(t *testing.T) {
	f := newFleet(t, 10, 2, 20)
	f.lossRate, f.slowRate = 0.1, 0.3
	f.apply(marked(1))
	f.run(20 * time.Second)
	f.storeUnreachable = func(string) bool { return true }
	f.run(time.Second) // reads in progress end
	cutOff := f.now
	for range 30 {
		f.run(time.Second)
		for name, d := range f.daemons {
			require.False(t, d.ConfirmedAt().After(cutOff), name)
		}
	}
}
