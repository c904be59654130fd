package quota

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// tokensPerHolder is the smallest share of a burst, in tokens, for which another
// holder is added. With smaller shares one holder runs out of tokens while another
// still has many, and requests within the rate are refused in normal operation. The
// cost is that an organisation with a small burst has a single holder and gets no
// tokens while that daemon is unavailable.
const tokensPerHolder = 12

// Member is a daemon that can be a holder.
type Member struct{ Peer, DataCentre string }

// Holders returns the daemons that earn the organisation's tokens, in equal
// shares. The result depends on the set of members only, not on their order, so
// every daemon that knows the same members computes the same holders.
func Holders(organisation string, burst float64, members []Member) []Member {
	want := min(max(int(burst/tokensPerHolder), 1), len(members))
	type ranked struct {
		Member
		hash             uint64
		rankInDataCentre int // position by hash among the members of its data centre
	}
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{Member: m, hash: xxhash.Sum64String(organisation + "\x00" + m.Peer)}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].hash < all[j].hash })
	seen := make(map[string]int)
	for i := range all {
		all[i].rankInDataCentre = seen[all[i].DataCentre]
		seen[all[i].DataCentre]++
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].rankInDataCentre < all[j].rankInDataCentre })
	holders := make([]Member, want)
	for i := range holders {
		holders[i] = all[i].Member
	}
	return holders
}
