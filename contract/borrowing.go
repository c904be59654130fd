package contract

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriafold/wire"
)

const (
	firstBackoff   = 10 * time.Millisecond
	holderBackoff  = 10 * time.Millisecond // firstBackoff of loans between holders, also of different regions
	daemonRenewals = 5                     // renewals in two lifetimes of a loan to a daemon
	holderRenewals = 4                     // renewals in one lifetime of a loan between holders
	silentAsks     = 3                     // consecutive unanswered asks after which another lender is preferred
	maxWants       = 64                    // most contracts in one ask; those already borrowed are always included
)

// wish is what an owner asks for one contract.
type wish struct {
	keep Amount  // the part of its loan that it keeps
	back float64 // tokens that no longer fit and are returned
	want Amount  // total that it wants, keep included
	need float64 // tokens that it needs immediately
}

// owner uses the loans of a borrowing: a Borrower or a Holder.
type owner interface {
	// wants returns the contracts for which that lender must be asked before the
	// next renewal.
	wants(now time.Time, lender string) []uint64

	// plan gives up the part of a loan that is not needed and returns what the
	// owner asks for.
	plan(now time.Time, lender string, id uint64, have Amount) wish

	// apply changes a loan from from to to, adds tokens to it and returns the
	// tokens that no longer fit.
	apply(now time.Time, s *session, id uint64, from, to Amount, tokens float64) float64

	// renewed is called when the expiry of all loans of the session has changed.
	renewed(s *session)

	// committed returns by how much the owner's own loans exceed what it has,
	// because a lender has reduced its loan.
	committed(id uint64) Amount

	// drop ends a loan.
	drop(now time.Time, s *session, id uint64, from Amount)
}

// borrowedLoan is what a session has borrowed of one contract.
type borrowedLoan struct {
	Amount
	asked    Amount // total that the last ask for this contract wanted
	acked    bool   // the lender has acknowledged the last reduction
	overLent bool   // the outstanding ask reports that more than Amount is still lent to others
}

// retry is the backoff between urgent asks for one contract while the lender
// cannot grant enough of it.
type retry struct {
	next time.Time
	gap  time.Duration
}

// session is the borrower's side of all loans from one lender.
type session struct {
	lender   string
	id       uint64
	number   uint64
	seen     uint64
	waiting  bool
	askedAt  time.Time
	until    time.Time // expiry of its loans, zero before the first grant
	due      time.Time // next renewal
	next     time.Time // earliest time of an urgent ask
	silent   int       // consecutive asks without an answer
	borrowed map[uint64]*borrowedLoan
	back     map[uint64]float64 // total tokens returned in this session, by contract
	spare    map[uint64]float64 // tokens per second that the lender could still lend, by contract
	listed   []uint64           // contracts in the outstanding ask
	retries  map[uint64]*retry  // contracts of which the lender did not grant enough
}

// borrowing manages the sessions of one owner with its lenders.
type borrowing struct {
	cfg      *Config
	owner    owner
	holder   bool
	send     func(to string, m *wire.Loan)
	sessions map[string]*session
	order    []*session // the same sessions, oldest first
	stopped  bool       // return all loans and ask for no more
}

func newBorrowing(cfg *Config, o owner, holder bool, send func(string, *wire.Loan)) *borrowing {
	return &borrowing{cfg: cfg, owner: o, holder: holder, send: send, sessions: make(map[string]*session)}
}

func (b *borrowing) renewal() time.Duration {
	if b.holder {
		return b.cfg.HolderTTL / holderRenewals
	}
	return b.cfg.LoanTTL * 2 / daemonRenewals
}

func (b *borrowing) session(lender string) *session {
	s := b.sessions[lender]
	if s == nil {
		s = &session{lender: lender, retries: make(map[uint64]*retry), spare: make(map[uint64]float64)}
		s.restart(b.cfg.Rand)
		b.sessions[lender] = s
		b.order = append(b.order, s)
	}
	return s
}

func (s *session) restart(r *rand.Rand) {
	s.id = r.Uint64()
	s.number, s.seen = 0, 0
	s.waiting = false
	s.until = time.Time{}
	s.borrowed = make(map[uint64]*borrowedLoan)
	s.back = make(map[uint64]float64)
	s.listed = nil
}

// expire ends the loans that have expired and gives up on asks that have not been
// answered within the timeout.
func (b *borrowing) expire(now time.Time) {
	for _, s := range b.order {
		if !s.until.IsZero() && !now.Before(s.until) {
			b.end(now, s)
		}
		if s.waiting && now.Sub(s.askedAt) >= b.cfg.Timeout {
			s.waiting = false
			s.silent++
			s.next = now
		}
	}
}

func (b *borrowing) end(now time.Time, s *session) {
	for _, id := range slices.Sorted(maps.Keys(s.borrowed)) {
		b.owner.drop(now, s, id, s.borrowed[id].Amount)
	}
	s.restart(b.cfg.Rand)
}

// forget deletes the sessions without loans whose lender is no longer a holder,
// as reported by keep.
func (b *borrowing) forget(keep func(lender string) bool) {
	b.order = slices.DeleteFunc(b.order, func(s *session) bool {
		gone := !keep(s.lender) && len(s.borrowed) == 0
		if gone {
			delete(b.sessions, s.lender)
		}
		return gone
	})
}

// askSpacing is the minimum time between the answer to an ask and the next urgent
// ask to the same lender. Without it, grants that add less and less would make
// borrower and lender exchange asks and grants endlessly without time passing.
const askSpacing = 10 * time.Millisecond

// pump sends the asks that are due.
func (b *borrowing) pump(now time.Time, lenders []string) {
	for _, lender := range lenders {
		b.session(lender)
	}
	for _, s := range b.order {
		b.pumpSession(now, s)
	}
}

// pumpOne sends the ask to one lender if it is due.
func (b *borrowing) pumpOne(now time.Time, lender string) {
	if s := b.sessions[lender]; s != nil {
		b.pumpSession(now, s)
	}
}

func (b *borrowing) pumpSession(now time.Time, s *session) {
	if s.waiting {
		return
	}
	renew := len(s.borrowed) > 0 && !now.Before(s.due)
	var urgent []uint64
	if !b.stopped && !now.Before(s.next) {
		urgent = slices.DeleteFunc(b.owner.wants(now, s.lender), func(id uint64) bool {
			r := s.retries[id]
			return r != nil && now.Before(r.next)
		})
	}
	if renew || len(urgent) > 0 {
		b.ask(now, s, urgent)
	}
}

func (b *borrowing) ask(now time.Time, s *session, urgent []uint64) {
	ids := slices.Sorted(maps.Keys(s.borrowed))
	for _, id := range urgent {
		if s.borrowed[id] == nil {
			ids = append(ids, id)
		}
	}
	s.number++
	ask := &wire.LoanAsk{Session: s.id, Number: s.number, Seen: s.seen, Holder: b.holder}
	s.listed = s.listed[:0]
	for _, id := range ids {
		if len(s.listed) == maxWants && s.borrowed[id] == nil {
			continue
		}
		if w := b.want(now, s, id, slices.Contains(urgent, id)); w != nil {
			ask.Wants = append(ask.Wants, w)
			s.listed = append(s.listed, id)
		}
	}
	s.waiting = true
	s.askedAt = now
	s.due = now.Add(b.renewal())
	b.send(s.lender, &wire.Loan{Kind: &wire.Loan_Ask{Ask: ask}})
}

// want returns the ask's entry for one contract, or nil if the lender needs none.
func (b *borrowing) want(now time.Time, s *session, id uint64, urgent bool) *wire.LoanWant {
	d := s.borrowed[id]
	if d == nil {
		d = &borrowedLoan{acked: true}
	}
	var w wish
	if !b.stopped {
		w = b.owner.plan(now, s.lender, id, d.Amount)
	} else {
		w.back = b.owner.apply(now, s, id, d.Amount, Amount{}, 0)
	}
	if w.keep != d.Amount || w.back > 0 {
		d.Amount = w.keep
		s.back[id] += w.back
		d.acked = false
	}
	hold := d.plus(b.owner.committed(id))
	d.overLent = hold != d.Amount
	if w.need == 0 && !urgent && d.acked && !d.asked.differs(w.want) {
		return nil
	}
	if w.need > 0 || w.want.Rate > w.keep.Rate || w.want.Cap > w.keep.Cap {
		b.backOff(now, s, id)
	}
	s.borrowed[id] = d
	d.asked = w.want
	d.acked = false
	return &wire.LoanWant{
		Contract: id,
		HoldRate: f32up(hold.Rate), HoldCap: f32up(hold.Cap),
		Rate: float32(w.want.Rate), Cap: float32(w.want.Cap),
		Need: float32(w.need), Back: s.back[id],
	}
}

// backOff doubles the time until the next urgent ask for a contract, up to the
// renewal interval. A grant for which take reports growth resets it.
func (b *borrowing) backOff(now time.Time, s *session, id uint64) {
	r := s.retries[id]
	if r == nil {
		r = &retry{gap: firstBackoff}
		if b.holder {
			r.gap = holderBackoff
		}
		s.retries[id] = r
	}
	r.next = now.Add(r.gap)
	r.gap = min(2*r.gap, b.renewal())
}

// receive applies a grant if it answers the newest ask in time.
func (b *borrowing) receive(now time.Time, from string, g *wire.LoanGrant) {
	s := b.sessions[from]
	if s == nil || g.Session != s.id {
		return
	}
	if g.Ask == 0 { // not an answer: the lender wants loans back or has tokens again
		s.due, s.next = now, now
		if !b.holder {
			clear(s.retries)
		}
		return
	}
	if !s.waiting || g.Ask != s.number {
		return
	}
	s.silent = 0
	if g.Reset_ {
		b.end(now, s)
		s.next = now.Add(askSpacing)
		return
	}
	until := s.askedAt.Add(time.Duration(g.TtlMs) * time.Millisecond)
	if !now.Before(until) {
		return
	}
	s.waiting = false
	s.seen = g.Number
	s.until = until
	for _, id := range s.listed {
		s.borrowed[id].acked = !s.borrowed[id].overLent
	}
	for _, e := range g.Given {
		if b.take(now, s, e) {
			delete(s.retries, e.Contract)
		}
	}
	b.owner.renewed(s)
	if slices.ContainsFunc(s.listed, func(id uint64) bool { return s.borrowed[id] != nil && !s.borrowed[id].acked }) {
		s.due = now.Add(askSpacing) // return soon what exceeds the reduced loan
	}
	s.next = now.Add(askSpacing)
	b.clean(s)
}

// take applies one entry of a grant and reports whether the loan grew. A loan
// between holders that wanted less than one token more of cap must grow by at
// least half of what was wanted.
func (b *borrowing) take(now time.Time, s *session, e *wire.LoanGiven) bool {
	d := s.borrowed[e.Contract]
	if d == nil {
		return false
	}
	to := Amount{float64(e.Rate), float64(e.Cap)}
	back := b.owner.apply(now, s, e.Contract, d.Amount, to, float64(e.Tokens))
	grew := to.Rate > d.Rate || to.Cap > d.Cap
	if b.holder && d.asked.Cap-d.Cap < 1 {
		grew = to.minus(d.Amount).times(2).covers(d.asked.minus(d.Amount))
	}
	d.Amount = to
	s.spare[e.Contract] = float64(e.Spare)
	s.back[e.Contract] += back
	d.acked = back == 0 && b.owner.committed(e.Contract) == (Amount{})
	return grew
}

// clean deletes the loans that have been returned and are no longer wanted. A
// session without loans is restarted, because it has nothing to renew.
func (b *borrowing) clean(s *session) {
	for id, d := range s.borrowed {
		if d.acked && d.Amount == (Amount{}) && d.asked == (Amount{}) {
			delete(s.borrowed, id)
		}
	}
	if len(s.borrowed) == 0 {
		s.restart(b.cfg.Rand)
	}
}

// total returns the sum of the loans of one contract that last at least until
// end.
func (b *borrowing) total(id uint64, end time.Time) Amount {
	var sum Amount
	for _, s := range b.order {
		if d := s.borrowed[id]; d != nil && !s.until.Before(end) {
			sum = sum.plus(d.Amount)
		}
	}
	return sum
}
