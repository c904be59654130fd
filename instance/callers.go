package instance

import (
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/config"
	"wisteriafold/organisation"
	"wisteriafold/request"
	"wisteriafold/wire"
)

// entry is one outside request, the root of a tree of calls, at the daemon that
// received it.
type entry struct {
	d     *Daemon
	http  *fasthttp.RequestCtx
	view  *view
	match *config.Match
	call  *request.Call
	out   *outgoing
	limit *limitReader // nil for a body that was read into memory
}

// serveCaller handles one request on the callers listener.
func (d *Daemon) serveCaller(hc *fasthttp.RequestCtx) {
	started := d.now()
	d.stats.requests.Add(1)
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	if d.stopping.Load() {
		hc.SetConnectionClose()
	}
	e := &entry{d: d, http: hc, view: d.view.Load()}
	ctx, cancel := context.WithCancel(d.traffic)
	defer d.watch.Add(hc.Conn(), cancel)()
	ans, err := e.serve(ctx)
	if err != nil {
		cancel()
		d.writeRefusal(hc, e.id(), err)
		d.finished(e.call, err.Outcome, string(err.Reason), started)
		return
	}
	d.writeCaller(hc, e, ans, cancel)
	d.finished(e.call, request.Answered, "whole answer", started)
}

func (e *entry) id() string {
	if e.call == nil {
		return ""
	}
	return e.call.ID
}

func (e *entry) serve(ctx context.Context) (*answer, *request.Error) {
	if err := e.d.refuseWhileStopping(); err != nil {
		return nil, err
	}
	e.d.served.Add(1)
	if err := e.identify(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, e.call.Deadline)
	ans, err := e.admit(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	release := ans.close
	ans.close = func(complete bool) {
		release(complete)
		cancel()
	}
	return ans, nil
}

// identify finds the route and the organisation of the request and sets e.call
// and e.out.
func (e *entry) identify() *request.Error {
	h := &e.http.Request.Header
	if err := checkCallerHeaders(h); err != nil {
		return err
	}
	m, ok := e.view.snap.Route(h.Method(), e.http.Path())
	if !ok {
		return request.NewNotRunError(request.ReasonNoRoute, "no route takes this method and path, ask the operators which do")
	}
	e.match = m
	owner, keyID, inAuth, err := e.authenticate(h)
	if err != nil {
		return err
	}
	if err := e.describe(owner, keyID); err != nil {
		return err
	}
	if err := e.restrict(); err != nil {
		return err
	}
	return e.prepare(h, inAuth)
}

// checkCallerHeaders refuses header fields with the reserved prefix that
// callers may not set.
func checkCallerHeaders(h *fasthttp.RequestHeader) *request.Error {
	for k := range h.All() {
		name := string(k)
		if !isReserved(name) {
			continue
		}
		switch name {
		case HeaderKey, HeaderTimeout:
		case HeaderCall:
			return request.NewNotRunError(request.ReasonBadToken, "call tokens are taken on the egress listener only, remove the field "+name)
		default:
			return request.NewNotRunError(request.ReasonBadRequest, "callers may not set "+name+", remove it")
		}
	}
	return nil
}

// keyOf returns the key of a request and whether it was in the Authorization
// field. A bearer token without the prefix of a key is meant for the backend
// server and is not a key.
func keyOf(h *fasthttp.RequestHeader) (key []byte, inAuth bool) {
	if k := h.Peek(HeaderKey); len(k) > 0 {
		return k, false
	}
	k := bearer(h.Peek(fasthttp.HeaderAuthorization))
	if len(k) < len(organisation.KeyPrefix) || string(k[:len(organisation.KeyPrefix)]) != organisation.KeyPrefix {
		return nil, false
	}
	return k, true
}

func (e *entry) authenticate(h *fasthttp.RequestHeader) (owner, keyID string, inAuth bool, err *request.Error) {
	key, inAuth := keyOf(h)
	switch {
	case e.match.Open && key != nil:
		return "", "", false, request.NewNotRunError(request.ReasonKeyOnOpen, "this route is open to all, send the request without the key")
	case e.match.Open:
		return "", "", false, nil
	case key == nil:
		return "", "", false, request.NewNotRunError(request.ReasonNoKey, "send the organisation's key in "+HeaderKey)
	}
	owner, ok := e.view.keys.Lookup(key)
	if !ok {
		return "", "", false, request.NewNotRunError(request.ReasonBadKey, "the key is not in force, ask the operators for a new one")
	}
	if age := e.d.configurationAge(); e.match.RefuseAge > 0 && age > e.match.RefuseAge {
		err := request.NewNotRunError(request.ReasonCutOff, "this data centre cannot confirm the key, try another data centre")
		err.RetryAfter = cutOffRetryAfter
		return "", "", false, err
	}
	id := organisation.IDOf(key)
	return owner, string(id[:]), inAuth, nil
}

// describe sets e.call, whose properties hold for the whole tree of the
// request.
func (e *entry) describe(owner, keyID string) *request.Error {
	left := e.match.Deadline
	if v := e.http.Request.Header.Peek(HeaderTimeout); len(v) > 0 {
		ms, ok := parseMillis(v)
		if !ok {
			return request.NewNotRunError(request.ReasonBadRequest, HeaderTimeout+" must be a positive number of milliseconds")
		}
		left = min(left, time.Duration(ms)*time.Millisecond)
	}
	now := e.d.now()
	deadline := e.d.finishableDeadline(now.Add(left))
	e.call = &request.Call{
		ID:           e.d.newRequestID(),
		Tree:         request.Tree(e.d.random()),
		Organisation: owner,
		KeyID:        keyID,
		Route:        e.match.Route,
		Service:      e.match.Service,
		Importance:   e.match.Importance,
		Deadline:     deadline,
		Remaining:    deadline.Sub(now),
		Allowance:    e.match.RetryAllowance,
		Idempotent:   e.match.Idempotent,
	}
	return nil
}

// prepare reads the body, or leaves a large one to stream, and builds the call
// head that all attempts share.
func (e *entry) prepare(h *fasthttp.RequestHeader, inAuth bool) *request.Error {
	body, limit, err := readBody(e.http, e.match.MaxBody)
	if err != nil {
		return err
	}
	e.limit = limit
	e.call.BodyBytes = body.size
	e.out = &outgoing{
		call:      e.call,
		body:      body,
		allowance: request.NewAllowance(e.call.Allowance),
		step:      "entry",
		head:      headFor(e.call, body, e.view.snap.Generation),
		feedback:  func(a *wire.AnswerHead) { e.d.observeEntry(e.match.Route, a) },
	}
	e.out.head.Method = string(h.Method())
	e.out.head.Path = string(e.http.Request.Header.RequestURI())
	e.out.head.Headers = requestHeaders(h, inAuth)
	return nil
}

// headFor returns the part of a call head that all attempts share.
func headFor(c *request.Call, body *upload, generation uint64) *wire.CallHead {
	return &wire.CallHead{
		RequestId:    c.ID,
		Tree:         uint64(c.Tree),
		Organisation: c.Organisation,
		KeyId:        []byte(c.KeyID),
		Route:        c.Route,
		Service:      c.Service,
		Importance:   uint32(c.Importance),
		Idempotent:   c.Idempotent,
		Depth:        c.Depth,
		WorkSpent:    c.WorkSpent,
		BodyBytes:    body.size,
		Body:         body.inline,
		BodyFollows:  body.stream != nil,
		Generation:   generation,
		Regions:      c.Regions,
	}
}

// readBody reads a small body into memory and leaves a large one to stream. The
// limitReader, which it returns for a streaming body, records whether the body
// exceeded maxBody.
func readBody(hc *fasthttp.RequestCtx, maxBody int64) (*upload, *limitReader, *request.Error) {
	size := int64(hc.Request.Header.ContentLength())
	stream := hc.RequestBodyStream()
	if size > maxBody {
		hc.SetConnectionClose()
		return nil, nil, tooLarge()
	}
	if stream == nil {
		b := hc.Request.Body()
		return &upload{inline: append([]byte(nil), b...), size: int64(len(b))}, nil, nil
	}
	limit := newLimitReader(stream, maxBody)
	if size < 0 || size > wire.ChunkBytes {
		return &upload{stream: limit, size: max(size, -1)}, limit, nil
	}
	b, err := io.ReadAll(limit)
	if err != nil || int64(len(b)) != size {
		return nil, nil, request.NewNotRunError(request.ReasonBadRequest, "the body is shorter than its Content-Length, send it whole")
	}
	return &upload{inline: b, size: size}, nil, nil
}

func tooLarge() *request.Error {
	return request.NewNotRunError(request.ReasonTooLarge, "the body is over the route's max_body, send a smaller one")
}
