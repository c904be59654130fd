package service

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wisteriafold/request"
)

const (
	// maxColdPause is the longest time for which an endpoint is not used after its
	// gate has refused a call because its backend server is cold.
	maxColdPause = time.Second

	// coldRetryAfter is the Retry-After for calls for which only cold endpoints are
	// left, all of which have refused a moment ago.
	coldRetryAfter = 500 * time.Millisecond
)

// errOnlyCold refuses a call for which only cold endpoints are left.
var errOnlyCold = &request.Error{
	Outcome:    request.NotRun,
	Reason:     request.ReasonCold,
	RetryAfter: coldRetryAfter,
	Remedy:     "try later: all endpoints have just started and tolerate only few calls a second",
}

// coldShare limits what one daemon sends to one cold endpoint to the daemon's share
// of the rate that the endpoint tolerates. The share is a token bucket that holds one
// token. It starts at a random phase, so that the first calls of many daemons do not
// arrive together. The gate of the endpoint holds the exact bound; the share keeps it
// from refusing. All times are in ns on the clock of the picker.
type coldShare struct {
	active  atomic.Bool  // there is a share
	quietAt atomic.Int64 // from this time on the share restricts nothing: the maximum of until and pausedTo

	mu        sync.Mutex
	rate      float64 // calls a second; 0 turns the share off
	announced int64   // end of the coldness that was announced last
	until     int64   // end of the coldness
	phased    bool    // the random phase of the present coldness has been drawn
	next      int64   // time of the next token
	pausedTo  int64   // not used before this time, because its gate refused
}

// announce sets the share, and the end of the coldness that the endpoint's daemon
// announced. An announcement that is known already does not overrule later reports.
func (c *coldShare) announce(rate float64, until int64) {
	if rate == 0 && !c.active.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate = rate
	if until != c.announced {
		c.announced = until
		c.setUntil(until)
	}
	c.active.Store(rate > 0)
	c.updateQuiet()
}

// updateQuiet updates quietAt after a change of until or pausedTo.
func (c *coldShare) updateQuiet() { c.quietAt.Store(max(c.until, c.pausedTo)) }

// reported records how much longer the endpoint is cold according to its gate.
func (c *coldShare) reported(now, left int64) {
	if !c.active.Load() || left <= 0 && now >= c.quietAt.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.updateQuiet()
	if left <= 0 {
		c.until = min(c.until, now)
		return
	}
	if now >= c.until {
		c.phased = false
	}
	c.until = now + left
}

// setUntil sets the end of a coldness that may be another one than before.
func (c *coldShare) setUntil(until int64) {
	if until > c.until {
		c.phased = false
	}
	c.until = until
}

// refused pauses the use of the endpoint for a random part of maxColdPause. draw is in
// [0, 1).
func (c *coldShare) refused(now int64, draw float64) {
	if !c.active.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedTo = now + int64(draw*float64(maxColdPause))
	c.updateQuiet()
}

// skips reports whether the endpoint gets no call now. beyond allows calls beyond the
// share.
func (c *coldShare) skips(now int64, rng *rand.Rand, beyond bool) bool {
	if !c.active.Load() || now >= c.quietAt.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now < c.pausedTo {
		return true
	}
	if now >= c.until || beyond {
		return false
	}
	if !c.phased {
		c.phased = true
		c.next = now + int64(rng.Float64()*float64(c.interval()))
	}
	return now < c.next
}

// take takes the token for a call that is about to be sent. Calls beyond the share leave
// no debt.
func (c *coldShare) take(now int64) {
	if !c.active.Load() || now >= c.quietAt.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now < c.until {
		c.next = now + c.interval()
	}
}

// isCold reports whether the endpoint is cold.
func (c *coldShare) isCold(now int64) bool {
	if !c.active.Load() || now >= c.quietAt.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now < c.until
}

// interval returns the time between two tokens.
func (c *coldShare) interval() int64 { return int64(float64(time.Second) / c.rate) }

// copyFrom copies the share of an earlier state of the same incarnation.
func (c *coldShare) copyFrom(from *coldShare) {
	from.mu.Lock()
	defer from.mu.Unlock()
	c.rate, c.announced, c.until = from.rate, from.announced, from.until
	c.phased, c.next, c.pausedTo = from.phased, from.next, from.pausedTo
	c.active.Store(from.active.Load())
	c.updateQuiet()
}
