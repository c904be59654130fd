package httpclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/memaccount"
	"wisteriafold/request"
	"wisteriafold/response"
)

// RawCall is a request that is sent byte for byte, and whose response is read
// completely before it is returned.
type RawCall struct {
	Head []byte // request line and header fields, including the empty line that ends them
	Body []byte

	// ID is the request id, which Matches looks for in a response. A connection that has
	// carried a request with this id is not used again for it, because a late response to
	// the earlier one could not be told from its own. Empty means that there is no id.
	ID string

	// MaxIdle is the maximum idle time of a connection that may be reused; 0
	// leaves only the limit of the client. The longer a connection is idle, the
	// likelier its peer closes it while the request is on its way. A request
	// that must not be lost therefore sets a short MaxIdle, and uses a recently
	// used connection or a new one.
	MaxIdle time.Duration

	// Repeatable says that the request may be sent twice. If the server has closed a kept
	// connection while the request was on its way, it is sent again on a new one.
	Repeatable bool

	// Held is the holding of the answer, which the caller of DoRaw releases. With nil,
	// RawAnswer.Release releases the answer.
	Held *memaccount.Holding

	// Accept returns an error when a response with this head cannot be an answer. Its
	// body is not read then, and a *request.Error becomes the error of the call. A nil
	// Accept accepts every head.
	Accept func(*fasthttp.Response) error

	// Matches reports whether a response belongs to this request. Late responses to
	// earlier requests are skipped. A nil Matches accepts every response.
	Matches func(*fasthttp.Response) bool
}

// RawAnswer is a completely read response.
type RawAnswer struct {
	Response *fasthttp.Response // released by Release
	Body     []byte

	head response.Head
	held *memaccount.Holding // nil when the call brought its own
}

// Release releases Response, which must not be used afterwards. Without a holding of
// the call, the bytes of Body no longer count as held.
func (a *RawAnswer) Release() {
	fasthttp.ReleaseResponse(a.Response)
	a.held.Release()
}

const (
	// concurrentWriteBytes is the size in bytes above which a request is written
	// in a goroutine of its own while the response is read, because a backend
	// server may answer before it has read the whole request.
	concurrentWriteBytes = 32 << 10

	// maxLateResponses is the maximum number of late responses that are skipped
	// for one request.
	maxLateResponses = 2

	// busyRetryAfter is the Retry-After for requests that are refused because the daemon
	// holds too many answers.
	busyRetryAfter = 200 * time.Millisecond

	// keepAliveMargin is subtracted from the keep-alive timeout that a backend
	// server announces: a request that is sent while the server closes the
	// connection is lost.
	keepAliveMargin = time.Second
)

// longAgo is a deadline that ends an operation in progress.
var longAgo = time.Unix(1, 0)

var (
	errOtherResponses = errors.New("server sent only responses to other requests, check that it answers each request once")
	errNotOrderly     = errors.New("server reset the connection of a response that ends with the connection, look up its log")
)

// DoRaw sends a request and reads its complete response. The deadline of ctx
// applies to the whole exchange, including waits for memory. Errors are
// *request.Error with outcome NotRun when the backend server cannot have received the
// request, and Unknown otherwise. There is no memory for a further answer when the
// error is NotRun with ReasonBusy.
func (c *Client) DoRaw(ctx context.Context, call *RawCall) (*RawAnswer, error) {
	held, own := call.Held, (*memaccount.Holding)(nil)
	if held == nil {
		own = c.cfg.Answers.Hold()
		held = own
	}
	before := held.Bytes()
	if !held.TryReserve(initialReserve) {
		e := request.NewNotRunError(request.ReasonBusy, "this daemon holds too many answers, try again later or raise its memory limit")
		e.RetryAfter = busyRetryAfter
		return nil, e
	}
	m := &meter{ctx: ctx, client: c, held: held, reserved: initialReserve}
	a, err := c.doMetered(ctx, call, m)
	if err != nil {
		held.Trim(before)
		return nil, err
	}
	held.Trim(before + int64(len(a.Body)))
	a.held = own
	return a, nil
}

// doMetered is DoRaw with the meter of the exchange.
func (c *Client) doMetered(ctx context.Context, call *RawCall, m *meter) (*RawAnswer, error) {
	cc, err := c.acquireRecent(ctx, call.MaxIdle, hashID(call.ID))
	if err != nil {
		return nil, err
	}
	reused := !cc.idleSince.IsZero()
	a, err := c.doOn(ctx, cc, call, m)
	if call.Repeatable && reused && m.read == 0 && IsConnectionLost(err) {
		if cc, err = c.acquireNew(ctx); err != nil {
			return nil, err
		}
		a, err = c.doOn(ctx, cc, call, m)
	}
	if err != nil {
		return nil, lostError(ctx, err)
	}
	return a, nil
}

// doOn sends a request over a connection and reads its response. Afterwards the
// connection is released or closed.
func (c *Client) doOn(ctx context.Context, cc *clientConn, call *RawCall, m *meter) (*RawAnswer, error) {
	if dl, ok := ctx.Deadline(); ok {
		_ = cc.SetDeadline(dl)
	}
	stop := context.AfterFunc(ctx, func() { _ = cc.Close() })
	if id := hashID(call.ID); id != 0 {
		cc.carried.add(id)
	}
	cc.meter = m
	a, keep, err := cc.exchange(call)
	cc.meter = nil
	if stop() && err == nil && keep {
		c.release(cc)
	} else {
		c.discard(cc)
		<-c.slots
	}
	return a, err
}

// exchange sends a request and reads its response. keep reports whether the
// connection can serve another request.
func (cc *clientConn) exchange(call *RawCall) (a *RawAnswer, keep bool, err error) {
	var writeErr error
	written := make(chan struct{})
	write := func() {
		defer close(written)
		writeErr = cc.write(call)
	}
	if len(call.Head)+len(call.Body) > concurrentWriteBytes {
		go write()
	} else {
		write()
		if writeErr != nil { // the server may have answered before it closed the connection
			_ = cc.SetReadDeadline(time.Now().Add(earlyAnswerWait))
		}
	}
	a, err = cc.readAnswer(call)
	select {
	case <-written:
	default: // answered early or failed: do not send the rest of the request
		_ = cc.SetWriteDeadline(longAgo)
		<-written
	}
	sentAll := writeErr == nil
	aborted := errors.Is(writeErr, os.ErrDeadlineExceeded) // by this function, or at the deadline of the call
	switch {
	case err != nil && !sentAll && !aborted:
		err = writeErr
	case err == nil && a.head.Framing == response.FramingClose && !sentAll && !aborted:
		// The kernel reports a reset once. The write took the report, so that the
		// read saw an end like that of an orderly close.
		a.Release()
		err = errNotOrderly
	}
	if err != nil {
		return nil, false, err
	}
	cc.keepAliveFor = keepAlive(a.Response)
	return a, sentAll && a.head.Persistent && cc.br.Buffered() == 0 && !cc.carried.full(), nil
}

// write sends the request.
func (cc *clientConn) write(call *RawCall) error {
	if _, err := cc.bw.Write(call.Head); err != nil {
		return err
	}
	if _, err := cc.bw.Write(call.Body); err != nil {
		return err
	}
	return cc.bw.Flush()
}

// readAnswer returns the first response that belongs to call.
func (cc *clientConn) readAnswer(call *RawCall) (*RawAnswer, error) {
	a := &RawAnswer{Response: fasthttp.AcquireResponse()}
	for skipped := 0; ; skipped++ {
		a.Response.Reset()
		err := cc.readOne(a, call)
		if err == nil && (call.Matches == nil || call.Matches(a.Response)) {
			return a, nil
		}
		if err == nil && skipped == maxLateResponses {
			err = errOtherResponses
		}
		if err != nil {
			fasthttp.ReleaseResponse(a.Response)
			return nil, err
		}
	}
}

// readOne reads one response. The body of a response that call does not accept is not
// read.
func (cc *clientConn) readOne(a *RawAnswer, call *RawCall) (err error) {
	cc.meter.startAnswer()
	if a.head, err = response.ReadHead(cc.br, call.method(), &a.Response.Header); err != nil {
		return err
	}
	if call.Accept != nil {
		if err := call.Accept(a.Response); err != nil {
			return err
		}
	}
	length := int64(-1)
	if a.head.Framing == response.FramingLength || a.head.Framing == response.FramingNone {
		length = a.head.Length
	}
	if err := cc.meter.startBody(length); err != nil {
		return err
	}
	a.Body, err = readBody(response.NewBody(cc.br, a.head), length)
	return err
}

// method returns the method of the request.
func (call *RawCall) method() string {
	method, _, _ := bytes.Cut(call.Head, []byte(" "))
	return string(method)
}

// readBody returns the complete body. Memory for a length that is known, which means not
// negative, has been reserved.
func readBody(body *response.Body, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	b := make([]byte, length)
	if length == 0 {
		return b, nil
	}
	_, err := io.ReadFull(body, b)
	return b, err
}

// keepAlive returns the keep-alive timeout that the backend server announces, less
// keepAliveMargin and at least 1 ms, or 0 when it announces none.
func keepAlive(resp *fasthttp.Response) time.Duration {
	for _, p := range strings.Split(string(resp.Header.Peek(fasthttp.HeaderKeepAlive)), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout=")
		if n, err := strconv.Atoi(v); ok && err == nil {
			return max(time.Duration(n)*time.Second-keepAliveMargin, time.Millisecond)
		}
	}
	return 0
}

// acquireRecent returns a connection that has not been idle for longer than
// maxIdle and has not carried the request id with the hash id, or a new one. A maxIdle of
// 0 sets no limit.
func (c *Client) acquireRecent(ctx context.Context, maxIdle time.Duration, id uint64) (*clientConn, error) {
	if maxIdle > 0 {
		c.mu.Lock()
		var last *clientConn
		if n := len(c.idle); n > 0 {
			last = c.idle[n-1]
		}
		tooOld := last != nil && time.Since(last.idleSince) > maxIdle
		c.mu.Unlock()
		if tooOld {
			return c.acquireNew(ctx)
		}
	}
	return c.acquire(ctx, id)
}

// acquireNew opens a connection even if there are idle ones.
func (c *Client) acquireNew(ctx context.Context) (*clientConn, error) {
	select {
	case c.slots <- struct{}{}:
		return c.dial(ctx)
	case <-ctx.Done():
		return nil, request.NewNotRunError(request.ReasonDeadline, "no connection to the server became free in time")
	}
}
