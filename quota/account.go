package quota

import (
	"math"
	"time"
)

// Terms are the limits of an organisation, for all daemons together.
type Terms struct {
	Rate  float64 // requests per second; 0 for no limit
	Burst float64 // requests
}

const (
	// demandTimeConstant is the time constant, in seconds, with which the measured
	// demand decays. It is long enough to register a rate of a few requests per
	// second.
	demandTimeConstant = 1.0

	// fetchedLifetime is the time for which fetched tokens are valid, counted from
	// the request for them. It covers several round trips to another region. A
	// holder earns tokens again in place of those that it granted, so the fleet may
	// exceed the burst by the tokens that are earned in this time. Deployments
	// state a tolerance of half a second's worth of tokens.
	fetchedLifetime = 300 * time.Millisecond

	// returnLeadTime is how long before their expiry unused fetched tokens are
	// returned to a holder. Daemons check every tenth of a second, and a message to
	// another region takes a few hundredths of a second.
	returnLeadTime = 160 * time.Millisecond

	// minWholeToken is the smallest amount that counts as one token. It is slightly
	// below 1 to absorb rounding errors.
	minWholeToken = 1 - 1e-9
)

// Account holds the tokens of one organisation at one daemon. A daemon that earns
// tokens is a holder; any other daemon only fetches tokens from holders. Times are
// readings of one monotonic clock, which must keep running while the process is
// suspended. Account is not safe for concurrent use.
type Account struct {
	terms          Terms
	share          float64 // fraction of the rate and the burst that this daemon earns; 0 if it is not a holder
	tokens         float64
	demand         float64       // measured demand at this daemon, in requests per second
	updatedAt      time.Duration // time up to which tokens are earned and demand has decayed
	fetchedExpiry  time.Duration // when fetched tokens expire; unused by a holder
	askPausedUntil time.Duration // until then Shortfall returns 0, because the other daemons had no tokens
}

// NewAccount returns an empty account that earns tokens from now on, once Set has
// been called.
func NewAccount(now time.Duration) *Account { return &Account{updatedAt: now} }

// Set changes the terms and the share of them that this daemon earns. A share of
// 0 means that the daemon is not a holder. When the burst is lowered, the tokens
// above the new limit are dropped at once, except that one token is kept. Otherwise Set
// removes the tokens that this daemon may no longer hold and returns their number,
// so that the caller can send them to a daemon whose share has grown.
func (a *Account) Set(now time.Duration, t Terms, share float64) (surplus float64) {
	a.advance(now)
	burstLowered, wasHolder := t.Burst < a.terms.Burst, a.share > 0
	a.terms, a.share = t, share
	limit := a.burst()
	switch {
	case share == 0 && !wasHolder:
		if burstLowered {
			a.tokens = min(a.tokens, 1)
		}
	case burstLowered:
		a.tokens = min(a.tokens, max(limit, 1))
	case a.tokens > limit:
		surplus = a.tokens - limit
		a.tokens = limit
	}
	return surplus
}

// Drop removes all tokens without replacement and earns none for the time before now,
// because other daemons have earned them again.
func (a *Account) Drop(now time.Duration) {
	a.updatedAt = max(a.updatedAt, now)
	a.tokens = 0
}

// Unlimited reports whether the organisation has no limit.
func (a *Account) Unlimited() bool { return a.terms.Rate <= 0 }

// Share returns the fraction of the rate and the burst that this daemon earns.
func (a *Account) Share() float64 { return a.share }

func (a *Account) rate() float64  { return a.terms.Rate * a.share }
func (a *Account) burst() float64 { return a.terms.Burst * a.share }

// advance brings the account up to now: it adds the tokens earned since the last
// call, up to this daemon's share of the burst, and lets the measured demand
// decay. It drops expired fetched tokens, because their holder has earned them
// again.
func (a *Account) advance(now time.Duration) {
	if a.share == 0 && now >= a.fetchedExpiry {
		a.tokens = 0
	}
	dt := (now - a.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	a.updatedAt = now
	if limit := a.burst(); a.tokens < limit {
		a.tokens = min(limit, a.tokens+a.rate()*dt)
	}
	a.demand -= a.demand * min(1, dt/demandTimeConstant)
}

// Take takes one token for a request and reports whether one was available. The
// token may be given back until the returned time. first is false when Take was
// already called for the same request, which must count as demand only once.
func (a *Account) Take(now time.Duration, first bool) (till time.Duration, ok bool) {
	if a.Unlimited() {
		return 0, true
	}
	a.advance(now)
	if first {
		a.demand += 1 / demandTimeConstant
	}
	if a.tokens < minWholeToken {
		return 0, false
	}
	a.tokens--
	if a.share > 0 {
		return now + fetchedLifetime, true
	}
	return a.fetchedExpiry, true
}

// WholeTokens returns the number of whole tokens in the account.
func (a *Account) WholeTokens() int { return int(a.tokens + 1 - minWholeToken) }

// GiveBack puts back the token of a request that certainly did not run. till is
// the time that Take returned; after it the token is dropped, because the fleet has
// earned it again.
func (a *Account) GiveBack(now, till time.Duration) { a.Receive(now, till-fetchedLifetime, 1) }

// Shortfall returns how many tokens to request from other daemons, or 0 if none are
// needed. It counts one token for each waiting request and the tokens that the
// measured demand uses within the lifetime of fetched tokens, less the tokens in
// the account.
func (a *Account) Shortfall(now time.Duration, waiting int) float64 {
	if a.Unlimited() || now < a.askPausedUntil {
		return 0
	}
	a.advance(now)
	want := float64(waiting) + math.Floor(a.demand*fetchedLifetime.Seconds())
	return max(want-a.tokens, 0)
}

// PauseRequests records that none of the daemons that were asked had tokens. Shortfall returns 0
// until pause has passed.
func (a *Account) PauseRequests(now, pause time.Duration) { a.askPausedUntil = now + pause }

// mayGrant reports whether this account may grant tokens to another daemon. Only a
// holder grants tokens. Fetched tokens are used here or returned to a holder; if
// they were granted again, they would be valid for longer than fetchedLifetime.
func (a *Account) mayGrant(amount float64) bool {
	return !a.Unlimited() && amount > 0 && a.share > 0
}

// Grant removes and returns tokens for another daemon that asked for amount. When
// the account has less than twice that amount, it grants half of its
// tokens, or one token if half is less, so that some are left for other daemons. It returns 0 rather
// than less than one token.
func (a *Account) Grant(now time.Duration, amount float64) float64 {
	if !a.mayGrant(amount) {
		return 0
	}
	a.advance(now)
	give := amount
	if a.tokens < 2*amount {
		give = max(a.tokens/2, min(1, a.tokens)) // keeps some tokens for other daemons
	}
	if give < minWholeToken {
		return 0
	}
	a.tokens -= give
	return give
}

// GrantUpTo removes and returns the available tokens, up to amount. Unlike Grant it
// may return a fraction of a token: the requesting daemon combines fractions from
// several holders into whole tokens.
func (a *Account) GrantUpTo(now time.Duration, amount float64) float64 {
	if !a.mayGrant(amount) {
		return 0
	}
	a.advance(now)
	give := max(min(amount, a.tokens), 0)
	a.tokens -= give
	return give
}

// TakeFraction removes and returns fetched tokens that add up to less than one token. It is
// called when all holders that were asked have answered; the caller returns the
// fraction to a holder.
func (a *Account) TakeFraction(now time.Duration) float64 {
	a.advance(now)
	if a.tokens >= minWholeToken {
		return 0
	}
	return a.takeFetched()
}

// TakeExpiring removes and returns fetched tokens that expire within returnLeadTime. The
// caller returns them to a holder while they are still valid.
func (a *Account) TakeExpiring(now time.Duration) float64 {
	a.advance(now)
	if now < a.fetchedExpiry-returnLeadTime {
		return 0
	}
	return a.takeFetched()
}

// takeFetched removes and returns all fetched tokens. It returns 0 for a holder.
func (a *Account) takeFetched() float64 {
	if a.Unlimited() || a.share > 0 {
		return 0
	}
	all := a.tokens
	a.tokens = 0
	return all
}

// Receive adds tokens that another daemon granted. asked is the time at which this
// daemon requested them. A holder keeps at most its share of the burst. Tokens that
// arrive more than fetchedLifetime after asked are dropped, because their holder has
// earned them again.
func (a *Account) Receive(now, asked time.Duration, amount float64) {
	if a.Unlimited() || amount <= 0 || now-asked > fetchedLifetime {
		return
	}
	a.advance(now)
	if a.share > 0 {
		a.tokens = min(a.tokens+amount, max(a.burst(), a.tokens))
		return
	}
	if a.tokens <= 0 {
		a.fetchedExpiry = asked + fetchedLifetime
	}
	a.fetchedExpiry = min(a.fetchedExpiry, asked+fetchedLifetime)
	a.tokens = min(a.tokens+amount, a.terms.Burst)
}

// Return adds tokens that another daemon gave back without having been asked for
// them. A daemon that is not a holder drops them.
func (a *Account) Return(now time.Duration, amount float64) {
	if a.share > 0 {
		a.Receive(now, now, amount)
	}
}

// RetryAfter estimates how long a request that was refused here must wait for a token:
// the time in which the fleet earns one token, multiplied by the number of requests
// that compete for it at this daemon, which is taken from the measured demand.
func (a *Account) RetryAfter() time.Duration {
	if a.Unlimited() {
		return 0
	}
	waiting := max(1, a.demand/demandTimeConstant)
	return time.Duration(waiting / a.terms.Rate * float64(time.Second))
}
