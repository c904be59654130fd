package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/link"
	"wisteriafold/request"
	"wisteriafold/service"
	"wisteriafold/wire"
)

// endpoints is what the daemon knows about the endpoints of one service.
type endpoints struct {
	picker *service.Picker
	notRun *service.RetryBudget // for requests that a backend server turned away
	mayRun *service.RetryBudget // for those that may have run
}

// Parts of the fleet's bound on repeats that daemons spend on their own account.
// Calls made by a run that was a repeat count as repeats below it, where no
// daemon sees that, so little is spent on requests that may have run.
const (
	notRunPart = 0.75
	mayRunPart = 0.2

	notRunSlack = 0.6 // of the fleet's slack, shared by all daemons
	leastSaved  = 2   // repeats that one daemon saves for a service
	mayRunSaved = 1
)

// leaves returns the part of the savings that a repeat of a request has to leave
// for others: a tree that has come far is worth more than one that has just
// begun, and loses more when a call of it fails.
func leaves(progress int32) float64 {
	switch {
	case progress <= 0:
		return 0.9
	case progress == 1:
		return 0.5
	default:
		return 0
	}
}

// endpointsOf returns the endpoints of a service.
func (d *Daemon) endpointsOf(name string) *endpoints {
	if e, ok := d.services.Load(name); ok {
		return e.(*endpoints)
	}
	r := d.set.Retries
	saved := max(int(notRunSlack*r.Slack)/max(len(*d.members.Load()), 1), leastSaved)
	e := &endpoints{
		picker: service.NewPicker(d.epoch, choiceConfig(), d.place, rand.Uint64()),
		notRun: service.NewRetryBudget(r.Ratio*notRunPart, saved),
		mayRun: service.NewRetryBudget(r.Ratio*mayRunPart, mayRunSaved),
	}
	e.picker.SetEndpoints(d.endpointEntries(name))
	actual, _ := d.services.LoadOrStore(name, e)
	return actual.(*endpoints)
}

// Worth of moving 1 KiB, as time that a caller waits. A request is worth about
// a second of waiting; links between regions are paid by volume and dear.
const (
	kibInRegion      = 40 * time.Millisecond
	kibAcrossRegions = 150 * time.Millisecond
)

func choiceConfig() service.Config {
	c := service.DefaultConfig()
	c.ByteTime = [service.Localities]time.Duration{0, kibInRegion, kibAcrossRegions}
	return c
}

// outgoing is a request on its way to a backend server of its service.
type outgoing struct {
	call        *request.Call
	head        *wire.CallHead
	body        []byte
	maxAttempts int   // backend servers that it may be sent to
	progress    int32 // calls of the same run that have been answered
	observe     func(*wire.AnswerHead)
}

// maxRefusals is the number of gates that may refuse a request before it is
// refused as a whole; gates that refuse do no work, but the caller waits.
const maxRefusals = 3

var rngs = sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }}

// forward sends a request to an endpoint and repeats it where that is allowed.
// The error tells whether the request was certainly not run.
func (d *Daemon) forward(ctx context.Context, out *outgoing) (*wire.AnswerHead, *request.Error) {
	eps := d.endpointsOf(out.call.Service)
	eps.notRun.Attempt()
	eps.mayRun.Attempt()
	var tried []string
	var lost *request.Error     // an attempt that may have run
	var answer *wire.AnswerHead // a failure that a backend server answered
	sent := 0
	for {
		ep, why, err := d.pick(eps, out.call, tried)
		if err != nil {
			return answer, worse(lost, request.AsError(err))
		}
		d.decideChoice(out.call, &why)
		ans, fail := d.attempt(ctx, eps, out, ep)
		if fail == nil && !d.mayRepeatAnswer(out, ans) {
			return ans, nil
		}
		if fail == nil {
			answer = ans
			fail = request.Lose(request.ReasonBroken, "the backend server failed, look up its log", nil)
		}
		if fail.Outcome != request.NotRun || fail.Reason == request.ReasonBackendShed {
			sent++
		}
		lost = worse(lost, fail)
		tried = append(tried, ep.Peer)
		if ctx.Err() != nil || sent >= out.maxAttempts || len(tried) > maxRefusals || !d.mayRepeat(eps, out, fail) {
			return answer, lost
		}
	}
}

// mayRepeatAnswer reports whether a failure that the backend server answered
// may be tried elsewhere instead of delivered. One that comes from a call below
// has had its repeats there.
func (d *Daemon) mayRepeatAnswer(out *outgoing, ans *wire.AnswerHead) bool {
	return out.call.Idempotent && !ans.RetriedBelow &&
		ans.Status >= fasthttp.StatusInternalServerError && ans.Status != fasthttp.StatusGatewayTimeout
}

// worse returns the failure that tells the outcome of several attempts.
func worse(before, last *request.Error) *request.Error {
	if before != nil && before.Outcome != request.NotRun {
		return before
	}
	return last
}

// mayRepeat decides about another attempt. A refusal by a gate is free: nothing
// has reached the backend server. All else draws on the budget.
func (d *Daemon) mayRepeat(eps *endpoints, out *outgoing, fail *request.Error) bool {
	if fail.Outcome != request.NotRun && !out.call.Idempotent {
		return false
	}
	switch fail.Reason {
	case request.ReasonDeadline, request.ReasonCancelled, request.ReasonBadKey, request.ReasonCutOff:
		return false
	}
	if fail.Outcome == request.NotRun && fail.Reason != request.ReasonBackendShed {
		return true
	}
	budget := eps.mayRun
	if fail.Outcome == request.NotRun {
		budget = eps.notRun
	}
	allowed := budget.WithdrawLeaving(leaves(out.progress))
	if !allowed {
		d.decide(out.call, "retry", "retry-budget", "", 0)
	}
	return allowed
}

func (d *Daemon) pick(eps *endpoints, c *request.Call, tried []string) (service.Endpoint, service.Decision, error) {
	rng := rngs.Get().(*rand.Rand)
	defer rngs.Put(rng)
	return eps.picker.Pick(d.now(), rng, c, tried)
}

// attempt makes one attempt at one endpoint and records what it showed.
func (d *Daemon) attempt(ctx context.Context, eps *endpoints, out *outgoing, ep service.Endpoint) (*wire.AnswerHead, *request.Error) {
	out.head.RemainingUs = out.call.Deadline.Sub(d.now()).Microseconds()
	eps.picker.Begin(ep.Peer)
	started := d.now()
	ans, fail := d.send(ctx, ep, out)
	eps.picker.Observe(d.now(), ep.Peer, observation(ctx, d.now().Sub(started), ans, fail))
	if ans != nil && out.observe != nil {
		out.observe(ans)
	}
	if fail == nil {
		fail = errorOf(ans)
	}
	d.metrics.attempt(out.call.Service, fail, d.now().Sub(started))
	if fail != nil {
		d.decide(out.call, "attempt", string(fail.Reason), ep.Peer, d.now().Sub(started))
	}
	return ans, fail
}

// send hands the call to the gate of ep. A transport failure is returned as an
// error; what the gate says is in the head.
func (d *Daemon) send(ctx context.Context, ep service.Endpoint, out *outgoing) (*wire.AnswerHead, *request.Error) {
	if ep.Peer == d.set.Listen.Peers {
		return d.runHere(ctx, out.call, out.head, out.body), nil
	}
	s, err := d.links.Open(ctx, ep.Peer)
	if err != nil {
		e := request.Refuse(request.ReasonUnreachable, "daemon "+ep.Peer+" cannot be reached, start it or wait until it is removed")
		e.Cause = err
		return nil, e
	}
	defer func() { _ = s.Close() }()
	if err := writeCall(s, out.head, out.body); err != nil {
		return nil, lostOnLink(ctx, err)
	}
	ans, err := readAnswer(s)
	if err != nil {
		return nil, lostOnLink(ctx, err)
	}
	return ans, nil
}

// lostOnLink tells that nothing is known about the outcome of a call whose
// connection broke or whose time ran out.
func lostOnLink(ctx context.Context, err error) *request.Error {
	var notSent *link.NotSentError
	switch {
	case errors.As(err, &notSent):
		e := request.Refuse(request.ReasonUnreachable, "the call could not be handed over")
		e.Cause = err
		return e
	case errors.Is(err, link.ErrSilent):
		return request.Lose(request.ReasonBroken, "the connection to the daemon went silent", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.Lose(request.ReasonDeadline, "no answer came in time, the work may have been done", err)
	case ctx.Err() != nil:
		return request.Lose(request.ReasonCancelled, "the caller went away", err)
	default:
		return request.Lose(request.ReasonBroken, "the connection between two daemons broke after the call was sent", err)
	}
}

// observation tells the picker what an attempt showed about its endpoint.
func observation(ctx context.Context, took time.Duration, h *wire.AnswerHead, fail *request.Error) service.Observation {
	o := service.Observation{Result: service.Succeeded, Took: took}
	if h != nil {
		o.Bytes = h.BodyBytes
		o.Report = &service.Load{
			Queued:   h.QueueDepth,
			InFlight: h.InFlight,
			Limit:    h.Limit,
			Service:  time.Duration(h.ServiceUs) * time.Microsecond,
			Level:    h.GateLevel,
			Draining: h.Draining,
		}
		if h.Status >= fasthttp.StatusInternalServerError {
			o.Result = service.Failed
			if h.RetriedBelow || h.Status == fasthttp.StatusGatewayTimeout {
				o.Result = service.FailedBelow
			}
		}
		if fail == nil {
			fail = errorOf(h)
			if fail != nil {
				o.Result = resultOf(ctx, fail, false)
			}
			return o
		}
	}
	if fail != nil {
		o.Result = resultOf(ctx, fail, true)
	}
	return o
}

func resultOf(ctx context.Context, fail *request.Error, transport bool) service.Result {
	switch {
	case fail.Reason == request.ReasonCancelled:
		return service.Abandoned
	case fail.Reason == request.ReasonDeadline, ctx.Err() != nil:
		return service.Expired
	case transport && fail.Outcome == request.NotRun:
		return service.Unreachable
	case transport:
		return service.ConnectionLost
	case fail.Reason == request.ReasonDraining, fail.Reason == request.ReasonShutdown, fail.Reason == request.ReasonNoEndpoint:
		return service.RefusedLeaving
	case fail.Outcome == request.NotRun:
		return service.Refused
	default:
		return service.Failed
	}
}
