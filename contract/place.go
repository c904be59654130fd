package contract

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ID returns the number that identifies a contract in messages: a hash of its
// name.
func ID(name string) uint64 { return xxhash.Sum64String(name) }

func groupOf(id uint64) uint32 { return uint32(id % Groups) }

// mix combines two hashes (finalizer of splitmix64).
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// place returns the holders of each group by rendezvous hashing, highest hash
// first.
func place(addresses []string) [Groups][]string {
	var out [Groups][]string
	hashes := make([]uint64, len(addresses))
	for i, a := range addresses {
		hashes[i] = xxhash.Sum64String(a)
	}
	for g := range out {
		out[g] = best(addresses, hashes, mix(uint64(g), Groups))
	}
	return out
}

func best(addresses []string, hashes []uint64, key uint64) []string {
	var top [HoldersPerDataCentre]int
	n := 0
	better := func(i, j int) bool {
		a, b := mix(hashes[i], key), mix(hashes[j], key)
		if a != b {
			return a > b
		}
		return addresses[i] < addresses[j]
	}
	for i := range addresses {
		at := n
		for at > 0 && better(i, top[at-1]) {
			at--
		}
		if at == HoldersPerDataCentre {
			continue
		}
		n = min(n+1, HoldersPerDataCentre)
		copy(top[at+1:n], top[at:n-1])
		top[at] = i
	}
	out := make([]string, n)
	for i := range out {
		out[i] = addresses[top[i]]
	}
	return out
}

// rosterView is a roster with the holders that it assigns to each group.
type rosterView struct {
	Roster
	holders [Groups][]string
}

func newRosterView(r Roster) *rosterView {
	r.Addresses = slices.Clone(r.Addresses)
	r.Expelled = slices.Clone(r.Expelled)
	return &rosterView{Roster: r, holders: place(r.Addresses)}
}

// fraction returns the fraction of the data centre's share that each holder of the
// group has.
func (r *rosterView) fraction(group uint32) float64 {
	if n := len(r.holders[group]); n > 0 {
		return 1 / float64(n)
	}
	return 0
}

func (r *rosterView) holds(addr string, group uint32) bool {
	return slices.Contains(r.holders[group], addr)
}
