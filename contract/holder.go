package contract

import (
	"slices"
	"time"

	"wisteriafold/wire"
)

const (
	// keepSlack is how far a loan may exceed the demand before part of it is returned.
	keepSlack = 1.25

	// askSlack spreads a shortage over lenders with something to spare.
	askSlack = 1.5

	// needLenders is the number of lenders that are asked for tokens at a time.
	needLenders = 2

	// needTurn is the time after which others are asked.
	needTurn = 50 * time.Millisecond

	// surplusFor is the time after which tokens that are not needed go back.
	surplusFor = 50 * time.Millisecond
)

// Holder keeps shares of contracts for its data centre and lends from them. It
// belongs to the control goroutine.
type Holder struct {
	cfg         *Config
	send        func(to string, m *wire.Loan)
	incarnation uint64

	accounts map[uint64]*account
	ids      [Groups][]uint64 // contracts of each group, sorted
	rosters  map[string]*rosterView
	learned  map[string]time.Time // when the version of each roster was first seen
	peers    [Groups][]string     // holders of each group but this one, all data centres
	slots    [Groups]slot

	lendings  map[lendKey]*lending
	order     []*lending // the same, oldest first
	lapseAt   time.Time  // when the next loan may be over, zero without any
	borrowed  *borrowing
	short     [Groups][]uint64 // contracts with more demand than the own share
	askAtOnce bool             // short has grown since the last pump

	generation uint64
	heard      map[string]uint64 // incarnation last heard of at each address
	number     uint64            // of the newest settle query
	queryAt    time.Time
	queryGap   time.Duration
	stepped    time.Time
	asleep     bool // woke from a pause and has not confirmed its roster since
	woke       time.Time
	wakeNumber uint64 // answers to earlier queries do not confirm it
	left       bool
	dirty      bool // what shares depend on has changed
	wasFenced  bool
}

func newHolder(cfg *Config, send func(string, *wire.Loan)) *Holder {
	h := &Holder{
		cfg: cfg, send: send, incarnation: cfg.Rand.Uint64() | 1,
		accounts: make(map[uint64]*account),
		rosters:  make(map[string]*rosterView),
		learned:  make(map[string]time.Time),
		lendings: make(map[lendKey]*lending),
		heard:    make(map[string]uint64),
		stepped:  cfg.Epoch,
		number:   1,
	}
	h.borrowed = newBorrowing(cfg, h, true, send)
	return h
}

// setContracts puts a generation of contracts in force.
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
			a.have = Amount{}
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

// changed makes the next step look at everything again.
func (h *Holder) changed(now time.Time) {
	h.dirty = true
	h.queryGap = 0
	h.queryAt = now
}

// step brings the holder's shares up to date. It comes before any decision.
func (h *Holder) step(now time.Time) {
	if now.Sub(h.stepped) > h.cfg.Gap {
		h.asleep = true
		h.woke = now
		h.wakeNumber = h.number + 1
		h.changed(now)
	}
	h.stepped = now
	h.borrowed.expire(now)
	h.evaluate(now)
	h.expireLent(now)
}

// tick does what is due.
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

// isShort reports whether more is wanted of an account than it has.
func (h *Holder) isShort(a *account) bool {
	lack := a.shortage()
	return !h.left && (lack.Rate > a.in.Rate*cutSlack || lack.Cap > a.in.Cap*cutSlack+1 || a.short > a.level)
}

// noteShort asks the other holders at once when an account has become short.
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

// wants returns the contracts that are short and that the lender holds, too.
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

// hasSurplus reports whether more is borrowed than wanted.
func (h *Holder) hasSurplus(a *account) bool {
	return a.short == 0 && a.in.Cap > a.shortage().Cap*keepSlack+1
}

// plan returns what exceeds the demand and spreads a shortage over the lenders.
func (h *Holder) plan(now time.Time, lender string, id uint64, have Amount) wish {
	a := h.accounts[id]
	a.advance(now)
	lack := a.shortage()
	keep := have
	if a.in.Rate > lack.Rate*keepSlack {
		keep.Rate = have.Rate * lack.Rate * cutSlack / a.in.Rate
	}
	if a.in.Cap > lack.Cap*keepSlack {
		keep.Cap = have.Cap * lack.Cap * cutSlack / a.in.Cap
	}
	surplus := have.Cap - keep.Cap
	empty := max(0, a.own().Cap-a.level)
	tokens := max(0, a.short-a.level)
	if tokens > 0 && a.in.Cap > 0 {
		keep.Cap = min(keep.Cap, have.Cap-empty*have.Cap/a.in.Cap)
	}
	free := a.own().atLeast(Amount{}) // what is lent on cannot be returned
	keep = keep.atLeast(have.minus(free)).atMost(have).f32()
	w := wish{keep: keep}
	if keep != have {
		w.back = h.reduce(a, have, keep, surplus)
	}
	if h.left || !slices.Contains(h.peers[a.group], lender) {
		w.want = w.keep
		return w
	}
	part := h.weight(a, lender) * askSlack
	more := lack.minus(a.in).atLeast(Amount{})
	if tokens > 0 && h.turn(now, a.group, lender) {
		w.need = max(1, tokens*askSlack/needLenders)
	}
	w.want = keep.plus(more.times(part)).plus(Amount{Cap: w.need})
	w.want = w.want.f32()
	return w
}

// turn reports whether it is the lender's turn to be asked for tokens at once.
// Which lender has some to spare is not known, and to ask them all would bring
// too many.
func (h *Holder) turn(now time.Time, g uint32, lender string) bool {
	n := len(h.peers[g])
	first := int(now.Sub(h.cfg.Epoch)/needTurn) * needLenders
	return (slices.Index(h.peers[g], lender)+n-first%n)%n < needLenders
}

// weight is the part of a shortage that one lender is asked for.
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

// apply books a change of what is borrowed.
func (h *Holder) apply(now time.Time, _ *session, id uint64, from, to Amount, tokens float64) float64 {
	a := h.accounts[id]
	a.advance(now)
	if to.Cap < from.Cap {
		return h.reduce(a, from, to, from.Cap-to.Cap)
	}
	a.in = a.in.plus(to.minus(from)).settle()
	a.level += tokens
	a.clip()
	if tokens > 0 {
		h.serve(now, a)
	}
	return 0
}

// reduce gives up part of what is borrowed, with its part of the tokens for as
// much of the cap as is no longer wanted, and returns these tokens.
func (h *Holder) reduce(a *account, from, to Amount, surplus float64) float64 {
	var back float64
	if own := a.own().Cap; own > 0 {
		back = a.level * min(1, min(surplus, from.Cap-to.Cap)/own)
	}
	a.in = a.in.plus(to.minus(from)).settle()
	back = max(back, a.level-max(0, a.own().Cap))
	a.level -= back
	a.clip()
	return back
}

func (h *Holder) renewed(*session) {}

// committed is what is lent beyond what backs it.
func (h *Holder) committed(id uint64) Amount {
	return Amount{}.minus(h.accounts[id].own()).atLeast(Amount{}).settle()
}

// drop ends a loan. Its rate has not counted since the last refill.
func (h *Holder) drop(now time.Time, _ *session, id uint64, from Amount) {
	a := h.accounts[id]
	a.in = a.in.minus(from).settle()
	a.advance(now)
}
