package sidecar

import (
	"context"
	"strconv"

	"github.com/valyala/fasthttp"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// answer sends the backend server's answer to the caller.
func (e *entry) answer(h *wire.AnswerHead) {
	if e.parent != nil {
		if h.Status >= fasthttp.StatusInternalServerError {
			e.parent.failedBelow.Store(true)
		} else {
			e.parent.answered.Add(1)
		}
	}
	e.routeState.recordAnswerSize(int64(len(h.Body)))
	resp := &e.http.Response
	resp.SetStatusCode(int(h.Status))
	for _, f := range h.Headers {
		resp.Header.Add(e.d.names.unpack(f.Name), f.Value)
	}
	resp.Header.Set(e.d.names.AttemptID, e.call.ID)
	resp.SetBodyRaw(h.Body)
	e.finish("answered", "", int(h.Status))
}

// fail answers a request for which there is no answer of a backend server.
func (e *entry) fail(ctx context.Context, err *request.Error) {
	if e.parent != nil {
		e.parent.failedBelow.Store(true)
	}
	if err.Outcome == request.NotRun {
		e.refuse(err)
		return
	}
	status := fasthttp.StatusBadGateway
	if ctx.Err() != nil || err.Reason == request.ReasonDeadline || !e.d.now().Before(e.call.Deadline) {
		status = fasthttp.StatusGatewayTimeout
	}
	e.respond(status, err)
}

// statusOf maps the reason of a refusal to an HTTP status. Status 429 and 503
// guarantee that the request has not run and will not run.
func statusOf(r request.Reason) int {
	switch r {
	case request.ReasonNoRoute:
		return fasthttp.StatusNotFound
	case request.ReasonNoKey, request.ReasonBadKey:
		return fasthttp.StatusUnauthorized
	case request.ReasonBadRequest:
		return fasthttp.StatusBadRequest
	case request.ReasonTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case request.ReasonRate:
		return fasthttp.StatusTooManyRequests
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// refuse answers a request that has certainly not run, and returns its token.
func (e *entry) refuse(err *request.Error) {
	if e.token.taken {
		e.d.tokens.returnToken(e.call.Organisation, e.token)
	}
	e.respond(statusOf(err.Reason), err)
}

func (e *entry) respond(status int, err *request.Error) {
	resp := &e.http.Response
	resp.SetStatusCode(status)
	resp.Header.SetContentType("text/plain; charset=utf-8")
	if e.call != nil && e.call.ID != "" {
		resp.Header.Set(e.d.names.AttemptID, e.call.ID)
	}
	if err.Outcome == request.NotRun && err.RetryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfterOf(err, e.call).Seconds(), 'f', 3, 64))
	}
	resp.SetBodyString(string(err.Reason) + ": " + err.Remedy + "\n")
	e.finish(err.Outcome.String(), string(err.Reason), status)
}

// finish logs the end of a request and updates the metrics.
func (e *entry) finish(outcome, reason string, status int) {
	d := e.d
	took := d.now().Sub(e.startedAt)
	d.metrics.request(outcome, reason, took)
	d.logEnd(e, outcome, reason, status, took)
}
