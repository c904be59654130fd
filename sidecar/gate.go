package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/backend"
	"wisteriafold/membership"
	"wisteriafold/request"
	"wisteriafold/routing"
	"wisteriafold/wire"
)

const (
	// mostIdle is the longest time for which a connection may have been idle to
	// carry a request that must not be lost: a backend server closes idle
	// connections after some seconds, at times without a word.
	mostIdle = 2 * time.Second

	// shedRetryAfter is what a caller is told when a backend server was full.
	shedRetryAfter = 200 * time.Millisecond

	// settleIn is the time in which a backend server answers a request whose
	// deadline it was given; its own answer goes before the daemon's.
	settleIn = 30 * time.Millisecond
)

// backendState is the snapshot of the local backend server that traffic reads.
type backendState struct {
	id    string
	state membership.State
}

// run is a request at which the local backend server is at work.
type run struct {
	importance   request.Importance
	organisation string
	worst        atomic.Uint32 // tightest admission level met by its calls
	failedBelow  atomic.Bool   // one of its calls failed
	answered     atomic.Int32  // calls of it that were answered with success
}

// runs are the requests at the local backend server by attempt id. Calls below
// carry ids that begin with that of the request that made them; no page
// promises it, so a match is a hint about importance and feedback only.
type runs struct {
	mu   sync.Mutex
	byID map[string]*run
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

// raise sets level to at least to.
func raise(level *atomic.Uint32, to uint32) {
	for {
		old := level.Load()
		if to <= old || level.CompareAndSwap(old, to) {
			return
		}
	}
}

// parentOf returns the running request that made the call with this id.
func (r *runs) parentOf(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(id) - 1; i > 0; i-- {
		if id[i] == '.' {
			if x := r.byID[id[:i]]; x != nil {
				return x
			}
		}
	}
	return nil
}

// runHere lets a call in at the gate, runs it on the backend server and returns
// the whole answer.
func (d *Daemon) runHere(ctx context.Context, c *request.Call, h *wire.CallHead, body []byte) *wire.AnswerHead {
	if err := d.mayRun(c, h); err != nil {
		return d.refusal(c, err)
	}
	pass, err := d.gate.Enter(ctx, c, 1)
	if err != nil {
		return d.refusal(c, request.AsError(err))
	}
	// The wait may have been long: the backend server may have left, and the
	// key may have been withdrawn.
	if err := d.mayRun(c, h); err != nil {
		pass.Done(backend.Result{Cancelled: true})
		return d.refusal(c, err)
	}
	d.decide(c, "gate", "admitted", d.self().Peer, pass.Waited)
	r := &run{importance: c.Importance, organisation: c.Organisation}
	d.runs.add(c.ID, r)
	ans, res := d.dispatch(ctx, c, h, body)
	d.runs.remove(c.ID)
	res.Latency = d.now().Sub(pass.Started)
	pass.Done(res)
	ans.RetriedBelow = r.failedBelow.Load()
	d.report(ans, request.Priority(r.worst.Load()))
	return ans
}

// mayRun refuses what must not run here whatever the load is.
func (d *Daemon) mayRun(c *request.Call, h *wire.CallHead) *request.Error {
	b := d.backendNow.Load()
	switch {
	case h.Service != d.set.Service:
		return request.Refuse(request.ReasonUnknownMember, "this daemon serves "+d.set.Service+", the sender's directory is old")
	case b.state == membership.Draining || b.state == membership.Gone:
		return request.Refuse(request.ReasonDraining, "the backend server is leaving, send it elsewhere")
	case b.state != membership.Ready:
		return request.Refuse(request.ReasonNoEndpoint, "the backend server has not been heard of, wait for its heartbeat")
	case len(h.KeyId) > 0:
		return d.keyInForce(c, h)
	}
	return nil
}

// keyInForce refuses a request with a key while this daemon's knowledge is so
// old that the key may have been withdrawn.
func (d *Daemon) keyInForce(c *request.Call, h *wire.CallHead) *request.Error {
	if !d.keysFresh() {
		e := request.Refuse(request.ReasonCutOff, "keys cannot be confirmed here, restore the way to the store")
		e.RetryAfter = cutOffRetryAfter
		return e
	}
	t := d.table.Load()
	if t == nil || h.Generation > t.Generation {
		return nil // the entry knows a newer configuration
	}
	if o := t.Owner(digestFromWire(h.KeyId)); o == nil || o.Name != c.Organisation {
		return request.Refuse(request.ReasonBadKey, "the key has been withdrawn, use one that is in force")
	}
	return nil
}

func digestToWire(k routing.KeyDigest) []byte {
	var b [8]byte
	for i := range b {
		b[i] = byte(k >> (8 * i))
	}
	return b[:]
}

func digestFromWire(b []byte) routing.KeyDigest {
	var k routing.KeyDigest
	for i := 0; i < len(b) && i < 8; i++ {
		k |= routing.KeyDigest(b[i]) << (8 * i)
	}
	return k
}

// dispatch sends the call to the backend server.
func (d *Daemon) dispatch(ctx context.Context, c *request.Call, h *wire.CallHead, body []byte) (*wire.AnswerHead, backend.Result) {
	left := c.Deadline.Sub(d.now())
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(settleIn))
	defer cancel()
	raw := &backend.RawCall{
		Head: d.requestHead(h, d.backendNow.Load().id, max(left.Milliseconds(), 1), len(body)),
		Body: body,
		Owns: func(r *fasthttp.Response) bool {
			id := r.Header.Peek(d.names.Attempt)
			return len(id) == 0 || string(id) == c.ID
		},
	}
	if !c.Idempotent {
		raw.MaxIdle = mostIdle
	}
	a, err := d.client.DoRaw(ctx, raw)
	if err != nil {
		e := request.AsError(err)
		d.decide(c, "gate", string(e.Reason), d.self().Peer, 0)
		return failureHead(e), backend.Result{
			Failed:    e.Reason == request.ReasonBroken || e.Reason == request.ReasonNoEndpoint,
			Cancelled: e.Reason == request.ReasonCancelled || e.Reason == request.ReasonDeadline,
		}
	}
	defer a.Release()
	return d.answerOf(c, a)
}

// answerOf judges a whole response.
func (d *Daemon) answerOf(c *request.Call, a *backend.RawAnswer) (*wire.AnswerHead, backend.Result) {
	r, status := a.Response, a.Response.StatusCode()
	if len(r.Header.Peek(d.names.Attempt)) == 0 {
		e := request.Lose(request.ReasonBroken, "the backend server answered without the id of the request, look up its log", nil)
		return failureHead(e), backend.Result{Failed: true}
	}
	if len(r.Header.Peek(d.names.NotRun)) > 0 || status == fasthttp.StatusMisdirectedRequest {
		e := request.Refuse(request.ReasonBackendShed, "the backend server is full or another one, try again later")
		e.RetryAfter = shedRetryAfter
		d.decide(c, "gate", string(e.Reason), d.self().Peer, 0)
		return failureHead(e), backend.Result{Shed: status != fasthttp.StatusMisdirectedRequest}
	}
	signed := len(r.Header.Peek(d.names.Signature)) > 0
	encoded := len(r.Header.Peek(fasthttp.HeaderContentEncoding)) > 0
	if status < fasthttp.StatusMultipleChoices && (!signed || encoded) {
		e := request.Lose(request.ReasonBroken, "the backend server's answer is not signed, look up its log", nil)
		return failureHead(e), backend.Result{Failed: true}
	}
	return &wire.AnswerHead{
		Outcome:   wire.Outcome_OUTCOME_ANSWERED,
		Status:    uint32(status),
		Headers:   d.responseFields(&r.Header),
		Body:      a.Body,
		BodyBytes: int64(len(a.Body)),
	}, backend.Result{Failed: status >= fasthttp.StatusInternalServerError}
}

// failureHead returns the head that tells a typed error.
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

// errorOf returns the typed error that a head tells, nil for an answer.
func errorOf(h *wire.AnswerHead) *request.Error {
	if h.Outcome == wire.Outcome_OUTCOME_ANSWERED {
		return nil
	}
	e := request.Lose(request.Reason(h.Reason), h.Remedy, nil)
	if h.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		e = request.Refuse(request.Reason(h.Reason), h.Remedy)
	}
	e.RetryAfter = time.Duration(h.RetryAfterMs) * time.Millisecond
	return e
}

func (d *Daemon) refusal(c *request.Call, e *request.Error) *wire.AnswerHead {
	d.decide(c, "gate", string(e.Reason), d.self().Peer, 0)
	h := failureHead(e)
	d.report(h, 0)
	return h
}

// report fills in the load report and the feedback that ride on every answer.
func (d *Daemon) report(h *wire.AnswerHead, below request.Priority) {
	r := d.gate.Report()
	h.GateLevel = uint32(r.Level)
	h.WorstLevel = uint32(max(r.Level, below))
	h.QueueDepth = uint32(r.Queued)
	h.InFlight = uint32(r.InFlight)
	h.Limit = uint32(r.Limit)
	h.ServiceUs = uint32(r.ServiceTime.Microseconds())
	h.Draining = d.backendNow.Load().state >= membership.Draining
}
