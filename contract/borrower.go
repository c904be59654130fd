package contract

import (
	"math"
	"slices"
	"time"

	"wisteriafold/wire"
)

const (
	demandMemory = 400 * time.Millisecond // time constant of the demand average
	demandSlack  = 1.1                    // what is wanted for a predicted demand
	demandGrid   = 0.15                   // relative step of the demand that lenders are told
	capHorizon   = 200 * time.Millisecond // refill that a bucket can take at once
	needHorizon  = 100 * time.Millisecond // demand that is borrowed for ahead of need
	activeFor    = 3 * time.Second        // an organisation stays active this long after a request
	smallBurst   = 32.0                   // tokens
	emptyFor     = 100 * time.Millisecond // room without tokens goes back after this time
	retrySilent  = 5 * time.Second        // a holder that did not answer is tried again after this time
	sampleEvery  = 10 * time.Millisecond
)

// demand is what the daemon borrows for one contract.
type demand struct {
	gauge    *gauge
	contract Contract
	group    uint32
	rate     float64 // predicted tokens per second
	asked    int64
	lastAsk  time.Time
	refused  int64
	missedAt time.Time
	chunk    float64 // most tokens that one request asked for lately
	missed   bool    // a request was refused a moment ago: the next one should find a token
	parts    []*part
	removed  bool
}

// Borrower borrows for the traffic of one daemon. It belongs to the control
// goroutine; traffic uses its Limiter.
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

// setContracts follows the contracts in force.
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

// setRoster learns the holders of the daemon's data centre.
func (b *Borrower) setRoster(r *rosterView) { b.holders = r.holders }

// preferred are the holders of a contract in the order in which this daemon
// asks them. Of two, each has half of the daemons; a contract with a small
// burst is kept together at the first.
func (b *Borrower) preferred(d *demand) []string {
	all := b.holders[d.group]
	if len(all) < 2 || d.contract.Burst < smallBurst || ID(b.cfg.Self)>>d.group&1 == 0 {
		return all
	}
	return []string{all[1], all[0]}
}

// lender is the holder that is asked for a contract: the preferred one that answers.
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

// sample brings the predictions up to date.
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

// target is what the daemon wants to have of a contract: a rate to cover its
// demand, of which the lender gives a part, and room for what refills at it.
func (b *Borrower) target(now time.Time, d *demand) Amount {
	if d.removed || d.lastAsk.IsZero() || now.Sub(d.lastAsk) > activeFor {
		return Amount{}
	}
	rate := min(onGrid(d.rate*demandSlack), d.contract.Rate)
	room := capFor(lentRate(rate))
	if d.chunk > 1 {
		room += d.chunk
	}
	return Amount{rate, min(room, d.contract.Burst)}
}

// onGrid rounds a rate up to a step, so that small changes need no message.
func onGrid(rate float64) float64 {
	const least = 0.05 // tokens per second
	if rate < least {
		return 0
	}
	return math.Exp(math.Ceil(math.Log(rate)/demandGrid) * demandGrid)
}

// capFor is the bucket size of a loan of that rate, none for no rate.
func capFor(rate float64) float64 {
	if rate == 0 {
		return 0
	}
	return 1 + rate*capHorizon.Seconds()
}

// missing is the tokens that requests wait for or are about to want.
func (b *Borrower) missing(d *demand, have Amount, level float64) float64 {
	if d.removed {
		return 0
	}
	soon := (d.rate - have.Rate) * needHorizon.Seconds()
	level = max(0, level)
	wait := float64(d.gauge.waiting.Load())
	if d.missed || d.chunk > 1 {
		wait = max(wait, d.chunk) // the next one of that size finds its tokens
	}
	return max(0, math.Ceil(wait-level), math.Floor(soon-level))
}

func (d *demand) part(lender string) *part {
	for _, p := range d.parts {
		if p.lender == lender {
			return p
		}
	}
	return nil
}

func (d *demand) level(now int64) float64 {
	var sum float64
	for _, p := range d.parts {
		sum += p.level(now)
	}
	return sum
}

func (d *demand) total() Amount {
	var sum Amount
	for _, p := range d.parts {
		sum = sum.plus(p.amount)
	}
	return sum
}

// wants returns the contracts for which the loans are too small.
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

// lacks reports whether the loans of a contract cannot wait for the renewal.
func (b *Borrower) lacks(now time.Time, d *demand, lender string, at int64) bool {
	have, want, level := d.total(), b.target(now, d), d.level(at)
	if b.missing(d, have, level) >= 1 {
		return true
	}
	rate := lentRate(want.Rate)
	if rate > have.Rate*(1+2*demandGrid) {
		return true
	}
	s := b.borrowed.sessions[lender]
	empty := have.Cap - max(level, capFor(have.Rate))
	return empty >= 0.5 && s != nil && now.Sub(s.askedAt) >= emptyFor
}

// plan returns what the prediction does not need and asks for what it lacks.
func (b *Borrower) plan(now time.Time, lender string, id uint64, have Amount) wish {
	d := b.demands[id]
	var w wish
	at := int64(now.Sub(b.cfg.Epoch))
	want := b.target(now, d)
	if b.lender(now, d) != lender {
		want = Amount{} // another holder is asked now
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
	p := d.part(lender)
	if p != nil && (need >= 1 || have.Cap > want.Cap*keepSlack) {
		room := max(want.Cap, float64(d.gauge.waiting.Load())) // tokens that a request is about to take stay
		if need >= 1 {
			room = max(p.level(at), 0) // empty room returns with tokens in it
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

// apply changes a loan.
func (b *Borrower) apply(now time.Time, s *session, id uint64, _, to Amount, tokens float64) float64 {
	return b.resize(now, b.demands[id], s.lender, to, tokens, s.until.Sub(b.cfg.Epoch))
}

// resize puts another part in the place of a lender's and returns the tokens
// that no longer fit. A zero until keeps the expiry.
func (b *Borrower) resize(now time.Time, d *demand, lender string, to Amount, tokens float64, until time.Duration) float64 {
	at := now.Sub(b.cfg.Epoch)
	if old := d.part(lender); old != nil {
		if until == 0 {
			until = time.Duration(old.until.Load())
		}
		tokens += old.close(int64(at))
		d.parts = slices.DeleteFunc(d.parts, func(p *part) bool { return p == old })
	}
	if to != (Amount{}) {
		d.parts = append(d.parts, newPart(lender, to, min(tokens, to.Cap), at, until))
	}
	b.publish(d)
	return max(0, tokens-to.Cap)
}

// publish shows the loans to traffic and wakes the requests that wait.
func (b *Borrower) publish(d *demand) {
	old := d.gauge.view.Load()
	waiters := int64(16 + d.contract.Rate*b.cfg.MaxWait.Seconds() + d.contract.Burst)
	retry := time.Duration(float64(time.Second) / d.contract.Rate)
	d.gauge.view.Store(&view{
		parts:   slices.Clone(d.parts),
		changed: make(chan struct{}),
		waiters: min(waiters, maxWaiters),
		retry:   min(max(retry, retryLeast), retryMost),
	})
	if old != nil {
		close(old.changed)
	}
}

// renewed moves the expiry of every loan of the session.
func (b *Borrower) renewed(s *session) {
	until := int64(s.until.Sub(b.cfg.Epoch))
	for id := range s.borrowed {
		if p := b.demands[id].part(s.lender); p != nil {
			p.until.Store(until)
		}
	}
}

// committed is nothing: daemons do not lend on.
func (b *Borrower) committed(uint64) Amount { return Amount{} }

// drop ends a loan.
func (b *Borrower) drop(now time.Time, s *session, id uint64, _ Amount) {
	b.resize(now, b.demands[id], s.lender, Amount{}, 0, 0)
}

// tick asks for what is needed.
func (b *Borrower) tick(now time.Time) {
	b.sample(now)
	b.active = b.active[:0]
	for _, id := range b.ids {
		d := b.demands[id]
		if len(d.parts) > 0 || d.gauge.waiting.Load() > 0 || (!d.lastAsk.IsZero() && now.Sub(d.lastAsk) <= activeFor) {
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
