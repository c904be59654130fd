package backend

import "time"

// overload detects standing overload: the queue has not been empty for a whole
// interval.
//
// Controlled delay (CoDel) tests the minimum sojourn time over the interval. In
// a queue ordered by importance the most important calls hardly wait at any
// load, so that the minimum is meaningless. A queue that is never empty is the
// equivalent test for any order: a burst drains, a standing queue does not.
type overload struct {
	cfg           Config
	wasEmpty      bool      // the queue was empty at some time in the current interval
	intervalStart time.Time // start of the current interval
	standing      bool
}

// advance records that the queue has held `waiting` calls up to now, and starts
// a new interval when the current one has ended.
func (o *overload) advance(now time.Time, waiting int) {
	if waiting == 0 {
		o.wasEmpty, o.standing = true, false
	}
	if o.intervalStart.IsZero() {
		o.intervalStart = now
		return
	}
	if now.Sub(o.intervalStart) < o.cfg.Interval {
		return
	}
	o.standing = !o.wasEmpty
	o.intervalStart, o.wasEmpty = now, false
}

// target returns the time beyond Interval that a new tree may wait under standing
// overload: the service time, at most Interval and at least MinTarget.
func (o *overload) target(service time.Duration) time.Duration {
	return max(o.cfg.MinTarget, min(service, o.cfg.Interval))
}
