package request

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is what a caller is told about one call.
type Outcome uint8

// Outcomes. NotRun is certain: no backend server has started the work.
const (
	Unknown  Outcome = iota // it may have run, its answer was lost
	Answered                // the whole answer was received
	NotRun                  // it was refused before any backend server saw it
)

// String returns the word used in response headers and logs.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Reason names why a call was refused or lost. The values are stable: they
// appear in response headers, logs and metrics.
type Reason string

// Reasons for refusals (NotRun) and losses (Unknown).
const (
	ReasonNoRoute       Reason = "no-route"        // no route matches the path
	ReasonNoKey         Reason = "no-key"          // the route needs a key and none came
	ReasonBadKey        Reason = "bad-key"         // the key is not known or withdrawn
	ReasonKeyOnOpen     Reason = "key-on-open"     // a key came on a route open to all
	ReasonBadRequest    Reason = "bad-request"     // malformed request
	ReasonTooLarge      Reason = "too-large"       // body or headers over their limit
	ReasonRate          Reason = "over-rate"       // the organisation's contract is used up
	ReasonCutOff        Reason = "cut-off"         // this data centre cannot confirm what it needs
	ReasonShedEntry     Reason = "shed-at-entry"   // a deep service on the route is overloaded
	ReasonQueueFull     Reason = "queue-full"      // the gate's queue is full of equal or more important work
	ReasonQueueTimeout  Reason = "queue-timeout"   // standing overload at the gate
	ReasonDeadline      Reason = "deadline"        // the deadline would pass before the work ends
	ReasonDraining      Reason = "draining"        // the backend server is leaving
	ReasonBackendShed   Reason = "backend-shed"    // the backend server declared that it did not run it
	ReasonNoEndpoint    Reason = "no-endpoint"     // no endpoint of the service is known or reachable
	ReasonUnreachable   Reason = "unreachable"     // the daemon beside the endpoint takes no connection
	ReasonCancelled     Reason = "cancelled"       // the caller went away
	ReasonRetryBudget   Reason = "retry-budget"    // no extra attempt was left
	ReasonBroken        Reason = "broken"          // the connection broke after sending
	ReasonClaimHeld     Reason = "claim-held"      // another run of the same idempotency key is in progress
	ReasonClaimUnknown  Reason = "claim-unknown"   // an earlier run of the same idempotency key has no recorded answer
	ReasonStoreDown     Reason = "store-down"      // the claim cannot be written
	ReasonKeyReused     Reason = "key-reused"      // the idempotency key belongs to another request
	ReasonBadToken      Reason = "bad-call-token"  // the call token is forged or its call has ended
	ReasonOldGeneration Reason = "old-generation"  // the sender acts on a configuration that is no longer in force
	ReasonShutdown      Reason = "shutting-down"   // this daemon is stopping
	ReasonBusy          Reason = "daemon-busy"     // this daemon's own limits are reached
	ReasonUnknownMember Reason = "not-this-daemon" // the call was addressed to another process
)

// Error is the typed outcome of a call that was not answered.
type Error struct {
	Outcome    Outcome       // NotRun or Unknown
	Reason     Reason        // stable name of the cause
	Remedy     string        // what the reader can do about it
	RetryAfter time.Duration // when trying again may help, 0 when it will not by itself
	Cause      error         // underlying error, may be nil
}

// Error returns outcome, reason, remedy and cause in one line.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.Outcome, e.Reason, e.Remedy)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Refuse returns a NotRun error.
func Refuse(r Reason, remedy string) *Error {
	return &Error{Outcome: NotRun, Reason: r, Remedy: remedy}
}

// Lose returns an Unknown error.
func Lose(r Reason, remedy string, cause error) *Error {
	return &Error{Outcome: Unknown, Reason: r, Remedy: remedy, Cause: cause}
}

// AsError returns the typed error in err's chain. Any other error counts as
// Unknown, so that no untyped error can ever be told as "not run".
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Lose(ReasonBroken, "look up the request id in the logs of the daemons", err)
}
