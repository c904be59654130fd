package service

import (
	"sync/atomic"

	"wisteriafold/request"
)

// unitsPerRetry is the number of units in one retry. A RetryBudget counts in
// thousandths of a retry.
const unitsPerRetry = 1000

// RetryBudget is a token bucket that limits the retries of one daemon to one
// service to a fraction of its first attempts. It is safe for concurrent use.
type RetryBudget struct {
	earnPerAttempt int64 // units added by a first attempt
	limit          int64 // maximum balance, in units
	left           atomic.Int64
}

// NewRetryBudget returns a budget that gains ratio retries with each first
// attempt and holds at most burst retries. It starts with burst.
func NewRetryBudget(ratio float64, burst int) *RetryBudget {
	b := &RetryBudget{earnPerAttempt: int64(ratio * unitsPerRetry), limit: int64(burst) * unitsPerRetry}
	b.left.Store(b.limit)
	return b
}

// Attempt records a first attempt and adds its share of a retry to the budget.
func (b *RetryBudget) Attempt() {
	for {
		left := b.left.Load()
		next := min(left+b.earnPerAttempt, b.limit)
		if next == left || b.left.CompareAndSwap(left, next) {
			return
		}
	}
}

// Withdraw takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) Withdraw() bool { return b.WithdrawWithReserve(0) }

// WithdrawWithReserve takes one retry and reports whether it did. It does so only if
// the balance covers that retry plus a reserve: part, from 0 to 1, is the
// fraction of the remaining capacity (burst less one retry) to reserve. Requests
// of lower value use a larger part, which leaves retries for other requests.
func (b *RetryBudget) WithdrawWithReserve(part float64) bool {
	least := unitsPerRetry + int64(part*float64(max(b.limit-unitsPerRetry, 0)))
	for {
		left := b.left.Load()
		if left < least {
			return false
		}
		if b.left.CompareAndSwap(left, left-unitsPerRetry) {
			return true
		}
	}
}

// Left returns the number of retries left, rounded down.
func (b *RetryBudget) Left() int64 { return b.left.Load() / unitsPerRetry }

// Refusal is the answer of MayRetry: RetryAllowed, or the reason why a failed
// attempt may not be retried.
type Refusal uint8

// Answers of MayRetry.
const (
	RetryAllowed           Refusal = iota
	RetryMayHaveRun                // the attempt may have run and the call is not idempotent, or it was answered
	RetryDecidedDownstream         // the daemon that sent the failed attempt decides
	RetryPointless                 // another endpoint would give the same result
	RetryAllowanceSpent            // the retry allowance of the request tree is used up
	RetryBudgetSpent               // this daemon's retry budget for the service is used up
)

var refusalNames = [...]string{
	"allowed", "may-have-run", "decided-below", "pointless", "allowance", "budget",
}

// String returns the name used in logs.
func (r Refusal) String() string {
	if int(r) >= len(refusalNames) {
		return "unknown"
	}
	return refusalNames[r]
}

// MayRetry decides whether the daemon that sent a failed attempt of call may send
// another. left is the remaining allowance of the call. If the answer is
// RetryAllowed, MayRetry has charged budget, and the caller must take one from
// the allowance. direct means that the failure came from the addressed endpoint
// or the connection to it, not from a downstream service. Failures of a
// downstream service are retried only by the daemon that called it.
func MayRetry(call *request.Call, err *request.Error, direct bool, left uint32, budget *RetryBudget) Refusal {
	if err.Outcome != request.NotRun && (!call.Idempotent || err.Outcome == request.Answered) {
		return RetryMayHaveRun
	}
	if !direct {
		return RetryDecidedDownstream
	}
	if !retriable(err.Reason) {
		return RetryPointless
	}
	if left == 0 {
		return RetryAllowanceSpent
	}
	if !budget.Withdraw() {
		return RetryBudgetSpent
	}
	return RetryAllowed
}

// retriable reports whether another endpoint may succeed after a failure with
// this reason.
func retriable(r request.Reason) bool {
	switch r {
	case request.ReasonQueueFull, request.ReasonQueueTimeout, request.ReasonDraining,
		request.ReasonBackendShed, request.ReasonBroken, request.ReasonShutdown,
		request.ReasonBusy, request.ReasonUnknownMember, request.ReasonUnreachable, request.ReasonEvacuated:
		return true
	default:
		return false
	}
}
