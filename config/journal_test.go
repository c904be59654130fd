package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestJournalIsBoundedAndReportsDroppedGenerations(t *testing.T) {
	var j journal
	for g := uint64(1); g <= journalEntries+10; g++ {
		j.add(g-1, g, []Row{{Key: fmt.Sprint(g)}})
	}
	_, ok := j.since(9)
	require.False(t, ok)
	keys, ok := j.since(journalEntries + 8)
	require.True(t, ok)
	require.Equal(t, map[string]bool{fmt.Sprint(journalEntries + 9): true, fmt.Sprint(journalEntries + 10): true}, keys)
	j.add(journalEntries+10, journalEntries+11, make([]Row, journalKeys))
	require.LessOrEqual(t, j.keys, journalKeys)
	j.add(journalEntries+11, journalEntries+12, make([]Row, journalKeys+1))
	_, ok = j.since(journalEntries + 11)
	require.False(t, ok)
}

func TestTreesReachEveryDaemonAndShareNoInnerNode(t *testing.T) {
	for _, n := range []int{1, 2, 4, 5, 16, 120, 800} {
		roster := make([]string, n)
		for i := range roster {
			roster[i] = fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		}
		top := newTopology(roster[0], roster)
		inner := map[string]int{}
		for tree := range treeCount {
			reached := map[string]int{}
			var walk func(position int)
			walk = func(position int) {
				below := top.children(position)
				if position >= 0 && len(below) > 0 {
					inner[top.at(tree, position)]++
				}
				for _, p := range below {
					require.Equal(t, position, parent(p))
					reached[top.at(tree, p)]++
					walk(p)
				}
			}
			walk(-1)
			require.Len(t, reached, n)
			for address, times := range reached {
				require.Equal(t, 1, times, address)
			}
		}
		for address, times := range inner {
			require.Equal(t, 1, times, address)
		}
	}
}
