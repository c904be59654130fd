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
	holderBackoff  = 10 * time.Millisecond // of holders, between regions
	daemonRenewals = 5                     // asks in two lives of a daemon's loan
	holderRenewals = 4                     // asks in one life of a loan between holders
	silentAsks     = 3                     // unanswered asks after which a lender counts as gone
	maxWants       = 64                    // contracts in one ask
)

// wish is what an owner wants of one loan when it asks.
type wish struct {
	keep Amount  // what it keeps of what it has
	back float64 // tokens that no longer fit and go back
	want Amount  // what it wants in all
	need float64 // tokens that it wants at once
}

// owner spends what a borrowing has borrowed.
type owner interface {
	// wants returns the contracts for which the owner has a wish to that lender
	// that cannot wait for the next renewal.
	wants(now time.Time, lender string) []uint64

	// plan gives up what is not needed and says what is wanted.
	plan(now time.Time, lender string, id uint64, have Amount) wish

	// apply changes a loan and adds tokens to it; it returns the tokens that no
	// longer fit.
	apply(now time.Time, s *session, id uint64, from, to Amount, tokens float64) float64

	// renewed tells that all loans of the session last until its new expiry.
	renewed(s *session)

	// committed returns what the owner has lent on and cannot back any more,
	// because a lender has cut its loan.
	committed(id uint64) Amount

	// drop ends a loan.
	drop(now time.Time, s *session, id uint64, from Amount)
}

// borrowedPart is one contract that a session has borrowed.
type borrowedPart struct {
	Amount
	asked Amount // what was wanted in all, as last told to the lender
	told  bool   // the lender has confirmed the last reduction
	owing bool   // more than Amount is still lent on, as the outstanding ask says
}

// retry spaces the urgent asks for one contract that the lender does not have.
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
	until    time.Time // expiry of its loans, zero without any grant
	due      time.Time // next renewal
	next     time.Time // earliest urgent ask
	silent   int       // asks without an answer, in a row
	borrowed map[uint64]*borrowedPart
	back     map[uint64]float64 // tokens handed back in this session, by contract
	spare    map[uint64]float64 // tokens per second that the lender could still lend
	listed   []uint64           // contracts in the outstanding ask
	retries  map[uint64]*retry  // contracts that were asked for in vain
}

// borrowing keeps the sessions of one owner with its lenders.
type borrowing struct {
	cfg      *Config
	owner    owner
	holder   bool
	send     func(to string, m *wire.Loan)
	sessions map[string]*session
	order    []*session // the same sessions, oldest first
	stopped  bool       // give everything back and ask for nothing
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
	s.borrowed = make(map[uint64]*borrowedPart)
	s.back = make(map[uint64]float64)
	s.listed = nil
}

// expire ends the loans whose time is over.
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

// forget ends the session with a lender that is no holder any more, once it
// has no loans.
func (b *borrowing) forget(keep func(lender string) bool) {
	b.order = slices.DeleteFunc(b.order, func(s *session) bool {
		gone := !keep(s.lender) && len(s.borrowed) == 0
		if gone {
			delete(b.sessions, s.lender)
		}
		return gone
	})
}

// askSpacing is the least time between the answer to an ask and the next ask
// to the same lender for more. Without it, loans that grow by less and less
// with each grant make the two ask and grant without end at one instant.
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

// want makes the entry of one contract, nil when the lender need not hear of it.
func (b *borrowing) want(now time.Time, s *session, id uint64, urgent bool) *wire.LoanWant {
	d := s.borrowed[id]
	if d == nil {
		d = &borrowedPart{told: true}
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
		d.told = false
	}
	hold := d.plus(b.owner.committed(id))
	d.owing = hold != d.Amount
	if w.need == 0 && !urgent && d.told && !d.asked.differs(w.want) {
		return nil
	}
	if w.need > 0 || w.want.Rate > w.keep.Rate || w.want.Cap > w.keep.Cap {
		b.backOff(now, s, id)
	}
	s.borrowed[id] = d
	d.asked = w.want
	d.told = false
	return &wire.LoanWant{
		Contract: id,
		HoldRate: f32up(hold.Rate), HoldCap: f32up(hold.Cap),
		Rate: float32(w.want.Rate), Cap: float32(w.want.Cap),
		Need: float32(w.need), Back: s.back[id],
	}
}

// backOff doubles the time until the next urgent ask for a contract. A grant that
// brings a good part of it ends the series.
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
	if g.Ask == 0 { // the lender wants loans back, or has got tokens
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
		s.borrowed[id].told = !s.borrowed[id].owing
	}
	for _, e := range g.Given {
		if b.take(now, s, e) {
			delete(s.retries, e.Contract)
		}
	}
	b.owner.renewed(s)
	if slices.ContainsFunc(s.listed, func(id uint64) bool { return s.borrowed[id] != nil && !s.borrowed[id].told }) {
		s.due = now.Add(askSpacing) // hand back soon what a cut has left over
	}
	s.next = now.Add(askSpacing)
	b.clean(s)
}

// take applies one entry of a grant and reports whether it brought half of what
// was wanted, or more.
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
	d.told = back == 0 && b.owner.committed(e.Contract) == (Amount{})
	return grew
}

// clean forgets what is paid back and no longer wanted. A session without
// loans starts afresh: nothing has to be renewed then.
func (b *borrowing) clean(s *session) {
	for id, d := range s.borrowed {
		if d.told && d.Amount == (Amount{}) && d.asked == (Amount{}) {
			delete(s.borrowed, id)
		}
	}
	if len(s.borrowed) == 0 {
		s.restart(b.cfg.Rand)
	}
}

// total is what is borrowed of one contract that lasts at least until end.
func (b *borrowing) total(id uint64, end time.Time) Amount {
	var sum Amount
	for _, s := range b.order {
		if d := s.borrowed[id]; d != nil && !s.until.Before(end) {
			sum = sum.plus(d.Amount)
		}
	}
	return sum
}
