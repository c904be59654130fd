package backend

import (
	"math"
	"time"
)

// pace bounds the concurrency limit of a backend server that has just started or
// recovered. It is a deterministic state machine without a clock.
//
// It begins when another incarnation starts, after signs of a restart, and after
// several failures in a row. From then on the limit grows by one for each good answer,
// so that it doubles with each service time, up to the concurrency at which the
// backend server is expected to be as busy as usual: the ceiling times the usual
// service time over the present one. Failures and sheds step it back.
//
// A backend server whose callee is slow has long answers as well, and its limit must
// not suffer. The service time therefore counts only during a pace, which only signs
// of the backend server itself begin, and a pace ends after a bounded time.
type pace struct {
	duration time.Duration // usual length of the slow phase after a start; 0 turns the pace off

	active   bool
	began    time.Time
	limit    float64
	cutAt    time.Time
	ceiling  float64
	usual    average // service time while no pace is active
	present  average // service time since the pace began
	failures int     // failures in a row
}

const (
	paceInitialFraction = 0.125 // fraction of the ceiling at which a pace begins
	paceMinInitial      = 2
	paceCutFactor       = 0.7       // fraction of the limit that a failure or shed leaves
	paceEndFactor       = 1.5       // a pace ends after this multiple of duration at the latest
	paceFailures        = 5         // failures in a row after which the backend server counts as recovering
	paceSampleWeight    = 1.0 / 8   // least weight of one answer in the present service time
	paceUsualWeight     = 1.0 / 128 // weight of one answer in the usual service time
	paceUsualSamples    = 16        // answers from which the usual service time is known
	paceSlowFactor      = 1.1       // ratio to the usual service time up to which answers are as usual; they also show the speed of a while ago
)

// on reports whether the configuration asks for a pace.
func (p *pace) on() bool { return p.duration > 0 }

// begin begins a pace, or begins it anew.
func (p *pace) begin(now time.Time, ceiling int) {
	if !p.on() {
		return
	}
	p.active, p.began, p.cutAt, p.failures = true, now, now, 0
	p.ceiling = float64(ceiling)
	p.limit = p.initialLimit()
	p.present = average{}
}

// resize applies another ceiling. A limit that no answer has raised yet follows it.
func (p *pace) resize(ceiling int) {
	p.ceiling = float64(ceiling)
	if p.present.n == 0 {
		p.limit = p.initialLimit()
	}
}

// advance lets the limit follow the ramp and ends the pace when it has reached the
// ceiling, or after its time.
func (p *pace) advance(now time.Time) {
	if !p.active {
		return
	}
	if !p.knowsUsual() {
		p.limit = max(p.limit, p.ramp(now))
	}
	if p.limit >= p.ceiling || now.Sub(p.began) > time.Duration(paceEndFactor*float64(p.duration)) {
		p.active = false
	}
}

// ramp returns the limit of a backend server whose usual service time is not known: it
// grows with the square of the time, because the rate at which a slow one can work
// grows so.
func (p *pace) ramp(now time.Time) float64 {
	x := min(1, float64(now.Sub(p.cutAt))/float64(p.duration))
	return p.initialLimit() + (p.ceiling-p.initialLimit())*x*x
}

// initialLimit returns the limit at which a pace begins.
func (p *pace) initialLimit() float64 { return max(paceMinInitial, paceInitialFraction*p.ceiling) }

// finish records the end of a call. ownFailure is set for a failure that no call below
// has caused.
func (p *pace) finish(now, started time.Time, r Result, ownFailure bool, ceiling int) {
	if !p.on() || r.Cancelled {
		return
	}
	if ownFailure {
		p.failures++
		if p.failures >= paceFailures {
			p.begin(now, ceiling)
		}
	} else if !r.Shed {
		p.failures = 0
	}
	if !p.active && !r.Failed && !r.Shed {
		p.usual.add(float64(r.Latency), paceUsualWeight)
	}
	if !p.active || started.Before(p.began) {
		return
	}
	switch {
	case ownFailure || r.Shed:
		p.cut(now, started)
	case !r.Failed:
		// As many answers as the limit come in about one service time, so that with a low
		// limit each counts for more.
		p.present.add(float64(r.Latency), max(paceSampleWeight, 1/p.limit))
		p.grow(now)
	}
}

// cut steps the limit back, once for all calls that were started before.
func (p *pace) cut(now, started time.Time) {
	if started.Before(p.cutAt) {
		return
	}
	p.cutAt = now
	p.limit = max(paceMinInitial, paceCutFactor*p.limit)
}

// knowsUsual reports whether the usual service time is known.
func (p *pace) knowsUsual() bool { return p.usual.n >= paceUsualSamples }

// average is a moving average. The first samples count equally.
type average struct {
	value float64
	n     int
}

// add adds a sample with a weight.
func (a *average) add(x, weight float64) {
	a.n++
	a.value += (x - a.value) * max(weight, 1/float64(a.n))
}

// grow raises the limit towards the concurrency at which the backend server is as busy
// as usual. After the usual length of the slow phase, long answers have another cause.
func (p *pace) grow(now time.Time) {
	if !p.knowsUsual() {
		return
	}
	target := p.ceiling
	if usual := paceSlowFactor * p.usual.value; now.Sub(p.began) < p.duration && p.present.value > usual {
		target *= usual / p.present.value
	}
	if p.limit < target {
		p.limit = min(target, p.limit+1)
		return
	}
	p.limit = max(paceMinInitial, target)
}

// bound returns the limit, at most the given one.
func (p *pace) bound(limit int) int {
	if !p.active {
		return limit
	}
	return min(limit, max(1, int(math.Floor(p.limit))))
}
