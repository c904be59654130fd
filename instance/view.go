package instance

import (
	"wisteriafold/config"
	"wisteriafold/organisation"
)

// view is what traffic reads of the control state. It is immutable; the control
// goroutine publishes a new one for each change.
type view struct {
	snap *config.Snapshot
	keys *organisation.Keyring
}

// newView follows old, whose keyring is used again when no key has changed.
func newView(old *view, snap *config.Snapshot, withdrawn []string) *view {
	keys := old.keys.For(snap.Configuration)
	if len(withdrawn) > 0 {
		keys = keys.Without(withdrawn)
	}
	return &view{snap: snap, keys: keys}
}

// weight returns the organisation's part of a crowded backend server, 1 for
// open routes and organisations that this daemon does not know yet.
func (v *view) weight(name string) float64 {
	o := v.snap.Organisation(name)
	if o == nil {
		return 1
	}
	return o.Weight
}

// withdrawn reports whether a key that came with a request is known here to be
// withdrawn. A sender that acts on a newer configuration than this daemon knows
// better.
func (v *view) withdrawn(keyID string, generation uint64) bool {
	if keyID == "" || generation > v.snap.Generation {
		return false
	}
	var id organisation.KeyID
	if copy(id[:], keyID) != len(id) {
		return true
	}
	_, ok := v.keys.Owner(id)
	return !ok
}
