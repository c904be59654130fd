package ingress

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxEmptyLineBytes is the number of bytes of empty lines that are skipped before a
	// request. Some callers send one line end behind a body.
	maxEmptyLineBytes = 8

	// requestLineMargin is added to the limit of the header fields, in bytes, for the
	// request line: the limit of a configuration may or may not count it.
	requestLineMargin = 4 << 10

	// lingerTimeout and lingerBytes bound what is read and dropped after a final answer
	// to a caller that is still sending. Closing at once would reset the connection,
	// and the caller might lose the answer.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

var (
	errWouldBlock = errors.New("nothing to read yet, wait for the socket")
	errNoRoom     = errors.New("no more requests are read now, wait for answers to leave")
	errHeadSize   = errors.New("head over the limit, send fewer or shorter fields")
	errEmptyLines = errors.New("too many empty lines before a request, send none")

	longAgo = time.Unix(1, 0) // a deadline that ends a read in progress
)

// conn is one connection of a caller.
type conn struct {
	s   *Server
	nc  net.Conn
	raw syscall.RawConn // nil when nc is not a socket

	// The goroutine that reads the connection owns these fields, and the one of a
	// request while it reads its body.
	br          *bufio.Reader // nil while there is nothing to read
	readErr     error         // result of the last attempt to fill br
	directFD    uintptr
	direct      bool      // Read returns errWouldBlock instead of waiting
	inHead      bool      // a head is being read
	bodyBy      time.Time // deadline of the body being read, zero when there is none
	deadlineSet bool      // the socket has a read deadline for the body
	headLimit   int       // bytes of header fields
	emptyBytes  int       // bytes of empty lines since the last request
	bufferHeld  int64     // bytes that the account holds for br while it is not being read
	firstFn     func(fd uintptr) bool
	watchFn     func(fd uintptr) bool

	wake chan struct{} // wakes the reader while a request reads its body

	// Read by sweeps.
	held       atomic.Int64  // bytes that the account holds for this connection
	headSince  atomic.Int64  // when the head being read began, 0 when none is incomplete
	idleSince  atomic.Int64  // when the connection became idle
	writeSince atomic.Int64  // when the write in progress began, 0 when there is none
	progressAt atomic.Int64  // when the caller was last seen to have taken bytes
	taken      atomic.Uint64 // bytes that the caller had taken then

	mu          sync.Mutex
	queue       []*Request // in the order of arrival; the first is the next to be answered
	writing     bool       // a goroutine writes answers
	noMore      bool       // no further requests are read
	left        bool       // the caller has left
	closing     bool       // nothing more is run or answered
	linger      bool       // the caller may be sending
	used        bool       // has carried a request
	bodyReading bool       // a request reads its body
	parked      bool       // the reader waits for wake
	watching    bool       // the reader waits for the socket without reading
	pokeNeeded  bool       // no event of the socket will wake the reader
	poked       bool       // the read deadline is set to wake the reader
	headLate    bool       // the read deadline is set to end the reading of a head
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, wake: make(chan struct{}, 1)}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	c.firstFn, c.watchFn = c.tryFirst, c.tryWatch
	c.idleSince.Store(s.now())
	return c
}

// serve reads requests until no more can be answered.
func (c *conn) serve() {
	defer c.close()
	defer c.s.recoverConn(c)
	for c.awaitTurn() {
		if c.awaitBytes() {
			c.readRequest()
		}
	}
}

// awaitTurn waits until a further request may be read. Meanwhile it starts a request
// whose body this goroutine must not read past, and learns when the caller leaves. It
// returns false when the connection ends.
func (c *conn) awaitTurn() bool {
	for {
		c.mu.Lock()
		if c.closing || c.roomLocked() {
			closing := c.closing
			c.mu.Unlock()
			return !closing
		}
		if c.br != nil && !c.bodyReading && c.bufferHeld == 0 {
			c.bufferHeld = int64(c.br.Size())
			c.hold(c.bufferHeld)
		}
		if r := c.bodyTurnLocked(); r != nil {
			c.startLocked(r)
			c.bodyReading = true
			c.s.start(c, r)
		}
		c.parked = c.bodyReading || c.left || c.raw == nil
		parked := c.parked
		c.mu.Unlock()
		if parked {
			<-c.wake
		} else {
			c.watch()
		}
	}
}

// roomLocked reports whether a further request may be read now.
func (c *conn) roomLocked() bool {
	n := len(c.queue)
	if c.noMore || c.bodyReading {
		return false
	}
	if n == 0 {
		return true
	}
	if !c.queue[n-1].overlaps || n > c.s.opt.ReadAhead {
		return false
	}
	back := int64(0) // finished answers behind the first request
	for _, r := range c.queue[1:] {
		if r.state == done {
			back += r.held
		}
	}
	return back < c.s.opt.HeldBack
}

// bodyTurnLocked returns the request with a body that is next to be answered and has
// not started, nil when there is none.
func (c *conn) bodyTurnLocked() *Request {
	if len(c.queue) == 0 || c.queue[0].state != unstarted || c.queue[0].Body == nil {
		return nil
	}
	return c.queue[0]
}

// watch waits, without reading, until a further request may be read or the caller
// leaves.
func (c *conn) watch() {
	err := c.raw.Read(c.watchFn)
	c.mu.Lock()
	c.watching = false
	if c.poked && !c.closing {
		_ = c.nc.SetReadDeadline(time.Time{})
		c.poked = false
	}
	c.mu.Unlock()
	if err != nil && !isTimeout(err) {
		c.callerLeft()
	}
}

// tryWatch reports whether watch should end. When it returns false it is called again
// after the next event of the socket.
func (c *conn) tryWatch(fd uintptr) bool {
	if c.watchEnds() { // saves the system call; the next read will see a caller that left
		return true
	}
	p := pollPeer(fd)
	if p.left {
		c.callerLeft()
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchEndsLocked() {
		return true
	}
	c.watching = true
	c.pokeNeeded = p.unread || c.br != nil || c.queue[len(c.queue)-1].Body != nil
	return false
}

func (c *conn) watchEnds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watchEndsLocked()
}

func (c *conn) watchEndsLocked() bool {
	return c.closing || c.left || c.roomLocked() || c.bodyTurnLocked() != nil
}

// wakeLocked lets the reader check again whether it may go on. Without unread bytes it
// is left asleep: the next bytes will wake it.
func (c *conn) wakeLocked() {
	if c.parked {
		c.parked = false
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	if c.watching && c.pokeNeeded && !c.poked && !c.closing {
		c.poked = true
		_ = c.nc.SetReadDeadline(longAgo)
	}
}

// awaitBytes waits until bytes of a request have arrived. A connection that waits holds
// no buffer. It returns false when the caller has left or the connection ends.
func (c *conn) awaitBytes() bool {
	if c.br != nil && c.br.Buffered() > 0 {
		return true
	}
	c.dropReader()
	if c.raw == nil {
		c.br = c.s.readers.get(c)
		_, c.readErr = c.br.Peek(1)
	} else if err := c.raw.Read(c.firstFn); err != nil {
		c.readErr = err
	}
	if c.readErr == nil {
		return true
	}
	c.dropReader()
	if c.readErr != errNoRoom { //nolint:errorlint // it is never wrapped
		c.callerLeft()
	}
	return false
}

// tryFirst fills a buffer from the socket. It returns false when there is nothing to
// read yet.
func (c *conn) tryFirst(fd uintptr) bool {
	c.mu.Lock()
	room := c.roomLocked()
	c.mu.Unlock()
	if !room { // an answer has become ready behind a slow one
		c.readErr = errNoRoom
		return true
	}
	br := c.s.readers.get(c)
	c.direct, c.directFD = true, fd
	_, err := br.Peek(1)
	c.direct = false
	if err == errWouldBlock { //nolint:errorlint // bufio returns the error of Read as it is
		c.s.readers.put(br)
		return false
	}
	c.br, c.readErr = br, err
	return true
}

func (c *conn) dropReader() {
	if c.bufferHeld != 0 {
		c.hold(-c.bufferHeld)
		c.bufferHeld = 0
	}
	if c.br != nil {
		c.s.readers.put(c.br)
		c.br = nil
	}
}

// Read implements io.Reader for the buffer of the connection.
func (c *conn) Read(p []byte) (int, error) {
	if c.direct {
		for {
			n, err := syscall.Read(int(c.directFD), p)
			switch {
			case errors.Is(err, syscall.EINTR):
			case errors.Is(err, syscall.EAGAIN):
				return 0, errWouldBlock
			case err != nil:
				return 0, err
			case n == 0:
				return 0, io.EOF
			default:
				return n, nil
			}
		}
	}
	if c.inHead && c.headSince.Load() == 0 {
		c.headSince.Store(c.s.now())
		c.hold(int64(c.br.Size()))
	}
	if !c.bodyBy.IsZero() {
		by := time.Now().Add(max(bodyStallTimeout, c.s.opt.Limits().HeaderTimeout))
		if c.bodyBy.Before(by) {
			by = c.bodyBy
		}
		c.deadlineSet = true
		if err := c.nc.SetReadDeadline(by); err != nil {
			return 0, err
		}
	}
	return c.nc.Read(p)
}

// endHead ends the reading of a head.
func (c *conn) endHead() {
	c.inHead = false
	if c.headSince.Load() == 0 {
		return // the whole head was there at once
	}
	c.hold(-int64(c.br.Size()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headSince.Store(0)
	if c.headLate && !c.closing {
		c.headLate = false
		_ = c.nc.SetReadDeadline(time.Time{})
	}
}

// endLateHead ends the reading of a head that began before a time. Answers of earlier
// requests are still written.
func (c *conn) endLateHead(before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since := c.headSince.Load(); since != 0 && since < before && !c.closing {
		c.headLate = true
		_ = c.nc.SetReadDeadline(longAgo)
	}
}

// readRequest reads one head and queues the request.
func (c *conn) readRequest() {
	c.inHead = true
	c.headLimit = c.s.opt.Limits().HeaderBytes
	more, err := c.skipEmptyLines()
	if !more && err == nil {
		c.endHead()
		return
	}
	r := newRequest(c)
	if err == nil {
		err = r.Header.Read(c.br)
	}
	c.endHead()
	if err == nil && len(r.Header.RawHeaders()) > c.headLimit {
		err = errHeadSize
	}
	if err == nil {
		err = r.uri.Parse(r.Header.Host(), r.Header.RequestURI())
	}
	if err != nil {
		c.rejectHead(r, err)
		return
	}
	c.emptyBytes = 0
	r.ReadAt = time.Now()
	c.classify(r)
	if r.Body == nil && c.br.Buffered() == 0 {
		c.dropReader()
	}
	c.enqueue(r)
}

// classify determines the body of a request and whether the request may overlap.
func (c *conn) classify(r *Request) {
	h := &r.Header
	size := h.ContentLength()
	if size < chunked { // no length
		size = 0
		if !h.IsGet() && !h.IsHead() {
			h.SetContentLength(0)
		}
	}
	if size != 0 {
		r.body = body{c: c, r: r, isChunked: size == chunked, left: int64(max(size, 0))}
		r.Body = &r.body
	}
	r.closes = h.ConnectionClose()
	r.overlaps = r.Body == nil && h.IsHTTP11() && !expectsContinue(h) && c.s.opt.Overlaps(h)
}

func expectsContinue(h *fasthttp.RequestHeader) bool {
	return h.IsHTTP11() && equalFold(h.Peek(fasthttp.HeaderExpect), "100-continue")
}

// skipEmptyLines drops empty lines before a request. It returns false when nothing else
// has arrived yet. A carriage return without a line feed is left to the parser.
func (c *conn) skipEmptyLines() (more bool, err error) {
	for {
		n := 0
		b, _ := c.br.Peek(1) // at least one byte is buffered
		if b[0] == '\r' {
			b, _ = c.br.Peek(2)
		}
		switch string(b[:min(len(b), 2)]) {
		case "\r\n":
			n = 2
		default:
			if b[0] == '\n' {
				n = 1
			}
		}
		if n == 0 {
			return true, nil
		}
		_, _ = c.br.Discard(n) // the bytes are buffered
		if c.emptyBytes += n; c.emptyBytes > maxEmptyLineBytes {
			return false, errEmptyLines
		}
		if c.br.Buffered() == 0 {
			return false, nil
		}
	}
}

// rejectHead answers a head that cannot be used, as the last answer of the connection.
// A caller that did not send a whole head in time gets none.
func (c *conn) rejectHead(r *Request, err error) {
	c.s.stats.headsRejected.Add(1)
	var small *fasthttp.ErrSmallBuffer
	switch {
	case isTimeout(err):
		r.release()
		c.mu.Lock()
		c.noMore = true
		if len(c.queue) == 0 {
			c.shutLocked()
		}
		c.mu.Unlock()
		return
	case err == io.EOF || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET): //nolint:errorlint // fasthttp returns it as it is when there were line ends only
		r.release()
		c.callerLeft()
		return
	case errors.As(err, &small) || errors.Is(err, errHeadSize):
		r.setError(fasthttp.StatusRequestHeaderFieldsTooLarge, "Too big request header")
	default:
		r.setError(fasthttp.StatusBadRequest, "Error when parsing request")
	}
	r.state, r.closes, r.rejected = done, true, true
	c.enqueue(r)
}

// setError sets the answer that fasthttp.Server gives.
func (r *Request) setError(status int, text string) {
	r.ResetResponse()
	r.Response.SetStatusCode(status)
	r.Response.Header.SetContentType("text/plain; charset=utf-8")
	r.Response.SetBodyString(text)
	r.SetConnectionClose()
}

// beginBody sends the interim answer that the caller may wait for and waits for the
// first part of the body.
func (c *conn) beginBody(r *Request) error {
	if expectsContinue(&r.Header) {
		c.writeSince.Store(c.s.now())
		_, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
		c.writeSince.Store(0)
		if err != nil {
			return err
		}
	}
	if r.Body == nil {
		return nil
	}
	c.bodyBy = time.Now().Add(bodyTimeout)
	return r.body.prefetch()
}

// bodyEnded gives the connection back to its reader.
func (c *conn) bodyEnded() {
	c.bodyBy = time.Time{}
	if c.br.Buffered() == 0 {
		c.dropReader()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadlineSet && !c.closing {
		c.deadlineSet = false
		_ = c.nc.SetReadDeadline(time.Time{})
	}
	c.bodyReading = false
	if c.closing { // the reader may have ended without dropping it
		c.dropReader()
	}
	c.wakeLocked()
}

// callerLeft cancels the requests in progress and drops those that have not started.
func (c *conn) callerLeft() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return
	}
	c.left, c.noMore = true, true
	for i := len(c.queue) - 1; i >= 0; i-- {
		switch r := c.queue[i]; {
		case r.state == unstarted:
			c.removeLocked(r)
		case r.cancel != nil:
			r.cancel()
		}
	}
	if len(c.queue) == 0 {
		c.shutLocked()
	}
}

// shutLocked ends the connection: nothing more is run or answered.
func (c *conn) shutLocked() {
	if c.closing {
		return
	}
	c.closing = true
	c.dropLocked()
	_ = c.nc.SetReadDeadline(longAgo)
	c.wakeLocked()
}

// cut ends the connection at once, also a write in progress.
func (c *conn) cut() {
	c.mu.Lock()
	c.shutLocked()
	c.mu.Unlock()
	_ = c.nc.Close()
}

// bytesWait reports whether the caller has sent bytes that have not been read.
func (c *conn) bytesWait() (unread bool) {
	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) { unread = pollPeer(fd).unread })
	}
	return unread
}

// close closes the connection when its reader ends.
func (c *conn) close() {
	c.mu.Lock()
	c.shutLocked()
	if !c.bodyReading { // otherwise finish drops it
		c.dropReader()
	}
	linger := c.linger
	c.mu.Unlock()
	if cw, ok := c.nc.(interface{ CloseWrite() error }); linger && ok && cw.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.nc, lingerBytes)
	}
	_ = c.nc.Close()
	c.s.forget(c)
}
