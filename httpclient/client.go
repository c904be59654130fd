package httpclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"wisteriafold/memaccount"
	"wisteriafold/request"
	"wisteriafold/response"
)

// Config configures the HTTP connections to one server.
type Config struct {
	Address        string        // host:port of the server
	MaxConnections int           // maximum number of open connections, including idle ones; DoRaw with a MaxIdle may exceed it
	DialTimeout    time.Duration // time limit for opening one connection
	IdleTimeout    time.Duration // a connection that has been idle for longer is closed instead of reused

	// MaxAnswerBytes is the maximum number of bytes that DoRaw reads for one
	// request: head, body, chunk framing, trailers and late responses to other
	// requests. 0 sets defaultMaxAnswerBytes.
	MaxAnswerBytes int64

	// Answers is the part of the memory account in which the answers of DoRaw are held,
	// from their first byte until RawAnswer.Release or until the holding of the call is
	// released. nil sets an account of its own with a limit of MaxHeldBytes.
	Answers *memaccount.Part

	// MaxHeldBytes is the limit of the answers of DoRaw together when Answers is nil. 0
	// sets four times MaxAnswerBytes.
	MaxHeldBytes int64

	// OnEnded, if set, is called for an idle connection that its peer has closed or
	// reset, with the time for which it was idle. It must not block.
	OnEnded func(idle time.Duration)
}

// defaultMaxAnswerBytes is the default of Config.MaxAnswerBytes.
const defaultMaxAnswerBytes = 16 << 20

const (
	// earlyAnswerWait is the maximum wait for the answer of a backend server
	// that stopped reading the request.
	earlyAnswerWait = 200 * time.Millisecond

	connBuffer = 4 << 10 // bytes, for each direction
)

// Client sends calls to one server over keep-alive connections. It is
// safe for concurrent use. Cancelling a call closes its connection, because
// HTTP/1.1 has no other way to signal the cancellation to the server.
type Client struct {
	cfg   Config
	slots chan struct{} // semaphore: one element for each connection in use

	mu     sync.Mutex
	idle   []*clientConn
	closed bool

	openCount atomic.Int64
	budget    readBudget
}

type clientConn struct {
	net.Conn
	client    *Client
	br        *bufio.Reader
	bw        *bufio.Writer
	idleSince time.Time // start of the idle time

	keepAliveFor time.Duration // idle time after which the peer may close it, 0 when unknown

	carried carriedIDs // ids of the calls of DoRaw so far

	meter *meter // of the exchange of DoRaw in progress, nil when there is none
}

// Read reads from the connection within the limits of the exchange.
func (cc *clientConn) Read(b []byte) (int, error) {
	if cc.meter == nil {
		return cc.Conn.Read(b)
	}
	n, err := cc.meter.room(len(b))
	if err != nil {
		return 0, err
	}
	n, err = cc.Conn.Read(b[:n])
	if cerr := cc.meter.count(n); cerr != nil {
		return 0, cerr
	}
	return n, err
}

// New returns a client without open connections.
func New(cfg Config) *Client {
	if cfg.MaxAnswerBytes <= 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if cfg.MaxHeldBytes <= 0 {
		cfg.MaxHeldBytes = 4 * cfg.MaxAnswerBytes
	}
	if cfg.Answers == nil {
		cfg.Answers = memaccount.New(cfg.MaxHeldBytes).Part(cfg.MaxHeldBytes)
	}
	return &Client{cfg: cfg, slots: make(chan struct{}, cfg.MaxConnections)}
}

// OpenConnections returns the number of open connections.
func (c *Client) OpenConnections() int { return int(c.openCount.Load()) }

// Close closes the idle connections. Connections in use are closed when their
// call ends.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.closed = true
	c.mu.Unlock()
	for _, cc := range idle {
		c.discard(cc)
	}
}

// Exchange is one call in progress. Users must read the response body to its end
// or call Abandon, and then call Close. The connection serves no other call
// before that.
type Exchange struct {
	Response *fasthttp.Response

	client   *Client
	conn     *clientConn
	stop     func() bool
	body     *response.Body
	reusable bool
	once     sync.Once
}

// Do sends req and reads the head of the response; the body is streamed. The
// deadline of ctx applies to the whole exchange. Errors are *request.Error with
// outcome NotRun when the backend server cannot have received the request, and
// Unknown otherwise.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request) (*Exchange, error) {
	cc, err := c.acquire(ctx, 0)
	if err != nil {
		return nil, err
	}
	if dl, ok := ctx.Deadline(); ok {
		_ = cc.SetDeadline(dl)
	}
	x := &Exchange{Response: fasthttp.AcquireResponse(), client: c, conn: cc}
	x.stop = context.AfterFunc(ctx, func() { _ = cc.Close() })
	head, err := x.send(req)
	if err != nil {
		x.Close()
		return nil, lostError(ctx, err)
	}
	x.body = response.NewBody(cc.br, head)
	switch head.Framing {
	case response.FramingNone:
		x.Response.SkipBody = true
	case response.FramingLength:
		x.Response.SetBodyStream(x.body, int(head.Length))
	case response.FramingChunked:
		x.Response.SetBodyStream(x.body, lengthChunked)
	case response.FramingClose:
		x.Response.SetBodyStream(x.body, lengthUntilClose)
	}
	x.reusable = head.Persistent && !req.ConnectionClose()
	return x, nil
}

// Content lengths with which fasthttp marks bodies of unknown length.
const (
	lengthChunked    = -1
	lengthUntilClose = -2
)

// send writes the request and reads the head of the response.
func (x *Exchange) send(req *fasthttp.Request) (response.Head, error) {
	method := string(req.Header.Method())
	err := req.Write(x.conn.bw)
	if err == nil {
		err = x.conn.bw.Flush()
	}
	if err == nil {
		return response.ReadHead(x.conn.br, method, &x.Response.Header)
	}
	// The backend server may have answered and closed the connection before
	// the whole body was sent. If so, the caller gets that answer, unless only an
	// orderly close would tell that it is complete.
	_ = x.conn.SetReadDeadline(time.Now().Add(earlyAnswerWait))
	head, readErr := response.ReadHead(x.conn.br, method, &x.Response.Header)
	if readErr != nil || head.Framing == response.FramingClose {
		return response.Head{}, err
	}
	head.Persistent = false
	return head, nil
}

// Abandon prevents reuse of the connection, because the response body was not
// read to its end.
func (x *Exchange) Abandon() { x.reusable = false }

// Close releases the response and the connection. It may be called more than
// once.
func (x *Exchange) Close() {
	x.once.Do(func() {
		alive := x.stop()
		_ = x.Response.CloseBodyStream()
		fasthttp.ReleaseResponse(x.Response)
		if alive && x.reusable && x.body.Complete() {
			x.client.release(x.conn)
			return
		}
		x.client.discard(x.conn)
		<-x.client.slots
	})
}

// contextError returns the context error that ended an exchange, or nil when the
// exchange failed for another reason. The connection has the deadline of ctx, and
// its timer may fire before that of ctx. Such a timeout, which libraries wrap in
// errors of their own, counts as context.DeadlineExceeded.
func contextError(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	var timeout interface{ Timeout() bool } // the timeout error of fasthttp does not implement net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return context.DeadlineExceeded
	}
	return nil
}

// lostError returns the error of a request that may have been sent and got no
// complete response: the backend server may have run it.
func lostError(ctx context.Context, err error) error {
	var decided *request.Error // by RawCall.Accept
	if errors.As(err, &decided) {
		return decided
	}
	if errors.Is(err, memaccount.ErrNoRoom) || errors.Is(err, memaccount.ErrTooLarge) {
		return request.NewUnknownError(request.ReasonBusy, "there was no memory for the answer, try again later or raise the memory limit of the daemon", err)
	}
	switch cause := contextError(ctx, err); {
	case errors.Is(cause, context.DeadlineExceeded):
		return request.NewUnknownError(request.ReasonDeadline, "the server did not answer in time, look up its log before trying again", err)
	case cause != nil:
		return request.NewUnknownError(request.ReasonCancelled, "the caller went away while the server was working", err)
	default:
		return request.NewUnknownError(request.ReasonBroken, "the connection to the server broke after sending, look up its log before trying again", err)
	}
}

// acquire returns an idle connection that has not carried the request id with the hash
// id, or a new one when none can be reused. It takes a slot. An id of 0 is that of no
// request.
func (c *Client) acquire(ctx context.Context, id uint64) (*clientConn, error) {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, request.NewNotRunError(request.ReasonDeadline, "no connection to the server became free in time")
	}
	if cc := c.reuse(id); cc != nil {
		return cc, nil
	}
	return c.dial(ctx)
}

// dial opens a connection. The caller must have taken a slot; dial frees it when
// it fails.
func (c *Client) dial(ctx context.Context) (*clientConn, error) {
	d := net.Dialer{Timeout: c.cfg.DialTimeout}
	conn, err := d.DialContext(ctx, "tcp", c.cfg.Address)
	if err != nil {
		<-c.slots
		e := request.NewNotRunError(request.ReasonNoEndpoint, "the server at "+c.cfg.Address+" takes no connection: start it or correct its address")
		if at, has := ctx.Deadline(); has && !time.Now().Before(at) {
			e = request.NewNotRunError(request.ReasonDeadline, "no connection to the server was opened in time")
		}
		e.Cause = err
		return nil, e
	}
	c.openCount.Add(1)
	cc := &clientConn{Conn: conn, client: c, bw: bufio.NewWriterSize(conn, connBuffer)}
	cc.br = bufio.NewReaderSize(cc, connBuffer)
	return cc, nil
}

// reuse returns the most recently used idle connection that is still usable and has not
// carried the request id with the hash id, or nil. A connection that has unread bytes is
// closed, because they belong to no pending request.
func (c *Client) reuse(id uint64) *clientConn {
	for {
		cc := c.takeIdle(id)
		if cc == nil {
			return nil
		}
		limit := c.cfg.IdleTimeout
		if cc.keepAliveFor > 0 {
			limit = min(limit, cc.keepAliveFor)
		}
		idle := time.Since(cc.idleSince)
		if idle < limit && cc.br.Buffered() == 0 {
			switch peek(cc.Conn) {
			case connQuiet:
				return cc
			case connEnded:
				c.ended(idle)
			}
		}
		c.discard(cc)
	}
}

// takeIdle removes the most recently used idle connection that has not carried the request
// id with the hash id, and returns it. It returns nil when there is none.
func (c *Client) takeIdle(id uint64) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, cc := range slices.Backward(c.idle) {
		if id == 0 || !cc.carried.contains(id) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return cc
		}
	}
	return nil
}

// hashID returns the hash of a request id, which is not 0 unless the id is empty.
func hashID(id string) uint64 {
	if id == "" {
		return 0
	}
	return max(xxhash.Sum64String(id), 1)
}

// ended reports an idle connection that its peer has ended.
func (c *Client) ended(idle time.Duration) {
	if c.cfg.OnEnded != nil {
		c.cfg.OnEnded(idle)
	}
}

// IsConnectionLost reports whether err means that the peer closed or reset the
// connection.
func IsConnectionLost(err error) bool {
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// release returns a connection to the idle list, or closes it when the client is
// closed or the list is full, and frees the slot. acquire opens a connection only
// when no idle one can be reused, which keeps connections in use and idle ones
// together within cfg.MaxConnections. acquireNew does not ensure that.
func (c *Client) release(cc *clientConn) {
	_ = cc.SetDeadline(time.Time{})
	cc.idleSince = time.Now()
	c.mu.Lock()
	keep := !c.closed && len(c.idle) < c.cfg.MaxConnections
	if keep {
		c.idle = append(c.idle, cc)
	}
	c.mu.Unlock()
	if !keep {
		c.discard(cc)
	}
	<-c.slots
}

// discard closes a connection. It does not free the slot.
func (c *Client) discard(cc *clientConn) {
	_ = cc.Close()
	c.openCount.Add(-1)
}

// Alive reports whether conn has been neither closed nor reset by its peer.
func Alive(conn net.Conn) bool { return peek(conn) != connEnded }

// connState is the state of a connection as seen without consuming bytes from it.
type connState uint8

const (
	connQuiet  connState = iota // open, nothing to read
	connUnread                  // bytes to read
	connEnded                   // closed or reset by the peer
)

// peek returns the state of a connection that has a socket. Other connections
// count as connQuiet.
func peek(conn net.Conn) connState {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return connQuiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return connEnded
	}
	seen := connEnded
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			seen = connUnread
		case eris.Is(rerr, syscall.EAGAIN) || eris.Is(rerr, syscall.EINTR):
			seen = connQuiet
		}
	})
	if err != nil {
		return connEnded
	}
	return seen
}
