package contract

import (
	"slices"
	"time"

	"wisteriafold/wire"
)

const (
	firstQueryGap = 100 * time.Millisecond
	lastQueryGap  = 2 * time.Second
	wakeQueries   = 4 // roster members that are asked after a pause
)

// slot is this daemon's place as a holder of one group.
type slot struct {
	fraction float64 // part of the data centre's share that is held
	since    time.Time
	from     uint64          // answers to earlier queries do not count
	released map[string]bool // addresses that have let go
}

// setRoster learns a version of a roster, or that it was confirmed.
func (h *Holder) setRoster(now time.Time, r Roster) {
	old := h.rosters[r.DataCentre]
	if old != nil && r.Version <= old.Version {
		if r.Version == old.Version && r.ConfirmedAt.After(old.ConfirmedAt) {
			old.ConfirmedAt = r.ConfirmedAt
			h.confirmed(r.DataCentre, r.ConfirmedAt)
			h.dirty = true
		}
		return
	}
	view := newRosterView(r)
	h.rosters[r.DataCentre] = view
	h.learned[r.DataCentre] = now
	if r.DataCentre == h.cfg.DataCentre {
		h.confirmed(r.DataCentre, r.ConfirmedAt)
		h.moveSlots(now, old, view)
	}
	for g := range h.peers {
		h.peers[g] = nil
		for _, dc := range sortedNames(h.rosters) {
			for _, addr := range h.rosters[dc].holders[g] {
				if addr != h.cfg.Self {
					h.peers[g] = append(h.peers[g], addr)
				}
			}
		}
	}
	h.changed(now)
}

func (h *Holder) confirmed(dc string, at time.Time) {
	if dc == h.cfg.DataCentre && at.After(h.woke) {
		h.asleep = false
	}
}

// moveSlots starts to take over what a new version of the roster gives. A
// holder keeps its place when it cannot have been out in between: the versions
// follow each other, or were read within a time in which nobody can have taken
// its place.
func (h *Holder) moveSlots(now time.Time, old, view *rosterView) {
	unbroken := old != nil && (view.Version == old.Version+1 || view.ConfirmedAt.Sub(old.ConfirmedAt) < h.cfg.loanSpan())
	for g := range h.slots {
		s := &h.slots[g]
		if !unbroken || !view.holds(h.cfg.Self, uint32(g)) {
			s.fraction = 0
		}
		if !unbroken || !slices.Equal(old.holders[g], view.holders[g]) {
			s.since = now
		}
		s.from = h.number + 1
		s.released = make(map[string]bool)
		if s.fraction == 0 {
			h.forgetShares(now, uint32(g))
		}
	}
}

// forgetShares makes a holder that starts again agree on every contract first.
func (h *Holder) forgetShares(now time.Time, g uint32) {
	for _, id := range h.ids[g] {
		a := h.accounts[id]
		a.have = Amount{}
		a.restartAgreement(now, h.number+1)
	}
}

// target is the part of the data centre's share that the roster gives.
func (h *Holder) target(g uint32) float64 {
	own := h.rosters[h.cfg.DataCentre]
	if own == nil || h.left || !own.holds(h.cfg.Self, g) {
		return 0
	}
	return own.fraction(g)
}

// fenced reports whether the own roster has not been confirmed for too long.
func (h *Holder) fenced(now time.Time) bool {
	own := h.rosters[h.cfg.DataCentre]
	return own == nil || h.asleep || now.Sub(own.ConfirmedAt) >= h.cfg.Fence
}

// evaluate brings the slots and the shares of all accounts up to date.
func (h *Holder) evaluate(now time.Time) {
	fenced := h.fenced(now)
	if !h.dirty && fenced == h.wasFenced {
		return
	}
	h.dirty, h.wasFenced = false, fenced
	for g := range h.slots {
		h.evaluateGroup(now, uint32(g), fenced)
	}
}

func (h *Holder) evaluateGroup(now time.Time, g uint32, fenced bool) {
	s := &h.slots[g]
	target := h.target(g)
	s.fraction = min(s.fraction, target)
	if s.fraction < target && !fenced && h.canTake(now, s) {
		if s.fraction == 0 {
			h.forgetShares(now, g)
		}
		s.fraction = target
		h.changed(now)
	}
	active := s.fraction
	if fenced {
		active = 0
	}
	for _, id := range h.ids[g] {
		a := h.accounts[id]
		if !a.agreed && !a.removed && s.fraction > 0 && s.fraction == target && h.agreement(now, a) {
			h.agree(a)
		}
		a.setBase(now, a.have.times(active))
	}
	if s.fraction < target {
		h.dirty = true // time alone may let it go on
	}
}

// canTake reports whether nobody else can still spend what the slot lacks.
func (h *Holder) canTake(now time.Time, s *slot) bool {
	if now.Sub(h.cfg.Epoch) < h.cfg.loanSpan() {
		return false // loans of a predecessor at this address
	}
	if now.Sub(s.since) >= h.cfg.fenceSpan() {
		return true
	}
	for _, addr := range h.others() {
		if !s.released[addr] {
			return false
		}
	}
	return true
}

// others are the addresses that may have held a share of this data centre.
func (h *Holder) others() []string {
	own := h.rosters[h.cfg.DataCentre]
	if own == nil {
		return nil
	}
	out := slices.Concat(own.Addresses, own.Expelled)
	return slices.DeleteFunc(out, func(a string) bool { return a == h.cfg.Self })
}

func (h *Holder) agree(a *account) {
	h.dirty = true
	a.agreed = true
	a.have = a.contract.share(h.cfg.DataCentre)
}

// agreement reports whether every holder of the contract has settled at its version.
func (h *Holder) agreement(now time.Time, a *account) bool {
	for _, s := range a.contract.Shares {
		if h.rosters[s.DataCentre] == nil {
			return false
		}
	}
	for dc, r := range h.rosters {
		if len(r.Addresses) == 0 && !h.deserted(now, a, r) {
			return false
		}
		if !h.settledIn(a, dc, r) {
			return false
		}
	}
	return true
}

// deserted reports whether a data centre without members holds nothing: it had
// none after the contract changed, and what it may have had is over.
func (h *Holder) deserted(now time.Time, a *account, r *rosterView) bool {
	if !r.ConfirmedAt.After(a.changed) {
		return false
	}
	return r.Version == 0 || now.Sub(h.learned[r.DataCentre]) >= h.cfg.fenceSpan()
}

// settledIn reports whether the holders of one data centre have settled, all
// of them under one roster and each with the other's present process in mind.
func (h *Holder) settledIn(a *account, dc string, r *rosterView) bool {
	holders := r.holders[a.group]
	seen := make([]evidence, len(holders))
	for i, addr := range holders {
		e, ok := a.evidence[addr]
		if addr == h.cfg.Self {
			e, ok = evidence{dc, r.Version, h.incarnation, h.sibling(a.group)}, h.isSettled(a)
		}
		if !ok || e.roster != r.Version || e.dataCentre != dc {
			return false
		}
		seen[i] = e
	}
	if len(seen) == HoldersPerDataCentre {
		return seen[0].sibling == seen[1].incarnation && seen[1].sibling == seen[0].incarnation
	}
	return true
}

// sibling is the present incarnation of the other holder in this data centre.
func (h *Holder) sibling(g uint32) uint64 {
	own := h.rosters[h.cfg.DataCentre]
	if own == nil {
		return 0
	}
	for _, addr := range own.holders[g] {
		if addr != h.cfg.Self {
			return h.heard[addr]
		}
	}
	return 0
}

// isSettled reports whether no more is lent than the share in force backs.
func (h *Holder) isSettled(a *account) bool {
	end := h.stepped.Add(h.cfg.LoanTTL + h.cfg.Margin)
	backing := a.base.plus(h.borrowed.total(a.id, end))
	return a.lent.within(backing, Amount{Rate: 1e-6, Cap: 1e-6})
}

// query asks for what is missing to take over or to grow.
func (h *Holder) query(now time.Time) {
	own := h.rosters[h.cfg.DataCentre]
	if own == nil || now.Before(h.queryAt) {
		return
	}
	asks := h.missing()
	if len(asks) == 0 {
		return
	}
	h.queryGap = min(max(2*h.queryGap, firstQueryGap), lastQueryGap)
	h.queryAt = now.Add(h.queryGap)
	h.number++
	for _, to := range sortedNames(asks) {
		q := asks[to]
		q.Number, q.DataCentre, q.Roster, q.Incarnation = h.number, h.cfg.DataCentre, own.Version, h.incarnation
		h.send(to, &wire.Loan{Kind: &wire.Loan_Query{Query: q}})
	}
}

// missing returns the queries to send, by address.
func (h *Holder) missing() map[string]*wire.SettleQuery {
	asks := make(map[string]*wire.SettleQuery)
	to := func(addr string) *wire.SettleQuery {
		if asks[addr] == nil {
			asks[addr] = &wire.SettleQuery{}
		}
		return asks[addr]
	}
	if h.asleep {
		for i, addr := range h.others() {
			if i < wakeQueries {
				to(addr)
			}
		}
	}
	for g := range h.slots {
		s, target := &h.slots[g], h.target(uint32(g))
		if s.fraction < target {
			for _, addr := range h.others() {
				if !s.released[addr] {
					q := to(addr)
					q.Groups = append(q.Groups, uint32(g))
				}
			}
			continue
		}
		for _, id := range h.ids[g] {
			a := h.accounts[id]
			if target == 0 || a.agreed || a.removed {
				continue
			}
			for _, addr := range h.peers[g] {
				q := to(addr)
				q.Wants = append(q.Wants, &wire.SettleWant{Contract: id, Version: a.contract.Version})
			}
		}
	}
	return asks
}

// receiveQuery says what this daemon has let go and what it holds.
func (h *Holder) receiveQuery(now time.Time, from string, q *wire.SettleQuery) {
	own := h.rosters[h.cfg.DataCentre]
	if own == nil {
		return
	}
	h.heard[from] = q.Incarnation
	out := &wire.SettleAnswer{Number: q.Number, DataCentre: h.cfg.DataCentre, Roster: own.Version, Incarnation: h.incarnation}
	for _, g := range q.Groups {
		if g < Groups && q.DataCentre == h.cfg.DataCentre && h.releasedTo(now, from, g, q.Roster) {
			out.Released = append(out.Released, g)
		}
	}
	for _, w := range q.Wants {
		a := h.accounts[w.Contract]
		if a == nil {
			continue
		}
		s := &h.slots[a.group]
		holding := s.fraction > 0 && s.fraction == h.target(a.group) && !h.fenced(now)
		out.States = append(out.States, &wire.SettleState{
			Contract: w.Contract, Version: a.contract.Version,
			Holding: holding, Settled: h.isSettled(a), Agreed: a.agreed, Sibling: h.sibling(a.group),
		})
	}
	h.send(from, &wire.Loan{Kind: &wire.Loan_Answer{Answer: out}})
}

// releasedTo reports whether another daemon can take its part of a group
// under that version of the roster, as far as this daemon is concerned.
func (h *Holder) releasedTo(now time.Time, to string, g uint32, version uint64) bool {
	own := h.rosters[h.cfg.DataCentre]
	if own.Version < version || now.Sub(h.cfg.Epoch) < h.cfg.loanSpan() {
		return false
	}
	s := &h.slots[g]
	if s.fraction > 0 && (own.Version != version || !own.holds(to, g) || s.fraction > own.fraction(g)) {
		return false
	}
	for _, id := range h.ids[g] {
		if !h.isSettled(h.accounts[id]) {
			return false
		}
	}
	return true
}

// receiveAnswer takes in what another daemon has let go.
func (h *Holder) receiveAnswer(from string, m *wire.SettleAnswer) {
	own := h.rosters[h.cfg.DataCentre]
	if own == nil {
		return
	}
	h.heard[from] = m.Incarnation
	same := m.DataCentre == h.cfg.DataCentre
	if same && m.Roster == own.Version && h.asleep && m.Number >= h.wakeNumber {
		h.asleep = false
		h.dirty = true
	}
	for _, g := range m.Released {
		if g < Groups && same && m.Roster >= own.Version && m.Number >= h.slots[g].from {
			h.slots[g].released[from] = true
			h.dirty = true
		}
	}
	for _, st := range m.States {
		a := h.accounts[st.Contract]
		if a == nil || a.agreed || a.removed || m.Number < a.from || st.Version != a.contract.Version || !st.Holding {
			continue
		}
		s := &h.slots[a.group]
		if s.fraction == 0 || s.fraction != h.target(a.group) {
			continue
		}
		if st.Settled {
			h.dirty = true
			a.evidence[from] = evidence{m.DataCentre, m.Roster, m.Incarnation, st.Sibling}
		}
		if same && st.Agreed && m.Roster == own.Version && st.Sibling == h.incarnation {
			h.agree(a)
		}
	}
}
