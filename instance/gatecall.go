package instance

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/backend"
	"wisteriafold/httpclient"
	"wisteriafold/request"
	"wisteriafold/wire"
)

// incoming is a call that has reached the gate of this daemon's backend server.
type incoming struct {
	head *wire.CallHead
	call *request.Call

	// body returns the request body. It is called once, after the gate has
	// admitted the call, and asks the sender for a body that was not sent with
	// the head.
	body func() (io.Reader, error)
}

// maxRemaining limits the time that a call from another daemon may have left.
const maxRemaining = 24 * time.Hour

// callOf returns the call that a head describes, received at now.
func callOf(h *wire.CallHead, now time.Time) *request.Call {
	left := time.Duration(min(max(h.RemainingUs, 0), maxRemaining.Microseconds())) * time.Microsecond
	return &request.Call{
		ID:           h.RequestId,
		Tree:         request.Tree(h.Tree),
		Organisation: h.Organisation,
		KeyID:        string(h.KeyId),
		Route:        h.Route,
		Service:      h.Service,
		Importance:   min(request.Importance(h.Importance), request.Critical),
		Deadline:     now.Add(left),
		Allowance:    h.Allowance,
		Idempotent:   h.Idempotent,
		Depth:        h.Depth,
		WorkSpent:    h.WorkSpent,
		BodyBytes:    h.BodyBytes,
		Regions:      h.Regions,
		Remaining:    left,
	}
}

// runLocal passes a call through the gate and runs it on this daemon's backend
// server.
func (d *Daemon) runLocal(ctx context.Context, in *incoming) (*answer, *failure) {
	if err := d.checkIncoming(in); err != nil {
		return nil, d.refuse(in, err, nil)
	}
	pass, err := d.gate.Enter(ctx, in.call, d.view.Load().weight(in.call.Organisation))
	if err != nil {
		return nil, d.refuse(in, request.AsError(err), nil)
	}
	if err := d.checkPlace(in); err != nil { // the configuration may have changed while the call waited
		pass.Done(backend.Result{Cancelled: true})
		return nil, d.refuse(in, err, nil)
	}
	d.decide(in.call, "gate", d.self.Peer, "admitted", "")
	ctx, cancel := context.WithDeadline(ctx, in.call.Deadline)
	run := &runningCall{
		call:      in.call,
		keyID:     in.head.KeyId,
		ctx:       ctx,
		allowance: request.NewAllowance(in.call.Allowance),
	}
	d.calls.add(run)
	w := &backendCall{d: d, in: in, run: run, pass: pass, cancel: cancel, started: d.now()}
	return w.do()
}

// checkIncoming refuses calls that this gate must not run whatever its load:
// those for another service, and new requests whose key has been withdrawn.
func (d *Daemon) checkIncoming(in *incoming) *request.Error {
	if in.head.Service != d.set.Backend.Service {
		return request.NewNotRunError(request.ReasonUnknownMember, "this daemon serves "+d.set.Backend.Service+", the sender's list of endpoints is old")
	}
	if err := d.checkPlace(in); err != nil {
		return err
	}
	// Child calls of a running request continue after a withdrawal; new
	// requests are refused.
	if in.call.Depth == 0 && d.view.Load().withdrawn(in.call.KeyID, in.head.Generation) {
		return request.NewNotRunError(request.ReasonBadKey, "the key has been withdrawn, use a key that is in force")
	}
	return nil
}

func (d *Daemon) refuse(in *incoming, err *request.Error, run *runningCall) *failure {
	h := headOf(err)
	d.report(h, run)
	if run == nil {
		h.AllowanceLeft = in.call.Allowance
	}
	d.decide(in.call, "gate", d.self.Peer, string(err.Reason), err.Outcome.String())
	return &failure{err: err, head: h}
}

// report sets the load report and the admission feedback that every answer
// carries.
func (d *Daemon) report(h *wire.AnswerHead, run *runningCall) {
	r := d.gate.Report()
	r.Evacuated = d.isEvacuatedHere()
	r.ToAnswer(h)
	h.WorstLevel = h.GateLevel
	if run == nil {
		return
	}
	h.WorstLevel = max(h.WorstLevel, run.worst.Load())
	h.AllowanceLeft = run.allowance.Left()
	h.RetriedBelow = run.childRefused.Load()
	h.Attempts = 1 + run.attempts.Load()
}

// backendCall is one execution of a call on the backend server.
type backendCall struct {
	d       *Daemon
	in      *incoming
	run     *runningCall
	pass    *backend.Permit
	cancel  context.CancelFunc
	started time.Time
}

// finish releases the resources of the call and reports its result to the gate.
func (w *backendCall) finish(res backend.Result) {
	w.cancel()
	w.d.calls.remove(w.run)
	res.Latency = w.d.now().Sub(w.started)
	w.pass.Done(res)
}

func (w *backendCall) fail(err *request.Error, res backend.Result) *failure {
	f := w.d.refuse(w.in, err, w.run)
	w.finish(res)
	return f
}

func (w *backendCall) do() (*answer, *failure) {
	body, err := w.in.body()
	if err != nil {
		return nil, w.fail(request.AsError(err), backend.Result{Cancelled: true})
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	w.fill(req, body)
	x, err := w.d.client.Do(w.run.ctx, req)
	if err != nil {
		e := request.AsError(err)
		return nil, w.fail(e, resultOf(e))
	}
	if e := w.foreignAnswer(x.Response); e != nil {
		x.Abandon()
		x.Close()
		return nil, w.fail(e, resultOf(e))
	}
	if e := w.declaredShed(x.Response); e != nil {
		// Backend servers need not name the request that they answer. A refusal written
		// once more on a kept connection would be taken for that of the next request.
		x.Abandon()
		x.Close()
		return nil, w.fail(e, backend.Result{Shed: true})
	}
	return w.answer(x)
}

func resultOf(e *request.Error) backend.Result {
	return backend.Result{
		Failed:    e.Reason == request.ReasonBroken || e.Reason == request.ReasonDeadline || e.Reason == request.ReasonNoEndpoint,
		Cancelled: e.Reason == request.ReasonCancelled,
	}
}

// foreignAnswer returns an error when the backend server names another request than this
// one in its answer.
func (w *backendCall) foreignAnswer(resp *fasthttp.Response) *request.Error {
	id := resp.Header.Peek(HeaderRequestID)
	if len(id) == 0 || string(id) == w.in.call.ID {
		return nil
	}
	return request.NewUnknownError(request.ReasonBroken, "the backend server answered another request, look up its log", nil)
}

// declaredShed returns an error when the backend server declares that it did
// not run the call. Its outcome is NotRun, or Unknown when a child call may
// have run.
func (w *backendCall) declaredShed(resp *fasthttp.Response) *request.Error {
	if string(resp.Header.Peek(HeaderOutcome)) != request.NotRun.String() {
		return nil
	}
	if w.run.childRan.Load() {
		return request.NewUnknownError(request.ReasonBackendShed, "the backend server says that it did not run the call, but calls below it ran", nil)
	}
	e := request.NewNotRunError(request.ReasonBackendShed, "the backend server is full, try again later")
	e.RetryAfter = shedRetryAfter
	return e
}

// fill builds the HTTP request for the backend server. The head does not
// contain the caller's key.
func (w *backendCall) fill(req *fasthttp.Request, body io.Reader) {
	h, c := w.in.head, w.in.call
	req.Header.SetMethod(h.Method)
	req.SetRequestURI(h.Path)
	for _, f := range h.Headers {
		req.Header.Add(f.Name, f.Value)
	}
	if len(req.Header.Host()) == 0 {
		req.Header.SetHost(c.Service)
	}
	req.UseHostHeader = true
	req.Header.Set(HeaderCall, w.run.token)
	req.Header.Set(HeaderRequestID, c.ID)
	req.Header.Set(HeaderOrganisation, c.Organisation)
	req.Header.Set(HeaderImportance, c.Importance.String())
	left := c.Deadline.Sub(w.d.now())
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if h.BodyFollows || len(h.Body) > 0 {
		req.SetBodyStream(body, int(h.BodyBytes))
	}
}

// answer converts the response of the backend server. A small body is read at
// once, so that the slot is free before the caller has received it; a large one
// streams.
func (w *backendCall) answer(x *httpclient.Exchange) (*answer, *failure) {
	resp := x.Response
	size := int64(resp.Header.ContentLength())
	head := &wire.AnswerHead{
		Outcome:   wire.Outcome_OUTCOME_ANSWERED,
		Status:    uint32(resp.StatusCode()),
		Headers:   responseHeaders(&resp.Header),
		BodyBytes: max(size, -1),
	}
	failed := resp.StatusCode() >= fasthttp.StatusInternalServerError
	stream := resp.BodyStream()
	if resp.SkipBody || stream == nil || (size >= 0 && size <= wire.ChunkBytes) {
		return w.small(x, head, stream, failed)
	}
	w.d.report(head, w.run)
	head.BodyFollows = true
	return newAnswer(head, stream, func(complete bool) {
		if !complete {
			x.Abandon()
		}
		x.Close()
		w.finish(backend.Result{Failed: failed, Cancelled: !complete})
	}), nil
}

func (w *backendCall) small(x *httpclient.Exchange, head *wire.AnswerHead, stream io.Reader, failed bool) (*answer, *failure) {
	if stream != nil && !x.Response.SkipBody {
		b, err := io.ReadAll(stream)
		if err != nil {
			x.Abandon()
			x.Close()
			return nil, w.fail(lostAnswer(w.run.ctx, err), backend.Result{Failed: true})
		}
		head.Body = b
	}
	x.Close()
	w.finish(backend.Result{Failed: failed})
	w.d.report(head, w.run)
	return newAnswer(head, nil, func(bool) {}), nil
}

// lostAnswer returns the error for an answer whose body did not arrive
// completely.
func lostAnswer(ctx context.Context, cause error) *request.Error {
	if ctx.Err() != nil {
		return request.NewUnknownError(request.ReasonDeadline, "the rest of the answer did not come in time", cause)
	}
	return request.NewUnknownError(request.ReasonBroken, "the backend server cut its answer short, look up its log", cause)
}
