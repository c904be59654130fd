package contract

import (
	"math"
	"time"
)

// wantSlack is the factor by which a holder's wanted rate exceeds the demand of
// its daemons.
const wantSlack = 1.3

// evidence is another holder's report that it has settled at the contract's
// version.
type evidence struct {
	dataCentre  string
	roster      uint64
	incarnation uint64
	sibling     uint64
}

// account is one holder's share of one contract, with its loans.
type account struct {
	id       uint64
	group    uint32
	contract Contract
	removed  bool // no longer in the configuration

	share    Amount // the data centre's share that this holder acts on
	agreed   bool   // every holder has settled at this version
	changed  time.Time
	minQuery uint64 // answers to queries with a lower number are ignored
	evidence map[string]evidence

	base        Amount // own share in use
	borrowed    Amount // borrowed from other holders
	lentDaemons Amount
	lentHolders Amount
	lent        Amount
	wantDaemons Amount
	wantHolders Amount
	unmet       float64 // tokens that daemons needed immediately and did not get
	level       float64 // tokens
	at          time.Time
}

// own returns what this holder has after borrowing and lending. It is negative
// while loans exceed a share that has been reduced.
func (a *account) own() Amount { return a.base.plus(a.borrowed).minus(a.lent) }

// idle reports whether the account has no loans and no unmet demand.
func (a *account) idle() bool {
	none := Amount{}
	return a.lent == none && a.borrowed == none && a.wantDaemons == none && a.wantHolders == none && a.unmet == 0
}

// advance refills the bucket up to now.
func (a *account) advance(now time.Time) {
	if dt := now.Sub(a.at); dt > 0 {
		a.level += max(0, a.own().Rate) * dt.Seconds()
		a.at = now
	}
	a.clip()
}

func (a *account) clip() { a.level = max(0, min(a.level, a.own().Cap)) }

// add puts tokens into the bucket; those above its cap are lost.
func (a *account) add(tokens float64) {
	a.level += tokens
	a.clip()
}

// lend changes the amount lent to holders or to daemons. The caller has called
// advance.
func (a *account) lend(holder bool, change Amount) {
	if holder {
		a.lentHolders = a.lentHolders.plus(change).settle()
	} else {
		a.lentDaemons = a.lentDaemons.plus(change).settle()
	}
	a.lent = a.lentHolders.plus(a.lentDaemons)
	a.clip()
}

func (a *account) wanted(holder bool, change Amount) {
	if holder {
		a.wantHolders = a.wantHolders.plus(change).settle()
	} else {
		a.wantDaemons = a.wantDaemons.plus(change).settle()
	}
}

func (a *account) setUnmet(ln *loan, unmet float64, holder bool) {
	if !holder {
		a.unmet = max(0, a.unmet+unmet-ln.unmet)
	}
	ln.unmet = unmet
}

// settle sets a rate or cap to 0 that differs from 0 only by rounding errors.
func (a Amount) settle() Amount {
	const rounding = 1e-9
	if math.Abs(a.Rate) < rounding {
		a.Rate = 0
	}
	if math.Abs(a.Cap) < rounding {
		a.Cap = 0
	}
	return a
}

// setBase changes the own share in use. A reduction also applies to the time
// since the last refill.
func (a *account) setBase(now time.Time, base Amount) {
	if base == a.base {
		return
	}
	old := a.base
	a.base = old.atMost(base)
	a.advance(now)
	a.base = base
	a.clip()
}

// change applies another version of the contract. Reductions take effect
// immediately; increases wait until all holders agree.
func (a *account) change(now time.Time, c Contract, dc string, nextQuery uint64) {
	a.contract = c
	a.share = a.share.atMost(c.share(dc))
	a.restartAgreement(now, nextQuery)
}

func (a *account) restartAgreement(now time.Time, nextQuery uint64) {
	a.changed = now
	a.agreed = false
	a.minQuery = nextQuery
	a.evidence = make(map[string]evidence)
}

// wanting returns what this holder wants for the daemons that it lends to: their
// demanded rate times wantSlack, and the burst in proportion to that rate.
func (a *account) wanting() Amount {
	rate := min(a.wantDaemons.Rate*wantSlack, a.contract.Rate)
	if a.contract.Rate == 0 {
		return Amount{}
	}
	room := a.contract.Burst * rate / a.contract.Rate
	if rate >= 1 {
		room++ // room for a whole token, for the next request
	}
	return Amount{rate, min(max(room, a.wantDaemons.Cap), a.contract.Burst)}
}

// shortage returns by how much the wanted amount exceeds the own share.
func (a *account) shortage() Amount {
	return a.wanting().minus(a.base.minus(a.lentHolders)).atLeast(Amount{})
}
