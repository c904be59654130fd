package request

import (
	"math"
	"time"
)

// demand is the request rate of one organisation in one class, as an
// exponentially decaying count.
type demand struct {
	count  float64
	quick  float64 // the same with a time constant that is jumpSpeed times shorter
	weight float64
	at     time.Time
}

// share divides the room that is left in one class between organisations by
// weight, in proportion to nothing but weight until their demand is met
// (max-min fairness).
type share struct {
	demands map[string]*demand
	filled  time.Time
	open    float64 // fraction of the class that the fill was made for
	unit    float64 // count that one unit of weight may use
}

const (
	// refill is the time for which a computed division is used.
	refill = 10 * time.Millisecond

	// openStep is the change of the open part that calls for a new division.
	openStep = 0.005

	// jumpSpeed is how many times faster than the average a jump is seen.
	jumpSpeed = 5

	// jumpFactor and jumpCalls tell a jump of the demand from chance: the quick
	// average is used when it exceeds the slow one by that factor and calls.
	jumpFactor = 2
	jumpCalls  = 10

	// forgotten is the decayed count below which an organisation is dropped.
	forgotten = 0.01
)

// count adds one request of an organisation and returns its demand.
func (s *share) count(now time.Time, organisation string, weight float64, tau time.Duration) *demand {
	d := s.demands[organisation]
	if d == nil {
		if s.demands == nil {
			s.demands = make(map[string]*demand)
		}
		d = &demand{at: now}
		s.demands[organisation] = d
	}
	d.decay(now, tau)
	d.count++
	d.quick++
	d.weight = max(weight, math.SmallestNonzeroFloat32)
	if now.Sub(s.filled) >= refill {
		s.filled = now
		s.open = -1
		s.sweep(now, tau)
	}
	return d
}

// decay lets the count fall to its value at now.
func (d *demand) decay(now time.Time, tau time.Duration) {
	if dt := now.Sub(d.at); dt > 0 {
		d.count *= math.Exp(-float64(dt) / float64(tau))
		d.quick *= math.Exp(-jumpSpeed * float64(dt) / float64(tau))
		d.at = now
	}
}

// size returns the demand as a count over the time constant.
func (d *demand) size() float64 {
	if q := jumpSpeed * d.quick; q > jumpFactor*d.count+jumpCalls {
		return q
	}
	return d.count
}

// sweep brings all counts to now and forgets organisations without demand.
func (s *share) sweep(now time.Time, tau time.Duration) {
	for name, d := range s.demands {
		d.decay(now, tau)
		if d.count < forgotten {
			delete(s.demands, name)
		}
	}
}

// fraction returns the part of d that is let in when open is the part of the
// whole class that is.
func (s *share) fraction(d *demand, open float64) float64 {
	if math.Abs(s.open-open) > openStep {
		s.open = open
		s.unit = s.fill(open)
	}
	return min(1, s.unit*d.weight/d.size())
}

// fill returns the count for each unit of weight at which the demands, each
// cut to its share, add up to the open part of them all. The iteration meets
// the demands of at least one more organisation in each round.
func (s *share) fill(open float64) float64 {
	var total, weights float64
	for _, d := range s.demands {
		total += d.size()
		weights += d.weight
	}
	room, unit := total*open, 0.0
	for range len(s.demands) {
		next := room / weights
		if next <= unit {
			break
		}
		unit = next
		room, weights = total*open, 0
		for _, d := range s.demands {
			if n := d.size(); n <= unit*d.weight {
				room -= n
			} else {
				weights += d.weight
			}
		}
		if weights == 0 {
			break
		}
	}
	return unit
}
