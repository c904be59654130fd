package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/membership"
	"wisteriafold/routing"
	"wisteriafold/wire"
)

// Failure: looking at an account takes or earns tokens, counts as demand, or asks holders.
func TestOutlookLeavesTheTokenAccountAsItIs(t *testing.T) {
	now, sent := time.Minute, 0
	x := newTokens(func(string, *wire.Fleet) { sent++ })
	x.clock = func() time.Duration { return now }
	x.apply([]routing.Organisation{{Name: "o", Rate: 10, Burst: 10}})
	self := &membership.Entry{Peer: "10.0.0.1:7000", DataCentre: "dc0"}
	x.setMembers(self, []*membership.Entry{self}, true)
	for _, step := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		now += step
		before := *x.accounts["o"]
		account := *before.Account
		first := x.outlook("o")
		require.Equal(t, first, x.outlook("o"))
		require.Equal(t, before, *x.accounts["o"])
		require.Equal(t, account, *x.accounts["o"].Account)
		got, _, _ := x.tryTake("o", true)
		require.Equal(t, first.tokens > 0, got.taken, "the outlook is what a request gets")
	}
	require.Zero(t, sent)
	require.False(t, x.outlook("other").known)
}
