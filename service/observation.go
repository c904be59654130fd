package service

import (
	"time"

	"wisteriafold/loadreport"
)

// Result is the result of one attempt, as seen by the daemon that sent it.
type Result uint8

// Results of an attempt.
const (
	Succeeded        Result = iota // the backend server answered
	Failed                         // the backend server itself failed
	FailedDownstream               // a call made by the backend server failed; only the response time is recorded
	Expired                        // the deadline passed; a downstream service may be the cause, so only the response time is recorded
	Refused                        // the gate rejected it: overload, or too little time left
	RefusedDraining                // the gate rejected it: its backend server is draining
	ConnectionLost                 // the connection was lost, but a new dial succeeded
	Unreachable                    // the daemon could not be dialled, or has no connection to its backend server
	RefusedCold                    // the gate rejected it: its backend server is cold and has got its rate
	Abandoned                      // the caller cancelled; not counted for or against the endpoint
)

// Observation is the measurement of one finished attempt.
type Observation struct {
	Result   Result
	Duration time.Duration // from sending the attempt to the end of its answer
	Bytes    int64         // size of the answer's body in bytes; 0 if there was none
	Report   *Load         // load report carried by the answer; nil if there was none
	Draw     float64       // random, in [0, 1); spreads the pause after RefusedCold
}

// Load is an endpoint's report of its own load.
type Load = loadreport.Report
