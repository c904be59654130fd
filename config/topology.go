package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	fanOut     = 3 // children of a daemon in the tree in which it is an inner node
	relayCount = 2 // daemons of a data centre that read the store
	candidates = 6 // daemons that are ready to take over as relays, relays included
)

// Trees over a data centre's roster. The second is the first in reverse order, so
// that the inner nodes of one, which are in its first third, are leaves of the
// other.
const (
	treeDelta    = iota // carries deltas, and reports upwards
	treeAnnounce        // carries announcements
	treeCount
)

// topology is the position of one daemon in the trees of its data centre.
// Daemons with the same roster compute the same trees and the same relays.
type topology struct {
	order  []string // the roster, ordered by hash
	self   int      // position in order, -1 when not on the roster
	relays []string // candidates, in order of rank
}

// newTopology orders a roster. Addresses that occur twice count once.
func newTopology(self string, roster []string) topology {
	order := slices.Clone(roster)
	slices.SortFunc(order, byHash(treeSalt))
	order = slices.Compact(order)
	t := topology{order: order, self: slices.Index(order, self)}
	t.relays = relaysOf(order, candidates)
	return t
}

const (
	treeSalt  = "place"
	relaySalt = "relay"
)

// byHash compares addresses by rendezvous hash, then by text.
func byHash(salt string) func(a, b string) int {
	return func(a, b string) int {
		if c := cmp.Compare(xxhash.Sum64String(salt+a), xxhash.Sum64String(salt+b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	}
}

// relaysOf returns the first count relays of a roster.
func relaysOf(roster []string, count int) []string {
	l := slices.Clone(roster)
	slices.SortFunc(l, byHash(relaySalt))
	l = slices.Compact(l)
	return l[:min(count, len(l))]
}

// rank returns self's place among the candidates, -1 when it is none.
func (t *topology) rank(self string) int { return slices.Index(t.relays, self) }

// at returns the address at a position of a tree.
func (t *topology) at(tree, position int) string {
	if tree == treeAnnounce {
		position = len(t.order) - 1 - position
	}
	return t.order[position]
}

// position returns self's position in a tree, -1 when it is not on the roster.
func (t *topology) position(tree int) int {
	if t.self >= 0 && tree == treeAnnounce {
		return len(t.order) - 1 - t.self
	}
	return t.self
}

// parent returns the position above, -1 for the relays.
func parent(position int) int { return position/fanOut - 1 }

// children returns the positions directly below; -1 stands for the relays.
func (t *topology) children(position int) []int {
	first := (position + 1) * fanOut
	var out []int
	for p := first; p < first+fanOut && p < len(t.order); p++ {
		out = append(out, p)
	}
	return out
}

// isChild reports whether an address is directly below a position.
func (t *topology) isChild(tree, position int, address string) bool {
	for _, p := range t.children(position) {
		if t.at(tree, p) == address {
			return true
		}
	}
	return false
}

// ancestor returns the address that is level steps above self's parent in a
// tree. Above the top come the relays, one after the other; ok is false when
// there is no daemon further up.
func (t *topology) ancestor(tree, level int, self string) (address string, ok bool) {
	p := t.position(tree)
	if p < 0 {
		return "", false
	}
	for {
		p = parent(p)
		if p < 0 {
			break
		}
		if level == 0 {
			return t.at(tree, p), true
		}
		level--
	}
	for _, r := range t.relays[:min(relayCount, len(t.relays))] {
		if r == self {
			continue
		}
		if level == 0 {
			return r, true
		}
		level--
	}
	return "", false
}
