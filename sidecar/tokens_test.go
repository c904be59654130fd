package sidecar

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/membership"
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
