package datacentre

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Place returns the k members that rendezvous hashing assigns to the key, best
// first, or all members if there are fewer than k. The result does not depend on
// the order of members. When a member joins or leaves, only the keys assigned to
// it move.
func Place(members []string, key string, k int) []string {
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = xxhash.Sum64String(m)
	}
	return place(members, hashes, xxhash.Sum64String(key), k)
}

type rankedMember struct {
	weight uint64
	member string
}

// place is Place with precomputed hashes of the members and the key.
func place(members []string, hashes []uint64, key uint64, k int) []string {
	k = min(k, len(members))
	if k <= 0 {
		return nil
	}
	best := make([]rankedMember, 0, k+1)
	for i, m := range members {
		r := rankedMember{mix(hashes[i] ^ key), m}
		if len(best) == k && compareRank(r, best[k-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, r, compareRank)
		best = slices.Insert(best, at, r)
		best = best[:min(k, len(best))]
	}
	out := make([]string, len(best))
	for i, r := range best {
		out[i] = r.member
	}
	return out
}

// compareRank orders by weight, heaviest first, and then by name.
func compareRank(a, b rankedMember) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member))
}

// mix is the finalizer of SplitMix64: a bijection that spreads each input bit
// over all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
