package sidecar

import (
	"errors"
	"runtime/debug"

	"github.com/valyala/fasthttp"

	"wisteriafold/request"
)

// errPanicked is the result of work that ended with a panic.
var errPanicked = errors.New("the work ended with a panic; its stack is in the log, report it")

// recoverPanic ends a panic of the calling goroutine, so that an unexpected error in
// one request or event does not end the process. It logs the panic with its stack and
// counts it. It must be deferred directly.
func (d *Daemon) recoverPanic(work string, fields ...any) {
	if r := recover(); r != nil {
		d.logPanic(r, work, fields...)
	}
}

func (d *Daemon) logPanic(r any, work string, fields ...any) {
	d.metrics.panics.Inc()
	d.log.Error("panic", append([]any{"work", work, "panic", r, "stack", string(debug.Stack())}, fields...)...)
}

// protect runs f and reports whether it returned without a panic.
func (d *Daemon) protect(work string, f func()) (ok bool) {
	defer d.recoverPanic(work)
	f()
	return true
}

// protectHTTP returns a handler that answers 500 when h panics.
func (d *Daemon) protectHTTP(work string, h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(hc *fasthttp.RequestCtx) {
		if !d.protect(work, func() { h(hc) }) {
			hc.Error("internal error, see the log\n", fasthttp.StatusInternalServerError)
		}
	}
}

// recoverPanic answers a request whose handling panicked. The request may have run.
// It must be deferred directly.
func (e *entry) recoverPanic() {
	r := recover()
	if r == nil {
		return
	}
	id := ""
	if e.call != nil {
		id = e.call.ID
	}
	e.d.logPanic(r, "request of a caller", "request", id)
	e.d.metrics.request(request.Unknown.String(), string(request.ReasonBroken), e.d.now().Sub(e.startedAt))
	// Only the response is used here: the state of the entry may be what panicked.
	e.http.ResetResponse()
	e.http.SetConnectionClose()
	e.http.Response.SetStatusCode(fasthttp.StatusBadGateway)
	if id != "" {
		e.http.Response.Header.Set(e.d.names.AttemptID, id)
	}
	e.http.Response.SetBodyString("this daemon failed, look up its log\n")
}
