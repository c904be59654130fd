package contract

import (
	"maps"
	"math"
	"slices"
	"time"

	"wisteriafold/wire"
)

const (
	// cutSlack is the factor by which a loan may exceed its fair share before it is
	// reduced.
	cutSlack = 1.1

	// lentFraction is the fraction of a daemon's demand that is lent as a rate. The
	// rest is lent as tokens when they are needed, because the refill of a full
	// bucket is lost.
	lentFraction = 0.5

	// minLentDemand is the smallest demand, in tokens per second, for which a rate
	// is lent.
	minLentDemand = 10.0

	// nudgeGap is the minimum time between two messages that ask a borrowing holder
	// to renew early.
	nudgeGap = 100 * time.Millisecond

	// serveGap is the minimum time between two messages that tell a daemon that
	// tokens are available.
	serveGap = 20 * time.Millisecond
)

// loan is one contract lent to one borrower.
type loan struct {
	confirmed Amount  // the borrower may have this until confirmedUntil
	offered   Amount  // the borrower has this if it applied the outstanding grant
	tokens    float64 // tokens that the outstanding grant carries
	booked    Amount  // what the account counts as lent
	beforeCut Amount  // confirmed before the last grant, which may have reduced it
	back      float64 // total tokens returned, as of the last ask
	want      Amount  // total that the borrower wants
	unmet     float64 // tokens that the borrower needed immediately and did not get
}

// lending is the lender's side of one session of a borrower.
type lending struct {
	borrower       string
	session        uint64
	holder         bool
	ask            uint64 // number of the newest ask
	grant          uint64 // number of the newest grant
	confirmedUntil time.Time
	offeredUntil   time.Time
	nudged         time.Time
	loans          map[uint64]*loan
	pending        []uint64 // contracts that the newest grant changed
}

type lendKey struct {
	borrower string
	session  uint64
}

// booking returns what counts as lent at the time now.
func (l *lending) booking(ln *loan, now time.Time) Amount {
	if now.Before(l.confirmedUntil) {
		return ln.confirmed.atLeast(ln.offered)
	}
	return ln.offered
}

// resolve settles the outstanding grant: applied says whether the borrower has
// applied it. If it has not, it never will.
func (h *Holder) resolve(now time.Time, l *lending, applied bool) {
	for _, id := range l.pending {
		ln := l.loans[id]
		if applied {
			ln.beforeCut = ln.confirmed.atLeast(ln.offered)
			ln.confirmed = ln.offered
		} else {
			ln.offered = ln.confirmed
		}
		h.rebook(now, l, id, ln)
		if !applied {
			h.accounts[id].add(ln.tokens)
		}
		ln.tokens = 0
	}
	if applied {
		l.confirmedUntil = l.offeredUntil
	}
	l.offeredUntil = l.confirmedUntil
	l.pending = l.pending[:0]
}

// rebook updates the account's sums after a change of a loan.
func (h *Holder) rebook(now time.Time, l *lending, id uint64, ln *loan) {
	booked := l.booking(ln, now)
	h.accounts[id].lend(l.holder, booked.minus(ln.booked))
	ln.booked = booked
}

// receiveAsk answers an ask of a borrower with a grant.
func (h *Holder) receiveAsk(now time.Time, from string, ask *wire.LoanAsk) {
	key := lendKey{from, ask.Session}
	l := h.lendings[key]
	if (l == nil && (!fresh(ask) || h.left)) || (l != nil && l.lapsed(now, ask)) {
		h.send(from, &wire.Loan{Kind: &wire.Loan_Grant{Grant: &wire.LoanGrant{Session: ask.Session, Ask: ask.Number, Reset_: true}}})
		return
	}
	if l == nil {
		l = &lending{borrower: from, session: ask.Session, holder: ask.Holder, loans: make(map[uint64]*loan), confirmedUntil: now, offeredUntil: now}
		h.lendings[key] = l
		h.order = append(h.order, l)
	}
	if ask.Number <= l.ask {
		return
	}
	l.ask = ask.Number
	ask.Wants = slices.DeleteFunc(ask.Wants, func(w *wire.LoanWant) bool { return h.accounts[w.Contract] == nil })
	for _, w := range ask.Wants {
		h.accounts[w.Contract].advance(now)
	}
	for _, id := range l.pending {
		h.accounts[id].advance(now)
	}
	h.resolve(now, l, ask.Seen == l.grant)
	for _, w := range ask.Wants {
		h.returned(now, l, w)
	}
	h.grantTo(now, l, ask)
}

// lapsed reports whether the ask assumes loans that have expired: it arrives when
// they no longer count as lent.
func (l *lending) lapsed(now time.Time, ask *wire.LoanAsk) bool {
	if ask.Seen == l.grant || now.Before(l.confirmedUntil) {
		return false
	}
	for _, ln := range l.loans {
		if ln.confirmed != (Amount{}) {
			return true
		}
	}
	return false
}

// fresh reports whether the ask can start a session: it assumes no earlier loans.
func fresh(ask *wire.LoanAsk) bool {
	if ask.Seen != 0 {
		return false
	}
	for _, w := range ask.Wants {
		if w.Back != 0 || w.HoldRate != 0 || w.HoldCap != 0 {
			return false
		}
	}
	return true
}

// returned records what the borrower has given up since its last ask.
func (h *Holder) returned(now time.Time, l *lending, w *wire.LoanWant) {
	ln := l.loans[w.Contract]
	if ln == nil {
		ln = &loan{}
		l.loans[w.Contract] = ln
	}
	a := h.accounts[w.Contract]
	// A holder that has lent what the last grant took from it holds that until its
	// own loans end.
	ln.confirmed = ln.confirmed.atLeast(ln.beforeCut).atMost(Amount{float64(w.HoldRate), float64(w.HoldCap)})
	ln.offered = ln.confirmed
	h.rebook(now, l, w.Contract, ln)
	if w.Back > ln.back {
		a.add(w.Back - ln.back)
		ln.back = w.Back
	}
	want := Amount{float64(w.Rate), float64(w.Cap)}
	a.wanted(l.holder, want.minus(ln.want))
	ln.want = want
}

// grantTo renews the loans of a session, increases those that were asked for and
// reduces those that exceed their fair share or what backs them.
func (h *Holder) grantTo(now time.Time, l *lending, ask *wire.LoanAsk) {
	ttl := h.cfg.LoanTTL
	if l.holder {
		ttl = h.cfg.HolderTTL
	}
	end := now.Add(ttl + h.cfg.Margin)
	l.grant++
	g := &wire.LoanGrant{Session: l.session, Ask: l.ask, Number: l.grant, TtlMs: uint32(ttl.Milliseconds())}
	asked := make(map[uint64]*wire.LoanWant, len(ask.Wants))
	for _, w := range ask.Wants {
		asked[w.Contract] = w
	}
	for _, id := range sortedKeys(l.loans) {
		ln, w := l.loans[id], asked[id]
		a := h.accounts[id]
		a.setUnmet(ln, 0, l.holder)
		ln.beforeCut = Amount{}
		if w == nil && ln.confirmed == (Amount{}) {
			continue
		}
		a.advance(now)
		need := 0.0
		if w != nil {
			need = float64(w.Need)
		}
		to, tokens := h.offer(a, l, ln, need, end)
		if w == nil && to == ln.confirmed {
			continue
		}
		ln.offered, ln.tokens = to, tokens
		a.setUnmet(ln, max(0, need-tokens), l.holder)
		a.level -= tokens
		l.pending = append(l.pending, id)
		g.Given = append(g.Given, &wire.LoanGiven{
			Contract: id, Rate: float32(to.Rate), Cap: float32(to.Cap),
			Tokens: float32(tokens), Spare: float32(h.spare(a)),
		})
	}
	l.offeredUntil = end
	h.lapseAt = earlier(h.lapseAt, end)
	if now.Before(l.confirmedUntil) {
		h.lapseAt = earlier(h.lapseAt, l.confirmedUntil)
	}
	for _, id := range l.pending {
		h.rebook(now, l, id, l.loans[id])
		h.accounts[id].clip()
		h.noteShort(h.accounts[id])
		if ln := l.loans[id]; l.holder && ln.offered.Rate < ln.want.Rate {
			h.nudge(now, h.accounts[id], l)
		}
	}
	own := h.rosters[h.cfg.DataCentre]
	if own != nil {
		g.Roster = own.Version
		g.RosterAgeMs = uint32(min(max(0, now.Sub(own.ConfirmedAt).Milliseconds()+1), math.MaxUint32))
	}
	h.send(l.borrower, &wire.Loan{Kind: &wire.Loan_Grant{Grant: g}})
}

// offer returns the amount and the tokens of an account that a borrower gets until
// end.
func (h *Holder) offer(a *account, l *lending, ln *loan, need float64, end time.Time) (Amount, float64) {
	backing := a.base.plus(h.borrowed.total(a.id, end))
	room := backing.minus(a.lent.minus(ln.booked)) // most that this borrower can have
	avail, wants := backing.minus(a.lentHolders), a.wantDaemons
	if l.holder {
		avail, wants = h.forHolders(a), a.wantHolders
		room = room.atMost(avail.minus(a.lentHolders.minus(ln.booked)).atLeast(ln.confirmed))
	}
	over := backing.Rate < a.lent.Rate || backing.Cap < a.lent.Cap
	rate, least := ln.want.Rate, need
	if !l.holder {
		rate, least = lentRate(rate), max(1, need)
	}
	to := Amount{
		Rate: divide(ln.confirmed.Rate, rate, wants.Rate, avail.Rate, room.Rate, 0),
		Cap:  divide(ln.confirmed.Cap, ln.want.Cap, wants.Cap, avail.Cap, room.Cap, least),
	}
	if over {
		to = to.atMost(cutTo(ln.confirmed, backing, a.lent))
	}
	to = to.f32()
	grow := to.Cap - ln.confirmed.Cap
	if grow <= 0 || a.level <= 0 {
		return to, 0
	}
	fraction := grow / max(a.own().Cap, grow)
	tokens := min(grow, a.level, max(need, a.level*fraction))
	if l.holder {
		return to, f32(tokens)
	}
	fixed := max(ln.confirmed.Cap, capFor(to.Rate))
	if to.Rate == 0 {
		tokens = math.Floor(min(tokens, need)) // a fraction of a token is more useful to the lender
	}
	// Cap without tokens is more useful to the lender, too, as room for its refill.
	to.Cap = f32(min(to.Cap, max(fixed, ln.confirmed.Cap+tokens)))
	return to, f32(min(tokens, to.Cap-ln.confirmed.Cap))
}

// lentRate returns the rate that is lent to a daemon that wants want.
func lentRate(want float64) float64 {
	if want < minLentDemand {
		return 0
	}
	return f32(want * lentFraction)
}

// divide returns what a borrower gets that has hold and wants want, if all
// borrowers together want total and avail is available. The fair share is want,
// scaled down if total exceeds avail, but at least the smaller of want and least.
// A loan grows up to room and is reduced if it exceeds its fair share by more than
// the factor cutSlack.
func divide(hold, want, total, avail, room, least float64) float64 {
	fair := want
	if total > avail {
		fair = want * max(0, avail) / total
	}
	fair = max(fair, min(want, least))
	switch {
	case fair > hold:
		return max(hold, min(fair, room))
	case fair*cutSlack < hold:
		return fair
	default:
		return hold
	}
}

// cutTo returns the limit of a loan when all loans together are lent and must not
// exceed backing: the loan scaled by backing/lent, or no limit if lent does not
// exceed backing.
func cutTo(hold, backing, lent Amount) Amount {
	scale := func(hold, backing, lent float64) float64 {
		if lent <= backing {
			return math.Inf(1)
		}
		return hold * max(0, backing) / lent
	}
	return Amount{scale(hold.Rate, backing.Rate, lent.Rate), scale(hold.Cap, backing.Cap, lent.Cap)}
}

// forHolders returns how much of its own share a holder can lend to other holders:
// what the daemons of its data centre leave of the share and of the loans from
// other holders, but no more than the share.
func (h *Holder) forHolders(a *account) Amount {
	return a.base.plus(a.borrowed).minus(a.wanting()).atMost(a.base).atLeast(Amount{})
}

// spare returns the rate that could still be lent to other holders.
func (h *Holder) spare(a *account) float64 {
	return f32(max(0, h.forHolders(a).Rate-a.lentHolders.Rate))
}

// expireLent stops counting expired loans as lent.
func (h *Holder) expireLent(now time.Time) {
	if h.lapseAt.IsZero() || now.Before(h.lapseAt) {
		return
	}
	h.lapseAt = time.Time{}
	for _, l := range h.order {
		if now.Before(l.offeredUntil) {
			h.lapseAt = earlier(h.lapseAt, l.offeredUntil)
		}
		if now.Before(l.confirmedUntil) {
			h.lapseAt = earlier(h.lapseAt, l.confirmedUntil)
		}
		if now.Before(l.confirmedUntil) && now.Before(l.offeredUntil) {
			continue
		}
		over := !now.Before(l.offeredUntil) && !now.Before(l.confirmedUntil)
		for _, id := range sortedKeys(l.loans) {
			h.lapse(now, l, id, over)
		}
		if over {
			delete(h.lendings, lendKey{l.borrower, l.session})
		}
	}
	h.order = slices.DeleteFunc(h.order, func(l *lending) bool {
		return h.lendings[lendKey{l.borrower, l.session}] != l
	})
}

// lapse updates one loan after an expiry; over says that the whole lending has
// expired.
func (h *Holder) lapse(now time.Time, l *lending, id uint64, over bool) {
	ln, a := l.loans[id], h.accounts[id]
	a.advance(now)
	if over {
		ln.confirmed, ln.offered = Amount{}, Amount{}
		a.wanted(l.holder, Amount{}.minus(ln.want))
		ln.want = Amount{}
	}
	h.rebook(now, l, id, ln)
}

// nudge asks the holders that borrowed from the account, except one, to renew
// early, so that their loans can be reduced.
func (h *Holder) nudge(now time.Time, a *account, except *lending) {
	for _, l := range h.order {
		ln := l.loans[a.id]
		if l == except || !l.holder || ln == nil || ln.confirmed == (Amount{}) || now.Sub(l.nudged) < nudgeGap {
			continue
		}
		l.nudged = now
		h.send(l.borrower, &wire.Loan{Kind: &wire.Loan_Grant{Grant: &wire.LoanGrant{Session: l.session}}})
	}
}

// earlier returns the earlier of two times; a zero a stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// serve tells daemons whose need for tokens was not met to ask again, for as many
// as the available tokens suffice.
func (h *Holder) serve(now time.Time, a *account) {
	if a.unmet == 0 || a.level < 1 {
		return
	}
	left := a.level
	for _, l := range h.order {
		ln := l.loans[a.id]
		if l.holder || ln == nil || ln.unmet == 0 || now.Sub(l.nudged) < serveGap {
			continue
		}
		l.nudged = now
		left -= max(1, ln.unmet)
		h.send(l.borrower, &wire.Loan{Kind: &wire.Loan_Grant{Grant: &wire.LoanGrant{Session: l.session}}})
		if left < 1 {
			return
		}
	}
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	return slices.Sorted(maps.Keys(m))
}
