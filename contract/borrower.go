package contract

import (
	"math"
	"slices"
	"time"

	"wisteriafold/wire"
)

const (
	demandMemory = 400 * time.Millisecond // time constant of the moving average of demand
	demandSlack  = 1.1                    // factor of the wanted rate over the predicted demand
	demandStep   = 0.15                   // logarithmic step to which a wanted rate is rounded up
	capHorizon   = 200 * time.Millisecond // the cap of a loan holds the refill of this time
	needHorizon  = 100 * time.Millisecond // tokens for the predicted demand of this time are borrowed in advance
	activeFor    = 3 * time.Second        // a contract stays active this long after a request
	smallBurst   = 32.0                   // tokens
	emptyFor     = 100 * time.Millisecond // unused cap is returned after this time
	retrySilent  = 5 * time.Second        // a lender that does not answer is asked again after this time
	sampleEvery  = 10 * time.Millisecond
)

// demand is the daemon's predicted demand and loans for one contract.
type demand struct {
	gauge    *gauge
	contract Contract
	group    uint32
	rate     float64 // predicted tokens per second
	asked    int64
	lastAsk  time.Time
	refused  int64
	missedAt time.Time
	chunk    float64 // most tokens that one recent request asked for
	missed   bool    // a request was refused within the last emptyFor: borrow a token for the next one
	buckets  []*bucket
	removed  bool
}

// Borrower borrows tokens for the requests of one daemon. Only the control
// goroutine may use it; request goroutines use its Limiter.
type Borrower struct {
	cfg      *Config
	limiter  *Limiter
	demands  map[uint64]*demand
	ids      []uint64
	active   []uint64         // contracts with requests or loans
	holders  [Groups][]string // of the daemon's data centre
	borrowed *borrowing
	sampled  time.Time
}

func newBorrower(cfg *Config, send func(string, *wire.Loan)) *Borrower {
	b := &Borrower{cfg: cfg, demands: make(map[uint64]*demand), sampled: cfg.Epoch}
	b.limiter = &Limiter{epoch: cfg.Epoch, maxWait: cfg.MaxWait, wake: make(chan struct{}, 1)}
	empty := make(map[string]*gauge)
	b.limiter.gauges.Store(&empty)
	b.borrowed = newBorrowing(cfg, b, false, send)
	return b
}

// setContracts replaces the contracts in use.
func (b *Borrower) setContracts(cs []Contract) {
	gauges := make(map[string]*gauge, len(cs))
	seen := make(map[uint64]bool, len(cs))
	for _, c := range cs {
		id := ID(c.Name)
		seen[id] = true
		d := b.demands[id]
		if d == nil {
			d = &demand{gauge: &gauge{id: id}, group: groupOf(id)}
			b.demands[id] = d
		}
		d.contract = c
		d.removed = false
		b.publish(d)
		gauges[c.Name] = d.gauge
	}
	for id, d := range b.demands {
		d.removed = !seen[id]
	}
	b.ids = sortedKeys(b.demands)
	b.limiter.gauges.Store(&gauges)
}

// setRoster stores the holders of the daemon's data centre.
func (b *Borrower) setRoster(r *rosterView) { b.holders = r.holders }

// preferred returns the holders of a contract in the order in which this daemon
// asks them. Of two holders, each is the first choice of half of the daemons.
// For a contract with a small burst, all daemons ask the same holder first, so
// that its few tokens are lent from one place.
func (b *Borrower) preferred(d *demand) []string {
	all := b.holders[d.group]
	if len(all) < 2 || d.contract.Burst < smallBurst || ID(b.cfg.Self)>>d.group&1 == 0 {
		return all
	}
	return []string{all[1], all[0]}
}

// lender returns the holder to ask for a contract: the first preferred one that
// answers, or the first one if none does.
func (b *Borrower) lender(now time.Time, d *demand) string {
	all := b.preferred(d)
	for _, addr := range all {
		if s := b.borrowed.sessions[addr]; s == nil || s.silent < silentAsks || now.Sub(s.askedAt) > retrySilent {
			return addr
		}
	}
	if len(all) == 0 {
		return ""
	}
	return all[0]
}

// sample updates the predicted demand of every contract.
func (b *Borrower) sample(now time.Time) {
	dt := now.Sub(b.sampled)
	if dt < sampleEvery {
		return
	}
	b.sampled = now
	weight := 1 - math.Exp(-float64(dt)/float64(demandMemory))
	for _, id := range b.ids {
		d := b.demands[id]
		asked := d.gauge.asked.Load()
		rate := float64(asked-d.asked) / dt.Seconds()
		if asked != d.asked || d.gauge.waiting.Load() > 0 {
			d.lastAsk = now
		}
		d.asked = asked
		d.chunk = max(float64(d.gauge.largest.Swap(0)), d.chunk)
		if now.Sub(d.lastAsk) > activeFor {
			d.chunk = 0
		}
		if refused := d.gauge.refused.Load(); refused != d.refused {
			d.refused, d.missedAt = refused, now
		}
		d.missed = !d.missedAt.IsZero() && now.Sub(d.missedAt) < emptyFor
		d.rate += (rate - d.rate) * weight
	}
}

// target returns what the daemon wants of a contract: a rate that covers its
// demand, of which the lender grants a fraction, and the cap for the refill at
// that fraction.
func (b *Borrower) target(now time.Time, d *demand) Amount {
	if d.removed || d.lastAsk.IsZero() || now.Sub(d.lastAsk) > activeFor {
		return Amount{}
	}
	rate := min(roundUpRate(d.rate*demandSlack), d.contract.Rate)
	room := capFor(lentRate(rate))
	if d.chunk > 1 {
		room += d.chunk
	}
	return Amount{rate, min(room, d.contract.Burst)}
}

// roundUpRate rounds a rate up to a logarithmic step, so that small changes need
// no message.
func roundUpRate(rate float64) float64 {
	const least = 0.05 // tokens per second
	if rate < least {
		return 0
	}
	return math.Exp(math.Ceil(math.Log(rate)/demandStep) * demandStep)
}

// capFor returns the cap of a loan of that rate, and 0 for a rate of 0.
func capFor(rate float64) float64 {
	if rate == 0 {
		return 0
	}
	return 1 + rate*capHorizon.Seconds()
}

// missing returns the number of tokens that requests wait for, or will need
// within needHorizon, and that the loans do not have.
func (b *Borrower) missing(d *demand, have Amount, level float64) float64 {
	if d.removed {
		return 0
	}
	soon := (d.rate - have.Rate) * needHorizon.Seconds()
	level = max(0, level)
	wait := float64(d.gauge.waiting.Load())
	if d.missed || d.chunk > 1 {
		wait = max(wait, d.chunk) // so that the next request of that size finds its tokens
	}
	return max(0, math.Ceil(wait-level), math.Floor(soon-level))
}

func (d *demand) bucket(lender string) *bucket {
	for _, b := range d.buckets {
		if b.lender == lender {
			return b
		}
	}
	return nil
}

func (d *demand) level(now int64) float64 {
	var sum float64
	for _, b := range d.buckets {
		sum += b.level(now)
	}
	return sum
}

func (d *demand) total() Amount {
	var sum Amount
	for _, b := range d.buckets {
		sum = sum.plus(b.amount)
	}
	return sum
}

// wants returns the contracts for which the lender must be asked before the next
// renewal.
func (b *Borrower) wants(now time.Time, lender string) []uint64 {
	var ids []uint64
	at := int64(now.Sub(b.cfg.Epoch))
	for _, id := range b.active {
		d := b.demands[id]
		if b.lender(now, d) != lender {
			continue
		}
		if b.lacks(now, d, lender, at) {
			ids = append(ids, id)
		}
	}
	return ids
}

// lacks reports whether the loans of a contract have too few tokens, too low a
// rate or unused cap to return, and so cannot wait for the next renewal.
func (b *Borrower) lacks(now time.Time, d *demand, lender string, at int64) bool {
	have, want, level := d.total(), b.target(now, d), d.level(at)
	if b.missing(d, have, level) >= 1 {
		return true
	}
	rate := lentRate(want.Rate)
	if rate > have.Rate*(1+2*demandStep) {
		return true
	}
	s := b.borrowed.sessions[lender]
	empty := have.Cap - max(level, capFor(have.Rate))
	return empty >= 0.5 && s != nil && now.Sub(s.askedAt) >= emptyFor
}

// plan gives back what exceeds the predicted demand and asks for what the demand
// lacks.
func (b *Borrower) plan(now time.Time, lender string, id uint64, have Amount) wish {
	d := b.demands[id]
	var w wish
	at := int64(now.Sub(b.cfg.Epoch))
	want := b.target(now, d)
	if b.lender(now, d) != lender {
		want = Amount{} // now borrowed from another holder
	}
	w.keep = have
	if rate := lentRate(want.Rate); have.Rate > rate*keepSlack {
		w.keep.Rate = rate
	}
	level := d.level(at)
	need := b.missing(d, have, level)
	if want == (Amount{}) {
		need = 0
	}
	p := d.bucket(lender)
	if p != nil && (need >= 1 || have.Cap > want.Cap*keepSlack) {
		room := max(want.Cap, float64(d.gauge.waiting.Load())) // keep the tokens that a waiting request is about to take
		if need >= 1 {
			room = max(p.level(at), 0) // give back unused cap, to receive it again with tokens
		}
		w.keep.Cap = min(have.Cap, room)
	}
	w.keep = w.keep.f32()
	if w.keep != have {
		w.back = b.resize(now, d, lender, w.keep, 0, 0)
	}
	w.need = f32(need)
	w.want = w.keep.atLeast(want).plus(Amount{Cap: need}).f32()
	return w
}

// apply replaces a loan and adds tokens to it.
func (b *Borrower) apply(now time.Time, s *session, id uint64, _, to Amount, tokens float64) float64 {
	return b.resize(now, b.demands[id], s.lender, to, tokens, s.until.Sub(b.cfg.Epoch))
}

// resize replaces the bucket of a lender's loan by one of another size and
// returns the tokens that no longer fit. If until is 0, the expiry stays.
func (b *Borrower) resize(now time.Time, d *demand, lender string, to Amount, tokens float64, until time.Duration) float64 {
	at := now.Sub(b.cfg.Epoch)
	if old := d.bucket(lender); old != nil {
		if until == 0 {
			until = time.Duration(old.until.Load())
		}
		tokens += old.close(int64(at))
		d.buckets = slices.DeleteFunc(d.buckets, func(p *bucket) bool { return p == old })
	}
	if to != (Amount{}) {
		d.buckets = append(d.buckets, newBucket(lender, to, min(tokens, to.Cap), at, until))
	}
	b.publish(d)
	return max(0, tokens-to.Cap)
}

// publish makes the loans visible to requests and wakes the waiting ones.
func (b *Borrower) publish(d *demand) {
	old := d.gauge.view.Load()
	waiters := int64(16 + d.contract.Rate*b.cfg.MaxWait.Seconds() + d.contract.Burst)
	retry := time.Duration(float64(time.Second) / d.contract.Rate)
	d.gauge.view.Store(&view{
		buckets: slices.Clone(d.buckets),
		changed: make(chan struct{}),
		waiters: min(waiters, maxWaiters),
		retry:   min(max(retry, minRetryAfter), maxRetryAfter),
	})
	if old != nil {
		close(old.changed)
	}
}

// renewed sets the expiry of every loan of the session to the session's new one.
func (b *Borrower) renewed(s *session) {
	until := int64(s.until.Sub(b.cfg.Epoch))
	for id := range s.borrowed {
		if p := b.demands[id].bucket(s.lender); p != nil {
			p.until.Store(until)
		}
	}
}

// committed returns nothing, because a Borrower does not lend.
func (b *Borrower) committed(uint64) Amount { return Amount{} }

// drop ends a loan.
func (b *Borrower) drop(now time.Time, s *session, id uint64, _ Amount) {
	b.resize(now, b.demands[id], s.lender, Amount{}, 0, 0)
}

// tick updates the predictions and sends the asks that are due.
func (b *Borrower) tick(now time.Time) {
	b.sample(now)
	b.active = b.active[:0]
	for _, id := range b.ids {
		d := b.demands[id]
		if len(d.buckets) > 0 || d.gauge.waiting.Load() > 0 || (!d.lastAsk.IsZero() && now.Sub(d.lastAsk) <= activeFor) {
			b.active = append(b.active, id)
		}
	}
	b.pump(now)
}

func (b *Borrower) pump(now time.Time) {
	var lenders []string
	for g := range b.holders {
		lenders = append(lenders, b.holders[g]...)
	}
	slices.Sort(lenders)
	b.borrowed.pump(now, slices.Compact(lenders))
}
