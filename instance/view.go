package instance

import (
	"wisteriafold/config"
	"wisteriafold/organisation"
)

// view is the part of the control state that request handlers read. It is
// immutable; the control goroutine publishes a new one for each change.
type view struct {
	snap *config.Snapshot
	keys *organisation.Keyring
}

// newView returns the view of snap without the withdrawn keys. It reuses the
// keyring of old when no key has changed.
func newView(old *view, snap *config.Snapshot, withdrawn []string) *view {
	keys := old.keys.For(snap.Configuration)
	if len(withdrawn) > 0 {
		keys = keys.Without(withdrawn)
	}
	return &view{snap: snap, keys: keys}
}

// weight returns the organisation's weight when a backend server is overloaded,
// 1 for open routes and for organisations that this daemon does not know yet.
func (v *view) weight(name string) float64 {
	o := v.snap.Organisation(name)
	if o == nil {
		return 1
	}
	return o.Weight
}

// withdrawn reports whether this daemon knows that the key of a request has
// been withdrawn. generation is the configuration generation of the sender.
// When it is newer than this daemon's, the sender knows better and the result
// is false.
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
