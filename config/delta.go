package config

import (
	"encoding/hex"
	"time"

	"wisteriafold/wire"
)

const (
	partBytes      = 24 << 10  // approximate bytes of rows in one message of a small delta
	maxPartBytes   = 192 << 10 // the same in a large delta; leaves room in a frame
	targetParts    = 100       // number of parts above which messages grow instead
	rowOverhead    = 16        // approximate bytes of a row's framing
	maxParts       = 1024      // largest number of parts of one delta
	maxAssemblies  = 4
	assemblyBusy   = 2 * time.Second // time without a new part after which asks request a delta again
	assemblyExpiry = 10 * time.Second
	maxAnnounced   = 16 // largest number of withdrawn keys in one announcement
)

// forwarding records what this daemon has forwarded in one tree.
type forwarding struct {
	generation uint64
	origin     uint64
	parts      map[uint32]bool
}

// sendDelta sends the delta from a generation to the one in force.
func (m *Spreader) sendDelta(to string, from uint64, tree bool) {
	for _, d := range m.deltas(from, tree) {
		m.opts.Outbox.Send(to, &wire.Spread{Kind: &wire.Spread_Delta{Delta: d}})
	}
}

// deltas returns the parts of the delta from a generation to the one in force.
func (m *Spreader) deltas(from uint64, tree bool) []*wire.SpreadDelta {
	rows, full := m.rowsSince(from)
	s := m.content.snapshot
	var parts []*wire.SpreadDelta
	newPart := func() *wire.SpreadDelta {
		d := &wire.SpreadDelta{From: from, Generation: s.Generation, Version: s.Version, Digest: s.Digest, Full: full, Tree: tree, Part: uint32(len(parts))}
		parts = append(parts, d)
		return d
	}
	maxSize := partSize(rows)
	part, size := newPart(), 0
	for _, r := range rows {
		n := r.size()
		if size > 0 && size+n > maxSize {
			part, size = newPart(), 0
		}
		size += n
		part.Rows = append(part.Rows, &wire.SpreadRow{Key: r.Key, Value: r.Value, Deleted: r.Deleted})
	}
	origin := m.opts.Random.Uint64()
	for _, d := range parts {
		d.Parts, d.Origin = uint32(len(parts)), origin
	}
	return parts
}

// partSize returns the bytes of rows for one message. Links drop messages when
// too many are queued for one peer, so a large delta is sent in larger parts.
func partSize(rows []Row) int {
	total := 0
	for i := range rows {
		total += rows[i].size()
	}
	return min(max(total/targetParts, partBytes), maxPartBytes)
}

// size returns the approximate number of bytes that the row takes in a message.
func (r *Row) size() int { return len(r.Key) + len(r.Value) + rowOverhead }

// rowsSince returns the rows that changed after a generation, in order. It
// returns all rows when from is 0 or the journal does not reach back to it.
func (m *Spreader) rowsSince(from uint64) (rows []Row, full bool) {
	keys, ok := m.journal.since(from)
	if !ok || from == 0 {
		return m.content.all(), true
	}
	for k := range keys {
		v, present := m.content.rows[k]
		rows = append(rows, Row{Key: k, Value: v, Deleted: !present})
	}
	sortRows(rows)
	return rows, false
}

// broadcast sends the generation in force down both trees from the top, as a
// relay.
func (m *Spreader) broadcast(from uint64) { m.broadcastBelow(from, -1, -1) }

// broadcastBelow sends the generation in force to the daemons below a position of
// each tree. A daemon that had no configuration before sends the announcement
// only: the other daemons probably have an earlier generation, and ask for the
// rows that they lack.
func (m *Spreader) broadcastBelow(from uint64, first, second int) {
	parts := m.deltas(from, true)
	if from > 0 {
		m.forwarded[treeDelta] = forwarding{generation: m.generation(), origin: parts[0].GetOrigin()}
		for _, d := range parts {
			m.sendBelow(first, &wire.Spread{Kind: &wire.Spread_Delta{Delta: d}})
		}
	}
	m.forwarded[treeAnnounce] = forwarding{generation: m.generation()}
	a := &wire.SpreadAnnounce{Generation: m.generation(), Withdrawn: withdrawnIn(parts[0])}
	m.sendChildren(treeAnnounce, second, &wire.Spread{Kind: &wire.Spread_Announce{Announce: a}})
}

// sendChildren sends to the children of a position of a tree; -1 stands for the
// relays. Where this daemon is itself one of the children, it sends to its own
// children instead.
func (m *Spreader) sendChildren(tree, position int, msg *wire.Spread) {
	if m.topology.self < 0 {
		return // not on the roster: neither inner node nor relay
	}
	for _, p := range m.topology.children(position) {
		if to := m.topology.at(tree, p); to != m.opts.Self {
			m.opts.Outbox.Send(to, msg)
			continue
		}
		m.sendChildren(tree, p, msg)
	}
}

// sendBelow sends down the first tree from this daemon: to its children, and to
// daemons further down that report here because their parents do not answer.
func (m *Spreader) sendBelow(position int, msg *wire.Spread) {
	m.sendChildren(treeDelta, position, msg)
	for _, to := range sortedKeys(m.reports.byAddress) {
		if !m.topology.isChild(treeDelta, position, to) {
			m.opts.Outbox.Send(to, msg)
		}
	}
}

// withdrawnIn returns the digests of the keys that a delta's first part
// withdraws, at most maxAnnounced, for an announcement.
func withdrawnIn(d *wire.SpreadDelta) [][]byte {
	var out [][]byte
	for _, digest := range withdrawals(d) {
		raw, err := hex.DecodeString(digest[len(digestPrefix):])
		if err == nil && len(out) < maxAnnounced {
			out = append(out, raw)
		}
	}
	return out
}

// withdrawals returns the digests of the keys that a part withdraws.
func withdrawals(d *wire.SpreadDelta) []string {
	var out []string
	for _, r := range d.GetRows() {
		kind, name := splitKey(r.GetKey())
		if r.GetDeleted() && kind == KindKey && validDigest(name) {
			out = append(out, name)
		}
	}
	return out
}

func digestsFromWire(raw [][]byte) []string {
	out := make([]string, 0, len(raw))
	for _, b := range raw {
		out = append(out, digestPrefix+hex.EncodeToString(b))
	}
	return out
}

// receiveDelta forwards a part at once, refuses the keys that it withdraws, and
// puts the generation in force when all parts have arrived.
func (m *Spreader) receiveDelta(now time.Time, from string, d *wire.SpreadDelta) {
	if d.GetParts() == 0 || d.GetParts() > maxParts || d.GetPart() >= d.GetParts() {
		return
	}
	if d.GetTree() {
		m.forward(d)
	}
	if d.GetGeneration() <= m.generation() {
		m.needsFull = m.needsFull && !d.GetFull()
		return
	}
	m.withdraw(d.GetGeneration(), withdrawals(d))
	if !d.GetFull() && m.generation() < d.GetFrom() {
		m.announced = announcement{}
		m.noteNewer(now, from, d.GetGeneration())
		return
	}
	rows, complete := m.assembly.add(now, d)
	if !complete {
		return
	}
	before := m.generation()
	h := Head{Generation: d.GetGeneration(), Digest: d.GetDigest()}
	if !m.apply(now, h, d.GetVersion(), d.GetFull(), rows) {
		m.noteNewer(now, from, d.GetGeneration())
		return
	}
	if !d.GetTree() {
		m.forwardRepaired(before)
	}
}

// forwardRepaired forwards a generation that did not arrive through the trees.
// A relay sends it to all daemons of the data centre. Other daemons send it to
// those below them, which have probably missed it too.
func (m *Spreader) forwardRepaired(from uint64) {
	if m.isRelay() {
		m.broadcast(from)
		return
	}
	if from > 0 && m.forwarded[treeDelta].generation < m.generation() {
		m.broadcastBelow(from, m.topology.position(treeDelta), m.topology.position(treeAnnounce))
	}
}

// forward sends a part down the first tree unless it was sent before.
func (m *Spreader) forward(d *wire.SpreadDelta) {
	f := &m.forwarded[treeDelta]
	switch {
	case d.GetGeneration() < f.generation:
		return
	case d.GetGeneration() > f.generation:
		*f = forwarding{generation: d.GetGeneration(), origin: d.GetOrigin(), parts: map[uint32]bool{}}
	case d.GetOrigin() != f.origin || f.parts[d.GetPart()] || f.parts == nil:
		return
	}
	f.parts[d.GetPart()] = true
	m.sendBelow(m.topology.position(treeDelta), &wire.Spread{Kind: &wire.Spread_Delta{Delta: d}})
}

// assembly collects the parts of deltas that are not complete yet.
type assembly struct{ pending map[assemblyKey]*partialDelta }

type assemblyKey struct{ origin, from, generation uint64 }

type partialDelta struct {
	parts map[uint32][]*wire.SpreadRow
	last  time.Time
}

// add stores a part, and returns all rows once every part has arrived.
func (a *assembly) add(now time.Time, d *wire.SpreadDelta) (rows []Row, complete bool) {
	if d.GetParts() == 1 {
		return rowsFromWire(nil, d.GetRows()), true
	}
	key := assemblyKey{d.GetOrigin(), d.GetFrom(), d.GetGeneration()}
	p := a.pending[key]
	if p == nil {
		if len(a.pending) >= maxAssemblies {
			a.dropOldest()
		}
		p = &partialDelta{parts: map[uint32][]*wire.SpreadRow{}}
		a.pending[key] = p
	}
	p.last = now
	p.parts[d.GetPart()] = d.GetRows()
	if len(p.parts) < int(d.GetParts()) {
		return nil, false
	}
	delete(a.pending, key)
	for i := range d.GetParts() {
		rows = rowsFromWire(rows, p.parts[i])
	}
	return rows, true
}

func rowsFromWire(rows []Row, from []*wire.SpreadRow) []Row {
	for _, r := range from {
		rows = append(rows, Row{Key: r.GetKey(), Value: r.GetValue(), Deleted: r.GetDeleted()})
	}
	return rows
}

func (a *assembly) dropOldest() {
	var oldest assemblyKey
	var at time.Time
	for key, p := range a.pending {
		if at.IsZero() || p.last.Before(at) {
			oldest, at = key, p.last
		}
	}
	delete(a.pending, oldest)
}

// busy reports whether parts are arriving.
func (a *assembly) busy(now time.Time) bool {
	for _, p := range a.pending {
		if now.Sub(p.last) < assemblyBusy {
			return true
		}
	}
	return false
}

func (a *assembly) expire(now time.Time) {
	for key, p := range a.pending {
		if now.Sub(p.last) >= assemblyExpiry {
			delete(a.pending, key)
		}
	}
}
