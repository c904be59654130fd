package config

import (
	"time"

	"wisteriafold/wire"
)

// asks is the state of this daemon's asks. An ask tells another daemon which
// generation this daemon has. The other daemon answers with its own generation,
// and sends a delta when that is newer.
type asks struct {
	pending     map[uint64]pendingAsk // unanswered asks by nonce
	nextRegular time.Time             // time of the next regular ask
	nextTree    int                   // tree in which an ancestor is asked next
	level       [treeCount]int        // steps above the parent to ask, since nearer ancestors did not answer
	count       int                   // rounds of regular asks
	nextSeed    int                   // selects the next seed or roster entry
}

// maxAge is the largest age of a configuration in an answer that confirms anything. It
// is longer than a configuration is used without confirmation.
const maxAge = 30 * 24 * time.Hour

// pendingAsk is an ask that has not been answered.
type pendingAsk struct {
	sent  time.Time
	tree  int // noTree for asks that are not to an ancestor
	level int // steps above the parent
}

// noTree marks an ask that is not to an ancestor.
const noTree = -1

// ask asks one daemon outside the trees.
func (m *Spreader) ask(now time.Time, to string, cutOff bool) {
	m.sendAsk(to, pendingAsk{sent: now, tree: noTree}, cutOff)
}

// sendAsk sends an ask to one daemon and records it as pending.
func (m *Spreader) sendAsk(to string, ask pendingAsk, cutOff bool) {
	if to == "" || to == m.opts.Self {
		return
	}
	now := ask.sent
	a := &wire.SpreadAsk{Nonce: m.opts.Random.Uint64() >> 32, Generation: m.generation(), Receiving: m.assembly.busy(now), CutOff: cutOff}
	if m.needsFull {
		a.Generation = 0
	}
	if ask.tree == treeDelta {
		a.Report = m.subtreeReport()
	}
	m.asks.pending[a.Nonce] = ask
	m.opts.Outbox.Send(to, &wire.Spread{Kind: &wire.Spread_Ask{Ask: a}})
}

// tickAsks sends the regular asks when they are due, and an ask to an ancestor
// in the first tree when this daemon's report has changed.
func (m *Spreader) tickAsks(now time.Time) {
	m.expireAsks(now)
	if due := m.reports.sendAt; !due.IsZero() && !now.Before(due) {
		m.reports.sendAt = time.Time{}
		m.askAncestor(now, treeDelta)
	}
	if now.Before(m.asks.nextRegular) {
		return
	}
	every := askEvery
	if m.generation() == 0 && m.confirmed.IsZero() {
		every = askEveryEmpty
	}
	m.asks.nextRegular = now.Add(every - time.Duration(m.opts.Random.Int64N(int64(every/4))))
	m.askRegularly(now)
}

// askRegularly asks an ancestor in the trees by turns. A candidate also asks a
// relay, and a daemon without a configuration or a place on the roster also asks
// seeds and roster.
func (m *Spreader) askRegularly(now time.Time) {
	m.asks.count++
	if rank := m.topology.rank(m.opts.Self); rank >= 0 {
		m.ask(now, m.topology.relays[m.opts.Random.IntN(max(rank, min(relayCount, len(m.topology.relays))))], false)
	}
	if m.topology.self < 0 {
		m.askSeedOrRoster(now)
		return
	}
	m.asks.nextTree = (m.asks.nextTree + 1) % treeCount
	m.askAncestor(now, m.asks.nextTree)
	if m.generation() == 0 {
		m.askSeedOrRoster(now)
	}
}

// askAncestor asks the nearest ancestor that is not known to be unresponsive.
// Once in askParentEvery rounds it asks the parent instead, to find out whether
// the parent answers again.
func (m *Spreader) askAncestor(now time.Time, tree int) {
	level := m.asks.level[tree]
	to, ok := m.topology.ancestor(tree, level, m.opts.Self)
	if !ok || (level > 0 && m.asks.count%askParentEvery < treeCount) {
		level = 0
		to, _ = m.topology.ancestor(tree, level, m.opts.Self)
	}
	if !ok {
		m.asks.level[tree] = 0
	}
	m.sendAsk(to, pendingAsk{sent: now, tree: tree, level: level}, false)
}

// askSeedOrRoster asks the seeds and the daemons of the roster in turn. It is
// called while this daemon is not on the roster or has no configuration.
func (m *Spreader) askSeedOrRoster(now time.Time) {
	n := len(m.opts.Seeds) + len(m.topology.order)
	if n == 0 {
		return
	}
	at := m.asks.nextSeed % n
	m.asks.nextSeed++
	if at < len(m.opts.Seeds) {
		m.ask(now, m.opts.Seeds[at], false)
		return
	}
	m.ask(now, m.topology.order[at-len(m.opts.Seeds)], false)
}

// expireAsks removes asks that have timed out. The next ask in the same tree
// goes to the next ancestor further up.
func (m *Spreader) expireAsks(now time.Time) {
	for nonce, a := range m.asks.pending {
		if now.Sub(a.sent) < askTimeout {
			continue
		}
		delete(m.asks.pending, nonce)
		if a.tree != noTree && a.level == m.asks.level[a.tree] {
			m.asks.level[a.tree]++
		}
	}
}

// receiveAsk answers an ask, and sends a delta when the sender is behind.
func (m *Spreader) receiveAsk(now time.Time, from string, a *wire.SpreadAsk) {
	answer := &wire.SpreadAnswer{Nonce: a.GetNonce(), Generation: m.generation()}
	if !m.confirmed.IsZero() {
		answer.Confirmed = true
		answer.AgeUs = uint64(now.Sub(m.confirmed).Microseconds())
	}
	m.opts.Outbox.Send(from, &wire.Spread{Kind: &wire.Spread_Answer{Answer: answer}})
	if a.GetCutOff() && (len(m.followers) < maxFollowers || !m.followers[from].IsZero()) {
		m.followers[from] = now.Add(followerExpiry)
	}
	if a.GetReport() != nil {
		m.receiveReport(now, from, a.GetReport())
	}
	switch {
	case a.GetGeneration() < m.generation() && !a.GetReceiving():
		m.sendDelta(from, a.GetGeneration(), false)
	case a.GetGeneration() > m.generation():
		m.noteNewer(now, from, a.GetGeneration())
	}
}

// receiveAnswer updates the age of this daemon's configuration. The age counts
// from the time at which the ask was sent, so a delayed answer can only make it
// higher.
func (m *Spreader) receiveAnswer(now time.Time, from string, a *wire.SpreadAnswer) {
	ask, known := m.asks.pending[a.GetNonce()]
	if !known {
		return
	}
	delete(m.asks.pending, a.GetNonce())
	if ask.tree != noTree {
		m.asks.level[ask.tree] = min(m.asks.level[ask.tree], ask.level)
	}
	if a.GetConfirmed() && a.GetAgeUs() <= uint64(maxAge.Microseconds()) {
		m.confirm(a.GetGeneration(), ask.sent.Add(-time.Duration(a.GetAgeUs())*time.Microsecond))
	}
	if a.GetGeneration() > m.generation() {
		m.noteNewer(now, from, a.GetGeneration())
	}
}

// announcement is a newer generation that this daemon has heard of but does not
// have yet.
type announcement struct {
	generation uint64
	from       string
	askAt      time.Time
	tries      int
}

// noteNewer records which daemon has a newer generation. tickAnnounced asks that
// daemon when the generation has not arrived after announceGrace.
func (m *Spreader) noteNewer(now time.Time, from string, generation uint64) {
	if generation <= m.announced.generation && m.announced.tries < announceTries {
		return
	}
	m.announced = announcement{generation: generation, from: from, askAt: now.Add(announceGrace)}
}

func (m *Spreader) tickAnnounced(now time.Time) {
	n := &m.announced
	if n.generation <= m.generation() || n.tries >= announceTries || now.Before(n.askAt) {
		return
	}
	n.tries++
	n.askAt = now.Add(announceGrace)
	m.ask(now, n.from, false)
}

// receiveAnnounce forwards an announcement down the second tree, refuses the
// keys that it withdraws at once, and records the sender, so that it is asked if
// the generation does not arrive.
func (m *Spreader) receiveAnnounce(now time.Time, from string, a *wire.SpreadAnnounce) {
	if a.GetGeneration() > m.forwarded[treeAnnounce].generation {
		m.forwarded[treeAnnounce] = forwarding{generation: a.GetGeneration()}
		m.sendChildren(treeAnnounce, m.topology.position(treeAnnounce), &wire.Spread{Kind: &wire.Spread_Announce{Announce: a}})
	}
	if a.GetGeneration() > m.generation() {
		m.withdraw(a.GetGeneration(), digestsFromWire(a.GetWithdrawn()))
		m.noteNewer(now, from, a.GetGeneration())
	}
}
