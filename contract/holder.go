package contract

import (
	"slices"
	"time"

	"wisteriafold/wire"
)

const (
	// keepSlack is the factor by which a loan may exceed the demand before part of
	// it is returned.
	keepSlack = 1.25

	// askSlack is the factor by which the amounts asked of all lenders together
	// exceed a shortage, because some lenders may have too little.
	askSlack = 1.5

	// needLenders is the number of lenders that are asked for immediate tokens at
	// the same time.
	needLenders = 2

	// needRotation is the time after which the next lenders are asked for immediate
	// tokens.
	needRotation = 50 * time.Millisecond

	// surplusFor is the minimum time since the last ask before a surplus is
	// returned early.
	surplusFor = 50 * time.Millisecond
)

// Holder has shares of contracts for its data centre and lends from them. Only
// the control goroutine may use it.
type Holder struct {
	cfg         *Config
	send        func(to string, m *wire.Loan)
	incarnation uint64

	accounts     map[uint64]*account
	ids          [Groups][]uint64 // contracts of each group, sorted
	rosters      map[string]*rosterView
	rosterSeenAt map[string]time.Time // when the version of each roster was first seen
	peers        [Groups][]string     // the other holders of each group, in all data centres
	slots        [Groups]slot

	lendings  map[lendKey]*lending
	order     []*lending // the same lendings, oldest first
	lapseAt   time.Time  // when the next loan may expire, zero without loans
	borrowed  *borrowing
	short     [Groups][]uint64 // contracts with more demand than this holder can serve
	askAtOnce bool             // a contract was added to short since the last pump

	generation   uint64
	incarnations map[string]uint64 // last incarnation received from each address
	number       uint64            // number of the newest settle query
	queryAt      time.Time
	queryGap     time.Duration
	lastStep     time.Time
	resuming     bool // the process was paused and the roster has not been confirmed since
	resumedAt    time.Time
	resumeQuery  uint64 // answers to queries with a lower number do not confirm the roster after the pause
	left         bool
	dirty        bool // an input of evaluate has changed
	wasFenced    bool
}

func newHolder(cfg *Config, send func(string, *wire.Loan)) *Holder {
	h := &Holder{
		cfg: cfg, send: send, incarnation: cfg.Rand.Uint64() | 1,
		accounts:     make(map[uint64]*account),
		rosters:      make(map[string]*rosterView),
		rosterSeenAt: make(map[string]time.Time),
		lendings:     make(map[lendKey]*lending),
		incarnations: make(map[string]uint64),
		lastStep:     cfg.Epoch,
		number:       1,
	}
	h.borrowed = newBorrowing(cfg, h, true, send)
	return h
}

// setContracts applies a generation of contracts; an older generation is ignored.
func (h *Holder) setContracts(now time.Time, generation uint64, cs []Contract) {
	if generation < h.generation {
		return
	}
	h.generation = generation
	seen := make(map[uint64]bool, len(cs))
	for _, c := range cs {
		id := ID(c.Name)
		seen[id] = true
		a := h.accounts[id]
		if a == nil {
			a = &account{id: id, group: groupOf(id), at: now}
			h.accounts[id] = a
		}
		if a.contract.Version < c.Version || a.removed {
			a.removed = false
			a.change(now, c, h.cfg.DataCentre, h.number+1)
		}
	}
	for _, a := range h.accounts {
		if !seen[a.id] && !a.removed {
			a.removed = true
			a.share = Amount{}
			a.restartAgreement(now, h.number+1)
		}
	}
	for g := range h.ids {
		h.ids[g] = h.ids[g][:0]
	}
	for _, id := range sortedKeys(h.accounts) {
		g := groupOf(id)
		h.ids[g] = append(h.ids[g], id)
	}
	h.changed(now)
}

// changed makes the next step evaluate all shares and the next tick send a query.
func (h *Holder) changed(now time.Time) {
	h.dirty = true
	h.queryGap = 0
	h.queryAt = now
}

// step detects a pause of the process, expires loans and updates the shares. It is
// called before every decision.
func (h *Holder) step(now time.Time) {
	if now.Sub(h.lastStep) > h.cfg.Gap {
		h.resuming = true
		h.resumedAt = now
		h.resumeQuery = h.number + 1
		h.changed(now)
	}
	h.lastStep = now
	h.borrowed.expire(now)
	h.evaluate(now)
	h.expireLent(now)
}

// tick serves the accounts with demand and sends the queries and asks that are
// due.
func (h *Holder) tick(now time.Time) {
	for g := range h.ids {
		h.short[g] = h.short[g][:0]
		for _, id := range h.ids[g] {
			a := h.accounts[id]
			if a.idle() {
				continue
			}
			a.advance(now)
			if h.isShort(a) {
				h.short[g] = append(h.short[g], id)
			}
			h.serve(now, a)
			if a.lentHolders != (Amount{}) && !a.lentHolders.within(h.forHolders(a), Amount{}) {
				h.nudge(now, a, nil)
			}
		}
	}
	h.query(now)
	h.pump(now)
}

// isShort reports whether demand for an account exceeds its own share and loans.
func (h *Holder) isShort(a *account) bool {
	lack := a.shortage()
	return !h.left && (lack.Rate > a.borrowed.Rate*cutSlack || lack.Cap > a.borrowed.Cap*cutSlack+1 || a.unmet > a.level)
}

// noteShort makes the machine ask the other holders immediately when an account
// has become short.
func (h *Holder) noteShort(a *account) {
	if h.isShort(a) && !slices.Contains(h.short[a.group], a.id) {
		h.short[a.group] = append(h.short[a.group], a.id)
		h.askAtOnce = true
	}
}

func (h *Holder) pump(now time.Time) {
	var lenders []string
	for g, ids := range h.short {
		if len(ids) > 0 {
			lenders = append(lenders, h.peers[g]...)
		}
	}
	slices.Sort(lenders)
	h.borrowed.pump(now, slices.Compact(lenders))
}

// wants returns the contracts that are short and of which the lender is a holder,
// and those of which more is borrowed from the lender than wanted.
func (h *Holder) wants(now time.Time, lender string) []uint64 {
	var ids []uint64
	for g, short := range h.short {
		if len(short) > 0 && slices.Contains(h.peers[g], lender) {
			ids = append(ids, short...)
		}
	}
	s := h.borrowed.sessions[lender]
	if now.Sub(s.askedAt) < surplusFor {
		return ids
	}
	for _, id := range sortedKeys(s.borrowed) {
		if s.borrowed[id].Cap >= 0.5 && h.hasSurplus(h.accounts[id]) {
			ids = append(ids, id)
		}
	}
	return ids
}

// hasSurplus reports whether the borrowed cap exceeds the shortage enough to
// return part of it.
func (h *Holder) hasSurplus(a *account) bool {
	return a.unmet == 0 && a.borrowed.Cap > a.shortage().Cap*keepSlack+1
}

// plan gives back what exceeds the demand and distributes a shortage over the
// lenders.
func (h *Holder) plan(now time.Time, lender string, id uint64, have Amount) wish {
	a := h.accounts[id]
	a.advance(now)
	lack := a.shortage()
	keep := have
	if a.borrowed.Rate > lack.Rate*keepSlack {
		keep.Rate = have.Rate * lack.Rate * cutSlack / a.borrowed.Rate
	}
	if a.borrowed.Cap > lack.Cap*keepSlack {
		keep.Cap = have.Cap * lack.Cap * cutSlack / a.borrowed.Cap
	}
	surplus := have.Cap - keep.Cap
	empty := max(0, a.own().Cap-a.level)
	tokens := max(0, a.unmet-a.level)
	if tokens > 0 && a.borrowed.Cap > 0 {
		keep.Cap = min(keep.Cap, have.Cap-empty*have.Cap/a.borrowed.Cap)
	}
	free := a.own().atLeast(Amount{}) // what is lent to others cannot be returned
	keep = keep.atLeast(have.minus(free)).atMost(have).f32()
	w := wish{keep: keep}
	if keep != have {
		w.back = h.reduce(a, have, keep, surplus)
	}
	if h.left || !slices.Contains(h.peers[a.group], lender) {
		w.want = w.keep
		return w
	}
	fraction := h.weight(a, lender) * askSlack
	more := lack.minus(a.borrowed).atLeast(Amount{})
	if tokens > 0 && h.inRotation(now, a.group, lender) {
		w.need = max(1, tokens*askSlack/needLenders)
	}
	w.want = keep.plus(more.times(fraction)).plus(Amount{Cap: w.need})
	w.want = w.want.f32()
	return w
}

// inRotation reports whether the lender is one of the needLenders that are asked
// for immediate tokens now. It is not known which lenders have tokens to spare,
// and asking all of them would borrow too many.
func (h *Holder) inRotation(now time.Time, g uint32, lender string) bool {
	n := len(h.peers[g])
	first := int(now.Sub(h.cfg.Epoch)/needRotation) * needLenders
	return (slices.Index(h.peers[g], lender)+n-first%n)%n < needLenders
}

// weight returns the fraction of a shortage that one lender is asked for: in
// proportion to the spare rates that the lenders reported, but at least half of
// an even split; an even split if a spare rate is unknown or all are zero.
func (h *Holder) weight(a *account, lender string) float64 {
	peers := h.peers[a.group]
	even := 1 / float64(len(peers))
	var sum, own float64
	for _, p := range peers {
		s := h.borrowed.sessions[p]
		if s == nil {
			return even
		}
		spare, known := s.spare[a.id]
		if !known {
			return even
		}
		sum += spare
		if p == lender {
			own = spare
		}
	}
	if sum == 0 {
		return even
	}
	return max(own/sum, even/2)
}

// apply changes a loan from another holder and adds tokens to the account.
func (h *Holder) apply(now time.Time, _ *session, id uint64, from, to Amount, tokens float64) float64 {
	a := h.accounts[id]
	a.advance(now)
	if to.Cap < from.Cap {
		return h.reduce(a, from, to, from.Cap-to.Cap)
	}
	a.borrowed = a.borrowed.plus(to.minus(from)).settle()
	a.level += tokens
	a.clip()
	if tokens > 0 {
		h.serve(now, a)
	}
	return 0
}

// reduce lowers a loan and returns the tokens that go back with it: for surplus,
// the cap that is no longer wanted, its proportion of the bucket's tokens, and at
// least the tokens that no longer fit.
func (h *Holder) reduce(a *account, from, to Amount, surplus float64) float64 {
	var back float64
	if own := a.own().Cap; own > 0 {
		back = a.level * min(1, min(surplus, from.Cap-to.Cap)/own)
	}
	a.borrowed = a.borrowed.plus(to.minus(from)).settle()
	back = max(back, a.level-max(0, a.own().Cap))
	a.level -= back
	a.clip()
	return back
}

func (h *Holder) renewed(*session) {}

// committed returns by how much the loans made exceed the share and the loans
// taken.
func (h *Holder) committed(id uint64) Amount {
	return Amount{}.minus(h.accounts[id].own()).atLeast(Amount{}).settle()
}

// drop ends a loan. The loan adds no tokens for the time since the last refill.
func (h *Holder) drop(now time.Time, _ *session, id uint64, from Amount) {
	a := h.accounts[id]
	a.borrowed = a.borrowed.minus(from).settle()
	a.advance(now)
}
