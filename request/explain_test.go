package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure: the explained admission is not that of real requests, or asking changes it.
func TestOutlookIsWhatAdmitDecides(t *testing.T) {
	start := time.Unix(100, 0)
	now := start.Add(200 * time.Millisecond)
	loaded := func() *EntryControl {
		e := NewEntryControl(EntryConfig{})
		for i := range 200 {
			at := start.Add(time.Duration(i+1) * time.Millisecond)
			e.Observe(at, Feedback{Gate: ClassWidth + ClassWidth/2})
			e.Admit(at, &Call{Importance: Normal, Organisation: "a", Tree: Tree(uint64(i) << 56)}, 1)
		}
		return e
	}
	e := loaded()
	level, count, updated := e.level, e.shares[Normal].demands["a"].count, e.lastUpdate
	require.InDelta(t, 1, e.Outlook(now.Add(700*time.Millisecond), High, "a", 1).Admitted, 0)
	require.Zero(t, e.Outlook(now, Sheddable, "a", 1).Admitted)
	o := e.Outlook(now, Normal, "a", 1)
	require.Equal(t, []any{level, count, updated}, []any{e.level, e.shares[Normal].demands["a"].count, e.lastUpdate})
	require.NotContains(t, e.shares[High].demands, "a")
	require.Equal(t, Priority(level), o.Level)
	require.Less(t, o.Admitted, 0.9)
	admitted := 0
	const n = 400
	for i := range uint64(n) { // each is the next request, of an evenly spaced tree
		if loaded().Admit(now, &Call{Importance: Normal, Organisation: "a", Tree: Tree(i * (1 << 63 / n * 2))}, 1) {
			admitted++
		}
	}
	require.InDelta(t, o.Admitted, float64(admitted)/n, 2.0/n)
}
