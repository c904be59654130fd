package instance

import (
	"context"
	"time"

	"wisteriafold/request"
	"wisteriafold/service"
	"wisteriafold/wire"
)

// outgoing is a call on its way to an endpoint of its service.
type outgoing struct {
	call *request.Call
	head *wire.CallHead // sent with each attempt; remaining time and allowance are set afresh
	body *upload

	pool     *request.Allowance          // extra attempts that are left at this level
	attempts uint32                      // attempts made, those below included
	fold     func(head *wire.AnswerHead) // called with what each gate reports
	step     string                      // entry or egress, for the decision log
}

// forward sends a call to an endpoint and repeats it where that is allowed. It
// leaves the unused extra attempts in out.pool.
func (d *Daemon) forward(ctx context.Context, out *outgoing) (*answer, *failure) {
	t := d.target(out.call.Service)
	t.budget.Attempt()
	var tried []string
	var lost *failure // an attempt that may have run
	for {
		ep, dec, err := d.pick(ctx, t, out.call, tried)
		if err != nil {
			return nil, worse(lost, &failure{err: request.AsError(err)})
		}
		d.decideRoute(out.call, out.step, &dec)
		ans, fail := d.attempt(ctx, t, out, ep)
		if fail == nil {
			return ans, nil
		}
		lost = worse(lost, fail)
		if !d.mayRepeat(ctx, t, out, fail) {
			return nil, lost
		}
		tried = append(tried, ep.Peer)
	}
}

// worse returns the failure that tells the outcome of several attempts: when
// one of them may have run, the call was not certainly not run.
func worse(before, last *failure) *failure {
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
	why := service.MayRetry(out.call, fail.err, direct, out.pool.Left(), t.budget)
	d.decide(out.call, out.step, "", "retry-"+why.String(), fail.err.Outcome.String())
	return why == service.RetryAllowed && out.pool.Spend()
}

// attempt makes one attempt at one endpoint and records what it showed.
func (d *Daemon) attempt(ctx context.Context, t *target, out *outgoing, ep service.Endpoint) (*answer, *failure) {
	handed := out.pool.Lend()
	out.attempts++
	h := out.head
	h.Endpoint = ep.Peer
	h.Allowance = handed
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
		out.pool.Return(handed, head.AllowanceLeft)
		out.attempts += max(head.Attempts, 1) - 1
		out.fold(head)
	}
	t.picker.Observe(d.now(), ep.Peer, observationOf(ctx, d.now().Sub(started), head, fail))
	return ans, fail
}

// send hands the call to the gate of ep: directly when it is this daemon's own.
func (d *Daemon) send(ctx context.Context, ep service.Endpoint, out *outgoing) (*answer, *failure) {
	if ep.Peer == d.self.Peer {
		in := &arrival{head: out.head, call: d.localCall(out), body: out.body.open}
		return d.runHere(ctx, in)
	}
	return d.sendRemote(ctx, ep, out)
}

// localCall copies the call for this daemon's own gate, with what it is handed.
func (d *Daemon) localCall(out *outgoing) *request.Call {
	c := *out.call
	c.Allowance = out.head.Allowance
	return &c
}

// observationOf tells the picker what an attempt showed about its endpoint.
func observationOf(ctx context.Context, took time.Duration, head *wire.AnswerHead, fail *failure) service.Observation {
	o := service.Observation{Result: service.Succeeded, Duration: took}
	if head != nil {
		o.Report = &service.Load{
			Queued:   head.QueueDepth,
			InFlight: head.InFlight,
			Limit:    head.Limit,
			ServiceTime:  time.Duration(head.ServiceUs) * time.Microsecond,
			Level:    head.GateLevel,
			Draining: head.Draining,
		}
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
	case ctx.Err() != nil && fail.err.Reason == request.ReasonCancelled:
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
