// Package acceptor protects a listener against failed accepts and against connections
// that are opened and left. Accept never fails while the listener is open, and the
// number of connections is bounded: a new one replaces the one that has been without
// activity for longest, so that idle connections do not keep others out.
package acceptor

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Pauses after a failed accept. They double from the first to the last. Too few free
// descriptors are the usual cause, and it lasts.
const (
	firstPause = 10 * time.Millisecond
	lastPause  = 100 * time.Millisecond
)

// Config configures a Listener.
type Config struct {
	// MaxConnections is the maximum number of open connections; 0 sets no limit, and
	// connections are passed on as they are.
	MaxConnections int

	// Failed is called after each failed accept.
	Failed func(error)

	// Closed is called for each connection that is closed to make room for others.
	Closed func()
}

// Listener wraps a listener. It is safe for concurrent use.
type Listener struct {
	net.Listener
	cfg    Config
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a Listener on l.
func New(l net.Listener, cfg Config) *Listener {
	return &Listener{Listener: l, cfg: cfg, closed: make(chan struct{}), conns: make(map[*conn]struct{})}
}

// Accept returns the next connection. It fails only after Close.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		c, err := l.Listener.Accept()
		if err == nil {
			return l.add(c), nil
		}
		if l.isClosed() || errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		if l.cfg.Failed != nil {
			l.cfg.Failed(err)
		}
		l.evict(1)
		select {
		case <-time.After(pause):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener. Open connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Connections returns the number of open connections; it counts only with a limit.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// add makes room for a connection and records it.
func (l *Listener) add(c net.Conn) net.Conn {
	if l.cfg.MaxConnections <= 0 {
		return c
	}
	l.evict(l.Connections() + 1 - l.cfg.MaxConnections)
	x := &conn{Conn: c, listener: l}
	x.markActive()
	l.mu.Lock()
	l.conns[x] = struct{}{}
	l.mu.Unlock()
	return x
}

// evict closes the n connections that have been without activity for longest.
func (l *Listener) evict(n int) {
	for range n {
		l.mu.Lock()
		var oldest *conn
		for c := range l.conns {
			if oldest == nil || c.active.Load() < oldest.active.Load() {
				oldest = c
			}
		}
		l.mu.Unlock()
		if oldest == nil {
			return
		}
		_ = oldest.Close()
		if l.cfg.Closed != nil {
			l.cfg.Closed()
		}
	}
}

// conn records the time of the last activity of a connection.
type conn struct {
	net.Conn
	listener *Listener
	active   atomic.Int64 // nanoseconds since base
}

var base = time.Now()

func (c *conn) markActive() { c.active.Store(int64(time.Since(base))) }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.markActive()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.markActive()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
