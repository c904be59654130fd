package fleet

import (
	"slices"
	"time"

	"wisteriafold/wire"
)

// MaxEvacuatedBytes is the size limit, in bytes, of the names of the evacuated data
// centres in a message between daemons: with a configuration, the message must fit in
// one frame. Daemons read a larger set from the store.
const MaxEvacuatedBytes = 32 << 10

// pushedFar is the number of daemons of each other region that a changed set is pushed
// to, so that it arrives although two of them are down.
const pushedFar = 3

// Reading is what one read of the store gave.
type Reading struct {
	Document []byte // the configuration, nil if there is none
	Version  uint64 // of the row of the configuration, 0 if there is none

	// Evacuated are the data centres that the operator evacuates, as of StoreVersion,
	// a version of the whole store. StoreVersion is 0 if they were not read.
	Evacuated    []string
	StoreVersion uint64
}

// TrackEvacuations makes the Fleet keep the set of evacuated data centres, which then
// must be part of each Reading. It must be called before any other method. Other
// daemons that do not keep the set count as stale.
func (f *Fleet) TrackEvacuations() { f.tracksEvacuated = true }

// Evacuated returns the evacuated data centres, in order, and the version of the store
// as of which they were read. The version is 0 while the set is not known. After a change
// of the epoch of the store, the set of before stays in force until rewriteWait has
// passed. The caller must not change the result.
func (f *Fleet) Evacuated() (dataCentres []string, version uint64) {
	if len(f.store.evacuated) == 0 {
		return f.evacuated, f.evacuatedVersion
	}
	union := append(slices.Clone(f.evacuated), f.store.evacuated...)
	slices.Sort(union)
	return slices.Compact(union), f.evacuatedVersion
}

// takeEvacuated replaces the set by one of a higher version, and reports whether the
// data centres changed; the first set counts as a change unless it is empty, so that
// daemons that start do not all push an empty one. Sets of one version can differ if the store changed during a
// read of several pages; the union holds until the next read.
func (f *Fleet) takeEvacuated(dataCentres []string, version uint64) (changed bool) {
	if !f.tracksEvacuated || version == 0 || version < f.evacuatedVersion {
		return false
	}
	next := slices.Clone(dataCentres)
	if version == f.evacuatedVersion {
		next = append(next, f.evacuated...)
	}
	slices.Sort(next)
	next = slices.Compact(next)
	changed = !slices.Equal(next, f.evacuated)
	if changed {
		f.evacuated = next
	}
	f.evacuatedVersion = version
	return changed
}

// addEvacuated adds the set to a message if it is known and not too large.
func (f *Fleet) addEvacuated(m *wire.Freshness) {
	size := 0
	for _, name := range f.evacuated {
		size += len(name)
	}
	if size <= MaxEvacuatedBytes {
		m.OperatorVersion, m.Evacuated = f.evacuatedVersion, f.evacuated
	}
}

// pushEvacuated sends the set to the other daemons of this region. The message states
// no generation: a receiver with an older configuration would read the store at once.
func (f *Fleet) pushEvacuated() { f.sendToRegion(f.evacuatedMessage()) }

// pushEvacuatedFar sends the set to a few daemons of each other region, which push it
// on if it is new to them: the readers there may be cut off from the store.
func (f *Fleet) pushEvacuatedFar() {
	m, sent := f.evacuatedMessage(), make(map[string]int)
	for _, e := range f.dir.Members() {
		if e.Region != f.self.Region && !e.Leaving && sent[e.Region] < pushedFar {
			sent[e.Region]++
			f.out.Send(e.Peer, m)
		}
	}
}

func (f *Fleet) evacuatedMessage() *wire.Fleet {
	m := &wire.Freshness{AgeUs: -1, MembersDigest: f.dir.Digest(), StoreEpochs: f.store.count()}
	f.addEvacuated(m)
	return &wire.Fleet{Kind: &wire.Fleet_Freshness{Freshness: m}}
}

// isInRegion reports whether a peer is known to be in this daemon's region.
func (f *Fleet) isInRegion(peer string) bool {
	e := f.dir.Get(peer)
	return e != nil && e.Region == f.self.Region
}

// repairWithoutStore asks a daemon of another region while this daemon cannot read the
// store and no daemon of its region has a recent configuration. Repair by the reader of
// the region alone is not enough: while none can read, each daemon takes another one
// for the reader in turn, and may never get to itself.
func (f *Fleet) repairWithoutStore(now, age time.Duration) {
	if f.tracksEvacuated && age > readAfter && now < f.stale[f.self.Peer] && now-f.repairedAt >= RefreshInterval {
		f.repair(now, age)
	}
}
