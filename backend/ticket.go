package backend

import (
	"time"

	"wisteriafold/request"
)

// state is the stage that a ticket has reached.
type state uint8

const (
	idle state = iota
	queued
	running
	ended
)

// Ticket is one call at a gate. The caller sets Call and Weight. A ticket stands
// for one call; once that call has ended, Reset prepares the ticket for another.
type Ticket struct {
	Call   *request.Call
	Weight float64 // contract weight of the call's organisation; 1 for an organisation without a contract

	state    state
	band     int
	priority request.Priority
	seq      uint64
	work     float64 // in multiples of the mean work of a call
	flow     *flow
	offered  time.Time
	started  time.Time
	ready    chan *request.Error // used by Gate only
}

// Reset prepares t for another call. The previous call must have ended.
func (t *Ticket) Reset(c *request.Call, weight float64) {
	*t = Ticket{Call: c, Weight: weight, ready: t.ready}
}

// wait returns the time that t spent in the queue. t must have been started.
func (t *Ticket) wait() time.Duration { return t.started.Sub(t.offered) }

// Event is a decision about a ticket: its call may run now (Refusal is nil), or it
// was refused and will never run.
type Event struct {
	Ticket  *Ticket
	Refusal *request.Error
}

// Result describes how a call that was started has ended.
type Result struct {
	Latency   time.Duration // from dispatch to the end of the answer; 0 for the time since the dispatch
	Shed      bool          // the backend server reported that it did not run the call
	Failed    bool          // no answer, or an answer that reports a server failure
	Below     bool          // the failure was caused by a call that the backend server made
	Cancelled bool          // cancelled before the end of the answer; Latency is a lower bound

	// WorkPercent is the backend server's report of how long work takes at present, in
	// percent of the usual time; 0 if it reported none.
	WorkPercent uint32
}
