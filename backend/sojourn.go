package backend

import "time"

// sojourn finds standing overload by the controlled-delay test: the least time
// that any call waited, over a whole interval, stays above the target. A queue
// that runs empty within the interval is a burst and no overload.
type sojourn struct {
	cfg      Config
	target   time.Duration
	least    time.Duration
	sampled  bool
	since    time.Time // start of the interval in progress
	standing bool
}

// sample takes in the wait of one call that was dispatched.
func (s *sojourn) sample(wait time.Duration) {
	if !s.sampled || wait < s.least {
		s.least, s.sampled = wait, true
	}
}

// aim sets the target to the service time, within its bounds.
func (s *sojourn) aim(service time.Duration) {
	s.target = max(s.cfg.MinTarget, min(service, s.cfg.Interval))
}

// advance closes the interval when it has ended by now.
func (s *sojourn) advance(now time.Time, waiting int) {
	if s.since.IsZero() {
		s.since = now
		return
	}
	if now.Sub(s.since) < s.cfg.Interval {
		return
	}
	// An interval in which nothing was dispatched while calls waited shows
	// overload as well as one in which every call waited long.
	slow := s.sampled && s.least > s.target
	stuck := !s.sampled && waiting > 0
	s.standing = slow || stuck
	s.since, s.least, s.sampled = now, 0, false
}
