// Package loadreport defines the state of a backend server that its gate reports:
// the gate fills in a Report, answers carry it to the daemons that send calls, and
// the choice of endpoints and the admission read it.
package loadreport

import (
	"time"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// Report is the state of one backend server and its gate. It is a hint: daemons also
// use what they have measured themselves. Fields that are unknown are zero.
type Report struct {
	InFlight    uint32           // running calls
	Queued      uint32           // waiting calls
	Limit       uint32           // concurrency limit in force
	ServiceTime time.Duration    // observed median
	Level       request.Priority // admission level; 0 admits every call
	Draining    bool             // accepts no new calls

	// WorkPercent is how long work takes at present in percent of the usual time, as
	// the backend server says; WorkAge is the age of that figure.
	WorkPercent uint32        `json:",omitempty"`
	WorkAge     time.Duration `json:",omitempty"`

	Cold      time.Duration `json:",omitempty"` // how much longer the backend server tolerates only few calls a second
	Evacuated bool          `json:",omitempty"` // its data centre is evacuated
}

// ToAnswer copies the report to the head of an answer.
func (r Report) ToAnswer(h *wire.AnswerHead) {
	h.InFlight, h.QueueDepth, h.Limit = r.InFlight, r.Queued, r.Limit
	h.ServiceUs = uint32(r.ServiceTime.Microseconds())
	h.GateLevel = uint32(r.Level)
	h.Draining = r.Draining
	h.WorkPercent, h.WorkAgeMs = r.WorkPercent, uint32(r.WorkAge.Milliseconds())
	h.ColdMs = uint32(r.Cold.Milliseconds())
	h.Evacuated = r.Evacuated
}

// FromAnswer returns the report in the head of an answer.
func FromAnswer(h *wire.AnswerHead) Report {
	return Report{
		InFlight:    h.InFlight,
		Queued:      h.QueueDepth,
		Limit:       h.Limit,
		ServiceTime: time.Duration(h.ServiceUs) * time.Microsecond,
		Level:       request.Priority(h.GateLevel),
		Draining:    h.Draining,
		WorkPercent: h.WorkPercent,
		WorkAge:     time.Duration(h.WorkAgeMs) * time.Millisecond,
		Cold:        time.Duration(h.ColdMs) * time.Millisecond,
		Evacuated:   h.Evacuated,
	}
}
