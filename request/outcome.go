package request

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is the outcome of one call as reported to its caller.
type Outcome uint8

// Outcomes. NotRun is certain: no backend server has started to process the call.
const (
	Unknown  Outcome = iota // the call may have run; its answer was lost
	Answered                // the whole answer was received
	NotRun                  // the call was refused before any backend server started it
)

// String returns the name used in response headers and logs.
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

// Reason is the reason why a call was refused or lost. The values are stable: they
// appear in response headers, logs and metrics.
type Reason string

// Reasons for refusals (NotRun) and losses (Unknown).
const (
	ReasonNoRoute       Reason = "no-route"        // no route matches the path
	ReasonNoKey         Reason = "no-key"          // the route needs a key and the request has none
	ReasonBadKey        Reason = "bad-key"         // the key is unknown or withdrawn
	ReasonKeyOnOpen     Reason = "key-on-open"     // the request carries a key on an open route
	ReasonBadRequest    Reason = "bad-request"     // malformed request
	ReasonTooLarge      Reason = "too-large"       // the body or the headers exceed their limit
	ReasonRate          Reason = "over-rate"       // the organisation exceeds its contracted rate
	ReasonCutOff        Reason = "cut-off"         // this data centre cannot confirm the data that it needs
	ReasonShedEntry     Reason = "shed-at-entry"   // shed at the entry because a downstream service is overloaded
	ReasonQueueFull     Reason = "queue-full"      // the gate's queue is full of equally or more important calls
	ReasonQueueTimeout  Reason = "queue-timeout"   // persistent overload at the gate
	ReasonDeadline      Reason = "deadline"        // the deadline would pass before the call ends
	ReasonDraining      Reason = "draining"        // the backend server is draining
	ReasonBackendShed   Reason = "backend-shed"    // the backend server stated that it did not run the call
	ReasonCold          Reason = "cold"            // the backend server has just started and tolerates only few calls a second
	ReasonNoEndpoint    Reason = "no-endpoint"     // no endpoint of the service is known or reachable
	ReasonUnreachable   Reason = "unreachable"     // no connection to the endpoint's daemon could be made
	ReasonCancelled     Reason = "cancelled"       // the caller cancelled or disconnected
	ReasonRetryBudget   Reason = "retry-budget"    // no extra attempt was left
	ReasonBroken        Reason = "broken"          // the connection broke after the call was sent
	ReasonClaimHeld     Reason = "claim-held"      // another run of the same idempotency key is in progress
	ReasonClaimUnknown  Reason = "claim-unknown"   // an earlier run of the same idempotency key has no recorded answer
	ReasonStoreDown     Reason = "store-down"      // the claim on the idempotency key cannot be written
	ReasonKeyReused     Reason = "key-reused"      // the idempotency key belongs to another request
	ReasonBadToken      Reason = "bad-call-token"  // the call token is forged or its call has ended
	ReasonOldGeneration Reason = "old-generation"  // the sender uses a configuration that is no longer current
	ReasonShutdown      Reason = "shutting-down"   // this daemon is stopping
	ReasonBusy          Reason = "daemon-busy"     // this daemon has reached its own limits
	ReasonUnknownMember Reason = "not-this-daemon" // the call was addressed to another daemon process
	ReasonHomeRegion    Reason = "home-region"     // no region to which the request is restricted can serve it
	ReasonEvacuated     Reason = "evacuated"       // the data centre is evacuated
)

// Error is the error for a call that was not answered.
type Error struct {
	Outcome    Outcome       // NotRun or Unknown
	Reason     Reason        // stable name of the reason
	Remedy     string        // what the reader of the error can do
	RetryAfter time.Duration // delay after which a retry may succeed; 0 if waiting alone does not help
	Cause      error         // underlying error, may be nil
}

// Error returns the outcome, reason, remedy and cause in one line.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.Outcome, e.Reason, e.Remedy)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// NewNotRunError returns an Error with outcome NotRun.
func NewNotRunError(r Reason, remedy string) *Error {
	return &Error{Outcome: NotRun, Reason: r, Remedy: remedy}
}

// NewUnknownError returns an Error with outcome Unknown.
func NewUnknownError(r Reason, remedy string, cause error) *Error {
	return &Error{Outcome: Unknown, Reason: r, Remedy: remedy, Cause: cause}
}

// AsError returns the *Error in err's chain. Any other error becomes an Error with
// outcome Unknown, so that an untyped error is never reported as "not run".
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknownError(ReasonBroken, "look up the request id in the logs of the daemons", err)
}
