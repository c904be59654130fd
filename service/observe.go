package service

import "time"

// observe records the result of one attempt. mayEject reports whether EjectCap
// permits one more ejection; it is called at most once.
func (s *state) observe(now int64, o Observation, c *Config, mayEject func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Report != nil {
		s.takeReport(now, *o.Report, c)
	}
	switch o.Result {
	case Succeeded:
		if s.cold.isCold(now) {
			// The time contains the wait for the rate at the gate. Averaged, it would
			// keep calls away for seconds after the coldness.
			o.Duration = 0
		}
		s.succeed(now, o.Duration, c)
	case Failed:
		s.fail(now, c, mayEject)
	case FailedDownstream, Expired:
		s.failedDials = 0
		s.updateAverages(now, 0, o.Duration, c)
	case Refused:
		s.failedDials = 0
		s.updateAverages(now, 1, 0, c)
	case RefusedDraining:
		s.draining.Store(true)
	case RefusedCold:
		s.failedDials = 0
		s.cold.refused(now, o.Draw)
	case Unreachable:
		s.failDial(now, c)
	case ConnectionLost, Abandoned:
		// Neither result depends on the backend server.
	}
}

// takeReport stores a load report, its draining flag and its arrival time. It
// resets the count of attempts sent since the last report.
func (s *state) takeReport(now int64, r Load, c *Config) {
	s.sentSinceReport.Store(0)
	s.forgetSlowStart(now, &r)
	s.usual.add(&r, now-s.reportedAt.Load())
	s.overflow.update(now, &r, c)
	s.report.Store(&r)
	s.reportedAt.Store(now)
	s.draining.Store(r.Draining)
	s.cold.reported(now, int64(r.Cold))
	if !r.Evacuated {
		s.evacuatedUntil.Store(0)
	}
}

// succeed resets the counts of consecutive failures, failed dials and ejections.
func (s *state) succeed(now int64, took time.Duration, c *Config) {
	s.failures, s.failedDials, s.ejections = 0, 0, 0
	s.updateAverages(now, 0, took, c)
}

// fail counts a failure and ejects the endpoint after EjectAfter consecutive
// ones, unless it is already excluded or mayEject returns false.
func (s *state) fail(now int64, c *Config, mayEject func() bool) {
	s.failedDials = 0
	s.failures++
	s.updateAverages(now, 1, 0, c)
	if c.EjectAfter <= 0 || s.failures < c.EjectAfter || now < s.excludedUntil.Load() {
		return
	}
	if !mayEject() {
		return
	}
	s.dialsFailed.Store(false)
	s.exclude(now, c)
}

// failDial counts a failed dial and excludes the endpoint after maxUnreachable
// consecutive ones.
func (s *state) failDial(now int64, c *Config) {
	s.failedDials++
	s.updateAverages(now, 1, 0, c)
	if s.failedDials < maxUnreachable || now < s.excludedUntil.Load() {
		return
	}
	s.dialsFailed.Store(true)
	s.exclude(now, c)
}

// exclude takes the endpoint out of use. The duration doubles with each
// consecutive exclusion. The failure counts are left one below their thresholds,
// so that the next failure excludes the endpoint again.
func (s *state) exclude(now int64, c *Config) {
	d := min(c.EjectFor<<min(s.ejections, 16), c.EjectMax)
	s.ejections++
	s.failures = max(c.EjectAfter-1, 0)
	s.failedDials = maxUnreachable - 1
	s.excludedUntil.Store(now + int64(d))
}

// updateAverages updates the moving averages with one attempt. loss is 1 for a
// failed or refused attempt and 0 otherwise. took is 0 if the duration does not
// reflect the service time, as for a failure, which may be quick.
func (s *state) updateAverages(now int64, loss float64, took time.Duration, c *Config) {
	old := s.weight(now, c)
	s.loss.store(s.loss.load()*old + loss*(1-old))
	if took > 0 {
		s.updateResponseTime(max(float64(took-c.Latency[s.locality]), 1), old)
	}
	s.observedAt = now
	s.measuredAt.Store(now)
}

// updateResponseTime updates the smoothed response time with one sample. old is
// the weight of the previous average.
func (s *state) updateResponseTime(sample, old float64) {
	if s.responseTime.load() == 0 {
		s.responseTime.store(sample)
		return
	}
	s.responseTime.store(s.responseTime.load()*old + sample*(1-old))
}

// weight returns the weight of the previous averages against one new attempt.
// It is at most 1-minWeight: attempts that follow each other within about
// minWeight of the time constant count as if they came that far apart, so that
// each answer of a burst has the same weight.
func (s *state) weight(now int64, c *Config) float64 {
	return min(decay(now-s.observedAt, c.Smoothing), 1-minWeight)
}

// minWeight is the minimum weight of one attempt in the averages.
const minWeight = 0.05
