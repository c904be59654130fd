package backend

import (
	"math"
	"slices"
	"time"
)

// reservoirSize is the number of samples from which a median is computed.
const reservoirSize = 63

// reservoir holds the most recent samples of a window to compute their median.
type reservoir struct {
	values [reservoirSize]time.Duration
	n      int // samples added since the last reset
	sorted [reservoirSize]time.Duration
}

// add records one sample.
func (r *reservoir) add(d time.Duration) {
	r.values[r.n%reservoirSize] = d
	r.n++
}

// median returns the median of the samples, or 0 when there are none.
func (r *reservoir) median() time.Duration {
	k := min(r.n, reservoirSize)
	if k == 0 {
		return 0
	}
	copy(r.sorted[:k], r.values[:k])
	slices.Sort(r.sorted[:k])
	return r.sorted[k/2]
}

// reset discards the samples.
func (r *reservoir) reset() { r.n = 0 }

// median estimates the median of a stream of durations (frugal streaming): each
// sample moves the estimate by a step proportional to its value, so that single
// samples of a long-tailed distribution cannot move it far.
type median struct {
	value float64 // nanoseconds
	n     int     // samples added
}

const (
	medianStep  = 0.05 // relative change of the estimate for each sample
	medianStart = 8    // number of first samples that are averaged geometrically instead
)

// quantile estimates the duration that a fraction fastFraction of a stream of durations
// stays below, by the same method as median.
type quantile struct{ value float64 } // nanoseconds; 0 before the first sample

// fastFraction is the fraction of the samples below a quantile.
const fastFraction = 0.1

// add records one sample.
func (s *quantile) add(d time.Duration) {
	x := math.Max(float64(d), 1)
	switch {
	case s.value == 0:
		s.value = x
	case x > s.value:
		s.value *= 1 + medianStep*fastFraction
	default:
		s.value *= 1 - medianStep*(1-fastFraction)
	}
}

// get returns the estimate, or 0 before the first sample.
func (s *quantile) get() time.Duration { return time.Duration(s.value) }

// add records one sample.
func (s *median) add(d time.Duration) {
	x := math.Max(float64(d), 1)
	s.n++
	switch {
	case s.n == 1:
		s.value = x
	case s.n <= medianStart:
		s.value *= math.Pow(x/s.value, 1/float64(s.n))
	case x > s.value:
		s.value *= 1 + medianStep
	default:
		s.value *= 1 - medianStep
	}
}

// get returns the estimate, or 0 before the first sample.
func (s *median) get() time.Duration { return time.Duration(s.value) }
