package service

import (
	"sync/atomic"
	"time"
)

// pacing is what one daemon knows about the pace of an endpoint whose backend server
// has just started or recovered. The gate of the endpoint begins with a low limit. What
// the backend server can take then is measured by others and out of date here: judged
// by its long answers it would get one call at a time for seconds, judged by its empty
// queue it would get the calls of all daemons at once. Instead it takes part in a
// decision with a probability, its weight, and is then as likely to be chosen as the
// endpoint that it is compared with. The daemons together so send it that part of an
// even share, however many they are.
type pacing struct {
	duration atomic.Int64 // usual length of the slow phase, ns; 0 turns the pacing off
	began    atomic.Int64 // first use of the endpoint, ns; 0 before
}

const (
	// paceInitialFraction is the assumed fraction of the slots of an endpoint that has
	// not reported yet.
	paceInitialFraction = 0.2

	// paceEndFraction is the fraction of the slots from which the limit in a report
	// ends the pacing.
	paceEndFraction = 0.75

	// paceMaxFactor is the multiple of duration after which the pacing ends: a limit
	// that is still low has another cause.
	paceMaxFactor = 3

	// paceMinRest is the least time, as a fraction of duration, in which the weight of a
	// report rises to 1.
	paceMinRest = 0.25

	// minPaceReports is the number of reports that a daemon must have received before
	// it paces endpoints that have not reported: to a daemon that has just started, all
	// endpoints are new.
	minPaceReports = 64
)

// paceWeight returns the probability with which the endpoint takes part in a decision,
// 1 if it is not paced: the fraction of its usual limit times that of its usual speed.
// typical is the typical response time of the service, in ns. The gate holds the limit
// low in the ratio in which answers take longer, so that the fraction of the limit stands
// for the speed while that is not known or out of date. The weight rises with the age of
// the report and reaches 1 with the usual end of the slow phase, because the limit does.
func (s *state) paceWeight(now, reports int64, typical float64) float64 {
	d := s.pace.duration.Load()
	if d == 0 || s.endpoint.Slots == 0 {
		return 1
	}
	s.pace.began.CompareAndSwap(0, max(now, 1))
	began := max(s.pace.began.Load(), s.excludedUntil.Load())
	if now-began > paceMaxFactor*d {
		return 1
	}
	fraction, speed, at := paceInitialFraction, 0.0, began
	if r := s.report.Load(); r != nil && s.reportedAt.Load() >= began {
		fraction, at = float64(r.Limit)/float64(s.endpoint.Slots), s.reportedAt.Load()
		if r.ServiceTime > 0 {
			speed = min(1, typical/float64(r.ServiceTime))
		}
	} else if reports < minPaceReports {
		return 1
	}
	if fraction >= paceEndFraction {
		return 1
	}
	rest := max(began+d-at, int64(paceMinRest*float64(d)))
	age := min(1, float64(now-at)/float64(rest))
	w := fraction * max(fraction, speed)
	return w + (1-w)*age*age
}

// forgetSlowStart discards the response time and losses of a paced endpoint when a
// report says that its limit is back at the usual one: they are those of its start.
func (s *state) forgetSlowStart(now int64, r *Load) {
	if s.pace.duration.Load() == 0 || float64(r.Limit) < paceEndFraction*float64(s.endpoint.Slots) {
		return
	}
	if last := s.report.Load(); last == nil || float64(last.Limit) >= paceEndFraction*float64(s.endpoint.Slots) {
		return
	}
	began := max(s.pace.began.Load(), s.excludedUntil.Load())
	if now-began <= paceMaxFactor*s.pace.duration.Load() {
		s.responseTime.store(0)
		s.loss.store(0)
	}
}

// copyPacing copies the pacing of an earlier state of the same incarnation.
func (s *state) copyPacing(from *state) {
	s.pace.duration.Store(from.pace.duration.Load())
	s.pace.began.Store(from.pace.began.Load())
}

// setPacing sets the usual length of the slow phase of the endpoint.
func (s *state) setPacing(d time.Duration) { s.pace.duration.Store(int64(d)) }
