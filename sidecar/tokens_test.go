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

// shares returns the part of an organisation's rate that all daemons earn, when
// daemon i knows known(i) of them.
func shares(daemons int, known func(i int) []*membership.Entry, all []*membership.Entry, whole bool) float64 {
	sum := 0.0
	for i := range daemons {
		t := newTokens(func(string, *wire.Fleet) {})
		t.apply([]routing.Organisation{{Name: "o", Rate: 100, Burst: 100}})
		t.setMembers(all[i], known(i), whole)
		sum += t.accounts["o"].Share()
	}
	return sum
}

// Pattern: all daemons lose power and start again while one organisation sends
// many times its rate. At first each knows itself and one other.
func TestNothingIsEarnedBeforeAllDaemonsAreKnown(t *testing.T) {
	const daemons = 97
	var all []*membership.Entry
	for i := range daemons {
		all = append(all, &membership.Entry{Peer: fmt.Sprintf("10.0.0.%d:7000", i), DataCentre: fmt.Sprintf("dc%d", i%6)})
	}
	two := func(i int) []*membership.Entry { return []*membership.Entry{all[i], all[(i+1)%daemons]} }
	require.Zero(t, shares(daemons, two, all, false))
	require.Greater(t, shares(daemons, two, all, true), 40.0, "what would be earned")
	require.InDelta(t, 1, shares(daemons, func(int) []*membership.Entry { return all }, all, true), 1e-9)
}

// Pattern: the way between two daemons is slow, or one of them was suspended
// while an answer was on its way.
func TestAnswersToAnEarlierQuestionCountWhileTheyAreFresh(t *testing.T) {
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
	wanted := func() bool {
		got, _, _ := x.tryTake("o", true)
		return got.taken
	}
	answer := func(q *wire.TokenRequest) { x.receive(holder, tokenGrant("o", 1, q.AskedUs)) }

	require.False(t, wanted())
	now += tokenWait
	require.False(t, wanted())
	require.Len(t, asked, 2, "the first question was not answered in time")
	answer(asked[0])
	require.True(t, wanted(), "its answer is fresh")
	now += time.Second
	answer(asked[1])
	require.False(t, wanted(), "the holder has earned that token again")
	x.receive(holder, tokenGrant("o", 1, givenBack))
	require.False(t, wanted(), "only a holder takes tokens back")
}

// noDialect is a platform whose fields have no names.
type noDialect struct{ Dialect }

func (noDialect) HeaderNames() HeaderNames { return HeaderNames{} }

// Pattern: many daemons start or stop at once. Announcements come in hundreds, and
// most tell of a state, not of another daemon.
func TestManyAnnouncementsDeriveThePartsOfRatesOnce(t *testing.T) {
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
	require.Empty(t, d.tokens.members, "before the next tick")
	d.control.settleRates()
	require.Len(t, d.tokens.members, daemons)
	allocations := testing.AllocsPerRun(10, func() { d.tokens.setMembers(all[0], all, d.control.whole) })
	require.Less(t, allocations, float64(organisations), "only states have changed")
}

// Pattern: an organisation with many holders sends far above its rate at every
// daemon, and all holders are empty.
func TestARoundOfAskingDoesNotGrowWithTheHolders(t *testing.T) {
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
		for open := 1; open > 0; open = x.accounts["o"].open {
			x.receive("any", tokenGrant("o", 0, uint64(x.accounts["o"].askedAt.Microseconds())))
		}
		now += tokenWait + dryPause
	}
	require.LessOrEqual(t, sent, rounds*(maxAsked+1))
	require.Len(t, asked, len(holders), "all are asked in turn")
}
