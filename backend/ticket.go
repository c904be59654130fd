package backend

import (
	"time"

	"wisteriafold/request"
)

// state is where a ticket is in its life.
type state uint8

const (
	idle state = iota
	queued
	running
	ended
)

// Ticket is one call at a gate. The caller fills Call and Weight; a ticket is
// used for one call and may be used again after it has ended and Reset.
type Ticket struct {
	Call   *request.Call
	Weight float64 // contract weight of the call's organisation, 1 when it has none

	state    state
	band     int
	priority request.Priority
	seq      uint64
	flow     *flow
	offered  time.Time
	started  time.Time
	ready    chan *request.Error // used by Gate only
}

// Reset makes t ready for another call. It must have ended.
func (t *Ticket) Reset(c *request.Call, weight float64) {
	*t = Ticket{Call: c, Weight: weight, ready: t.ready}
}

// wait returns how long t waited; it must have been started.
func (t *Ticket) wait() time.Duration { return t.started.Sub(t.offered) }

// Event tells that a queued or offered ticket starts (Refusal is nil) or was
// refused and will never run.
type Event struct {
	Ticket  *Ticket
	Refusal *request.Error
}

// Result is what became of a call that ran.
type Result struct {
	Latency   time.Duration // from dispatch to the end of the answer; 0 means now minus dispatch
	Shed      bool          // the backend server declared that it did not run the call
	Failed    bool          // no answer, or one that says that the server failed
	Cancelled bool          // given up before the answer; Latency is a lower bound
}
