package instance

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// HeaderIdempotent lets a backend server say true or false where the method of
// a call below does not tell whether a second run does harm.
const HeaderIdempotent = "Wisteriafold-Idempotent"

// serveEgress handles one call of the backend server beside this daemon. The
// Host field names the service. A call with a live token belongs to the running
// call's tree; a call without a token is an outside request.
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
		e := overLimit(fail.err, limit)
		run.refusedBelow(e)
		d.writeRefusal(hc, run.call.ID, e)
		d.finished(out.call, e.Outcome, string(e.Reason), started)
		return
	}
	run.childRan.Store(true)
	d.writeCaller(hc, &entry{d: d, call: out.call}, ans, cancel)
	d.finished(out.call, request.Answered, "whole answer", started)
}

// refusedBelow records what a call below that was not answered means for the
// outcome of its parent.
func (r *running) refusedBelow(e *request.Error) {
	if e.Outcome == request.NotRun {
		r.childRefused.Store(true)
		return
	}
	r.childRan.Store(true)
}

// overLimit replaces the loss that a too large streaming body has caused by
// its cause. What the backend server did with the part it got is not known.
func overLimit(err *request.Error, limit *limitReader) *request.Error {
	if limit == nil || !limit.over.Load() {
		return err
	}
	e := tooLarge()
	e.Outcome = err.Outcome
	return e
}

// childCall describes a call below a running call: everything that says on
// whose behalf it is comes from the running call.
func (d *Daemon) childCall(hc *fasthttp.RequestCtx, run *running) (*outgoing, *limitReader, *request.Error) {
	parent := run.call
	h := &hc.Request.Header
	name := serviceOf(hc)
	v := d.view.Load()
	svc := v.snap.Service(name)
	if svc == nil {
		return nil, nil, request.NewNotRunError(request.ReasonNoRoute, "no service has the name "+name+", put the service's name into the Host field")
	}
	body, limit, err := takeBody(hc, int64(svc.MaxBody))
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
		call: &c,
		body: body,
		pool: run.allowance,
		step: "egress",
		head: headFor(&c, body, v.snap.Generation),
		fold: func(a *wire.AnswerHead) { run.fold(max(a.GateLevel, a.WorstLevel)) },
	}
	out.head.Method = string(h.Method())
	out.head.Path = string(hc.Path())
	if q := hc.URI().QueryString(); len(q) > 0 {
		out.head.Path += "?" + string(q)
	}
	out.head.Headers = requestHeaders(h, false)
	return out, limit, nil
}

// childDeadline is the parent's deadline, or an earlier one that the backend
// server asks for.
func childDeadline(now time.Time, parent *request.Call, h *fasthttp.RequestHeader) time.Time {
	ms, ok := parseMillis(h.Peek(HeaderTimeout))
	if !ok {
		return parent.Deadline
	}
	wished := now.Add(time.Duration(ms) * time.Millisecond)
	if wished.Before(parent.Deadline) {
		return wished
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

// idempotentCall tells whether a second run of a call below does no harm.
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
