package fleet

import (
	"time"

	"wisteriafold/platform"
)

// rewriteWait is how long after the store has come back from an earlier copy a read of it
// confirms nothing: the operator writes again what the copy lacks, and until then nobody
// knows whether a newer configuration was accepted and lost.
const rewriteWait = 2 * time.Second

// epochState is what a Fleet knows about the epoch of the store, see platform.NewVersion.
type epochState struct {
	known     bool
	epoch     uint64
	settledAt time.Duration // reads that were sent before confirm nothing; never in epoch 0
	evacuated []string      // data centres that were evacuated in the epoch before, until settledAt
}

// count returns the number of epochs up to the known one, 0 if none is known.
func (s *epochState) count() uint64 {
	if !s.known {
		return 0
	}
	return s.epoch + 1
}

// epoch returns the epoch of the store at a read. ok is false if the read gave no version.
func (r *Reading) epoch() (epoch uint64, ok bool) {
	version := max(r.Version, r.StoreVersion)
	return platform.Epoch(version), version != 0
}

// noteEpoch takes an epoch of the store into account. A daemon that starts cannot tell how
// old the epoch is. Unless it is the first one, it waits as if the epoch had just begun;
// meanwhile daemons that know more can confirm its configuration.
func (f *Fleet) noteEpoch(epoch uint64) {
	s := &f.store
	if s.known && epoch <= s.epoch {
		return
	}
	from, changed := s.epoch, s.known
	s.known, s.epoch = true, epoch
	if epoch > 0 {
		s.settledAt = f.now + rewriteWait
	}
	if changed {
		s.evacuated = f.evacuated
		f.out.StoreEpochChanged(from, epoch)
	}
}

// Epoch returns the highest known epoch of the store.
func (f *Fleet) Epoch() uint64 { return f.store.epoch }

// endRewrite drops the evacuated data centres of the epoch before once the operator has
// had time to write the set again.
func (f *Fleet) endRewrite(now time.Duration) {
	if now >= f.store.settledAt {
		f.store.evacuated = nil
	}
}
