package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/membership"
	"wisteriafold/quota"
	"wisteriafold/routing"
	"wisteriafold/wire"
)

// totalShare returns the share of an organisation's rate that all daemons together
// earn when daemon i knows the members known(i). complete tells the daemons that these
// are all members.
func totalShare(daemons int, known func(i int) []*membership.Entry, all []*membership.Entry, complete bool) float64 {
	sum := 0.0
	for i := range daemons {
		t := newTokens(func(string, *wire.Fleet) {})
		t.apply([]routing.Organisation{{Name: "o", Rate: 100, Burst: 100}})
		t.setMembers(all[i], known(i), complete)
		sum += t.accounts["o"].Share()
	}
	return sum
}

// Failure: all daemons restart after a power loss while one organisation sends many
// times its rate. At first each daemon knows only itself and one other daemon, and
// all together earn a multiple of the rate.
func TestNoTokensAreEarnedBeforeDirectoryIsComplete(t *testing.T) {
	const daemons = 97
	var all []*membership.Entry
	for i := range daemons {
		all = append(all, &membership.Entry{Peer: fmt.Sprintf("10.0.0.%d:7000", i), DataCentre: fmt.Sprintf("dc%d", i%6)})
	}
	pairOf := func(i int) []*membership.Entry { return []*membership.Entry{all[i], all[(i+1)%daemons]} }
	require.Zero(t, totalShare(daemons, pairOf, all, false))
	require.Greater(t, totalShare(daemons, pairOf, all, true), 40.0, "total share if each daemon took its members for all")
	require.InDelta(t, 1, totalShare(daemons, func(int) []*membership.Entry { return all }, all, true), 1e-9)
}

// Failure: the link between two daemons is slow, or one of them was suspended while
// a grant was in transit, so that the grant answers an earlier token request. Its
// tokens are dropped while they are fresh, or used after the holder has earned them
// again.
func TestGrantForEarlierRequestCountsOnlyWhileFresh(t *testing.T) {
	var asked []*wire.TokenRequest
	now := time.Hour
	x := newTokens(func(_ string, m *wire.Fleet) { asked = append(asked, m.GetTokenRequest()) })
	x.clock = func() time.Duration { return now }
	x.apply([]routing.Organisation{{Name: "o", Rate: 5, Burst: 5}})
	members := []*membership.Entry{{Peer: "a", DataCentre: "d"}, {Peer: "b", DataCentre: "d"}}
	holder := quota.Holders("o", 5, []quota.Member{{Peer: "a", DataCentre: "d"}, {Peer: "b", DataCentre: "d"}})[0].Peer
	self := members[0]
	if self.Peer == holder {
		self = members[1]
	}
	x.setMembers(self, members, true)
	take := func() bool {
		got, _, _ := x.tryTake("o", true)
		return got.taken
	}
	answer := func(q *wire.TokenRequest) { x.receive(holder, tokenGrant("o", 1, q.AskedUs)) }

	require.False(t, take())
	now += tokenWait
	require.False(t, take())
	require.Len(t, asked, 2, "the first token request was not answered in time")
	answer(asked[0])
	require.True(t, take(), "the grant for the first request is fresh")
	now += time.Second
	answer(asked[1])
	require.False(t, take(), "the holder has earned that token again")
	x.receive(holder, tokenGrant("o", 1, notAsked))
	require.False(t, take(), "only a holder accepts returned tokens")
}

// noDialect is a dialect with empty header names.
type noDialect struct{ Dialect }

func (noDialect) HeaderNames() HeaderNames { return HeaderNames{} }

// Failure: many daemons start or stop at once and send hundreds of announcements,
// most of which change only the state of a daemon. Each recomputes the shares of
// rates.
func TestManyAnnouncementsRecomputeRateSharesOnce(t *testing.T) {
	const daemons, organisations = 91, 88
	var many []routing.Organisation
	for i := range organisations {
		many = append(many, routing.Organisation{Name: fmt.Sprint("o", i), Rate: 20, Burst: 30})
	}
	var all []*membership.Entry
	for i := range daemons {
		all = append(all, &membership.Entry{Peer: fmt.Sprintf("10.0.0.%d:7000", i), DataCentre: fmt.Sprintf("dc%d", i%6)})
	}
	d, err := New(Settings{Instance: "node-0", Service: "archive", Listen: Listen{Peers: all[0].Peer}}, Options{Dialect: noDialect{}})
	require.NoError(t, err)
	defer d.Close()
	d.tokens.apply(many)
	for i := range daemons {
		d.control.fleet.Merge(all[:i+1])
	}
	require.Empty(t, d.tokens.members, "members are set at the next tick")
	d.control.updateRateShares()
	require.Len(t, d.tokens.members, daemons)
	allocations := testing.AllocsPerRun(10, func() { d.tokens.setMembers(all[0], all, d.control.directoryComplete) })
	require.Less(t, allocations, float64(organisations), "the set of members has not changed")
}

// Failure: an organisation with many holders sends far above its rate through every
// daemon, all holders are empty, and each round sends requests to all of them.
func TestTokenRequestsPerRoundDoNotGrowWithHolders(t *testing.T) {
	asked := make(map[string]int)
	sent := 0
	now := time.Hour
	x := newTokens(func(peer string, m *wire.Fleet) {
		if m.GetTokenRequest() != nil {
			asked[peer]++
			sent++
		}
	})
	x.clock = func() time.Duration { return now }
	x.apply([]routing.Organisation{{Name: "o", Rate: 400, Burst: 400}})
	var all []*membership.Entry
	for i := range 91 {
		all = append(all, &membership.Entry{Peer: fmt.Sprintf("10.0.0.%d:7000", i), DataCentre: fmt.Sprintf("dc%d", i%6)})
	}
	x.setMembers(&membership.Entry{Peer: "elsewhere", DataCentre: "dc0"}, all, true)
	holders := x.accounts["o"].holders
	require.Len(t, holders, 33)
	const rounds = 20
	for range rounds {
		x.tryTake("o", true)
		for pending := 1; pending > 0; pending = x.accounts["o"].pendingAnswers {
			x.receive("any", tokenGrant("o", 0, uint64(x.accounts["o"].askedAt.Microseconds())))
		}
		now += tokenWait + emptyPause
	}
	require.LessOrEqual(t, sent, rounds*(maxHoldersAsked+1))
	require.Len(t, asked, len(holders), "successive rounds ask all holders")
}

// Failure: a daemon is suspended until the others have removed it and earned its share
// of the tokens again. When it goes on, it spends the tokens that it has saved, and an
// organisation gets them twice. Every event that may come first after the suspension is
// tried.
func TestSuspendedHolderSpendsNoTokensThatOthersHaveEarned(t *testing.T) {
	for name, first := range map[string]func(*tokens){
		"request":  func(*tokens) {},
		"tick":     (*tokens).tick,
		"members":  func(x *tokens) { x.apply([]routing.Organisation{{Name: "o", Rate: 10, Burst: 700}}) },
		"question": func(x *tokens) { x.receive("b", tokenRequest("o", 0.1, true, time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			granted := 0.0
			now := time.Hour
			x := newTokens(func(_ string, m *wire.Fleet) { granted += m.GetTokenGrant().GetAmount() })
			x.clock = func() time.Duration { return now }
			self := &membership.Entry{Peer: "a", DataCentre: "d"}
			x.apply([]routing.Organisation{{Name: "o", Rate: 10, Burst: 700}})
			x.setMembers(self, []*membership.Entry{self}, true)
			for range 1000 { // 100 s: the whole burst is saved
				now += 100 * time.Millisecond
				x.tick()
			}
			require.Equal(t, 700, x.accounts["o"].WholeTokens())

			now += 10 * time.Second // suspended
			first(x)
			got, _, _ := x.tryTake("o", true)
			require.False(t, got.taken)
			require.Zero(t, granted)

			now += 100 * time.Millisecond // tokens are earned from the end of the suspension on
			x.tick()
			got, _, _ = x.tryTake("o", true)
			require.True(t, got.taken)
			got, _, _ = x.tryTake("o", true)
			require.False(t, got.taken)
		})
	}
}
