package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"wisteriafold/wire"
)

// State is the known state of a backend server.
type State uint32

// States of a backend server.
const (
	Unknown  State = iota // no information since the daemon started
	Ready                 // accepts calls
	Draining              // announced its shutdown; accepts no new calls
	Gone                  // deregistered
)

var stateNames = [...]string{"unknown", "ready", "draining", "gone"}

// String returns the name used in logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Entry is one daemon's announcement of itself. It must not be modified once
// published.
type Entry = wire.Sidecar

// Directory holds the newest known entry of each daemon. It is not safe for
// concurrent use.
type Directory struct {
	entries map[string]*Entry
	digest  uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{entries: make(map[string]*Entry)} }

// Newer reports whether a supersedes b, an entry with the same address. Entries
// are ordered by incarnation, then by removal, then by sequence number.
func Newer(a, b *Entry) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Removed != b.Removed {
		return a.Removed // removal ends an incarnation, whatever the sequence number
	}
	return a.Sequence > b.Sequence
}

// LeavingForgotten reports whether before, an entry of an earlier process of the same
// daemon, says that the backend server is leaving, and e does not say so of the same
// incarnation.
func LeavingForgotten(before, e *Entry) bool {
	if before.Service != e.Service || State(before.State) < Draining || e.State >= before.State {
		return false
	}
	return e.Backend == "" || e.Backend == before.Backend && e.Born <= before.Born
}

// Merge stores an entry if it is newer than the known entry of the same address,
// and reports whether it was stored. An entry without an address is dropped.
func (d *Directory) Merge(e *Entry) bool {
	if e == nil || e.Peer == "" {
		return false
	}
	old := d.entries[e.Peer]
	if old != nil && !Newer(e, old) {
		return false
	}
	if old != nil {
		d.digest ^= digestOf(old)
	}
	d.entries[e.Peer] = e
	d.digest ^= digestOf(e)
	return true
}

// digestOf returns a hash that identifies one version of an entry.
func digestOf(e *Entry) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(e.Peer) // never fails
	var b [17]byte
	for i := range 8 {
		b[i] = byte(uint64(e.Incarnation) >> (8 * i))
		b[8+i] = byte(e.Sequence >> (8 * i))
	}
	if e.Removed {
		b[16] = 1
	}
	_, _ = h.Write(b[:]) // never fails
	return h.Sum64()
}

// Digest returns a hash of the directory. It is equal for directories that hold
// the same versions of the same entries.
func (d *Directory) Digest() uint64 { return d.digest }

// Get returns the entry of the daemon with the given address, or nil if it is not
// known.
func (d *Directory) Get(peer string) *Entry { return d.entries[peer] }

// All returns all entries sorted by address, including those of removed daemons.
func (d *Directory) All() []*Entry {
	all := make([]*Entry, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Peer < all[j].Peer })
	return all
}

// Members returns the entries of daemons that have not been removed, sorted by
// address.
func (d *Directory) Members() []*Entry {
	all := d.All()
	kept := all[:0]
	for _, e := range all {
		if !e.Removed {
			kept = append(kept, e)
		}
	}
	return kept
}

// Encode returns the encoding of an entry for a row of the store.
func Encode(e *Entry) ([]byte, error) { return proto.Marshal(e) }

// Decode returns the entry that is encoded in a row of the store. It returns an
// error if the row does not contain an entry.
func Decode(b []byte) (*Entry, error) {
	e := new(Entry)
	if err := proto.Unmarshal(b, e); err != nil {
		return nil, err
	}
	return e, nil
}
