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
	Version     uint64    // version of the row: 1 when first written, one more with each change, 0 for none
	Addresses   []string  // peer addresses in the order in which they joined
	Expelled    []string  // addresses that others have taken out, newest last
	ConfirmedAt time.Time // local time at which this was certainly the newest roster; zero when the store has never confirmed it
}

// row is a roster as this daemon holds it. Its slices are never changed.
type row struct {
	value      *wire.RosterRow
	rowVersion uint64   // commit sequence number
	hashes     []uint64 // of the addresses
	log        []rosterChange
}

// rosterChange takes the roster from one version to a later one.
type rosterChange struct {
	base           uint64 // version of the roster before
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

// succeeds gives r the log of the row that it replaces.
func (r *row) succeeds(old *row) {
	if old == nil {
		return
	}
	c := rosterChange{base: old.value.Version, from: old.rowVersion, to: r.rowVersion}
	c.added = without(r.value.Addresses, old.value.Addresses)
	c.removed = without(old.value.Addresses, r.value.Addresses)
	log := append(slices.Clone(old.log), c)
	r.log = log[max(0, len(log)-rosterLogKept):]
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

// changeSince returns what a peer needs that has the row as it was at that
// commit sequence number; whole asks for the full roster.
func (r *row) changeSince(sequence uint64, whole bool) *wire.RosterChange {
	full := &wire.RosterChange{Row: r.value, RowVersion: r.rowVersion}
	at := slices.IndexFunc(r.log, func(c rosterChange) bool { return c.to > sequence })
	if whole || at < 0 || r.log[at].from > sequence {
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

// apply returns the row that the change leads to, or nil when it does not
// apply to r and the full roster is needed.
func (r *row) apply(c *wire.RosterChange) *row {
	if c.Base == 0 {
		next := newRow(c.Row, c.RowVersion)
		next.succeeds(r)
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
	next.succeeds(r)
	return next
}
