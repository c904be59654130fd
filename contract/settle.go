package contract

import (
	"slices"
	"time"

	"wisteriafold/wire"
)

const (
	firstQueryGap = 100 * time.Millisecond
	lastQueryGap  = 2 * time.Second
	resumeQueries = 4 // roster members that are queried after a pause
)

// slot is this daemon's state as a holder of one group.
type slot struct {
	fraction float64 // fraction of the data centre's share that is held
	since    time.Time
	minQuery uint64          // answers to queries with a lower number are ignored
	released map[string]bool // addresses that have released the group
}

// setRoster stores a new version of a roster, or a later confirmation of the
// present one.
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
	h.rosterSeenAt[r.DataCentre] = now
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
	if dc == h.cfg.DataCentre && at.After(h.resumedAt) {
		h.resuming = false
	}
}

// moveSlots starts to take over the groups that a new version of the roster
// assigns to this daemon. A holder keeps its fraction if it cannot have been
// replaced in between: the versions are consecutive, or were confirmed within
// loanSpan, in which no other daemon can have taken over.
func (h *Holder) moveSlots(now time.Time, old, view *rosterView) {
	continuous := old != nil && (view.Version == old.Version+1 || view.ConfirmedAt.Sub(old.ConfirmedAt) < h.cfg.loanSpan())
	for g := range h.slots {
		s := &h.slots[g]
		if !continuous || !view.holds(h.cfg.Self, uint32(g)) {
			s.fraction = 0
		}
		if !continuous || !slices.Equal(old.holders[g], view.holders[g]) {
			s.since = now
		}
		s.minQuery = h.number + 1
		s.released = make(map[string]bool)
		if s.fraction == 0 {
			h.forgetShares(now, uint32(g))
		}
	}
}

// forgetShares sets the shares of a group to zero, so that a holder that starts
// again needs the agreement on every contract first.
func (h *Holder) forgetShares(now time.Time, g uint32) {
	for _, id := range h.ids[g] {
		a := h.accounts[id]
		a.share = Amount{}
		a.restartAgreement(now, h.number+1)
	}
}

// target returns the fraction of the data centre's share of a group that the roster
// assigns to this daemon.
func (h *Holder) target(g uint32) float64 {
	own := h.rosters[h.cfg.DataCentre]
	if own == nil || h.left || !own.holds(h.cfg.Self, g) {
		return 0
	}
	return own.fraction(g)
}

// fenced reports whether the own data centre's roster has not been confirmed within
// the fence time, or since a pause of the process.
func (h *Holder) fenced(now time.Time) bool {
	own := h.rosters[h.cfg.DataCentre]
	return own == nil || h.resuming || now.Sub(own.ConfirmedAt) >= h.cfg.Fence
}

// evaluate updates the slots and the shares of all accounts if an input has changed.
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
		a.setBase(now, a.share.times(active))
	}
	if s.fraction < target {
		h.dirty = true // the passing of time alone may allow the takeover
	}
}

// canTake reports whether no other daemon can still spend what the slot lacks.
func (h *Holder) canTake(now time.Time, s *slot) bool {
	if now.Sub(h.cfg.Epoch) < h.cfg.loanSpan() {
		return false // a previous process at this address may have loans
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

// others returns the other addresses that may have held a share of this data
// centre.
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
	a.share = a.contract.share(h.cfg.DataCentre)
}

// agreement reports whether every holder of the contract has settled at its version.
func (h *Holder) agreement(now time.Time, a *account) bool {
	for _, s := range a.contract.Shares {
		if h.rosters[s.DataCentre] == nil {
			return false
		}
	}
	for dc, r := range h.rosters {
		if len(r.Addresses) == 0 && !h.holdsNothing(now, a, r) {
			return false
		}
		if !h.settledIn(a, dc, r) {
			return false
		}
	}
	return true
}

// holdsNothing reports whether a data centre without members holds nothing of a
// contract: its roster was confirmed after the contract changed, and it never had
// members or fenceSpan has passed since the empty roster was first seen.
func (h *Holder) holdsNothing(now time.Time, a *account, r *rosterView) bool {
	if !r.ConfirmedAt.After(a.changed) {
		return false
	}
	return r.Version == 0 || now.Sub(h.rosterSeenAt[r.DataCentre]) >= h.cfg.fenceSpan()
}

// settledIn reports whether all holders of one data centre have settled under the
// same roster version, and each knows the other's present incarnation.
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

// sibling returns the last known incarnation of the other holder in this data
// centre.
func (h *Holder) sibling(g uint32) uint64 {
	own := h.rosters[h.cfg.DataCentre]
	if own == nil {
		return 0
	}
	for _, addr := range own.holders[g] {
		if addr != h.cfg.Self {
			return h.incarnations[addr]
		}
	}
	return 0
}

// isSettled reports whether the loans made do not exceed the share in use plus the
// loans taken that outlast a new loan to a daemon.
func (h *Holder) isSettled(a *account) bool {
	end := h.lastStep.Add(h.cfg.LoanTTL + h.cfg.Margin)
	backing := a.base.plus(h.borrowed.total(a.id, end))
	return a.lent.within(backing, Amount{Rate: 1e-6, Cap: 1e-6})
}

// query sends the settle queries that are needed to take over a group, to agree on
// a contract or to confirm the roster after a pause.
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
	if h.resuming {
		for i, addr := range h.others() {
			if i < resumeQueries {
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

// receiveQuery answers which groups this daemon has released and what it holds of
// the contracts asked for.
func (h *Holder) receiveQuery(now time.Time, from string, q *wire.SettleQuery) {
	own := h.rosters[h.cfg.DataCentre]
	if own == nil {
		return
	}
	h.incarnations[from] = q.Incarnation
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

// releasedTo reports whether this daemon has released what another daemon takes
// over of a group under that version of the roster.
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

// receiveAnswer records which groups another daemon has released and at which
// versions of contracts it has settled.
func (h *Holder) receiveAnswer(from string, m *wire.SettleAnswer) {
	own := h.rosters[h.cfg.DataCentre]
	if own == nil {
		return
	}
	h.incarnations[from] = m.Incarnation
	same := m.DataCentre == h.cfg.DataCentre
	if same && m.Roster == own.Version && h.resuming && m.Number >= h.resumeQuery {
		h.resuming = false
		h.dirty = true
	}
	for _, g := range m.Released {
		if g < Groups && same && m.Roster >= own.Version && m.Number >= h.slots[g].minQuery {
			h.slots[g].released[from] = true
			h.dirty = true
		}
	}
	for _, st := range m.States {
		a := h.accounts[st.Contract]
		if a == nil || a.agreed || a.removed || m.Number < a.minQuery || st.Version != a.contract.Version || !st.Holding {
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
