package instance

import (
	"context"
	"time"

	"wisteriafold/loadreport"
	"wisteriafold/request"
	"wisteriafold/service"
	"wisteriafold/wire"
)

// outgoing is a call to be sent to an endpoint of its service.
type outgoing struct {
	call *request.Call
	head *wire.CallHead // sent with each attempt; endpoint, remaining time and allowance are set each time
	body *upload

	allowance *request.Allowance          // extra attempts left at this level of the call tree
	attempts  uint32                      // attempts made, including those in the subtree
	feedback  func(head *wire.AnswerHead) // called with the head of each attempt's answer
	step      string                      // entry or egress, for the decision log
}

// forward sends a call to an endpoint and retries it where that is allowed.
// Unused extra attempts stay in out.allowance.
func (d *Daemon) forward(ctx context.Context, out *outgoing) (*answer, *failure) {
	t := d.target(out.call.Service)
	t.budget.Attempt()
	var tried []string
	var worst *failure // the failure to return; one of an attempt that may have run takes precedence
	for {
		ep, dec, err := d.pick(ctx, t, out.call, tried)
		if err != nil {
			return nil, mergeFailures(worst, &failure{err: request.AsError(err)})
		}
		d.decideRoute(out.call, out.step, &dec)
		ans, fail := d.attempt(ctx, t, out, ep)
		if fail == nil {
			return ans, nil
		}
		worst = mergeFailures(worst, fail)
		if !d.mayRepeat(ctx, t, out, fail) {
			return nil, worst
		}
		tried = append(tried, ep.Peer)
	}
}

// mergeFailures returns the failure that gives the outcome of several attempts.
// It is the first that may have run: the call as a whole can then not be
// reported as not run. Otherwise it is the last.
func mergeFailures(before, last *failure) *failure {
	if before != nil && before.err.Outcome != request.NotRun {
		return before
	}
	return last
}

func (d *Daemon) mayRepeat(ctx context.Context, t *target, out *outgoing, fail *failure) bool {
	if ctx.Err() != nil || !out.body.replayable() {
		return false
	}
	direct := fail.head == nil || !fail.head.RetriedBelow
	why := service.MayRetry(out.call, fail.err, direct, out.allowance.Left(), t.budget)
	d.decide(out.call, out.step, "", "retry-"+why.String(), fail.err.Outcome.String())
	return why == service.RetryAllowed && out.allowance.Spend()
}

// attempt sends the call to one endpoint and records the result for the picker,
// the retry allowance and the admission level.
func (d *Daemon) attempt(ctx context.Context, t *target, out *outgoing, ep service.Endpoint) (*answer, *failure) {
	lent := out.allowance.Lend()
	out.attempts++
	h := out.head
	h.Endpoint = ep.Peer
	h.Allowance = lent
	h.RemainingUs = out.call.Deadline.Sub(d.now()).Microseconds()
	t.picker.Begin(ep.Peer)
	started := d.now()
	ans, fail := d.send(ctx, ep, out)
	var head *wire.AnswerHead
	if fail == nil {
		head = ans.head
	} else {
		head = fail.head
	}
	if head != nil {
		out.allowance.Return(lent, head.AllowanceLeft)
		out.attempts += max(head.Attempts, 1) - 1
		out.feedback(head)
	}
	t.picker.Observe(d.now(), ep.Peer, observationOf(ctx, d.now().Sub(started), head, fail))
	return ans, fail
}

// send passes the call to the gate of ep, directly when that is this daemon's
// own gate.
func (d *Daemon) send(ctx context.Context, ep service.Endpoint, out *outgoing) (*answer, *failure) {
	if ep.Peer == d.self.Peer {
		in := &incoming{head: out.head, call: d.localCall(out), body: out.body.open}
		return d.runLocal(ctx, in)
	}
	return d.sendRemote(ctx, ep, out)
}

// localCall returns a copy of the call for this daemon's own gate, with the
// retry allowance that is lent to the attempt.
func (d *Daemon) localCall(out *outgoing) *request.Call {
	c := *out.call
	c.Allowance = out.head.Allowance
	return &c
}

// observationOf returns what the picker is to learn from an attempt about its
// endpoint.
func observationOf(ctx context.Context, took time.Duration, head *wire.AnswerHead, fail *failure) service.Observation {
	o := service.Observation{Result: service.Succeeded, Duration: took}
	if head != nil {
		report := loadreport.FromAnswer(head)
		o.Report = &report
		if head.Status >= 500 {
			o.Result = service.Failed
		}
	}
	if fail != nil {
		o.Result = resultOfFailure(ctx, fail)
	}
	return o
}

func resultOfFailure(ctx context.Context, fail *failure) service.Result {
	switch {
	case ctx.Err() != nil && fail.err.Reason == request.ReasonCancelled, fail.err.Reason == request.ReasonHomeRegion, fail.err.Reason == request.ReasonEvacuated:
		return service.Abandoned
	case fail.transport && fail.err.Outcome == request.NotRun:
		return service.Unreachable
	case fail.transport:
		return service.ConnectionLost
	case fail.err.Reason == request.ReasonDraining, fail.err.Reason == request.ReasonShutdown:
		return service.RefusedDraining
	case fail.err.Outcome == request.NotRun:
		return service.Refused
	default:
		return service.Failed
	}
}
