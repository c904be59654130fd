package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/link"
	"wisteriafold/loadreport"
	"wisteriafold/request"
	"wisteriafold/service"
	"wisteriafold/wire"
)

// endpoints holds the picker and the retry budgets of this daemon for one service.
type endpoints struct {
	picker *service.Picker
	notRun *service.WindowBudget // for requests that a backend server shed without running them
	mayRun *service.RetryBudget  // for requests that may have run

	set   sync.Mutex // serialises refreshEndpoints
	homes sync.Once  // the first call that is restricted to regions
}

// Fractions of the retry limit of the whole fleet that daemons use for their retry
// budgets. When a request that has already run is retried, the calls that it makes
// count as retries too, but no daemon can tell. The budget for requests that may
// have run is therefore small.
const (
	notRunFraction = 0.68 // of RetryBounds.Ratio; what can be saved comes in addition
	mayRunFraction = 0.2  // of RetryBounds.Ratio

	notRunSlackFraction = 0.6 // of RetryBounds.Slack, divided among all daemons
	minNotRunSaved      = 2   // least number of retries that one daemon can save up for a service
	mayRunSaved         = 1   // number of retries that one daemon can save up for a service
)

// reservedFraction returns the fraction of the saved retries that a retry must
// leave for other requests, given the number of calls of the same run that have been
// answered. A call tree that is further advanced is worth more, and loses more work
// when one of its calls fails.
func reservedFraction(progress int32) float64 {
	switch {
	case progress <= 0:
		return 0.9
	case progress == 1:
		return 0.5
	default:
		return 0
	}
}

// endpointsOf returns the endpoints of a service, which are created on first use.
func (d *Daemon) endpointsOf(name string) *endpoints {
	if e, ok := d.services.Load(name); ok {
		return e.(*endpoints)
	}
	e := d.newEndpoints()
	d.refreshEndpoints(name, e)
	actual, loaded := d.services.LoadOrStore(name, e)
	if !loaded {
		d.refreshEndpoints(name, e) // a change before it was stored has not reached it
	}
	return actual.(*endpoints)
}

// newEndpoints returns a picker without endpoints and full retry budgets.
func (d *Daemon) newEndpoints() *endpoints {
	r := d.settings.Retries
	saved := max(int(notRunSlackFraction*r.Slack)/max(len(*d.members.Load()), 1), minNotRunSaved)
	return &endpoints{
		picker: service.NewPicker(d.epoch, pickerConfig(), d.location, rand.Uint64()),
		notRun: service.NewWindowBudget(r.Ratio*notRunFraction, r.Window, saved),
		mayRun: service.NewRetryBudget(r.Ratio*mayRunFraction, mayRunSaved),
	}
}

// Cost of transferring 1 KiB, expressed as caller waiting time. A request is worth
// about one second of waiting. Links between regions are expensive and billed by
// volume.
const (
	costPerKiBInRegion      = 40 * time.Millisecond
	costPerKiBAcrossRegions = 150 * time.Millisecond
)

func pickerConfig() service.Config {
	c := service.DefaultConfig()
	c.ByteTime = [service.Localities]time.Duration{0, costPerKiBInRegion, costPerKiBAcrossRegions}
	return c
}

// outgoing is a request that is being forwarded to an endpoint of its service.
type outgoing struct {
	call        *request.Call
	head        *wire.CallHead
	body        []byte
	maxAttempts int   // maximum number of backend servers that may receive it
	progress    int32 // number of calls of the same run that have been answered
	observe     func(*wire.AnswerHead)
	entry       *entry

	held           heldAnswers // the answers of its attempts
	refusedForTime bool        // a gate has refused it because its deadline would pass
}

// maxRetries limits the retries of one request, including those after refusals by
// gates. A refusal by a gate costs no work, but the caller waits for it.
const maxRetries = 3

var rngs = sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }}

// forward sends a request to an endpoint and retries it where that is allowed. The
// outcome of its error is NotRun only when the request has certainly not run.
func (d *Daemon) forward(ctx context.Context, out *outgoing) (*wire.AnswerHead, *request.Error) {
	eps := d.endpointsOf(out.call.Service)
	eps.notRun.Attempt(sinceBoot())
	eps.mayRun.Attempt()
	var tried []string
	var failure *request.Error        // failure to report for the attempts so far
	var failedAnswer *wire.AnswerHead // last 5xx answer of a backend server that was to be retried
	sent := 0
	for {
		if err := out.entry.recheckRegions(out); err != nil {
			return failedAnswer, overallFailure(failure, err)
		}
		ep, why, err := d.pick(eps, out.call, tried)
		if err != nil {
			return failedAnswer, overallFailure(failure, request.AsError(err))
		}
		d.logChoice(out.call, &why)
		ans, fail := d.attempt(ctx, eps, out, ep)
		if fail == nil && !d.mayRetryAnswer(out, ans) {
			return ans, nil
		}
		if fail == nil {
			failedAnswer = ans
			fail = request.NewUnknownError(request.ReasonBroken, "the backend server failed, look up its log", nil)
		}
		if fail.Outcome != request.NotRun || fail.Reason == request.ReasonBackendShed {
			sent++
		}
		failure = overallFailure(failure, fail)
		tried = append(tried, ep.Peer)
		if ctx.Err() != nil || sent >= out.maxAttempts || len(tried) > maxRetries || !d.mayRetry(eps, out, fail) {
			return failedAnswer, failure
		}
	}
}

// mayRetryAnswer reports whether a request that a backend server answered with a
// failure may be retried on another endpoint instead of returning the answer. A
// failure that was caused by a call of the request has already been retried there.
func (d *Daemon) mayRetryAnswer(out *outgoing, ans *wire.AnswerHead) bool {
	return out.call.Idempotent && !ans.RetriedBelow &&
		ans.Status >= fasthttp.StatusInternalServerError && ans.Status != fasthttp.StatusGatewayTimeout
}

// overallFailure returns the failure to report for several attempts: an earlier one
// after which the request may have run, otherwise the last one.
func overallFailure(before, last *request.Error) *request.Error {
	if before != nil && before.Outcome != request.NotRun {
		return before
	}
	return last
}

// mayRetry reports whether a failed attempt may be followed by another one. Retries
// after a refusal by a gate are not limited by a budget, because the request has not
// reached the backend server. All other retries are taken from a retry budget.
func (d *Daemon) mayRetry(eps *endpoints, out *outgoing, fail *request.Error) bool {
	if fail.Outcome != request.NotRun && !out.call.Idempotent {
		return false
	}
	switch fail.Reason {
	case request.ReasonCancelled, request.ReasonBadKey, request.ReasonCutOff, request.ReasonHomeRegion:
		return false
	case request.ReasonDeadline:
		// The backend server of the gate that refused may be slow and others not.
		// When all are, one more refusal tells.
		again := fail.Outcome == request.NotRun && !out.refusedForTime
		out.refusedForTime = true
		return again
	}
	if fail.Outcome == request.NotRun && fail.Reason != request.ReasonBackendShed {
		return true
	}
	reserved := reservedFraction(out.progress)
	var allowed bool
	if fail.Outcome == request.NotRun {
		allowed = eps.notRun.WithdrawWithReserve(sinceBoot(), reserved)
	} else {
		allowed = eps.mayRun.WithdrawWithReserve(reserved)
	}
	if !allowed {
		d.logDecision(out.call, "retry", "retry-budget", "", 0)
	}
	return allowed
}

func (d *Daemon) pick(eps *endpoints, c *request.Call, tried []string) (service.Endpoint, service.Decision, error) {
	rng := rngs.Get().(*rand.Rand)
	defer rngs.Put(rng)
	if c.Regions != nil {
		d.enableHomes(c.Service, eps)
	}
	return eps.picker.Pick(d.now(), rng, c, tried)
}

// attempt sends the request to one endpoint once and records the result with the
// picker, the metrics and the log.
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
		d.logDecision(out.call, "attempt", string(fail.Reason), ep.Peer, d.now().Sub(started))
	}
	return ans, fail
}

// send sends the call to the gate of ep. It returns an error only for transport
// failures. The answer or refusal of the gate is in the returned head.
func (d *Daemon) send(ctx context.Context, ep service.Endpoint, out *outgoing) (*wire.AnswerHead, *request.Error) {
	if ep.Peer == d.settings.Listen.Peers {
		return d.runLocally(ctx, out.call, out.head, out.body, out.held.hold(d.answers.entry)), nil
	}
	held := out.held.hold(d.answers.entry)
	if !held.TryReserve(answerReserve) {
		return nil, answersHeldError()
	}
	s, err := d.links.OpenStream(ctx, ep.Peer)
	if err != nil {
		e := request.NewNotRunError(request.ReasonUnreachable, "daemon "+ep.Peer+" cannot be reached, start it or wait until it is removed")
		e.Cause = err
		return nil, e
	}
	defer func() { _ = s.Close() }()
	if err := writeCall(s, out.head, out.body); err != nil {
		return nil, linkError(ctx, err)
	}
	ans, err := readAnswer(ctx, s, held)
	if err == nil {
		err = wire.CheckAnswer(ans, d.names.unpack)
	}
	if err != nil {
		held.Release()
		return nil, linkError(ctx, err)
	}
	return ans, nil
}

// linkError returns the error for a call whose link to another daemon failed or
// whose context ended. The outcome of the call is unknown, unless the call was not
// sent at all.
func linkError(ctx context.Context, err error) *request.Error {
	var notSent *link.NotSentError
	if e := noRoomError(err); e != nil {
		return e
	}
	switch {
	case errors.As(err, &notSent):
		e := request.NewNotRunError(request.ReasonUnreachable, "the call could not be handed over")
		e.Cause = err
		return e
	case errors.Is(err, link.ErrSilent):
		return request.NewUnknownError(request.ReasonBroken, "the connection to the daemon went silent", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.NewUnknownError(request.ReasonDeadline, "no answer came in time, the work may have been done", err)
	case ctx.Err() != nil:
		return request.NewUnknownError(request.ReasonCancelled, "the caller went away", err)
	default:
		return request.NewUnknownError(request.ReasonBroken, "the connection between two daemons broke after the call was sent", err)
	}
}

// observation converts the result of an attempt to an observation of its endpoint
// for the picker.
func observation(ctx context.Context, took time.Duration, h *wire.AnswerHead, fail *request.Error) service.Observation {
	o := service.Observation{Result: service.Succeeded, Duration: took}
	if h != nil {
		o.Bytes = h.BodyBytes
		o.Draw = rand.Float64()
		report := loadreport.FromAnswer(h)
		o.Report = &report
		if h.Status >= fasthttp.StatusInternalServerError {
			o.Result = service.Failed
			if h.RetriedBelow || h.Status == fasthttp.StatusGatewayTimeout {
				o.Result = service.FailedDownstream
			}
		}
		if fail == nil {
			fail = errorOf(h)
			if fail != nil {
				o.Result = resultOf(ctx, fail, false)
				if fail.Reason == request.ReasonEvacuated && !h.Evacuated {
					o.Result = service.Refused // by a gate that does not know the set yet
				}
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
	case fail.Reason == request.ReasonCancelled, fail.Reason == request.ReasonHomeRegion, fail.Reason == request.ReasonEvacuated:
		return service.Abandoned // nothing was learned about the backend server
	case transport && fail.Reason == request.ReasonBusy:
		return service.Abandoned // for want of memory here
	case ctx.Err() == nil && !transport && fail.Outcome == request.NotRun && fail.Reason == request.ReasonDeadline:
		return service.Refused // its duration says nothing about the response time
	case fail.Reason == request.ReasonDeadline, ctx.Err() != nil:
		return service.Expired
	case transport && fail.Outcome == request.NotRun:
		return service.Unreachable
	case transport:
		return service.ConnectionLost
	case fail.Reason == request.ReasonCold && fail.Outcome == request.NotRun:
		return service.RefusedCold
	case fail.Reason == request.ReasonDraining, fail.Reason == request.ReasonShutdown:
		return service.RefusedDraining
	case fail.Reason == request.ReasonNoEndpoint:
		return service.Unreachable // a drain would last until the endpoint's next report
	case fail.Outcome == request.NotRun:
		return service.Refused
	default:
		return service.Failed
	}
}
