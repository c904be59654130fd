package backend

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/request"
)

// RawCall is a request that is sent byte for byte and answered whole.
type RawCall struct {
	Head []byte // request line and header fields, with the empty line
	Body []byte

	// MaxIdle is the longest time for which a kept connection may have been
	// idle to be used, 0 for no limit but that of the client. A request that
	// must not be lost goes on a connection that was used a moment ago or on a
	// new one.
	MaxIdle time.Duration

	// Owns reports whether a response belongs to this request. A response of an
	// earlier request that came late is skipped.
	Owns func(*fasthttp.Response) bool
}

// RawAnswer is a whole response.
type RawAnswer struct {
	Response *fasthttp.Response // released by Release
	Body     []byte
}

// Release ends the use of the response.
func (a *RawAnswer) Release() { fasthttp.ReleaseResponse(a.Response) }

const (
	// asideBytes is the size from which a request is written while its response
	// is read: a backend server may answer before it has read everything.
	asideBytes = 32 << 10

	// maxLate is the number of late responses that are skipped on a connection.
	maxLate = 2

	// keepAliveMargin is taken off the time that a backend server says it
	// keeps an idle connection: a request that crosses its close is lost.
	keepAliveMargin = time.Second
)

var errOthersAnswers = errors.New("only answers of other requests came on the connection")

// DoRaw sends a request and reads its whole response. The deadline of ctx
// bounds the exchange. Errors are *request.Error: NotRun when the backend
// server cannot have seen the request, Unknown otherwise.
func (c *Client) DoRaw(ctx context.Context, call *RawCall) (*RawAnswer, error) {
	cc, err := c.acquireUsed(ctx, call.MaxIdle)
	if err != nil {
		return nil, err
	}
	if dl, ok := ctx.Deadline(); ok {
		_ = cc.SetDeadline(dl)
	}
	stop := context.AfterFunc(ctx, func() { _ = cc.Close() })
	a, keep, err := cc.exchange(call)
	if stop() && err == nil && keep {
		c.release(cc)
	} else {
		c.discard(cc)
		<-c.slots
	}
	if err != nil {
		return nil, lost(ctx, err)
	}
	return a, nil
}

// exchange reports whether the connection can serve another request.
func (cc *clientConn) exchange(call *RawCall) (a *RawAnswer, keep bool, err error) {
	var writeErr error
	written := make(chan struct{})
	write := func() {
		defer close(written)
		writeErr = cc.write(call)
	}
	if len(call.Head)+len(call.Body) > asideBytes {
		go write()
	} else {
		write()
		if writeErr != nil { // the answer may have been sent before the close
			_ = cc.SetReadDeadline(time.Now().Add(earlyAnswerWait))
		}
	}
	a, err = cc.read(call)
	whole := false
	select {
	case <-written:
		whole = writeErr == nil
		if err != nil && writeErr != nil {
			err = writeErr
		}
	default: // answered early or broken: the rest of the body is not sent
		_ = cc.Close()
		<-written // its error comes from this close and says nothing about the exchange
	}
	if err != nil {
		return nil, false, err
	}
	cc.keepFor = keepAlive(a.Response)
	return a, whole && !a.Response.ConnectionClose() && cc.br.Buffered() == 0, nil
}

func (cc *clientConn) write(call *RawCall) error {
	if _, err := cc.bw.Write(call.Head); err != nil {
		return err
	}
	if _, err := cc.bw.Write(call.Body); err != nil {
		return err
	}
	return cc.bw.Flush()
}

func (cc *clientConn) read(call *RawCall) (*RawAnswer, error) {
	resp := fasthttp.AcquireResponse()
	for late := 0; ; late++ {
		resp.Reset()
		resp.StreamBody = true
		if err := resp.Read(cc.br); err != nil {
			fasthttp.ReleaseResponse(resp)
			return nil, err
		}
		body, err := readWhole(resp)
		if err != nil {
			fasthttp.ReleaseResponse(resp)
			return nil, err
		}
		if call.Owns == nil || call.Owns(resp) {
			return &RawAnswer{Response: resp, Body: body}, nil
		}
		if late == maxLate {
			fasthttp.ReleaseResponse(resp)
			return nil, errOthersAnswers
		}
	}
}

func readWhole(resp *fasthttp.Response) ([]byte, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return append([]byte(nil), resp.Body()...), nil
	}
	size := resp.Header.ContentLength()
	var b []byte
	var err error
	if size > 0 {
		b = make([]byte, size)
		_, err = io.ReadFull(stream, b)
	} else {
		b, err = io.ReadAll(stream)
	}
	if cerr := resp.CloseBodyStream(); err == nil && cerr != nil {
		err = cerr
	}
	return b, err
}

// keepAlive returns how long the backend server says that it keeps the
// connection, less a margin; 0 when it does not say.
func keepAlive(resp *fasthttp.Response) time.Duration {
	for _, p := range strings.Split(string(resp.Header.Peek(fasthttp.HeaderKeepAlive)), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout=")
		if n, err := strconv.Atoi(v); ok && err == nil {
			return max(time.Duration(n)*time.Second-keepAliveMargin, time.Millisecond)
		}
	}
	return 0
}

// acquireUsed returns a connection that has not been idle for longer than
// maxIdle, or a new one.
func (c *Client) acquireUsed(ctx context.Context, maxIdle time.Duration) (*clientConn, error) {
	if maxIdle > 0 {
		c.mu.Lock()
		var last *clientConn
		if n := len(c.idle); n > 0 {
			last = c.idle[n-1]
		}
		old := last != nil && time.Since(last.since) > maxIdle
		c.mu.Unlock()
		if old {
			return c.acquireNew(ctx)
		}
	}
	return c.acquire(ctx)
}

// acquireNew opens a connection although idle ones are kept.
func (c *Client) acquireNew(ctx context.Context) (*clientConn, error) {
	select {
	case c.slots <- struct{}{}:
		return c.dial(ctx)
	case <-ctx.Done():
		return nil, request.Refuse(request.ReasonDeadline, "no connection to the backend server became free in time")
	}
}
