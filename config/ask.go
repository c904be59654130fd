package config

import (
	"time"

	"wisteriafold/wire"
)

// asks are the questions of this daemon that are under way.
type asks struct {
	open  map[uint64]openAsk // by nonce
	next  time.Time          // of the regular ask
	tree  int                // that is asked next
	level [treeCount]int     // steps above the parent, after parents that did not answer
	count int                // regular asks
	seed  int                // next seed
}

type openAsk struct {
	sent  time.Time
	tree  int // noTree for asks that are not to an ancestor
	level int // steps above the parent
}

// noTree marks an ask that is not to an ancestor.
const noTree = -1

// ask asks one daemon what it has.
func (m *Spreader) ask(now time.Time, to string, cutOff bool) {
	m.askAs(to, openAsk{sent: now, tree: noTree}, cutOff)
}

// askAs asks one daemon and remembers as what it was asked.
func (m *Spreader) askAs(to string, open openAsk, cutOff bool) {
	if to == "" || to == m.o.Self {
		return
	}
	now := open.sent
	a := &wire.SpreadAsk{Nonce: m.o.Random.Uint64() >> 32, Generation: m.generation(), Receiving: m.assembly.busy(now), CutOff: cutOff}
	if m.full {
		a.Generation = 0
	}
	if open.tree == treeDelta {
		a.Report = m.subtree()
	}
	m.asks.open[a.Nonce] = open
	m.o.Outbox.Send(to, &wire.Spread{Kind: &wire.Spread_Ask{Ask: a}})
}

// tickAsks sends the regular ask and, when there is news to report, one to
// the parent of the first tree.
func (m *Spreader) tickAsks(now time.Time) {
	m.expireAsks(now)
	if due := m.reports.due; !due.IsZero() && !now.Before(due) {
		m.reports.due = time.Time{}
		m.askAncestor(now, treeDelta)
	}
	if now.Before(m.asks.next) {
		return
	}
	every := askEvery
	if m.generation() == 0 && m.confirmed.IsZero() {
		every = askHungry
	}
	m.asks.next = now.Add(every - time.Duration(m.o.Random.Int64N(int64(every/4))))
	m.askRegularly(now)
}

func (m *Spreader) askRegularly(now time.Time) {
	m.asks.count++
	if rank := m.topology.rank(m.o.Self); rank >= 0 {
		m.ask(now, m.topology.relays[m.o.Random.IntN(max(rank, min(relayCount, len(m.topology.relays))))], false)
	}
	if m.topology.self < 0 {
		m.askAnyone(now)
		return
	}
	m.asks.tree = (m.asks.tree + 1) % treeCount
	m.askAncestor(now, m.asks.tree)
	if m.generation() == 0 {
		m.askAnyone(now)
	}
}

// askAncestor asks the nearest daemon above that is not known to be silent,
// and now and then the parent whether it is back.
func (m *Spreader) askAncestor(now time.Time, tree int) {
	level := m.asks.level[tree]
	to, ok := m.topology.ancestor(tree, level, m.o.Self)
	if !ok || (level > 0 && m.asks.count%askLower < treeCount) {
		level = 0
		to, _ = m.topology.ancestor(tree, level, m.o.Self)
	}
	if !ok {
		m.asks.level[tree] = 0
	}
	m.askAs(to, openAsk{sent: now, tree: tree, level: level}, false)
}

// askAnyone asks the seeds and the roster in turn, while this daemon is not on
// the roster or has nothing.
func (m *Spreader) askAnyone(now time.Time) {
	n := len(m.o.Seeds) + len(m.topology.order)
	if n == 0 {
		return
	}
	at := m.asks.seed % n
	m.asks.seed++
	if at < len(m.o.Seeds) {
		m.ask(now, m.o.Seeds[at], false)
		return
	}
	m.ask(now, m.topology.order[at-len(m.o.Seeds)], false)
}

// expireAsks forgets asks that were not answered and looks further up in
// their tree.
func (m *Spreader) expireAsks(now time.Time) {
	for nonce, a := range m.asks.open {
		if now.Sub(a.sent) < askTimeout {
			continue
		}
		delete(m.asks.open, nonce)
		if a.tree != noTree && a.level == m.asks.level[a.tree] {
			m.asks.level[a.tree]++
		}
	}
}

// receiveAsk answers, and sends what the asker lacks.
func (m *Spreader) receiveAsk(now time.Time, from string, a *wire.SpreadAsk) {
	answer := &wire.SpreadAnswer{Nonce: a.GetNonce(), Generation: m.generation()}
	if !m.confirmed.IsZero() {
		answer.Confirmed = true
		answer.AgeUs = uint64(now.Sub(m.confirmed).Microseconds())
	}
	m.o.Outbox.Send(from, &wire.Spread{Kind: &wire.Spread_Answer{Answer: answer}})
	if a.GetCutOff() && (len(m.followers) < maxFollowers || !m.followers[from].IsZero()) {
		m.followers[from] = now.Add(followFor)
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

// receiveAnswer learns how old this daemon's knowledge is. The age counts
// from the time of the ask, so that a delayed answer can only make it older.
func (m *Spreader) receiveAnswer(now time.Time, from string, a *wire.SpreadAnswer) {
	open, known := m.asks.open[a.GetNonce()]
	if !known {
		return
	}
	delete(m.asks.open, a.GetNonce())
	if open.tree != noTree {
		m.asks.level[open.tree] = min(m.asks.level[open.tree], open.level)
	}
	if a.GetConfirmed() {
		m.confirm(a.GetGeneration(), open.sent.Add(-time.Duration(a.GetAgeUs())*time.Microsecond))
	}
	if a.GetGeneration() > m.generation() {
		m.noteNewer(now, from, a.GetGeneration())
	}
}

// announcement is a generation that this daemon has heard of and lacks.
type announcement struct {
	generation uint64
	from       string
	askAt      time.Time
	tries      int
}

// noteNewer remembers who has a newer generation. It is asked when the
// generation has not come by itself after a short time.
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

// receiveAnnounce passes the second tree on, refuses withdrawn keys at once
// and sees to it that the generation comes.
func (m *Spreader) receiveAnnounce(now time.Time, from string, a *wire.SpreadAnnounce) {
	if a.GetGeneration() > m.forwarded[treeAnnounce].generation {
		m.forwarded[treeAnnounce] = forwarding{generation: a.GetGeneration()}
		m.sendChildren(treeAnnounce, m.topology.place(treeAnnounce), &wire.Spread{Kind: &wire.Spread_Announce{Announce: a}})
	}
	if a.GetGeneration() > m.generation() {
		m.withdraw(a.GetGeneration(), digestsFromWire(a.GetWithdrawn()))
		m.noteNewer(now, from, a.GetGeneration())
	}
}
