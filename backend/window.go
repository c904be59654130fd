package backend

import (
	"math"
	"slices"
	"time"
)

// samples is the size of the reservoir behind a median.
const samples = 63

// reservoir keeps the newest samples of a window for their median.
type reservoir struct {
	at  [samples]time.Duration
	n   int // samples seen in the window
	tmp [samples]time.Duration
}

// add takes in one sample.
func (r *reservoir) add(d time.Duration) {
	r.at[r.n%samples] = d
	r.n++
}

// median returns the median of the samples, 0 when there is none.
func (r *reservoir) median() time.Duration {
	k := min(r.n, samples)
	if k == 0 {
		return 0
	}
	copy(r.tmp[:k], r.at[:k])
	slices.Sort(r.tmp[:k])
	return r.tmp[k/2]
}

// reset forgets the samples.
func (r *reservoir) reset() { r.n = 0 }

// quantile follows a quantile of a stream of durations by steps that are
// proportional to its value (frugal streaming): no single sample moves it far,
// so that it stays put under long tails.
type quantile struct {
	value float64 // nanoseconds
	n     int
}

const (
	quantileStep  = 0.05 // relative step towards the quantile
	quantileStart = 8    // samples that are averaged geometrically at the start
)

// add takes in one sample; q is the quantile that is followed.
func (s *quantile) add(d time.Duration, q float64) {
	x := math.Max(float64(d), 1)
	s.n++
	switch {
	case s.n == 1:
		s.value = x
	case s.n <= quantileStart:
		s.value *= math.Pow(x/s.value, 1/float64(s.n))
	case x > s.value:
		s.value *= 1 + 2*quantileStep*q
	default:
		s.value *= 1 - 2*quantileStep*(1-q)
	}
}

// get returns the estimate, 0 before the first sample.
func (s *quantile) get() time.Duration { return time.Duration(s.value) }
