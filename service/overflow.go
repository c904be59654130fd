package service

import (
	"time"

	"wisteriafold/request"
)

// overflow is the share of the calls for one endpoint that this daemon hands on to
// farther localities, because the endpoint's gate is shedding. It answers uneven
// demand: while the gates near the callers shed trees of calls, those of another data
// centre or region may have room, but the network latency and the price of bytes make
// them look more expensive than waiting. The cost of an attempt does not contain what
// the callers lose when a tree of calls is shed.
//
// The share follows the admission level in the reports through an integrator with
// bounded slopes, so that daemons which learn of the same level do not all move at
// once, and it falls more slowly than it rises, so that it does not swing with the
// waves of the demand. It applies only to endpoints that have room for the call.
type overflow struct {
	share     atomicFloat // from 0 to 1
	changedAt int64       // time of the last report, ns; guarded by state.mu
}

const (
	// maxOverflowStep bounds the time that one report accounts for. After a longer
	// silence the level may have changed in between.
	maxOverflowStep = 200 * time.Millisecond
)

// update moves the share according to a report. A report without a work percent comes
// from a backend server that does not share its machine; it leaves the share at 0.
func (o *overflow) update(now int64, r *Load, c *Config) {
	dt := float64(min(max(now-o.changedAt, 0), int64(maxOverflowStep)))
	o.changedAt = now
	if r.WorkPercent == 0 || c.OverflowRise <= 0 || c.OverflowFall <= 0 {
		o.share.store(0)
		return
	}
	share := o.share.load()
	if r.Level > request.LevelOpen {
		share = min(1, share+dt/float64(c.OverflowRise))
	} else {
		share = max(0, share-dt/float64(c.OverflowFall))
	}
	o.share.store(share)
}

// handsOn decides at random whether a call for the candidate near is handed on to the
// candidate far because near is shedding.
func (w *pick) handsOn(near, far candidate) bool {
	share := near.state.overflow.share.load()
	if share <= 0 || w.hasLargeBody() || !w.hasHeadroom(far.state) {
		return false
	}
	return w.rng.Float64() < share
}
