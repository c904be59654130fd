package backend

import (
	"math"
	"time"
)

// speed estimates how long work takes at present, in percent of the usual time, from
// the figures that the backend server reports. The figures change many times a second
// with the load of its machine, so they are averaged over time.
type speed struct {
	percent float64
	at      time.Time // of the newest figure
}

const (
	speedSmoothing = 300 * time.Millisecond // time constant of the average
	maxSpeedAge    = 2 * time.Second        // age of the newest figure from which the estimate is unknown

	// minWorkPercent and maxWorkPercent bound a figure, so that a single odd one
	// does not outweigh the others for longer than speedSmoothing.
	minWorkPercent = 10
	maxWorkPercent = 1000
)

// observe adds a figure. 0 means that the backend server reported none.
func (s *speed) observe(now time.Time, percent uint32) {
	if percent == 0 {
		return
	}
	p := float64(min(max(percent, minWorkPercent), maxWorkPercent))
	if age := now.Sub(s.at); s.percent == 0 || age >= maxSpeedAge {
		s.percent = p
	} else {
		s.percent += (p - s.percent) * (1 - math.Exp(-float64(age)/float64(speedSmoothing)))
	}
	s.at = now
}

// get returns the estimate at now, or 0 while it is unknown.
func (s *speed) get(now time.Time) float64 {
	if now.Sub(s.at) >= maxSpeedAge {
		return 0
	}
	return s.percent
}
