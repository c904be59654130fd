package ingress

import (
	"bytes"
	"net"

	"github.com/valyala/fasthttp"
)

// enqueue adds a request that was read, and starts it if it is its turn.
func (c *conn) enqueue(r *Request) {
	c.mu.Lock()
	if c.closing || c.left && r.state == unstarted {
		c.mu.Unlock()
		r.release()
		return
	}
	c.used = true
	c.queue = append(c.queue, r)
	if len(c.queue) > 1 {
		c.s.stats.readAhead.Add(1)
	}
	c.noMore = c.noMore || r.closes
	c.countLocked(r, true)
	c.holdLocked(r, 2*int64(len(r.Header.RawHeaders()))) // the raw fields and the parsed ones
	if r.state == done {
		c.flushLocked()
	}
	next := c.nextLocked()
	c.mu.Unlock()
	if next != nil {
		c.s.start(c, next)
	}
}

// nextLocked marks the next request to start as running and returns it, nil when none
// may start. Requests with a body are started by the reader of the connection.
func (c *conn) nextLocked() *Request {
	if c.closing || c.left {
		return nil
	}
	for i, r := range c.queue {
		if r.state != unstarted {
			if r.closes {
				return nil
			}
			continue
		}
		if r.Body != nil || i > 0 && (!r.overlaps || !c.queue[i-1].admitted) {
			return nil
		}
		c.startLocked(r)
		return r
	}
	return nil
}

// run runs the handler of a request, and of those that may start when it has ended.
func (c *conn) run(r *Request) {
	for r != nil {
		if c.handle(r) {
			r = c.finish(r)
		} else {
			r = nil
		}
	}
}

// handle answers one request. It returns false after a panic, which ends the
// connection: the answer is not known.
func (c *conn) handle(r *Request) (ok bool) {
	defer func() {
		if ok {
			return
		}
		if p := recover(); p != nil {
			c.s.logPanic(p)
		}
		c.cut()
		c.finish(r)
	}()
	if r.Body != nil || !r.overlaps {
		if err := c.beginBody(r); err != nil {
			r.rejected = true
			if isTimeout(err) {
				r.setError(fasthttp.StatusRequestTimeout, "Request timeout")
			} else {
				r.setError(fasthttp.StatusBadRequest, "Error when parsing request")
			}
			return true
		}
	}
	c.s.opt.Handler(r)
	return true
}

// finish takes the answer of a request and writes what is ready. It returns a request
// that may start now.
func (c *conn) finish(r *Request) *Request {
	c.mu.Lock()
	r.state, r.admitted = done, true
	c.countLocked(r, true)
	c.holdLocked(r, int64(len(r.Response.Body())))
	r.closes = r.closes || r.rejected || r.Response.ConnectionClose() || r.Body != nil && (r.body.failed || r.body.overflows())
	if r.closes {
		c.dropBehindLocked(r)
	}
	hasBody := r.Body != nil
	c.flushLocked()
	if hasBody && c.bodyReading { // the rest of the body will not be read
		c.bodyReading = false
		c.dropReader()
		c.wakeLocked()
	}
	next := c.nextLocked()
	c.mu.Unlock()
	c.s.relieveAboveLimit()
	return next
}

// flushLocked writes the answers that are ready, in the order of their requests. It
// unlocks the connection while it writes.
func (c *conn) flushLocked() {
	if c.writing {
		return // the goroutine that writes will go on with them
	}
	c.writing = true
	for !c.closing && len(c.queue) > 0 && c.queue[0].state == done {
		r := c.queue[0]
		if r.closeIfLast && !c.startedBehindLocked() {
			r.closes = true
			c.dropBehindLocked(r)
		}
		closes := r.closes
		unread := r.Body != nil && !r.body.ended
		c.mu.Unlock()
		err := c.write(r, closes)
		c.mu.Lock()
		c.countLocked(r, false)
		if unread && !closes && err == nil {
			c.mu.Unlock()
			if !r.body.discard() {
				closes = true
			}
			c.mu.Lock()
		}
		ended := closes || c.noMore
		c.linger = err == nil && (unread || r.rejected || ended && (!r.Header.ConnectionClose() || c.bytesWait()))
		c.removeLocked(r)
		if err != nil || closes {
			c.shutLocked()
		}
	}
	c.writing = false
	switch {
	case c.closing:
		c.dropLocked()
	case len(c.queue) > 0:
	case c.noMore:
		c.shutLocked()
	default:
		c.idleSince.Store(c.s.now())
	}
	c.wakeLocked()
}

// startedBehindLocked reports whether a request behind the first one has started.
func (c *conn) startedBehindLocked() bool {
	return len(c.queue) > 1 && c.queue[1].state != unstarted
}

// dropBehindLocked drops the requests behind r that have not started and cancels those
// that run. Their answers will not be written.
func (c *conn) dropBehindLocked(r *Request) {
	c.noMore = true
	for i := len(c.queue) - 1; i >= 0 && c.queue[i] != r; i-- {
		switch q := c.queue[i]; {
		case q.state == unstarted:
			c.removeLocked(q)
		case q.cancel != nil:
			q.cancel()
		}
	}
}

// cancelsLocked reports whether a request ahead of r ends the connection.
func (c *conn) cancelsLocked(r *Request) bool {
	for _, q := range c.queue {
		if q == r {
			break
		}
		if q.closes {
			return true
		}
	}
	return false
}

// dropLocked drops all requests of a connection that is closing. Those that run are
// cancelled and dropped when they end.
func (c *conn) dropLocked() {
	for i := len(c.queue) - 1; i >= 0; i-- {
		r := c.queue[i]
		switch {
		case r.state == running:
			if r.cancel != nil {
				r.cancel()
			}
		case i > 0 || !c.writing:
			c.removeLocked(r)
		}
	}
}

// removeLocked takes a request out of the queue.
func (c *conn) removeLocked(r *Request) {
	for i, q := range c.queue {
		if q == r {
			copy(c.queue[i:], c.queue[i+1:])
			c.queue[len(c.queue)-1] = nil
			c.queue = c.queue[:len(c.queue)-1]
			break
		}
	}
	c.countLocked(r, false)
	c.holdLocked(r, -r.held)
	r.release()
}

// startLocked marks a request as running.
func (c *conn) startLocked(r *Request) {
	r.state = running
	c.countLocked(r, false)
}

// countLocked sets whether a request counts as waiting for its handler to start or its
// answer to leave.
func (c *conn) countLocked(r *Request, waits bool) {
	if r.counted == waits {
		return
	}
	r.counted = waits
	if waits {
		c.s.waiting.Add(1)
	} else {
		c.s.waiting.Add(-1)
	}
}

// holdLocked counts n more bytes, or fewer if n is negative, as held for a request.
func (c *conn) holdLocked(r *Request, n int64) {
	r.held += n
	c.hold(n)
}

func (c *conn) hold(n int64) {
	c.held.Add(n)
	c.s.held.Add(n)
}

// write sends one answer.
func (c *conn) write(r *Request, closes bool) error {
	resp := &r.Response
	switch {
	case closes:
		resp.Header.SetConnectionClose()
	case !r.Header.IsHTTP11():
		resp.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
	resp.SkipBody = resp.SkipBody || r.Header.IsHead() && !r.rejected // as fasthttp.Server does
	c.writeSince.Store(c.s.now())
	defer c.writeSince.Store(0)
	return c.s.writers.write(c.nc, resp)
}

// write formats an answer as fasthttp.Server does. Head and long body leave in one
// system call.
func (w *writers) write(nc net.Conn, resp *fasthttp.Response) error {
	b := resp.Body()
	if len(b) > writeBufferBytes && !resp.SkipBody && hasPlainBody(resp) {
		resp.Header.SetContentLength(len(b))
		bufs := net.Buffers{resp.Header.Header(), b}
		_, err := bufs.WriteTo(nc)
		return err
	}
	bw := w.get(nc)
	defer w.put(bw)
	if err := resp.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// hasPlainBody reports whether the body of an answer is sent as it is.
func hasPlainBody(resp *fasthttp.Response) bool {
	s := resp.StatusCode()
	return s >= fasthttp.StatusOK && s != fasthttp.StatusNoContent && s != fasthttp.StatusNotModified && len(resp.Header.PeekTrailerKeys()) == 0
}

func equalFold(b []byte, s string) bool { return bytes.EqualFold(b, []byte(s)) }
