package contract

import (
	"math"
	"slices"
	"time"

	"wisteriafold/wire"
)

const (
	fastDemand   = 300 * time.Millisecond // time constants of the demand averages
	slowDemand   = 2 * time.Second
	demandSlack  = 1.3                    // what is borrowed for a predicted demand
	capHorizon   = 400 * time.Millisecond // demand that a bucket can take at once
	capFloor     = 2.0                    // tokens for an organisation with little demand
	activeFor    = 3 * time.Second        // an organisation stays active this long after a request
	activeFloor  = 0.5                    // tokens per second for an active organisation
	restateSlack = 1.2                    // change of a wish that the lender is told at once
	retrySilent  = 5 * time.Second        // a holder that did not answer is tried again after this time
	sampleEvery  = 10 * time.Millisecond
)

// demand is what the daemon borrows for one contract.
type demand struct {
	gauge    *gauge
	contract Contract
	group    uint32
	fast     float64 // tokens per second
	slow     float64
	asked    int64
	lastAsk  time.Time
	parts    []*part
	removed  bool
}

// Borrower borrows for the traffic of one daemon. It belongs to the control
// goroutine; traffic uses its Limiter.
type Borrower struct {
	cfg     *Config
	limiter *Limiter
	demands map[uint64]*demand
	ids     []uint64
	holders [Groups][]string // of the daemon's data centre, in the order of preference
	debts   *borrowing
	sampled time.Time
}

func newBorrower(cfg *Config, send func(string, *wire.Loan)) *Borrower {
	b := &Borrower{cfg: cfg, demands: make(map[uint64]*demand), sampled: cfg.Epoch}
	b.limiter = &Limiter{epoch: cfg.Epoch, maxWait: cfg.MaxWait, wake: make(chan struct{}, 1)}
	empty := make(map[string]*gauge)
	b.limiter.gauges.Store(&empty)
	b.debts = newBorrowing(cfg, b, false, send)
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

// setRoster learns the holders of the daemon's data centre. Which of the two a
// daemon prefers depends on its address, so that each has half of the daemons.
func (b *Borrower) setRoster(r *rosterView) {
	for g := range b.holders {
		b.holders[g] = slices.Clone(r.holders[g])
		if ID(b.cfg.Self)>>g&1 == 1 {
			slices.Reverse(b.holders[g])
		}
	}
}

// lender is the holder that is asked for a group: the preferred one that answers.
func (b *Borrower) lender(now time.Time, g uint32) string {
	for _, addr := range b.holders[g] {
		if s := b.debts.sessions[addr]; s == nil || s.silent < silentAsks || now.Sub(s.askedAt) > retrySilent {
			return addr
		}
	}
	if len(b.holders[g]) == 0 {
		return ""
	}
	return b.holders[g][0]
}

// sample brings the predictions up to date.
func (b *Borrower) sample(now time.Time) {
	dt := now.Sub(b.sampled)
	if dt < sampleEvery {
		return
	}
	b.sampled = now
	fast := 1 - math.Exp(-float64(dt)/float64(fastDemand))
	slow := 1 - math.Exp(-float64(dt)/float64(slowDemand))
	for _, id := range b.ids {
		d := b.demands[id]
		asked := d.gauge.asked.Load()
		rate := float64(asked-d.asked) / dt.Seconds()
		if asked != d.asked || d.gauge.waiting.Load() > 0 {
			d.lastAsk = now
		}
		d.asked = asked
		d.fast += (rate - d.fast) * fast
		d.slow += (rate - d.slow) * slow
	}
}

// target is what the daemon wants to have of a contract.
func (b *Borrower) target(now time.Time, d *demand) Amount {
	if d.removed || d.lastAsk.IsZero() || now.Sub(d.lastAsk) > activeFor {
		return Amount{}
	}
	rate := min(max(d.fast, d.slow)*demandSlack+activeFloor, d.contract.Rate)
	expect := rate * capHorizon.Seconds()
	tokens := min(capFloor+expect+2*math.Sqrt(expect), d.contract.Burst)
	return Amount{rate, tokens}
}

// missing is the tokens that requests wait for or are about to want.
func (b *Borrower) missing(d *demand, have Amount, level float64) float64 {
	if d.removed {
		return 0
	}
	soon := (max(d.fast, d.slow) - have.Rate) * capHorizon.Seconds()
	return max(0, float64(d.gauge.waiting.Load())-max(0, level), soon-max(0, level))
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
	for _, id := range b.ids {
		d := b.demands[id]
		if b.lender(now, d.group) != lender {
			continue
		}
		have, want := d.total(), b.target(now, d)
		lacks := want.Rate > have.Rate*restateSlack || want.Cap > have.Cap*restateSlack
		if lacks || b.missing(d, have, d.level(at)) >= 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// plan returns what the prediction does not need and asks for what it lacks.
func (b *Borrower) plan(now time.Time, lender string, id uint64, have Amount) wish {
	d := b.demands[id]
	var w wish
	at := int64(now.Sub(b.cfg.Epoch))
	want := b.target(now, d)
	if b.lender(now, d.group) != lender {
		want = Amount{} // another holder is asked now
	}
	w.keep = have
	if have.Rate > want.Rate*keepSlack {
		w.keep.Rate = want.Rate
	}
	level := d.level(at)
	need := b.missing(d, have, level)
	if want == (Amount{}) {
		need = 0
	}
	p := d.part(lender)
	if p != nil && (need >= 1 || have.Cap > want.Cap*keepSlack) {
		w.keep.Cap = min(have.Cap, max(want.Cap, 0))
		if need >= 1 {
			w.keep.Cap = min(have.Cap, max(p.level(at), 0)) // empty room returns with tokens in it
		}
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
	for id := range s.debts {
		if p := b.demands[id].part(s.lender); p != nil {
			p.until.Store(until)
		}
	}
}

// drop ends a loan.
func (b *Borrower) drop(now time.Time, s *session, id uint64, _ Amount) {
	b.resize(now, b.demands[id], s.lender, Amount{}, 0, 0)
}

// tick asks for what is needed.
func (b *Borrower) tick(now time.Time) {
	b.sample(now)
	b.pump(now)
}

func (b *Borrower) pump(now time.Time) {
	var lenders []string
	for g := range b.holders {
		if l := b.lender(now, uint32(g)); l != "" {
			lenders = append(lenders, l)
		}
	}
	slices.Sort(lenders)
	b.debts.pump(now, slices.Compact(lenders))
}
