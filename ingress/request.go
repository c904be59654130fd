package ingress

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// state is the progress of a request.
type state uint8

const (
	unstarted state = iota // read, and waiting for its turn
	running                // its handler runs
	done                   // its answer waits to be written or is being written
)

// Request is one request of a caller with its answer. It must not be used after its
// handler has returned.
type Request struct {
	Header   fasthttp.RequestHeader
	Response fasthttp.Response

	// Body is nil for a request without a body. Reads fail when the body is broken,
	// does not make progress or takes too long.
	Body io.Reader

	// ReadAt is when the head was complete. The caller's time to wait counts from it.
	ReadAt time.Time

	conn   *conn
	uri    fasthttp.URI // scratch for checking the request's target
	body   body
	keep   io.Closer // closed when the request is released
	ctx    context.Context
	cancel context.CancelFunc

	// Guarded by conn.mu.
	state       state
	overlaps    bool  // may run beside other requests of the connection
	admitted    bool  // the next request may start
	closes      bool  // the connection ends with this answer
	closeIfLast bool  // the connection ends with this answer if no later request has started
	counted     bool  // counts as waiting, see Server.Waiting
	rejected    bool  // the answer is to a head or a body that cannot be used
	held        int64 // bytes that the account holds for it
}

// maxPooledFields is the size of the header fields, in bytes, up to which a request's
// buffers are used again.
const maxPooledFields = 4 << 10

var requests = sync.Pool{New: func() any { return &Request{} }}

func newRequest(c *conn) *Request {
	r := requests.Get().(*Request)
	r.conn = c
	r.ResetResponse()
	return r
}

// release makes the buffers of the request available to others.
func (r *Request) release() {
	if r.cancel != nil {
		r.cancel()
	}
	if r.keep != nil {
		_ = r.keep.Close()
		r.keep = nil
	}
	if len(r.Header.RawHeaders()) > maxPooledFields {
		return
	}
	r.Header.Reset()
	r.Response.Reset()
	r.Body, r.conn, r.ctx, r.cancel = nil, nil, nil, nil
	r.body = body{}
	r.state, r.overlaps, r.admitted, r.closes, r.closeIfLast, r.counted, r.rejected, r.held = unstarted, false, false, false, false, false, false, 0
	requests.Put(r)
}

// Context returns a context that ends when the caller leaves, when the connection ends
// before the request, or when the server's context ends.
func (r *Request) Context() context.Context {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.ctx == nil {
		r.ctx, r.cancel = context.WithCancel(c.s.opt.Context)
		if c.left || c.closing || c.cancelsLocked(r) {
			r.cancel()
		}
	}
	return r.ctx
}

// Admitted lets the next request of the connection start. A handler calls it when the
// request has passed whatever is decided in the order of arrival. Without a call, the
// next request starts when the handler has returned.
func (r *Request) Admitted() {
	c := r.conn
	c.mu.Lock()
	r.admitted = true
	next := c.nextLocked()
	c.mu.Unlock()
	if next != nil {
		c.s.start(c, next)
	}
}

// SetConnectionClose ends the connection with this answer. Requests behind it are not
// run, or cancelled if they have started.
func (r *Request) SetConnectionClose() { r.Response.SetConnectionClose() }

// SetConnectionCloseIfLast ends the connection with this answer if no request behind
// it has started. No more requests are read. A server that stops uses it, so that no
// running request is cut.
func (r *Request) SetConnectionCloseIfLast() {
	c := r.conn
	c.mu.Lock()
	r.closeIfLast, c.noMore = true, true
	c.mu.Unlock()
}

// CloseWhenReleased closes k when the answer has been written, or when the connection has
// ended before that. Close must not use the request and must not block.
func (r *Request) CloseWhenReleased(k io.Closer) { r.keep = k }

// ResetResponse discards what the handler has set so far.
func (r *Request) ResetResponse() {
	r.Response.Reset()
	emptyHeader().CopyTo(&r.Response.Header)
}

// emptyHeader returns the header of an answer without Date and default Content-Type.
// Only a fasthttp.Server can switch off the Date.
var emptyHeader = sync.OnceValue(func() *fasthttp.ResponseHeader {
	var h fasthttp.ResponseHeader
	s := &fasthttp.Server{
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Handler:               func(hc *fasthttp.RequestCtx) { hc.Response.Header.CopyTo(&h) },
	}
	_ = s.ServeConn(&memoryConn{src: strings.NewReader("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")})
	return &h
})

// memoryConn is a connection that is read from memory. What is written to it is lost.
type memoryConn struct {
	net.Conn
	src io.Reader
}

func (m *memoryConn) Read(p []byte) (int, error)  { return m.src.Read(p) }
func (m *memoryConn) Write(p []byte) (int, error) { return len(p), nil }
func (m *memoryConn) Close() error                { return nil }
func (m *memoryConn) RemoteAddr() net.Addr        { return &net.TCPAddr{} }
func (m *memoryConn) LocalAddr() net.Addr         { return &net.TCPAddr{} }
