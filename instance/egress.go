package instance

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// HeaderIdempotent lets a backend server declare, with true or false, whether a
// call that it makes is idempotent. Without it the HTTP method decides.
const HeaderIdempotent = "Wisteriafold-Idempotent"

// serveEgress handles one call made by this daemon's backend server. The Host
// field names the service. A call with the token of a running call belongs to
// that call's tree; a call without a token is an outside request.
func (d *Daemon) serveEgress(hc *fasthttp.RequestCtx) {
	token := hc.Request.Header.Peek(HeaderCall)
	if len(token) == 0 {
		d.serveCaller(hc)
		return
	}
	run := d.calls.find(string(token))
	if run == nil {
		err := request.NewNotRunError(request.ReasonBadToken, "give back the "+HeaderCall+" of the call that is being served, while it is being served")
		d.writeRefusal(hc, "", err)
		return
	}
	started := d.now()
	ctx, cancel := context.WithCancel(run.ctx)
	defer d.watch.Add(hc.Conn(), cancel)()
	out, limit, err := d.childCall(hc, run)
	if err != nil {
		cancel()
		d.writeRefusal(hc, run.call.ID, err)
		return
	}
	ans, fail := d.forward(ctx, out)
	run.attempts.Add(out.attempts)
	if fail != nil {
		cancel()
		e := replaceIfTooLarge(fail.err, limit)
		run.recordChildFailure(e)
		d.writeRefusal(hc, run.call.ID, e)
		d.finished(out.call, e.Outcome, string(e.Reason), started)
		return
	}
	run.childRan.Store(true)
	d.writeCaller(hc, &entry{d: d, call: out.call}, ans, cancel)
	d.finished(out.call, request.Answered, "whole answer", started)
}

// recordChildFailure records that a child call was not answered, by whether it
// was certainly not run or may have run. The outcome of its parent depends on
// that.
func (r *runningCall) recordChildFailure(e *request.Error) {
	if e.Outcome == request.NotRun {
		r.childRefused.Store(true)
		return
	}
	r.childRan.Store(true)
}

// replaceIfTooLarge returns a too-large error in place of err when a streaming
// body exceeded its limit and so caused err. It keeps the outcome, because it
// is not known what the backend server did with the part that it received.
func replaceIfTooLarge(err *request.Error, limit *limitReader) *request.Error {
	if limit == nil || !limit.exceeded.Load() {
		return err
	}
	e := tooLarge()
	e.Outcome = err.Outcome
	return e
}

// childCall describes a call made by a running call. Everything that says on
// whose behalf it is made is copied from the running call.
func (d *Daemon) childCall(hc *fasthttp.RequestCtx, run *runningCall) (*outgoing, *limitReader, *request.Error) {
	parent := run.call
	h := &hc.Request.Header
	name := serviceOf(hc)
	v := d.view.Load()
	svc := v.snap.Service(name)
	if svc == nil {
		return nil, nil, request.NewNotRunError(request.ReasonNoRoute, "no service has the name "+name+", put the service's name into the Host field")
	}
	body, limit, err := readBody(hc, int64(svc.MaxBody))
	if err != nil {
		return nil, nil, err
	}
	c := *parent
	c.Service = name
	c.Depth = parent.Depth + 1
	c.WorkSpent = true
	c.BodyBytes = body.size
	c.Idempotent = idempotentCall(h)
	c.Remaining = parent.Deadline.Sub(d.now())
	if c.Remaining <= 0 {
		return nil, nil, request.NewNotRunError(request.ReasonDeadline, "the deadline of the request has passed, stop working for it")
	}
	c.Deadline = childDeadline(d.now(), parent, h)
	out := &outgoing{
		call:      &c,
		body:      body,
		allowance: run.allowance,
		step:      "egress",
		head:      headFor(&c, body, v.snap.Generation),
		feedback:  func(a *wire.AnswerHead) { run.raiseWorst(max(a.GateLevel, a.WorstLevel)) },
	}
	out.head.Method = string(h.Method())
	out.head.Path = string(hc.Path())
	if q := hc.URI().QueryString(); len(q) > 0 {
		out.head.Path += "?" + string(q)
	}
	out.head.Headers = requestHeaders(h, false)
	return out, limit, nil
}

// childDeadline returns the parent's deadline, or an earlier one that the
// backend server requests.
func childDeadline(now time.Time, parent *request.Call, h *fasthttp.RequestHeader) time.Time {
	ms, ok := parseMillis(h.Peek(HeaderTimeout))
	if !ok {
		return parent.Deadline
	}
	requested := now.Add(time.Duration(ms) * time.Millisecond)
	if requested.Before(parent.Deadline) {
		return requested
	}
	return parent.Deadline
}

// serviceOf returns the host of a call without its port.
func serviceOf(hc *fasthttp.RequestCtx) string {
	host := hc.Host()
	for i, c := range host {
		if c == ':' {
			return string(host[:i])
		}
	}
	return string(host)
}

// idempotentCall reports whether a call of a backend server can safely run
// twice.
func idempotentCall(h *fasthttp.RequestHeader) bool {
	switch string(h.Peek(HeaderIdempotent)) {
	case "true":
		return true
	case "false":
		return false
	}
	switch string(h.Method()) {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodPut, fasthttp.MethodDelete, fasthttp.MethodOptions:
		return true
	}
	return false
}
