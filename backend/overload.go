package backend

import "time"

// overload finds standing overload: calls have been waiting without a break for
// a whole interval.
//
// The controlled-delay test takes the least sojourn time of the interval. In a
// queue ordered by importance the most important calls hardly wait, whatever
// the load, so that the least sojourn says nothing. A queue that never ran empty
// is the equivalent for any order: a burst drains, a standing queue does not.
type overload struct {
	cfg      Config
	emptied  bool      // the queue was empty at some time in the interval
	since    time.Time // start of the interval in progress
	standing bool
}

// advance accounts for the time up to now, during which `waiting` calls were in
// the queue, and closes the interval when it has ended.
func (o *overload) advance(now time.Time, waiting int) {
	if waiting == 0 {
		o.emptied, o.standing = true, false
	}
	if o.since.IsZero() {
		o.since = now
		return
	}
	if now.Sub(o.since) < o.cfg.Interval {
		return
	}
	o.standing = !o.emptied
	o.since, o.emptied = now, false
}

// target is the longest useful wait of a new tree under standing overload: the
// service time, within bounds.
func (o *overload) target(service time.Duration) time.Duration {
	return max(o.cfg.MinTarget, min(service, o.cfg.Interval))
}
