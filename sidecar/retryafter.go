package sidecar

import (
	"math"
	"time"

	"wisteriafold/request"
)

// retryAfterOf returns the Retry-After for a refusal of call. Refusals because of
// overload come in bursts with the same time. The times told to callers are spread
// between that time and twice of it by the hash of the request, so that the callers do
// not come back together.
func retryAfterOf(err *request.Error, call *request.Call) time.Duration {
	switch err.Reason {
	case request.ReasonShedEntry, request.ReasonQueueFull, request.ReasonQueueTimeout, request.ReasonBackendShed:
	default:
		return err.RetryAfter
	}
	if call == nil {
		return err.RetryAfter
	}
	// The lower bits do not depend on the priority, which decides who is refused.
	part := float64(uint32(call.Tree)) / math.MaxUint32
	return err.RetryAfter + time.Duration(part*float64(err.RetryAfter))
}
