package service

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSubset is the maximum number of endpoints of one locality that a Picker uses.
const maxSubset = 32

// subset returns the n endpoints with the highest rendezvous hash for key.
// Adding or removing one endpoint changes at most one member of the result.
// n <= 0 or n > maxSubset is treated as maxSubset.
func subset(endpoints []Endpoint, key string, seed uint64, n int) []Endpoint {
	if n <= 0 || n > maxSubset {
		n = maxSubset
	}
	type scored struct {
		endpoint Endpoint
		score    uint64
	}
	all := make([]scored, 0, len(endpoints))
	for _, e := range endpoints {
		all = append(all, scored{endpoint: e, score: rendezvous(key, e.Peer, seed)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.endpoint.Peer < b.endpoint.Peer:
			return -1
		default:
			return 1
		}
	})
	if len(all) > n {
		all = all[:n]
	}
	chosen := make([]Endpoint, 0, len(all))
	for _, s := range all {
		chosen = append(chosen, s.endpoint)
	}
	return chosen
}

// rendezvous returns the rendezvous hash of the pair of key and peer.
func rendezvous(key, peer string, seed uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(peer)
	return d.Sum64()
}
