package service

import "time"

// observe folds the end of one attempt into s. mayEject reports whether the
// cap on ejections leaves room for one more; it is called at most once.
func (s *state) observe(now int64, o Observation, c *Config, mayEject func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Report != nil {
		s.takeReport(now, *o.Report)
	}
	switch o.Result {
	case Succeeded:
		s.succeed(now, o.Took, c)
	case Failed:
		s.fail(now, c, mayEject)
	case FailedBelow, Expired:
		s.lost = 0
		s.fold(now, 0, o.Took, c)
	case Refused:
		s.lost = 0
		s.fold(now, 1, 0, c)
	case RefusedLeaving:
		s.leaving.Store(true)
	case Unreachable:
		s.missDial(now, c)
	case ConnectionLost, Abandoned:
		// Neither tells anything about the backend server.
	}
}

// takeReport stores a load report and what follows from it.
func (s *state) takeReport(now int64, r Load) {
	s.begun.Store(0)
	s.report.Store(&r)
	s.reportedAt.Store(now)
	s.leaving.Store(r.Draining)
}

// succeed ends every row of failures.
func (s *state) succeed(now int64, took time.Duration, c *Config) {
	s.failures, s.lost, s.ejections = 0, 0, 0
	s.fold(now, 0, took, c)
}

// fail counts a failure and ejects the endpoint when the row is long enough.
func (s *state) fail(now int64, c *Config, mayEject func() bool) {
	s.lost = 0
	s.failures++
	s.fold(now, 1, 0, c)
	if c.EjectAfter <= 0 || s.failures < c.EjectAfter || now < s.passUntil.Load() {
		return
	}
	if !mayEject() {
		return
	}
	s.unreached.Store(false)
	s.pass(now, c)
}

// missDial counts a failed dial and passes the endpoint over when they repeat.
func (s *state) missDial(now int64, c *Config) {
	s.lost++
	s.fold(now, 1, 0, c)
	if s.lost < maxUnreachable || now < s.passUntil.Load() {
		return
	}
	s.unreached.Store(true)
	s.pass(now, c)
}

// pass takes the endpoint out of use for a time that doubles with each repeat.
// The row of failures is kept one short, so that one more ejects it again.
func (s *state) pass(now int64, c *Config) {
	d := min(c.EjectFor<<min(s.ejections, 16), c.EjectMax)
	s.ejections++
	s.failures = max(c.EjectAfter-1, 0)
	s.lost = maxUnreachable - 1
	s.passUntil.Store(now + int64(d))
}

// fold updates the averages with one attempt: loss is 1 for an attempt that
// brought no answer. took is 0 when it says nothing about service time, as
// that of a failure, which may be quick.
func (s *state) fold(now int64, loss float64, took time.Duration, c *Config) {
	old := s.weight(now, c)
	s.loss.store(s.loss.load()*old + loss*(1-old))
	if took > 0 {
		s.foldTime(max(float64(took-c.Latency[s.locality]), 1), old)
	}
	s.observedAt = now
	s.shownAt.Store(now)
}

// foldTime updates the smoothed time of attempts.
func (s *state) foldTime(shown, old float64) {
	if s.took.load() == 0 {
		s.took.store(shown)
		return
	}
	s.took.store(s.took.load()*old + shown*(1-old))
}

// weight returns the weight that the old averages keep against one new
// attempt. Attempts that come closer together than minWeight of the time
// constant count as if they came that far apart, so that a burst of answers is
// folded in evenly.
func (s *state) weight(now int64, c *Config) float64 {
	return min(decay(now-s.observedAt, c.Smoothing), 1-minWeight)
}

// minWeight is the least weight of one attempt in the averages.
const minWeight = 0.05
