package request

import (
	"math"
	"time"
)

// demand is the request rate of one organisation in one importance class, kept as
// an exponentially decaying count.
type demand struct {
	count     float64
	fastCount float64 // like count, with a time constant that is shorter by a factor of jumpSpeed
	weight    float64
	at        time.Time
}

// share divides the admitted fraction of one importance class between organisations
// by weighted max-min fairness: each organisation gets capacity in proportion to
// its weight until its demand is met.
type share struct {
	demands   map[string]*demand
	filledAt  time.Time
	open      float64 // admitted fraction of the class for which perWeight was computed
	perWeight float64 // count admitted per unit of weight
}

const (
	// refillInterval is the time for which a computed division is used.
	refillInterval = 10 * time.Millisecond

	// openStep is the change of the admitted fraction above which the division
	// is computed again.
	openStep = 0.005

	// jumpSpeed is the factor by which the time constant of the fast count is
	// shorter than that of the slow one.
	jumpSpeed = 5

	// jumpFactor and jumpCalls distinguish a jump of the demand from random
	// variation: the fast count is used if, scaled by jumpSpeed, it exceeds
	// jumpFactor times the slow count plus jumpCalls.
	jumpFactor = 2
	jumpCalls  = 10

	// minCount is the decayed count below which an organisation is dropped.
	minCount = 0.01
)

// count adds one request of an organisation and returns the organisation's demand.
// tau is the time constant of the average.
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
	d.fastCount++
	d.weight = max(weight, math.SmallestNonzeroFloat32)
	if now.Sub(s.filledAt) >= refillInterval {
		s.filledAt = now
		s.open = -1
		s.sweep(now, tau)
	}
	return d
}

// decay updates the counts to their values at now.
func (d *demand) decay(now time.Time, tau time.Duration) {
	if dt := now.Sub(d.at); dt > 0 {
		d.count *= math.Exp(-float64(dt) / float64(tau))
		d.fastCount *= math.Exp(-jumpSpeed * float64(dt) / float64(tau))
		d.at = now
	}
}

// size returns the demand as the count of requests in about one time constant.
func (d *demand) size() float64 {
	if q := jumpSpeed * d.fastCount; q > jumpFactor*d.count+jumpCalls {
		return q
	}
	return d.count
}

// sweep updates all counts to now and drops organisations without demand.
func (s *share) sweep(now time.Time, tau time.Duration) {
	for name, d := range s.demands {
		d.decay(now, tau)
		if d.count < minCount {
			delete(s.demands, name)
		}
	}
}

// fraction returns the fraction of demand d that is admitted if open is the
// admitted fraction of the whole class.
func (s *share) fraction(d *demand, open float64) float64 {
	if math.Abs(s.open-open) > openStep {
		s.open = open
		s.perWeight = s.fill(open)
	}
	return min(1, s.perWeight*d.weight/d.size())
}

// fill returns the count per unit of weight at which the demands, each limited to
// its share, add up to the fraction open of their sum. Each iteration satisfies the
// demand of at least one more organisation.
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
