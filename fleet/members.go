package fleet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriafold/membership"
	"wisteriafold/wire"
)

// removeGone removes the daemons of this region from which this daemon, which reads
// the store for the region, has received no message for RemoveAfter. A removed
// daemon that is still running learns of its removal and announces itself again
// with a new incarnation.
func (f *Fleet) removeGone(now, age time.Duration) {
	if f.sourceSince == never || age > readAfter {
		f.sourceSince = now // this daemon may itself be cut off, so that the others cannot reach it
		return
	}
	for _, e := range f.dir.Members() {
		if e.Peer == f.self.Peer || e.Region != f.self.Region || now-max(f.lastHeard[e.Peer], f.sourceSince) < RemoveAfter {
			continue
		}
		gone := proto.Clone(e).(*membership.Entry)
		gone.Removed = true
		f.dir.Merge(gone)
		f.broadcast(gone)
		if isLeaving(gone) {
			f.removals = true
		} else {
			f.out.DeleteRow(gone)
		}
		f.out.DirectoryChanged()
	}
}

// isLeaving reports whether the backend server of an entry is draining or gone.
func isLeaving(e *membership.Entry) bool { return membership.State(e.State) >= membership.Draining }

// keptRow is the row of a removed daemon whose backend server was leaving.
type keptRow struct {
	entry    *membership.Entry // marks the daemon as removed
	deleteAt time.Duration
	done     bool
}

// deleteKeptRows deletes the rows of this region's removed daemons whose retention has
// ended. Each daemon keeps track of them, so that any can become the one that does it.
func (f *Fleet) deleteKeptRows(now time.Duration, isSource bool) {
	if f.removals {
		f.removals = false
		for _, e := range f.dir.All() {
			if e.Removed && isLeaving(e) && e.Region == f.self.Region && f.keptRows[e.Peer].entry != e {
				f.keptRows[e.Peer] = keptRow{entry: e, deleteAt: now + leavingRowRetention}
			}
		}
	}
	for peer, k := range f.keptRows {
		switch {
		case f.dir.Get(peer) != k.entry: // the daemon has started again
			delete(f.keptRows, peer)
		case !k.done && now >= k.deleteAt:
			k.done = true
			f.keptRows[peer] = k
			if isSource {
				f.out.DeleteRow(k.entry)
			}
		}
	}
}

// sidecars returns a message with entries. wantAll asks the receiver for its
// complete directory.
func (f *Fleet) sidecars(entries []*membership.Entry, wantAll bool) *wire.Fleet {
	return &wire.Fleet{Kind: &wire.Fleet_Sidecars{Sidecars: &wire.Sidecars{Entries: entries, WantAll: wantAll}}}
}

// handleSidecars merges the entries of a message and answers a request for the
// complete directory. A daemon that has restarted, and does not know that its backend
// server is leaving, gets back the entry of its previous process.
func (f *Fleet) handleSidecars(from string, m *wire.Sidecars) {
	for _, e := range m.Entries {
		before := f.dir.Get(e.GetPeer())
		if before != nil && e.Incarnation > before.Incarnation && membership.LeavingForgotten(before, e) {
			f.out.Send(e.Peer, f.sidecars([]*membership.Entry{before}, false))
		}
	}
	f.Merge(m.Entries)
	if m.WantAll {
		f.out.Send(from, f.sidecars(f.dir.All(), false))
	}
}

// Merge adds entries, for example rows of the store, to the directory. An entry for
// this daemon's own address that supersedes the daemon's own entry is not added but
// reported to Delegate.Superseded; it may come from a previous process at the address.
// Any entry of such a process is reported to Delegate.Restore.
func (f *Fleet) Merge(entries []*membership.Entry) {
	changed := false
	for _, e := range entries {
		if e.GetPeer() == f.self.Peer {
			if e.Incarnation != f.self.Incarnation {
				f.out.Restore(e)
			}
			if membership.Newer(e, f.self) {
				f.out.Superseded(e.Incarnation)
			}
			continue
		}
		if f.dir.Merge(e) {
			changed = true
			f.removals = f.removals || e.Removed
			delete(f.suspect, e.Peer)
		}
	}
	if changed {
		f.out.DirectoryChanged()
	}
}

// Announce replaces this daemon's own entry and sends it to all other daemons.
func (f *Fleet) Announce(e *membership.Entry) {
	f.self = e
	f.dir.Merge(e)
	f.broadcast(e)
	f.out.DirectoryChanged()
}

// broadcast sends an entry to all other daemons.
func (f *Fleet) broadcast(e *membership.Entry) {
	m := f.sidecars([]*membership.Entry{e}, false)
	for _, x := range f.dir.Members() {
		if x.Peer != f.self.Peer {
			f.out.Send(x.Peer, m)
		}
	}
}
