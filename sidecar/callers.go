package sidecar

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/ingress"
	"wisteriafold/request"
	"wisteriafold/routing"
	"wisteriafold/wire"
)

const (
	// maxAgeForNotFound is the configuration age above which this daemon no
	// longer answers that a route or a key does not exist. A new configuration
	// must be in force on all daemons within this time.
	maxAgeForNotFound = 2 * time.Second

	// cutOffRetryAfter is the Retry-After for requests refused for want of a
	// recent configuration: by then another daemon may have sent it.
	cutOffRetryAfter = 500 * time.Millisecond
)

// entry is a request that a caller or the local backend server sent to this
// daemon.
type entry struct {
	d          *Daemon
	http       *ingress.Request
	table      *routing.Table
	match      routing.Match
	call       *request.Call
	answerBy   time.Time // time until which the caller waits
	body       []byte
	token      token
	held       heldBytes // bytes of the body, until the request ends
	routeState *routeState
	parent     *run      // request running on the local backend server that made this call, nil when unknown
	startedAt  time.Time // when its head was read

	organisation *routing.Organisation // owner of the key, nil for a request without one
}

// serveCaller handles requests on the callers' listener.
func (d *Daemon) serveCaller(hc *ingress.Request) {
	d.beginRequest()
	defer d.inFlight.Add(-1)
	e := &entry{d: d, http: hc, table: d.table.Load(), startedAt: hc.ReadAt}
	if d.stopping.Load() {
		hc.SetConnectionCloseIfLast()
	}
	e.held.d = d
	defer e.held.release()
	defer e.recoverPanic()
	if err := e.admit(); err != nil {
		e.refuse(err)
		return
	}
	hc.Admitted()
	if err := e.readBody(); err != nil {
		e.refuse(err)
		return
	}
	if err := e.refuseWhileStopping(d.now()); err != nil { // the body may have taken long
		e.refuse(err)
		return
	}
	e.serve()
}

// admit determines the route and the organisation of the request and decides
// whether the request is admitted. When it returns an error, the request has not
// run.
func (e *entry) admit() *request.Error {
	d, h := e.d, &e.http.Header
	now := d.now() // later than startedAt when the request waited for earlier ones
	if e.table == nil {
		return notReady("no configuration has been read yet, wait for the store")
	}
	if !d.evacuationsKnown() {
		return notReady("the evacuated data centres are not known yet, wait for the store")
	}
	if err := checkFraming(e.http); err != nil {
		return err
	}
	if d.callers.Full() {
		return answersHeldError()
	}
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	var found bool
	e.match, found = e.table.Match(string(h.Host()), string(path))
	if !found {
		return e.notFound(request.ReasonNoRoute, "no route matches, correct host or path")
	}
	id := string(h.Peek(d.names.AttemptID))
	e.answerBy = e.deadline()
	e.call = &request.Call{
		ID:         id,
		Tree:       treeOf(id),
		Route:      e.match.Name,
		Importance: importanceOf(e.match.Rank),
		Idempotent: e.match.Idempotent,
		Deadline:   d.finishableDeadline(e.answerBy),
		Allowance:  uint32(e.match.MaxAttempts - 1),
	}
	e.call.Remaining = e.call.Deadline.Sub(now)
	if err := e.authenticate(); err != nil {
		return err
	}
	if err := e.checkRegions(); err != nil {
		return err
	}
	e.call.Service = e.match.Service()
	e.parent = d.runs.parentOf(id)
	if e.parent != nil {
		e.call.Importance = max(e.call.Importance, e.parent.importance)
		e.call.Tree = e.parent.tree
	} else {
		e.call.Tree = e.call.Tree.WithRouteImportance(importanceOf(e.match.Rank), e.call.Importance)
	}
	e.call.WorkSpent = e.call.Organisation == "" && e.table.Authenticates
	if err := e.refuseWhileStopping(now); err != nil {
		return err
	}
	e.routeState = d.routeStateOf(e.match.Name)
	e.call.AnswerBytes = e.routeState.answerBytes.Load()
	if !e.call.WorkSpent && !e.routeState.Admit(now, e.call, 1) {
		err := request.NewNotRunError(request.ReasonShedEntry, "a service on this route is overloaded, try again later")
		err.RetryAfter = shedRetryAfter
		return err
	}
	return e.takeToken()
}

// importanceOf maps a rank, with 0 the most important, to an importance class.
func importanceOf(rank int) request.Importance {
	return request.Critical - request.Importance(min(max(rank, 0), int(request.Critical)))
}

func notReady(remedy string) *request.Error {
	err := request.NewNotRunError(request.ReasonCutOff, remedy)
	err.RetryAfter = cutOffRetryAfter
	return err
}

// notFound returns the refusal for a route or key that is not in the configuration.
// When the configuration is older than maxAgeForNotFound, it returns a cut-off
// refusal instead, as a newer configuration may contain the route or key.
func (e *entry) notFound(r request.Reason, remedy string) *request.Error {
	if e.d.configurationAge() > maxAgeForNotFound {
		return notReady("the configuration cannot be confirmed, restore the way to the store")
	}
	return request.NewNotRunError(r, remedy)
}

// deadline returns the deadline of the request: the earlier of the caller's
// deadline and the route's timeout.
func (e *entry) deadline() time.Time {
	wait := e.match.Timeout
	ms, err := strconv.ParseInt(string(e.http.Header.Peek(e.d.names.Deadline)), 10, 64)
	if err == nil && ms >= 0 {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	return e.startedAt.Add(wait)
}

// authenticate checks the API key and sets the organisation of the call. Open
// routes need no key.
func (e *entry) authenticate() *request.Error {
	if e.match.Open || !e.table.Authenticates {
		return nil
	}
	key := e.http.Header.Peek(e.d.names.Key)
	if len(key) == 0 {
		return request.NewNotRunError(request.ReasonNoKey, "the route needs a key, send one")
	}
	digest := routing.DigestOf(key)
	o := e.table.Owner(digest)
	if o == nil {
		return e.notFound(request.ReasonBadKey, "the key is not in force, use one that is")
	}
	if !e.d.keysFresh() {
		return notReady("keys cannot be confirmed here, restore the way to the store")
	}
	e.organisation = o
	e.call.Organisation = o.Name
	e.call.KeyID = string(digest[:])
	if o.Rank != routing.NoRank {
		e.call.Importance = importanceOf(o.Rank)
	}
	return nil
}

// takeToken takes a token from the organisation's rate limit.
func (e *entry) takeToken() *request.Error {
	if e.call.Organisation == "" {
		return nil
	}
	var after time.Duration
	e.token, after = e.d.tokens.take(e.http.Context(), e.call.Organisation)
	if !e.token.taken {
		err := request.NewNotRunError(request.ReasonRate, "the organisation's rate is used up, send less or raise it")
		err.RetryAfter = after
		return err
	}
	return nil
}

// checkFraming refuses a request with both a Content-Length and a chunked body:
// another server could read it as two requests (request smuggling).
func checkFraming(hc *ingress.Request) *request.Error {
	const chunked = -1 // result of ContentLength for a chunked body
	h := &hc.Header
	if h.ContentLength() == chunked && hasField(h.RawHeaders(), fasthttp.HeaderContentLength) {
		hc.SetConnectionClose()
		return request.NewNotRunError(request.ReasonBadRequest, "send a length or chunks, not both")
	}
	return nil
}

// hasField reports whether the raw header fields contain a field with this name.
func hasField(raw []byte, name string) bool {
	for line := range bytes.Lines(raw) {
		if n, _, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(bytes.TrimSpace(n), []byte(name)) {
			return true
		}
	}
	return false
}

// serve forwards the request to an endpoint and answers the caller.
func (e *entry) serve() {
	d := e.d
	ctx, cancel := context.WithDeadline(e.http.Context(), e.answerBy)
	defer cancel()
	h := &e.http.Header
	progress := int32(0)
	if e.parent != nil {
		progress = e.parent.answered.Load()
	}
	out := &outgoing{
		progress:    progress,
		call:        e.call,
		body:        e.body,
		maxAttempts: e.match.MaxAttempts,
		observe:     e.observe,
		entry:       e,
		head: &wire.CallHead{
			RequestId:     e.call.ID,
			Tree:          treeToWire(e.call),
			Organisation:  e.call.Organisation,
			KeyId:         []byte(e.call.KeyID),
			Route:         e.call.Route,
			Service:       e.call.Service,
			Importance:    uint32(e.call.Importance),
			Idempotent:    e.call.Idempotent,
			WorkSpent:     e.call.WorkSpent,
			Generation:    e.table.Generation,
			CallerService: d.settings.Service,
			Method:        string(h.Method()),
			Path:          string(h.RequestURI()),
			Headers:       d.requestFields(h),
			Regions:       e.call.Regions,
		},
	}
	out.head.Headers = append(out.head.Headers, &wire.Header{Name: d.names.pack([]byte(fasthttp.HeaderHost)), Value: string(h.Host())})
	defer e.holdUntilWritten(&out.held)
	ans, err := d.forward(ctx, out)
	if ans != nil {
		e.answer(ans)
		return
	}
	e.fail(ctx, err)
}

// observe records the admission levels that a gate reported.
func (e *entry) observe(h *wire.AnswerHead) {
	if e.parent != nil {
		e.parent.levels.set(e.call.Service, h.WorstLevel)
	}
	if !e.call.WorkSpent {
		e.routeState.Observe(e.d.now(), request.Feedback{
			Gate:       request.Priority(h.GateLevel).Clamp(),
			Downstream: request.Priority(h.WorstLevel).Clamp(),
		})
	}
}
