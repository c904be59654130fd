package config

import (
	"encoding/hex"
	"time"

	"wisteriafold/wire"
)

const (
	partBytes      = 24 << 10  // rows of one message, roughly, in a small delta
	partBytesMost  = 192 << 10 // in a large one; leaves room in a frame
	partsAimed     = 100       // parts that larger messages keep a large delta to
	rowOverhead    = 16        // bytes of a row's framing, roughly
	maxParts       = 1024      // of one delta
	maxAssemblies  = 4
	assemblyBusy   = 2 * time.Second // without a new part an assembly is not waited for
	assemblyExpiry = 10 * time.Second
	maxAnnounced   = 16 // withdrawn keys in one announcement
)

// forwarding remembers what was passed on in one tree.
type forwarding struct {
	generation uint64
	origin     uint64
	parts      map[uint32]bool
}

// sendDelta sends what leads from a generation to the one in force.
func (m *Spreader) sendDelta(to string, from uint64, tree bool) {
	for _, d := range m.deltas(from, tree) {
		m.o.Outbox.Send(to, &wire.Spread{Kind: &wire.Spread_Delta{Delta: d}})
	}
}

// deltas returns the parts that lead from a generation to the one in force.
func (m *Spreader) deltas(from uint64, tree bool) []*wire.SpreadDelta {
	rows, full := m.rowsSince(from)
	s := m.content.snapshot
	var parts []*wire.SpreadDelta
	begin := func() *wire.SpreadDelta {
		d := &wire.SpreadDelta{From: from, Generation: s.Generation, Version: s.Version, Digest: s.Digest, Full: full, Tree: tree, Part: uint32(len(parts))}
		parts = append(parts, d)
		return d
	}
	most := partSize(rows)
	part, size := begin(), 0
	for _, r := range rows {
		n := r.size()
		if size > 0 && size+n > most {
			part, size = begin(), 0
		}
		size += n
		part.Rows = append(part.Rows, &wire.SpreadRow{Key: r.Key, Value: r.Value, Deleted: r.Deleted})
	}
	origin := m.o.Random.Uint64()
	for _, d := range parts {
		d.Parts, d.Origin = uint32(len(parts)), origin
	}
	return parts
}

// partSize returns the bytes of rows for one message. The links drop messages
// when very many wait for one peer, so a large delta goes in larger parts.
func partSize(rows []Row) int {
	total := 0
	for i := range rows {
		total += rows[i].size()
	}
	return min(max(total/partsAimed, partBytes), partBytesMost)
}

// size returns the bytes that the row takes in a message, roughly.
func (r *Row) size() int { return len(r.Key) + len(r.Value) + rowOverhead }

// rowsSince returns what changed after a generation, or everything, in order.
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

// feed sends the generation in force down both trees, as a relay.
func (m *Spreader) feed(from uint64) { m.pass(from, -1, -1) }

// pass sends the generation in force to those below a position of each tree.
// A daemon that had nothing only announces: the others have probably more
// than nothing, and ask for what they lack.
func (m *Spreader) pass(from uint64, first, second int) {
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

// sendChildren sends to those below a position of a tree, -1 for the relays'.
// Where this daemon is one of them, those below it get the message at once.
func (m *Spreader) sendChildren(tree, position int, msg *wire.Spread) {
	if m.topology.self < 0 {
		return // not on the roster: neither inner node nor relay
	}
	for _, p := range m.topology.children(position) {
		if to := m.topology.at(tree, p); to != m.o.Self {
			m.o.Outbox.Send(to, msg)
			continue
		}
		m.sendChildren(tree, p, msg)
	}
}

// sendBelow sends down the first tree from this daemon: to its children, and
// to those further below who report here because theirs are silent.
func (m *Spreader) sendBelow(position int, msg *wire.Spread) {
	m.sendChildren(treeDelta, position, msg)
	for _, to := range sortedKeys(m.reports.of) {
		if !m.topology.isChild(treeDelta, position, to) {
			m.o.Outbox.Send(to, msg)
		}
	}
}

// withdrawnIn returns the keys that a delta's first part withdraws, at most
// maxAnnounced, for an announcement.
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

// receiveDelta passes a part on at once, refuses the keys that it withdraws,
// and puts the generation in force when all parts are there.
func (m *Spreader) receiveDelta(now time.Time, from string, d *wire.SpreadDelta) {
	if d.GetParts() == 0 || d.GetParts() > maxParts || d.GetPart() >= d.GetParts() {
		return
	}
	if d.GetTree() {
		m.forward(d)
	}
	if d.GetGeneration() <= m.generation() {
		m.full = m.full && !d.GetFull()
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
	if !m.take(now, h, d.GetVersion(), d.GetFull(), rows) {
		m.noteNewer(now, from, d.GetGeneration())
		return
	}
	if !d.GetTree() {
		m.passRepaired(before)
	}
}

// passRepaired passes on what did not come by the trees: to those below, who
// have probably missed it too, and as a relay to all.
func (m *Spreader) passRepaired(from uint64) {
	if m.isRelay() {
		m.feed(from)
		return
	}
	if from > 0 && m.forwarded[treeDelta].generation < m.generation() {
		m.pass(from, m.topology.place(treeDelta), m.topology.place(treeAnnounce))
	}
}

// forward passes a part down the first tree, once.
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
	m.sendBelow(m.topology.place(treeDelta), &wire.Spread{Kind: &wire.Spread_Delta{Delta: d}})
}

// assembly gathers the parts of deltas.
type assembly struct{ open map[assemblyKey]*partial }

type assemblyKey struct{ origin, from, generation uint64 }

type partial struct {
	parts map[uint32][]*wire.SpreadRow
	last  time.Time
}

// add keeps a part and returns all rows once the last one is there.
func (a *assembly) add(now time.Time, d *wire.SpreadDelta) (rows []Row, complete bool) {
	if d.GetParts() == 1 {
		return rowsFromWire(nil, d.GetRows()), true
	}
	key := assemblyKey{d.GetOrigin(), d.GetFrom(), d.GetGeneration()}
	p := a.open[key]
	if p == nil {
		if len(a.open) >= maxAssemblies {
			a.dropOldest()
		}
		p = &partial{parts: map[uint32][]*wire.SpreadRow{}}
		a.open[key] = p
	}
	p.last = now
	p.parts[d.GetPart()] = d.GetRows()
	if len(p.parts) < int(d.GetParts()) {
		return nil, false
	}
	delete(a.open, key)
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
	for key, p := range a.open {
		if at.IsZero() || p.last.Before(at) {
			oldest, at = key, p.last
		}
	}
	delete(a.open, oldest)
}

// busy reports whether parts are arriving.
func (a *assembly) busy(now time.Time) bool {
	for _, p := range a.open {
		if now.Sub(p.last) < assemblyBusy {
			return true
		}
	}
	return false
}

func (a *assembly) expire(now time.Time) {
	for key, p := range a.open {
		if now.Sub(p.last) >= assemblyExpiry {
			delete(a.open, key)
		}
	}
}
