package datacentre

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriafold/wire"
)

// Roster is the durable list of the instances of one data centre.
type Roster struct {
	DataCentre  string
	Region      string
	Version     uint64    // 0 before the first write, 1 after it, incremented with each change
	Addresses   []string  // peer addresses in the order in which they joined
	Expelled    []string  // addresses removed by other members, newest last
	ConfirmedAt time.Time // local time at which this was known to be the newest roster; zero if the store has never confirmed it
}

// row is a roster as held by this daemon. Its slices are never modified.
type row struct {
	value      *wire.RosterRow
	rowVersion uint64   // commit sequence number
	hashes     []uint64 // of the addresses
	log        []rosterChange
}

// rosterChange is the difference between two versions of a roster.
type rosterChange struct {
	base           uint64 // roster version before the change
	from, to       uint64 // commit sequence numbers of the row before and after
	added, removed []string
}

func newRow(value *wire.RosterRow, rowVersion uint64) *row {
	r := &row{value: value, rowVersion: rowVersion, hashes: make([]uint64, len(value.Addresses))}
	for i, a := range value.Addresses {
		r.hashes[i] = xxhash.Sum64String(a)
	}
	return r
}

// inheritLog sets the log of r to that of old, the row that it replaces, plus the
// change from old to r.
func (r *row) inheritLog(old *row) {
	if old == nil {
		return
	}
	c := rosterChange{base: old.value.Version, from: old.rowVersion, to: r.rowVersion}
	c.added = without(r.value.Addresses, old.value.Addresses)
	c.removed = without(old.value.Addresses, r.value.Addresses)
	log := append(slices.Clone(old.log), c)
	r.log = log[max(0, len(log)-maxRosterLog):]
}

// without returns the elements of a that are not in b, in a's order.
func without(a, b []string) []string {
	in := make(map[string]bool, len(b))
	for _, s := range b {
		in[s] = true
	}
	var out []string
	for _, s := range a {
		if !in[s] {
			out = append(out, s)
		}
	}
	return out
}

// changeSince returns the change that brings a peer from the row as of a commit
// sequence number to the current row. It returns the full roster if wantFull is
// set or the log does not reach back far enough.
func (r *row) changeSince(sequence uint64, wantFull bool) *wire.RosterChange {
	full := &wire.RosterChange{Row: r.value, RowVersion: r.rowVersion}
	at := slices.IndexFunc(r.log, func(c rosterChange) bool { return c.to > sequence })
	if wantFull || at < 0 || r.log[at].from > sequence {
		return full
	}
	head := &wire.RosterRow{
		DataCentre: r.value.DataCentre, Region: r.value.Region,
		Version: r.value.Version, Expelled: r.value.Expelled,
	}
	var removed []string
	for _, c := range r.log[at:] {
		head.Addresses = append(without(head.Addresses, c.removed), c.added...)
		removed = append(without(removed, c.added), c.removed...)
	}
	return &wire.RosterChange{Row: head, Base: r.log[at].base, RowVersion: r.rowVersion, Removed: removed}
}

// apply returns the row after the change, or nil if the change is not based on
// the version of r and the full roster is needed.
func (r *row) apply(c *wire.RosterChange) *row {
	if c.Base == 0 {
		next := newRow(c.Row, c.RowVersion)
		next.inheritLog(r)
		return next
	}
	if r == nil || r.value.Version != c.Base {
		return nil
	}
	value := &wire.RosterRow{
		DataCentre: c.Row.DataCentre, Region: c.Row.Region, Version: c.Row.Version, Expelled: c.Row.Expelled,
		Addresses: append(without(r.value.Addresses, append(slices.Clone(c.Removed), c.Row.Addresses...)), c.Row.Addresses...),
	}
	next := newRow(value, c.RowVersion)
	next.inheritLog(r)
	return next
}
