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

	// stockFor is the time for which fetched tokens are good, in seconds: several
	// round trips to another region. A holder earns again what it gave away, so
	// the fleet may exceed the burst by what is earned in this time; the
	// tolerance that deployments state is half a second's worth.
	stockFor = 0.3

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
	goodTill time.Duration // when fetched tokens have to go back
	dryTill  time.Duration // others had nothing to give either
}

// NewAccount returns an empty account that earns from now on.
func NewAccount(now time.Duration) *Account { return &Account{at: now} }

// Set changes the terms and the part of them that is earned here: 0 for a daemon
// that only receives tokens. A lower burst takes effect at once.
func (a *Account) Set(now time.Duration, t Terms, share float64) {
	a.advance(now)
	sinks := t.Burst < a.terms.Burst
	a.terms, a.share = t, share
	if sinks {
		a.tokens = min(a.tokens, max(a.cap(), 1))
	}
}

// Unlimited reports whether the organisation has no limit.
func (a *Account) Unlimited() bool { return a.terms.Rate <= 0 }

// Share returns the part of the rate that is earned here.
func (a *Account) Share() float64 { return a.share }

func (a *Account) rate() float64 { return a.terms.Rate * a.share }
func (a *Account) cap() float64  { return a.terms.Burst * a.share }

// advance earns tokens up to the part of the burst. What was received above it
// is kept but does not grow.
func (a *Account) advance(now time.Duration) {
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

// Take takes one token for a request and reports whether there was one. first
// is false when the request has asked before.
func (a *Account) Take(now time.Duration, first bool) bool {
	if a.Unlimited() {
		return true
	}
	a.advance(now)
	if first {
		a.demand += 1 / demandSpan
	}
	if a.tokens < fullPart || a.share == 0 && now >= a.goodTill {
		return false
	}
	a.tokens--
	return true
}

// Whole returns the number of whole tokens held now.
func (a *Account) Whole() int { return int(a.tokens + 1 - fullPart) }

// GiveBack returns the token of a request that certainly did not run.
func (a *Account) GiveBack(now time.Duration) {
	if a.Unlimited() {
		return
	}
	a.Receive(now, 1)
}

// Short returns how many tokens to ask others for, 0 for none: one for each
// request that waits, and what the demand of the next moment will use.
func (a *Account) Short(now time.Duration, waiting int) float64 {
	if a.Unlimited() || now < a.dryTill {
		return 0
	}
	a.advance(now)
	want := float64(waiting) + math.Floor(a.demand*stockFor)
	if a.share == 0 && a.tokens > 0 && now >= a.goodTill {
		return want // what is left is on its way back
	}
	return max(want-a.tokens, 0)
}

// Dry records that nobody who was asked had tokens.
func (a *Account) Dry(now, pause time.Duration) { a.dryTill = now + pause }

// Grant takes out whole tokens for another daemon that asked for amount.
func (a *Account) Grant(now time.Duration, amount float64) float64 {
	if a.Unlimited() || amount <= 0 {
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
	if a.Unlimited() || amount <= 0 {
		return 0
	}
	a.advance(now)
	give := max(min(amount, a.tokens), 0)
	a.tokens -= give
	return give
}

// Rest takes out what has to go back to a holder: fetched tokens that were not
// used in time, and parts that do not make a whole one when a round has ended.
func (a *Account) Rest(now time.Duration, roundEnded bool) float64 {
	if a.Unlimited() || a.share > 0 || a.tokens <= 0 {
		return 0
	}
	if now < a.goodTill && (a.tokens >= fullPart || !roundEnded) {
		return 0
	}
	rest := a.tokens
	a.tokens = 0
	return rest
}

// Receive takes in tokens that another daemon has given up. A holder keeps no
// more than its part of the burst.
func (a *Account) Receive(now time.Duration, amount float64) {
	if a.Unlimited() || amount <= 0 {
		return
	}
	a.advance(now)
	if a.share > 0 {
		a.tokens = min(a.tokens+amount, max(a.cap(), a.tokens))
		return
	}
	if a.tokens <= 0 {
		a.goodTill = now + time.Duration(stockFor*float64(time.Second))
	}
	a.tokens = min(a.tokens+amount, a.terms.Burst)
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
