package membership

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Two directories receive the same entries in different orders, one of them each
// entry twice. They must end up equal.
func TestDirectoriesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []*Entry
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			entries = append(entries, &Entry{
				Peer:        rapid.SampledFrom([]string{"a:1", "b:1", "c:1"}).Draw(t, "peer"),
				Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"),
				Sequence:    rapid.Uint64Range(0, 3).Draw(t, "sequence"),
			})
		}
		one, other := NewDirectory(), NewDirectory()
		for _, e := range entries {
			one.Merge(e)
		}
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "order")))
		for _, i := range append(rng.Perm(len(entries)), rng.Perm(len(entries))...) {
			other.Merge(entries[i])
		}
		require.Equal(t, one.Digest(), other.Digest())
		for _, e := range one.All() {
			x := other.Get(e.Peer)
			require.Equal(t, e.Incarnation, x.Incarnation)
			require.Equal(t, e.Sequence, x.Sequence)
		}
	})
}

func TestEntriesWithoutAddressAreDropped(t *testing.T) {
	d := NewDirectory()
	require.False(t, d.Merge(nil))
	require.False(t, d.Merge(&Entry{Service: "s"}))
	require.Zero(t, d.Digest())
	_, err := Decode([]byte("not an entry"))
	require.Error(t, err)
	b, err := Encode(&Entry{Peer: "a:1", Removed: true})
	require.NoError(t, err)
	e, err := Decode(b)
	require.NoError(t, err)
	require.True(t, d.Merge(e))
	require.Empty(t, d.Members())
	require.Len(t, d.All(), 1)
}

func heartbeat(id string, born int64, seq uint64, s State) Heartbeat {
	return Heartbeat{ID: id, StartMs: born, Sequence: seq, State: s, Service: "s", Slots: 8}
}

func TestHeartbeatsOutOfOrderChangeNothing(t *testing.T) {
	l := NewLocal("s")
	changed, restarted := l.HandleHeartbeat(heartbeat("i-1", 100, 5, Ready))
	require.True(t, changed)
	require.False(t, restarted)
	changed, _ = l.HandleHeartbeat(heartbeat("i-1", 100, 6, Draining))
	require.True(t, changed)
	for _, late := range []Heartbeat{
		heartbeat("i-1", 100, 5, Ready),
		heartbeat("i-1", 100, 7, Ready), // a draining incarnation does not become ready again
		heartbeat("i-0", 50, 99, Ready), // an earlier incarnation
		{ID: "i-2", StartMs: 200, Sequence: 1, State: Ready, Service: "other"},
		{ID: "i-0", StartMs: 50, State: Gone},
	} {
		changed, _ = l.HandleHeartbeat(late)
		require.False(t, changed, "%+v", late)
		require.Equal(t, Draining, l.State())
		require.Equal(t, "i-1", l.ID())
	}
	changed, _ = l.HandleHeartbeat(Heartbeat{ID: "i-1", State: Gone})
	require.True(t, changed)
	require.Equal(t, Gone, l.State())
}

func TestNewIncarnationReplacesOlderOne(t *testing.T) {
	l := NewLocal("s")
	l.HandleHeartbeat(heartbeat("i-1", 100, 5, Draining))
	changed, restarted := l.HandleHeartbeat(heartbeat("i-2", 200, 1, Ready))
	require.True(t, changed)
	require.True(t, restarted)
	require.Equal(t, Ready, l.State())
	_, restarted = l.HandleHeartbeat(heartbeat("i-2", 300, 1, Ready)) // the same id with a later start time
	require.True(t, restarted)
	require.Equal(t, int64(300), l.StartMs())
	changed, _ = l.HandleHeartbeat(Heartbeat{ID: "i-1", StartMs: 100, State: Gone})
	require.False(t, changed)
	require.Equal(t, Ready, l.State())
}

// A restarted daemon must not undo a drain that the previous daemon at its address
// acknowledged.
func TestProbeDoesNotUndoDrain(t *testing.T) {
	l := NewLocal("s")
	l.Restore(&Entry{Service: "s", Backend: "i-1", Born: 100, State: uint32(Draining), Slots: 8})
	require.False(t, l.HandleProbe("i-1", 8))
	require.Equal(t, Draining, l.State())
	require.True(t, l.HandleProbe("i-2", 8))
	require.Equal(t, Ready, l.State())
	require.False(t, l.HandleProbe("", 8))

	fresh := NewLocal("s")
	fresh.Restore(&Entry{Service: "s", Backend: "i-1", Born: 100, State: uint32(Ready), Slots: 8})
	require.Equal(t, Unknown, fresh.State())
	require.Equal(t, 8, fresh.Slots())
	require.True(t, fresh.HandleProbe("i-1", 0))
	changed, _ := fresh.HandleHeartbeat(heartbeat("i-1", 100, 9, Draining))
	require.True(t, changed)
}

// Failure: a heartbeat that was sent before the backend server left arrives after the
// daemon has restarted, and reopens the backend server.
func TestLateHeartbeatDoesNotReopenRestoredBackend(t *testing.T) {
	for _, state := range []State{Draining, Gone} {
		leaving := &Entry{Service: "s", Backend: "i-1", Born: 100, State: uint32(state), Slots: 8}
		l := NewLocal("s")
		require.True(t, l.Restore(leaving))
		for _, late := range []Heartbeat{
			heartbeat("i-1", 100, 5, Ready),
			heartbeat("i-1", 0, 5, Ready),
			heartbeat("i-0", 50, 99, Ready), // an earlier incarnation
		} {
			changed, _ := l.HandleHeartbeat(late)
			require.False(t, changed, "%s, then %+v", state, late)
			require.Equal(t, state, l.State())
		}
		changed, restarted := l.HandleHeartbeat(heartbeat("i-1", 200, 1, Ready))
		require.True(t, changed, "a later incarnation under the same id")
		require.True(t, restarted)
		require.Equal(t, Ready, l.State())
		require.False(t, l.Restore(leaving), "the entry is that of an earlier incarnation")
		require.Equal(t, Ready, l.State())
	}
}

// Failure: the late heartbeat arrives before the entry of the previous daemon has been
// read, and the entry is then ignored.
func TestRestoredLeavingPrevailsOverEarlierHeartbeat(t *testing.T) {
	leaving := &Entry{Service: "s", Backend: "i-1", Born: 100, State: uint32(Gone), Slots: 8}
	l := NewLocal("s")
	l.HandleHeartbeat(heartbeat("i-1", 100, 5, Ready))
	require.True(t, l.Restore(leaving))
	require.Equal(t, Gone, l.State())

	probed := NewLocal("s")
	require.True(t, probed.HandleProbe("i-1", 8))
	require.True(t, probed.Restore(leaving))
	require.Equal(t, Gone, probed.State())

	other := NewLocal("s")
	other.HandleHeartbeat(heartbeat("i-2", 200, 1, Ready))
	require.False(t, other.Restore(leaving))
	require.Equal(t, Ready, other.State())
}

// Failure: an entry that another program wrote is taken for that of a daemon.
func TestEntriesThatNoDaemonWritesAreInvalid(t *testing.T) {
	valid := func() *Entry {
		return &Entry{Peer: "10.0.0.1:7000", DataCentre: "dc", Region: "r", Service: "s", Backend: "i-1", Born: 1, Incarnation: 1, Slots: 8, State: uint32(Ready)}
	}
	require.NoError(t, Check(valid()))
	for field, change := range map[string]func(*Entry){
		"peer":        func(e *Entry) { e.Peer = "10.0.0.1:65536" },
		"data_centre": func(e *Entry) { e.DataCentre = "" },
		"region":      func(e *Entry) { e.Region = strings.Repeat("r", 1000) },
		"service":     func(e *Entry) { e.Service = "" },
		"backend":     func(e *Entry) { e.Backend = strings.Repeat("i", 1000) },
		"state":       func(e *Entry) { e.State = uint32(Gone) + 1 },
		"slots":       func(e *Entry) { e.Slots = math.MaxUint32 },
		"born":        func(e *Entry) { e.Born = -1 },
		"incarnation": func(e *Entry) { e.Incarnation = math.MaxInt64 },
	} {
		e := valid()
		change(e)
		var invalid *InvalidEntryError
		require.ErrorAs(t, Check(e), &invalid, field)
		require.Equal(t, field, invalid.Field)
	}
	for _, address := range []string{"", "10.0.0.1", ":7000", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:99999999999999999999", "a b:1", "10.0.0.1:http"} {
		e := valid()
		e.Peer = address
		require.Error(t, Check(e), address)
	}
	require.Error(t, Check(nil))
}

// FuzzDecode checks that no bytes of a row end the process, and that what Check accepts
// can be merged.
func FuzzDecode(f *testing.F) {
	b, err := Encode(&Entry{Peer: "10.0.0.1:7000", DataCentre: "dc", Region: "r", Service: "s", Incarnation: 1})
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte{0x0b, 0x0b})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := Decode(b)
		if err != nil || Check(e) != nil {
			return
		}
		require.True(t, NewDirectory().Merge(e))
		NewLocal(e.Service).Restore(e)
	})
}

// Failure: one heartbeat of another writer, with a high sequence number and without a
// start time, makes the daemon ignore the heartbeats of the backend server that follow,
// and send it requests after it has announced its shutdown. All orders of a few
// heartbeats are tried.
func TestHeartbeatOfAnotherWriterHidesNoDrain(t *testing.T) {
	const born = 1700000000123
	own := []Heartbeat{
		{ID: "i", StartMs: born, Sequence: 4, State: Ready, Service: "s", Slots: 8},
		{ID: "i", StartMs: born, Sequence: 5, State: Ready, Service: "s", Slots: 8},
		{ID: "i", StartMs: born, Sequence: 6, State: Draining, Service: "s", Slots: 8},
	}
	foreign := Heartbeat{ID: "i", Sequence: 1700000000, State: Ready, Service: "s", Slots: 8}
	for at := range len(own) + 1 {
		l := NewLocal("s")
		for i := range len(own) + 1 {
			if i == at {
				l.HandleHeartbeat(foreign)
			}
			if i < len(own) {
				l.HandleHeartbeat(own[i])
				require.True(t, l.Reflects(own[i]))
			}
		}
		require.Equal(t, Draining, l.State(), "foreign heartbeat at position %d", at)
	}
}

// Failure: a heartbeat that announces the shutdown is acknowledged although it changes
// nothing, so that the backend server leaves while it is still in use.
func TestDrainThatIsIgnoredIsNotAcknowledged(t *testing.T) {
	l := NewLocal("s")
	l.HandleHeartbeat(Heartbeat{ID: "i", Sequence: 9, State: Ready, Service: "s", Slots: 8})
	late := Heartbeat{ID: "i", Sequence: 3, State: Draining, Service: "s", Slots: 8}
	l.HandleHeartbeat(late)
	require.Equal(t, Ready, l.State())
	require.False(t, l.Reflects(late))
}
