package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure: a request that calls one service several times is held to the level of the
// tightest of the gates that it met, others to that of the average one.
func TestLevelOfRunIsTheLatestOfEachServiceAndTheTightestOfAll(t *testing.T) {
	var l levels
	require.Zero(t, l.worst())
	l.set("b", 30)
	l.set("a", 70)
	l.set("a", 50)
	require.EqualValues(t, 50, l.worst())
	l.set("a", 20)
	require.EqualValues(t, 30, l.worst())
	l.set("a", 0)
	l.set("b", 0)
	require.Zero(t, l.worst())
}
