package contract

import (
	"math"
	"time"
)

// wantSlack is what a holder wants to have of a demanded rate.
const wantSlack = 1.3

// evidence is what another holder said about a contract at this version.
type evidence struct {
	dataCentre  string
	roster      uint64
	incarnation uint64
	sibling     uint64
}

// account is what one holder has of one contract.
type account struct {
	id       uint64
	group    uint32
	contract Contract
	removed  bool // no longer in the configuration

	have     Amount // share of the data centre that this holder acts on
	agreed   bool   // every holder has settled at this version
	changed  time.Time
	from     uint64 // answers to earlier queries do not count
	evidence map[string]evidence

	base        Amount // own share in force
	in          Amount // borrowed from other holders
	lentDaemons Amount
	lentHolders Amount
	lent        Amount
	wantDaemons Amount
	wantHolders Amount
	short       float64 // tokens that daemons wanted at once and did not get
	level       float64 // tokens
	at          time.Time
}

// own is the bucket that is left in this holder's hands. It can be negative for
// as long as loans outlast a share that shrank.
func (a *account) own() Amount { return a.base.plus(a.in).minus(a.lent) }

// idle reports whether nobody borrows or wants anything.
func (a *account) idle() bool {
	none := Amount{}
	return a.lent == none && a.in == none && a.wantDaemons == none && a.wantHolders == none && a.short == 0
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

// add puts tokens into the bucket, as far as they fit.
func (a *account) add(tokens float64) {
	a.level += tokens
	a.clip()
}

// lend books a change of what is lent. The account has been advanced.
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

func (a *account) setShort(ln *loan, short float64, holder bool) {
	if !holder {
		a.short = max(0, a.short+short-ln.short)
	}
	ln.short = short
}

// settle takes the rounding errors out of a sum that should be zero.
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

// setBase changes the own share in force. What shrinks stops to count for the
// time since the last refill, too.
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

// change puts another version of the contract in force: what shrinks, at once.
func (a *account) change(now time.Time, c Contract, dc string, nextQuery uint64) {
	a.contract = c
	a.have = a.have.atMost(c.share(dc))
	a.restartAgreement(now, nextQuery)
}

func (a *account) restartAgreement(now time.Time, nextQuery uint64) {
	a.changed = now
	a.agreed = false
	a.from = nextQuery
	a.evidence = make(map[string]evidence)
}

// wanting is what this holder wants to have for the daemons that it lends to: a
// rate with room to spare, and the part of the burst that goes with that rate.
func (a *account) wanting() Amount {
	rate := min(a.wantDaemons.Rate*wantSlack, a.contract.Rate)
	if a.contract.Rate == 0 {
		return Amount{}
	}
	room := a.contract.Burst * rate / a.contract.Rate
	if rate >= 1 {
		room++ // so that the next request finds a whole token
	}
	return Amount{rate, min(max(room, a.wantDaemons.Cap), a.contract.Burst)}
}

// shortage is what is wanted beyond the own share.
func (a *account) shortage() Amount {
	return a.wanting().minus(a.base.minus(a.lentHolders)).atLeast(Amount{})
}
