package backend

import (
	"time"

	"wisteriafold/request"
)

const (
	retrySoon  = 100 * time.Millisecond // retry delay after a refusal because of a full queue
	retryLater = time.Second            // retry delay after a refusal by a gate in which the call waited too long
)

// refusal returns a NotRun error that all refusals of one reason share. Receivers
// must not modify it.
func refusal(r request.Reason, after time.Duration, remedy string) *request.Error {
	return &request.Error{Outcome: request.NotRun, Reason: r, Remedy: remedy, RetryAfter: after}
}

var (
	errQueueFull = refusal(request.ReasonQueueFull, retrySoon,
		"try another endpoint, or later: the queue is full of equal or more important calls")
	errQueueTimeout = refusal(request.ReasonQueueTimeout, retryLater,
		"try later: the backend server is overloaded and the call waited too long")
	errDeadline = refusal(request.ReasonDeadline, 0,
		"give the call more time, or try another endpoint: its deadline would pass before it is answered")
	errDraining = refusal(request.ReasonDraining, 0,
		"try another endpoint: this backend server is leaving")
	errCancelled = refusal(request.ReasonCancelled, 0,
		"send the request again if the answer is still wanted: its caller went away while it waited")
)
