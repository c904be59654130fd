package ingress

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// DefaultReadAhead is the number of requests that are read behind the one that is
	// to be answered next.
	DefaultReadAhead = 16

	// DefaultHeldBack is the number of bytes of finished answers behind a slow one
	// above which no further requests are read.
	DefaultHeldBack = 1 << 20

	// sweepInterval is the interval at which connections are checked for time-outs.
	sweepInterval = 250 * time.Millisecond

	// writeStallTimeout is the time after which a caller that takes no byte of an
	// answer is cut.
	writeStallTimeout = 15 * time.Second

	// acceptPauseMin and acceptPauseMax bound the pause after a failed accept.
	acceptPauseMin = 10 * time.Millisecond
	acceptPauseMax = 100 * time.Millisecond

	// logInterval is the shortest time between two log lines about the same thing.
	logInterval = time.Second

	// evictedFraction is the part of the idle connections that is closed when there
	// are too many connections, so that not every accept has to look for one.
	evictedFraction = 1.0 / 16

	writeBufferBytes = 4 << 10
)

// Limits bounds what callers can make the process hold. It is read at the time of use.
type Limits struct {
	HeaderBytes   int           // size of the header fields of a request
	HeaderTimeout time.Duration // time for a whole head, from its first byte
	IdleTimeout   time.Duration // time without a request after which a connection is closed
	Connections   int           // 0 for no limit
	HeldBytes     int64         // heads and answers held for all callers
}

// Options configures a Server.
type Options struct {
	Handler func(*Request)

	// Overlaps reports whether a request may run beside other requests of its
	// connection. It is called for requests without a body.
	Overlaps func(*fasthttp.RequestHeader) bool

	// Limits returns the limits in force.
	Limits func() Limits

	// Wanted returns the bytes of answers for which there is no memory now. While there
	// are any, callers that take no bytes are cut. A nil Wanted stands for none.
	Wanted func() int64

	// Context is the parent of the contexts of all requests.
	Context context.Context

	// Log writes a log line with alternating keys and values.
	Log func(msg string, keyvals ...any)

	ReadAhead int   // 0 for DefaultReadAhead
	HeldBack  int64 // 0 for DefaultHeldBack
}

// Server serves the connections of callers.
type Server struct {
	opt     Options
	epoch   time.Time
	readers readers
	writers writers
	workers workers
	stats   counters
	held    atomic.Int64 // bytes held for callers
	waiting atomic.Int64 // see Waiting
	loggedA lastLogged   // failed accepts
	loggedR lastLogged   // refused connections
	loggedC lastLogged   // readers that were cut

	relieving sync.Mutex

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners []net.Listener
	closed    bool
	wg        sync.WaitGroup // goroutines of connections
}

type counters struct {
	refused, evicted, acceptErrors, headsRejected, readersCut, readAhead atomic.Uint64
}

// Stats are the counters of a Server since its start, and what it holds now.
type Stats struct {
	Open          int    // connections
	HeldBytes     int64  // heads and answers
	Refused       uint64 // connections closed because there were too many
	Evicted       uint64 // idle connections closed to make room for others
	AcceptErrors  uint64
	HeadsRejected uint64 // over a limit, malformed or too slow
	ReadersCut    uint64 // callers cut because they took no bytes, or for memory
	ReadAhead     uint64 // requests read while an earlier one had no answer
}

// New returns a Server that does not serve until Serve is called.
func New(opt Options) *Server {
	if opt.ReadAhead <= 0 {
		opt.ReadAhead = DefaultReadAhead
	}
	if opt.HeldBack <= 0 {
		opt.HeldBack = DefaultHeldBack
	}
	s := &Server{opt: opt, epoch: time.Now(), conns: make(map[*conn]struct{})}
	s.readers.size = func() int { return opt.Limits().HeaderBytes + requestLineMargin }
	return s
}

// now returns the time since the server was made, in nanoseconds. It is never 0.
func (s *Server) now() int64 { return int64(time.Since(s.epoch)) + 1 }

// Serve accepts connections until the listener is closed. Failed accepts do not end it.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	closed := s.closed
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	stop := make(chan struct{})
	var sweeper sync.WaitGroup
	sweeper.Go(func() { s.sweepUntil(stop) })
	defer sweeper.Wait()
	defer close(stop)
	pause := acceptPauseMin
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			pause = acceptPauseMin
			s.admit(nc)
		case errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF):
			return nil
		default:
			s.stats.acceptErrors.Add(1)
			if s.loggedA.due(s.now()) {
				s.opt.Log("cannot accept connections of callers, raise the limit of descriptors", "error", err, "open", s.open(), "failed", s.stats.acceptErrors.Load())
			}
			s.evict()
			time.Sleep(pause)
			pause = min(2*pause, acceptPauseMax)
		}
	}
}

// admit serves a new connection, or closes it when there are too many.
func (s *Server) admit(nc net.Conn) {
	limit := s.opt.Limits().Connections
	if limit > 0 && s.open() >= limit && !s.evict() {
		s.stats.refused.Add(1)
		_ = nc.Close()
		if s.loggedR.due(s.now()) {
			s.opt.Log("refuse connections of callers, all are busy", "limit", limit, "refused", s.stats.refused.Load())
		}
		return
	}
	c := newConn(s, nc)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = nc.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(c.serve)
}

func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *Server) snapshot() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// evict closes some of the idle connections: first those that have carried no request,
// then those idle longest. It reports whether it closed any.
func (s *Server) evict() bool {
	type idle struct {
		c     *conn
		used  bool
		since int64
	}
	var idles []idle
	for _, c := range s.snapshot() {
		c.mu.Lock()
		if c.idleLocked() {
			idles = append(idles, idle{c, c.used, c.idleSince.Load()})
		}
		c.mu.Unlock()
	}
	slices.SortFunc(idles, func(a, b idle) int {
		if a.used != b.used {
			if b.used {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.since, b.since)
	})
	evicted := 0
	for _, x := range idles {
		if evicted > int(evictedFraction*float64(len(idles))) {
			break
		}
		if x.c.closeIdle(s.now()) {
			evicted++
			s.forget(x.c) // its goroutine will see the end soon
		}
	}
	s.stats.evicted.Add(uint64(evicted))
	return evicted > 0
}

// idleLocked reports whether no request is in progress or being read.
func (c *conn) idleLocked() bool {
	return len(c.queue) == 0 && !c.closing && c.headSince.Load() == 0
}

// closeIdle closes the connection if it has been idle since before a time.
func (c *conn) closeIdle(before int64) bool {
	c.mu.Lock()
	ends := c.idleLocked() && c.idleSince.Load() < before
	if ends {
		c.shutLocked()
	}
	c.mu.Unlock()
	if ends {
		_ = c.nc.Close() // waits for the reader, which may wait for c.mu
	}
	return ends
}

func (s *Server) sweepUntil(stop chan struct{}) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			s.sweep(s.now())
		}
	}
}

// sweep ends what has taken too long at the time now.
func (s *Server) sweep(now int64) {
	l := s.opt.Limits()
	for _, c := range s.snapshot() {
		if since := c.headSince.Load(); since != 0 && now-since > int64(l.HeaderTimeout) {
			c.endLateHead(now - int64(l.HeaderTimeout))
		}
		if idle := now - int64(l.IdleTimeout); c.idleSince.Load() < idle {
			c.closeIdle(idle)
		}
		if since := c.writeSince.Load(); since != 0 {
			c.observeProgress(now)
			if stalled := now - max(since, c.progressAt.Load()); stalled > int64(writeStallTimeout) {
				s.cutReader(c, "takes no bytes", stalled)
			}
		}
	}
	s.workers.trim(now - int64(workerIdle))
	wanted := int64(0)
	if s.opt.Wanted != nil {
		wanted = s.opt.Wanted()
	}
	if wanted > 0 || s.held.Load() >= refuseLevel(l.HeldBytes) {
		s.relieve(l.HeldBytes, wanted)
	}
}

// observeProgress notes whether the caller has taken bytes since the last call.
func (c *conn) observeProgress(now int64) {
	if c.raw == nil {
		return
	}
	_ = c.raw.Control(func(fd uintptr) {
		if n, ok := bytesTaken(fd); ok && c.taken.Swap(n) != n {
			c.progressAt.Store(now)
		}
	})
}

// Close closes all connections and ends Serve. Requests in progress are cancelled. It
// waits for the goroutines that read connections, not for handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
	s.mu.Unlock()
	for _, c := range s.snapshot() {
		c.cut()
	}
	s.wg.Wait()
	s.workers.close()
}

// Waiting returns the number of requests that were read and whose handler does not run:
// it has not started, or the last byte of the answer has not been written.
func (s *Server) Waiting() int64 { return s.waiting.Load() }

// Stats returns the counters.
func (s *Server) Stats() Stats {
	return Stats{
		Open:          s.open(),
		HeldBytes:     s.held.Load(),
		Refused:       s.stats.refused.Load(),
		Evicted:       s.stats.evicted.Load(),
		AcceptErrors:  s.stats.acceptErrors.Load(),
		HeadsRejected: s.stats.headsRejected.Load(),
		ReadersCut:    s.stats.readersCut.Load(),
		ReadAhead:     s.stats.readAhead.Load(),
	}
}

// recoverConn ends a connection whose reading panicked. It must be deferred directly.
func (s *Server) recoverConn(c *conn) {
	if p := recover(); p != nil {
		s.logPanic(p)
		c.cut()
	}
}

func (s *Server) logPanic(p any) {
	s.opt.Log("panic", "work", "connection of a caller", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
}

// lastLogged limits the rate of log lines about the same thing.
type lastLogged struct{ at atomic.Int64 }

func (l *lastLogged) due(now int64) bool {
	at := l.at.Load()
	return (at == 0 || now-at >= int64(logInterval)) && l.at.CompareAndSwap(at, now)
}

// readers is a pool of buffers for reading heads.
type readers struct {
	pool sync.Pool
	size func() int
}

func (p *readers) get(c *conn) *bufio.Reader {
	size := p.size()
	if br, ok := p.pool.Get().(*bufio.Reader); ok && br.Size() >= size {
		br.Reset(c)
		return br
	}
	return bufio.NewReaderSize(c, size)
}

func (p *readers) put(br *bufio.Reader) {
	br.Reset(nil)
	p.pool.Put(br)
}

// writers is a pool of buffers for writing answers.
type writers struct{ pool sync.Pool }

func (p *writers) get(w io.Writer) *bufio.Writer {
	if bw, ok := p.pool.Get().(*bufio.Writer); ok {
		bw.Reset(w)
		return bw
	}
	return bufio.NewWriterSize(w, writeBufferBytes)
}

func (p *writers) put(bw *bufio.Writer) {
	bw.Reset(nil)
	p.pool.Put(bw)
}
