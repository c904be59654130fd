package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/backend"
	"wisteriafold/httpclient"
	"wisteriafold/memaccount"
	"wisteriafold/membership"
	"wisteriafold/request"
	"wisteriafold/routing"
	"wisteriafold/wire"
)

const (
	// maxConnectionIdle is the maximum idle time of a connection that is reused for
	// a non-idempotent request. Backend servers close idle connections after some
	// seconds, sometimes without notice, and such a request could not be retried.
	maxConnectionIdle = 2 * time.Second

	// shedRetryAfter is the Retry-After for requests that were shed because a
	// backend server or a service on the route is overloaded.
	shedRetryAfter = 200 * time.Millisecond

	// deadlineGrace is how long after the deadline the daemon waits for the answer
	// of the backend server, which was given the same deadline. The backend
	// server's answer takes precedence over an error of the daemon.
	deadlineGrace = 30 * time.Millisecond
)

// backendState is the snapshot of the local backend server's state that request
// goroutines read.
type backendState struct {
	id    string
	state membership.State
}

// run is a request that is running on the local backend server.
type run struct {
	tree         request.Tree
	importance   request.Importance
	organisation string
	levels       levels       // admission levels reported to its calls
	failedBelow  atomic.Bool  // one of its calls failed
	answered     atomic.Int32 // number of its calls that were answered without a 5xx status
}

// runs holds the requests that are running on the local backend server, by attempt
// id. The id of a call usually begins with the id of the request that made it, but
// the platform does not guarantee this. A match is therefore only used as a hint for
// importance, feedback and the order in which overloaded gates refuse calls, and to
// tell calls from requests of callers during a stop.
type runs struct {
	mu    sync.Mutex
	byID  map[string]*run
	named atomic.Bool // the id of some call has begun with that of the request that made it
}

func (r *runs) add(id string, x *run) {
	r.mu.Lock()
	r.byID[id] = x
	r.mu.Unlock()
}

func (r *runs) remove(id string) {
	r.mu.Lock()
	delete(r.byID, id)
	r.mu.Unlock()
}

// parentOf returns the running request that made the call with this id, nil when
// there is none.
func (r *runs) parentOf(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(id) - 1; i > 0; i-- {
		if id[i] == '.' {
			if x := r.byID[id[:i]]; x != nil {
				r.named.Store(true)
				return x
			}
		}
	}
	return nil
}

// mayHaveUnnamedCalls reports whether running requests may make calls whose ids do not
// name them: requests are running, and no call has named one so far.
func (r *runs) mayHaveUnnamedCalls() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID) > 0 && !r.named.Load()
}

// runLocally passes a call through the gate, runs it on the local backend server and
// returns the whole answer, whose bytes count towards held.
func (d *Daemon) runLocally(ctx context.Context, c *request.Call, h *wire.CallHead, body []byte, held *memaccount.Holding) *wire.AnswerHead {
	if err := d.checkRunnable(c, h); err != nil {
		return d.refusal(c, err)
	}
	pass, err := d.gate.Enter(ctx, c, 1)
	if err != nil {
		return d.refusal(c, withRetryAfter(request.AsError(err)))
	}
	// While the call was queued, the backend server may have started to drain or the
	// key may have been withdrawn.
	if err := d.checkRunnable(c, h); err != nil {
		pass.Done(backend.Result{Cancelled: true})
		return d.refusal(c, err)
	}
	d.logDecision(c, "gate", "admitted", d.self().Peer, pass.Waited)
	ans, below := d.runAdmitted(ctx, c, h, body, held, pass)
	d.report(ans, below)
	return ans
}

// runAdmitted runs a call that the gate has admitted. below is the highest admission
// level reported to its calls.
func (d *Daemon) runAdmitted(ctx context.Context, c *request.Call, h *wire.CallHead, body []byte, held *memaccount.Holding, pass *backend.Permit) (ans *wire.AnswerHead, below request.Priority) {
	r := &run{tree: c.Tree, importance: c.Importance, organisation: c.Organisation}
	d.runs.add(c.ID, r)
	res := backend.Result{Failed: true} // if dispatch panics
	defer func() {
		d.runs.remove(c.ID)
		res.Latency = d.now().Sub(pass.Started)
		pass.Done(res)
	}()
	ans, res = d.dispatch(ctx, c, h, body, held)
	ans.RetriedBelow = r.failedBelow.Load()
	res.Below = ans.RetriedBelow || ans.Status == fasthttp.StatusGatewayTimeout
	return ans, request.Priority(r.levels.worst())
}

// checkRunnable refuses a call that must not run on the local backend server,
// independent of load.
func (d *Daemon) checkRunnable(c *request.Call, h *wire.CallHead) *request.Error {
	if err := d.checkPlace(h); err != nil {
		d.countPlaceRefusal(err)
		return err
	}
	b := d.backendSnapshot.Load()
	switch {
	case h.Service != d.settings.Service:
		return request.NewNotRunError(request.ReasonUnknownMember, "this daemon serves "+d.settings.Service+", the sender's directory is old")
	case b.state == membership.Draining || b.state == membership.Gone:
		return request.NewNotRunError(request.ReasonDraining, "the backend server is leaving, send it elsewhere")
	case b.state != membership.Ready:
		return request.NewNotRunError(request.ReasonNoEndpoint, "the backend server has not been heard of, wait for its heartbeat")
	case len(h.KeyId) > 0:
		return d.checkKey(c, h)
	}
	return nil
}

// checkKey refuses a call with a key that is not in force. It also refuses the call
// while the configuration is so old that the key may have been withdrawn.
func (d *Daemon) checkKey(c *request.Call, h *wire.CallHead) *request.Error {
	if !d.keysFresh() {
		e := request.NewNotRunError(request.ReasonCutOff, "keys cannot be confirmed here, restore the way to the store")
		e.RetryAfter = cutOffRetryAfter
		return e
	}
	t := d.table.Load()
	if t == nil || h.Generation > t.Generation {
		return nil // the entry has checked the key against a newer configuration
	}
	if len(h.KeyId) != len(routing.KeyDigest{}) {
		return request.NewNotRunError(request.ReasonUnknownMember, "the sender's key digests have another length, run the same version on both daemons")
	}
	if o := t.Owner(routing.KeyDigest(h.KeyId)); o == nil || o.Name != c.Organisation {
		return request.NewNotRunError(request.ReasonBadKey, "the key has been withdrawn, use one that is in force")
	}
	return nil
}

// dispatch sends the call to the backend server.
func (d *Daemon) dispatch(ctx context.Context, c *request.Call, h *wire.CallHead, body []byte, held *memaccount.Holding) (*wire.AnswerHead, backend.Result) {
	left := c.Deadline.Sub(d.now())
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(deadlineGrace))
	defer cancel()
	raw := &httpclient.RawCall{
		Head:   d.requestHead(h, d.backendSnapshot.Load().id, max(left.Milliseconds(), 1), len(body)),
		Body:   body,
		ID:     c.ID,
		Held:   held,
		Accept: func(r *fasthttp.Response) error { return d.acceptAnswer(c, r) },
		Matches: func(r *fasthttp.Response) bool {
			return string(r.Header.Peek(d.names.AttemptID)) == c.ID
		},
	}
	if !c.Idempotent {
		raw.MaxIdle = maxConnectionIdle
	}
	sentAt := d.now()
	a, err := d.client.DoRaw(ctx, raw)
	if err != nil {
		e := request.AsError(err)
		d.noteLost(e)
		d.logBroken(c, e)
		d.logDecision(c, "gate", string(e.Reason), d.self().Peer, 0)
		return failureHead(e), backend.Result{
			Failed:    e.Reason == request.ReasonBroken || e.Reason == request.ReasonNoEndpoint,
			Cancelled: e.Reason == request.ReasonCancelled || e.Reason == request.ReasonDeadline || e.Reason == request.ReasonBusy,
		}
	}
	defer a.Release()
	d.noteAnswered(a.Response, sentAt)
	return d.answerOf(c, a)
}

// acceptAnswer returns an error for a response without the request id or a 2xx
// response without a signature, which count as broken. Their bodies, which may have no
// end, are not read.
func (d *Daemon) acceptAnswer(c *request.Call, r *fasthttp.Response) error {
	id := r.Header.Peek(d.names.AttemptID)
	if len(id) == 0 {
		return request.NewUnknownError(request.ReasonBroken, "the backend server answered without the id of the request, look up its log", nil)
	}
	if string(id) != c.ID || len(r.Header.Peek(d.names.NotRun)) > 0 {
		return nil
	}
	signed := len(r.Header.Peek(d.names.Signature)) > 0
	encoded := len(r.Header.Peek(fasthttp.HeaderContentEncoding)) > 0
	if r.StatusCode() < fasthttp.StatusMultipleChoices && (!signed || encoded) {
		return request.NewUnknownError(request.ReasonBroken, "the backend server's answer is not signed, look up its log", nil)
	}
	return nil
}

// answerOf converts a response of the backend server, which acceptAnswer has accepted,
// to the head that is sent to the entry.
func (d *Daemon) answerOf(c *request.Call, a *httpclient.RawAnswer) (*wire.AnswerHead, backend.Result) {
	r, status := a.Response, a.Response.StatusCode()
	work := d.workPercentOf(&r.Header)
	if len(r.Header.Peek(d.names.NotRun)) > 0 || status == fasthttp.StatusMisdirectedRequest {
		e := request.NewNotRunError(request.ReasonBackendShed, "the backend server is full or another one, try again later")
		e.RetryAfter = shedRetryAfter
		d.logDecision(c, "gate", string(e.Reason), d.self().Peer, 0)
		return failureHead(e), backend.Result{Shed: status != fasthttp.StatusMisdirectedRequest, WorkPercent: work}
	}
	return &wire.AnswerHead{
		Outcome:   wire.Outcome_OUTCOME_ANSWERED,
		Status:    uint32(status),
		Headers:   d.responseFields(&r.Header),
		Body:      a.Body,
		BodyBytes: int64(len(a.Body)),
	}, backend.Result{Failed: status >= fasthttp.StatusInternalServerError, WorkPercent: work}
}

// failureHead encodes a typed error as an answer head.
func failureHead(e *request.Error) *wire.AnswerHead {
	h := &wire.AnswerHead{
		Outcome:      wire.Outcome_OUTCOME_UNKNOWN,
		Reason:       string(e.Reason),
		Remedy:       e.Remedy,
		RetryAfterMs: uint32(e.RetryAfter.Milliseconds()),
	}
	if e.Outcome == request.NotRun {
		h.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	}
	return h
}

// errorOf decodes the typed error of an answer head. It returns nil for an answer of
// a backend server.
func errorOf(h *wire.AnswerHead) *request.Error {
	if h.Outcome == wire.Outcome_OUTCOME_ANSWERED {
		return nil
	}
	e := request.NewUnknownError(request.Reason(h.Reason), h.Remedy, nil)
	if h.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		e = request.NewNotRunError(request.Reason(h.Reason), h.Remedy)
	}
	e.RetryAfter = time.Duration(h.RetryAfterMs) * time.Millisecond
	return e
}

func (d *Daemon) refusal(c *request.Call, e *request.Error) *wire.AnswerHead {
	d.logDecision(c, "gate", string(e.Reason), d.self().Peer, 0)
	h := failureHead(e)
	d.report(h, 0)
	return h
}

// report fills in the load report and the admission feedback, which are part of
// every answer. below is the highest admission level reported to calls of the request.
func (d *Daemon) report(h *wire.AnswerHead, below request.Priority) {
	r := d.gate.Report()
	r.Evacuated = d.isEvacuated(d.location.DataCentre)
	r.Draining = d.backendSnapshot.Load().state >= membership.Draining
	r.ToAnswer(h)
	h.WorstLevel = uint32(max(r.Level, below))
}
