package service

import "time"

// Result is what became of one attempt, as seen by the daemon that sent it.
type Result uint8

// Results of an attempt.
const (
	Succeeded      Result = iota // the backend server answered
	Failed                       // the backend server answered with a failure of its own
	FailedBelow                  // it failed because a call that it made failed; only the time counts
	Expired                      // the deadline passed; a service below may be to blame, so only the time counts
	Refused                      // the gate did not run it: overloaded or out of time
	RefusedLeaving               // the gate did not run it: its backend server is draining
	ConnectionLost               // the connection was lost while a fresh dial works
	Unreachable                  // the daemon could not be dialled
	Abandoned                    // the caller went away; says nothing about the endpoint
)

// Observation is what one ended attempt showed.
type Observation struct {
	Result Result
	Took   time.Duration // from sending to the end of the answer
	Bytes  int64         // size of the answer's body, 0 when there was none
	Report *Load         // load report carried on the answer, nil when there was none
}

// Load is a report of an endpoint about itself. It is a hint.
type Load struct {
	Queued   uint32        // calls that wait at the gate
	InFlight uint32        // calls that run
	Limit    uint32        // concurrency limit in force
	Service  time.Duration // smoothed service time
	Level    uint32        // admission level of the gate, 0 when it admits everything
	Draining bool          // takes no new work
}
