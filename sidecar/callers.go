package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"wisteriafold/request"
	"wisteriafold/routing"
	"wisteriafold/wire"
)

const (
	// knowledgeOld is the age from which this daemon no longer says that a
	// route or a key does not exist: a configuration has that long to be in
	// force everywhere.
	knowledgeOld = 2 * time.Second

	// cutOffRetryAfter is the time after which another daemon may have
	// brought the configuration.
	cutOffRetryAfter = 500 * time.Millisecond

	// prefetchBytes is the part of a request body that is read before the
	// handler runs.
	prefetchBytes = 64 << 10

	// heldBodies bounds the request bodies that a daemon holds at once, in
	// bytes: an eighth of the smallest memory that a deployment has given.
	heldBodies = 32 << 20
)

// entry is one request of a caller or of the local backend server.
type entry struct {
	d       *Daemon
	http    *fasthttp.RequestCtx
	table   *routing.Table
	match   routing.Match
	call    *request.Call
	body    []byte
	token   token
	held    int64 // bytes of the body that count towards heldBodies until the request ends
	learned *routeState
	above   *run // the running request that made this call, nil when not known
	began   time.Time
}

// serveCaller is the handler of the callers' listener.
func (d *Daemon) serveCaller(hc *fasthttp.RequestCtx) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	e := &entry{d: d, http: hc, table: d.table.Load(), began: d.now()}
	if d.stopping.Load() {
		hc.SetConnectionClose()
	}
	defer func() { d.held.Add(-e.held) }()
	if err := e.admit(); err != nil {
		e.refuse(err)
		return
	}
	if err := e.takeBody(); err != nil {
		e.refuse(err)
		return
	}
	e.serve()
}

// admit finds the route and the organisation, and decides whether the request
// is let in. Its errors mean that nothing has run.
func (e *entry) admit() *request.Error {
	d, h := e.d, &e.http.Request.Header
	if e.table == nil {
		return notReady("no configuration has been read yet, wait for the store")
	}
	if err := wellFormed(e.http); err != nil {
		return err
	}
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	var found bool
	e.match, found = e.table.Match(string(h.Host()), string(path))
	if !found {
		return e.unknown(request.ReasonNoRoute, "no route matches, correct host or path")
	}
	id := string(h.Peek(d.names.Attempt))
	e.call = &request.Call{
		ID:         id,
		Tree:       treeOf(id),
		Route:      e.match.Name,
		Importance: importanceOf(e.match.Rank),
		Idempotent: e.match.Idempotent,
		Deadline:   e.deadline(),
		Allowance:  uint32(e.match.MaxAttempts - 1),
	}
	e.call.Remaining = e.call.Deadline.Sub(e.began)
	if err := e.authenticate(); err != nil {
		return err
	}
	e.call.Service = e.match.Service()
	e.above = d.runs.parentOf(id)
	if e.above != nil {
		e.call.Importance = max(e.call.Importance, e.above.importance)
	}
	e.call.WorkSpent = e.call.Organisation == "" && e.table.Authenticates
	if e.above == nil && !e.call.WorkSpent && d.hasLeft(e.began) {
		err := request.Refuse(request.ReasonShutdown, "this daemon is stopping, send it again when it is back")
		err.RetryAfter = stopRetryAfter
		return err
	}
	e.learned = d.routeOf(e.match.Name)
	e.call.AnswerBytes = e.learned.answerBytes.Load()
	if !e.call.WorkSpent && !e.learned.Admit(e.began, e.call, 1) {
		err := request.Refuse(request.ReasonShedEntry, "a service on this route is overloaded, try again later")
		err.RetryAfter = shedRetryAfter
		return err
	}
	return e.takeToken()
}

// treeOf returns the tree of a request, which all daemons derive from its id.
func treeOf(id string) request.Tree { return request.Tree(xxhash.Sum64String(id)) }

// importanceOf maps a rank, 0 the most important, to a class.
func importanceOf(rank int) request.Importance {
	return request.Critical - request.Importance(min(max(rank, 0), int(request.Critical)))
}

func notReady(remedy string) *request.Error {
	err := request.Refuse(request.ReasonCutOff, remedy)
	err.RetryAfter = cutOffRetryAfter
	return err
}

// unknown tells that a route or key is not known, or, when this daemon's own
// knowledge is old, that it cannot tell.
func (e *entry) unknown(r request.Reason, remedy string) *request.Error {
	if e.d.age() > knowledgeOld {
		return notReady("the configuration cannot be confirmed, restore the way to the store")
	}
	return request.Refuse(r, remedy)
}

// deadline is the earlier of what the caller waits and the route's timeout.
func (e *entry) deadline() time.Time {
	wait := e.match.Timeout
	ms, err := strconv.ParseInt(string(e.http.Request.Header.Peek(e.d.names.Deadline)), 10, 64)
	if err == nil && ms >= 0 {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	return e.began.Add(wait)
}

// authenticate finds the organisation of the key.
func (e *entry) authenticate() *request.Error {
	if e.match.Open || !e.table.Authenticates {
		return nil
	}
	key := e.http.Request.Header.Peek(e.d.names.Key)
	if len(key) == 0 {
		return request.Refuse(request.ReasonNoKey, "the route needs a key, send one")
	}
	digest := routing.DigestOf(key)
	o := e.table.Owner(digest)
	if o == nil {
		return e.unknown(request.ReasonBadKey, "the key is not in force, use one that is")
	}
	if !e.d.keysFresh() {
		return notReady("keys cannot be confirmed here, restore the way to the store")
	}
	e.call.Organisation = o.Name
	e.call.KeyID = string(digestToWire(digest))
	if o.Rank != routing.NoRank {
		e.call.Importance = importanceOf(o.Rank)
	}
	return nil
}

// takeToken takes a token of the organisation's rate.
func (e *entry) takeToken() *request.Error {
	if e.call.Organisation == "" {
		return nil
	}
	var after time.Duration
	e.token, after = e.d.tokens.take(e.http, e.call.Organisation)
	if !e.token.taken {
		err := request.Refuse(request.ReasonRate, "the organisation's rate is used up, send less or raise it")
		err.RetryAfter = after
		return err
	}
	return nil
}

// wellFormed refuses what could be read as two requests.
func wellFormed(hc *fasthttp.RequestCtx) *request.Error {
	const chunked = -1 // what ContentLength returns for a body in chunks
	h := &hc.Request.Header
	if h.ContentLength() == chunked && hasField(h.RawHeaders(), fasthttp.HeaderContentLength) {
		hc.SetConnectionClose()
		return request.Refuse(request.ReasonBadRequest, "send a length or chunks, not both")
	}
	return nil
}

// hasField reports whether the fields, as they were sent, have one of this name.
func hasField(raw []byte, name string) bool {
	for line := range bytes.Lines(raw) {
		if n, _, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(bytes.TrimSpace(n), []byte(name)) {
			return true
		}
	}
	return false
}

// takeBody reads the whole body.
func (e *entry) takeBody() *request.Error {
	size := int64(e.http.Request.Header.ContentLength())
	limit := e.table.MaxBodyBytes
	if limit <= 0 {
		limit = heldBodies
	}
	if size > limit {
		e.http.SetConnectionClose()
		return request.Refuse(request.ReasonTooLarge, "the body is over the configuration's limit, send a smaller one")
	}
	stream := e.http.RequestBodyStream()
	if stream == nil {
		e.body = e.http.Request.Body()
		e.call.BodyBytes = int64(len(e.body))
		return nil
	}
	b, err := io.ReadAll(&heldReader{e: e, src: io.LimitReader(stream, limit+1)})
	if errors.Is(err, errHeld) {
		e.http.SetConnectionClose()
		return request.Refuse(request.ReasonBusy, "this daemon holds too many request bodies, try again later")
	}
	if err != nil || size >= 0 && int64(len(b)) != size {
		e.http.SetConnectionClose()
		return request.Refuse(request.ReasonBadRequest, "the body is shorter than announced, send it whole")
	}
	if int64(len(b)) > limit {
		e.http.SetConnectionClose()
		return request.Refuse(request.ReasonTooLarge, "the body is over the configuration's limit, send a smaller one")
	}
	e.body = b
	e.call.BodyBytes = int64(len(b))
	return nil
}

// heldReader counts what it reads towards the bodies that the daemon holds.
type heldReader struct {
	e   *entry
	src io.Reader
}

var errHeld = errors.New("too many request bodies are held")

// Read implements io.Reader. It fails with errHeld above the bound.
func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	r.e.held += int64(n)
	if r.e.d.held.Add(int64(n)) > heldBodies {
		return 0, errHeld
	}
	return n, err
}

// serve forwards the request and answers it.
func (e *entry) serve() {
	d := e.d
	ctx, cancel := context.WithDeadline(d.traffic, e.call.Deadline)
	defer cancel()
	defer d.watch.Add(e.http.Conn(), cancel)()
	h := &e.http.Request.Header
	progress := int32(0)
	if e.above != nil {
		progress = e.above.answered.Load()
	}
	out := &outgoing{
		progress:    progress,
		call:        e.call,
		body:        e.body,
		maxAttempts: e.match.MaxAttempts,
		observe:     e.observe,
		head: &wire.CallHead{
			RequestId:     e.call.ID,
			Organisation:  e.call.Organisation,
			KeyId:         []byte(e.call.KeyID),
			Route:         e.call.Route,
			Service:       e.call.Service,
			Importance:    uint32(e.call.Importance),
			Idempotent:    e.call.Idempotent,
			WorkSpent:     e.call.WorkSpent,
			Generation:    e.table.Generation,
			CallerService: d.set.Service,
			Method:        string(h.Method()),
			Path:          string(h.RequestURI()),
			Headers:       d.requestFields(h),
		},
	}
	out.head.Headers = append(out.head.Headers, &wire.Header{Name: d.names.pack([]byte(fasthttp.HeaderHost)), Value: string(h.Host())})
	ans, err := d.forward(ctx, out)
	if ans != nil {
		e.answer(ans)
		return
	}
	e.fail(ctx, err)
}

// observe takes in what a gate reported.
func (e *entry) observe(h *wire.AnswerHead) {
	if e.above != nil {
		raise(&e.above.worst, h.WorstLevel)
	}
	if !e.call.WorkSpent {
		e.learned.Observe(e.d.now(), request.Feedback{
			Gate:  request.Priority(h.GateLevel).Clamp(),
			Below: request.Priority(h.WorstLevel).Clamp(),
		})
	}
}
