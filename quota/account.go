package quota

import (
	"math"
	"time"
)

// Terms are what an organisation may use over all daemons together.
type Terms struct {
	Rate  float64 // requests per second; 0 for no limit
	Burst float64 // requests
}

const (
	// demandSpan is the time constant of the measured demand, in seconds: long
	// enough for a rate of a few requests a second to show.
	demandSpan = 1.0

	// stockFor is the time for which fetched tokens are good, from the moment at
	// which they were asked for: several round trips to another region. A holder
	// earns again what it gave away, so the fleet may exceed the burst by what is
	// earned in this time; the tolerance that deployments state is half a
	// second's worth.
	stockFor = 300 * time.Millisecond

	// returnBefore is the time before their end at which fetched tokens go back:
	// daemons look every tenth of a second, and the way to another region takes
	// a few hundredths.
	returnBefore = 160 * time.Millisecond

	// fullPart is the part of a token that counts as a whole one; it absorbs
	// rounding.
	fullPart = 1 - 1e-9
)

// Account is one organisation's tokens at one daemon. Times are on any clock
// that counts the suspension of the process. It is not safe for concurrent use.
type Account struct {
	terms    Terms
	share    float64 // part of the rate and the burst that is earned here
	tokens   float64
	demand   float64 // requests per second asked for here
	at       time.Duration
	goodTill time.Duration // when fetched tokens end; no meaning for a holder
	dryTill  time.Duration // others had nothing to give either
}

// NewAccount returns an empty account that earns from now on.
func NewAccount(now time.Duration) *Account { return &Account{at: now} }

// Set changes the terms and the part of them that is earned here: 0 for a daemon
// that only receives tokens. A lower burst takes effect at once. It returns the
// tokens that this daemon may no longer hold, for one that earns more now.
func (a *Account) Set(now time.Duration, t Terms, share float64) (surplus float64) {
	a.advance(now)
	sinks, held := t.Burst < a.terms.Burst, a.share > 0
	a.terms, a.share = t, share
	limit := a.cap()
	switch {
	case share == 0 && !held:
		if sinks {
			a.tokens = min(a.tokens, 1)
		}
	case sinks:
		a.tokens = min(a.tokens, max(limit, 1))
	case a.tokens > limit:
		surplus = a.tokens - limit
		a.tokens = limit
	}
	return surplus
}

// Unlimited reports whether the organisation has no limit.
func (a *Account) Unlimited() bool { return a.terms.Rate <= 0 }

// Share returns the part of the rate that is earned here.
func (a *Account) Share() float64 { return a.share }

func (a *Account) rate() float64 { return a.terms.Rate * a.share }
func (a *Account) cap() float64  { return a.terms.Burst * a.share }

// advance earns tokens up to the part of the burst, and ends fetched tokens that
// were not used in time: their holder has earned them again.
func (a *Account) advance(now time.Duration) {
	if a.share == 0 && now >= a.goodTill {
		a.tokens = 0
	}
	dt := (now - a.at).Seconds()
	if dt <= 0 {
		return
	}
	a.at = now
	if limit := a.cap(); a.tokens < limit {
		a.tokens = min(limit, a.tokens+a.rate()*dt)
	}
	a.demand -= a.demand * min(1, dt/demandSpan)
}

// Take takes one token for a request and reports whether there was one. It may be
// given back until the time returned. first is false when the request has asked
// before.
func (a *Account) Take(now time.Duration, first bool) (till time.Duration, ok bool) {
	if a.Unlimited() {
		return 0, true
	}
	a.advance(now)
	if first {
		a.demand += 1 / demandSpan
	}
	if a.tokens < fullPart {
		return 0, false
	}
	a.tokens--
	if a.share > 0 {
		return now + stockFor, true
	}
	return a.goodTill, true
}

// Whole returns the number of whole tokens held now.
func (a *Account) Whole() int { return int(a.tokens + 1 - fullPart) }

// GiveBack returns the token of a request that certainly did not run. After till
// the fleet has earned it again, and it ends.
func (a *Account) GiveBack(now, till time.Duration) { a.Receive(now, till-stockFor, 1) }

// Short returns how many tokens to ask others for, 0 for none: one for each
// request that waits, and what the demand of the next moment will use.
func (a *Account) Short(now time.Duration, waiting int) float64 {
	if a.Unlimited() || now < a.dryTill {
		return 0
	}
	a.advance(now)
	want := float64(waiting) + math.Floor(a.demand*stockFor.Seconds())
	return max(want-a.tokens, 0)
}

// Dry records that nobody who was asked had tokens.
func (a *Account) Dry(now, pause time.Duration) { a.dryTill = now + pause }

// mayGrant reports whether tokens may leave this account. Fetched ones stay where
// they are or go back: passed on, they would be good for longer than stockFor.
func (a *Account) mayGrant(amount float64) bool {
	return !a.Unlimited() && amount > 0 && a.share > 0
}

// Grant takes out whole tokens for another daemon that asked for amount.
func (a *Account) Grant(now time.Duration, amount float64) float64 {
	if !a.mayGrant(amount) {
		return 0
	}
	a.advance(now)
	give := amount
	if a.tokens < 2*amount {
		give = max(a.tokens/2, min(1, a.tokens)) // leaves some for the next who asks
	}
	if give < fullPart {
		return 0
	}
	a.tokens -= give
	return give
}

// GrantPart takes out what there is, up to amount, for a daemon that puts a
// token together from the parts of several holders.
func (a *Account) GrantPart(now time.Duration, amount float64) float64 {
	if !a.mayGrant(amount) {
		return 0
	}
	a.advance(now)
	give := max(min(amount, a.tokens), 0)
	a.tokens -= give
	return give
}

// Rest takes out the parts that do not make a whole token when a round has ended;
// they go back to a holder.
func (a *Account) Rest(now time.Duration) float64 {
	a.advance(now)
	if a.tokens >= fullPart {
		return 0
	}
	return a.fetched()
}

// Idle takes out fetched tokens that nobody has used for a while; they go back to
// a holder while they are still good.
func (a *Account) Idle(now time.Duration) float64 {
	a.advance(now)
	if now < a.goodTill-returnBefore {
		return 0
	}
	return a.fetched()
}

// fetched takes out all fetched tokens.
func (a *Account) fetched() float64 {
	if a.Unlimited() || a.share > 0 {
		return 0
	}
	all := a.tokens
	a.tokens = 0
	return all
}

// Receive takes in tokens that another daemon gave up when it was asked. asked is
// the time of the question. A holder keeps no more than its part of the burst.
// Tokens that come late are dropped: their holder has earned them again.
func (a *Account) Receive(now, asked time.Duration, amount float64) {
	if a.Unlimited() || amount <= 0 || now-asked > stockFor {
		return
	}
	a.advance(now)
	if a.share > 0 {
		a.tokens = min(a.tokens+amount, max(a.cap(), a.tokens))
		return
	}
	if a.tokens <= 0 {
		a.goodTill = asked + stockFor
	}
	a.goodTill = min(a.goodTill, asked+stockFor)
	a.tokens = min(a.tokens+amount, a.terms.Burst)
}

// Return takes in tokens that a daemon gave back without being asked. Only a
// holder keeps them.
func (a *Account) Return(now time.Duration, amount float64) {
	if a.share > 0 {
		a.Receive(now, now, amount)
	}
}

// NextIn estimates the time until a token for a request that was refused here:
// when the fleet has earned one, times the requests that ask for one meanwhile.
func (a *Account) NextIn() time.Duration {
	if a.Unlimited() {
		return 0
	}
	waiting := max(1, a.demand/demandSpan)
	return time.Duration(waiting / a.terms.Rate * float64(time.Second))
}
