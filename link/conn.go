package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sendBufferBytes limits the kernel's send buffer of a connection, in bytes, so
	// that on a slow link a ping does not queue behind a long backlog of bodies.
	sendBufferBytes = 256 << 10

	muxHeaderBytes = 12 // length of a yamux header, in bytes
	muxTypeData    = 0  // yamux message type that carries a body

	// joinLimitBytes is the largest body, in bytes, that is copied next to its header
	// to send both in one system call.
	joinLimitBytes = 16 << 10
)

// conn is the connection below a yamux session. It records the times of the
// last read and write, and writes a yamux header together with its body. Write
// needs no lock because yamux writes from a single goroutine.
type conn struct {
	net.Conn
	raw      net.Conn     // below TLS
	base     time.Time    // zero point of the times below
	lastRead atomic.Int64 // nanoseconds since base
	lastSent atomic.Int64 // nanoseconds since base
	count    *counters
	pending  []byte // a data header whose body has not been written yet

	lostMu sync.Mutex
	lost   func(error) // called once, before yamux sees the error that ended reading
	ended  error       // error that ended reading, nil before
}

func newConn(c, raw net.Conn, base time.Time, count *counters) *conn {
	if t, ok := raw.(*net.TCPConn); ok {
		_ = t.SetNoDelay(true)
		_ = t.SetWriteBuffer(sendBufferBytes)
	}
	k := &conn{Conn: c, raw: raw, base: base, count: count}
	k.markRead()
	return k
}

func (c *conn) markRead() { c.lastRead.Store(since(c.base)) }

// Read reads from the connection and records the time.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.markRead()
		c.count.bytesIn.Add(uint64(n))
	}
	if err != nil {
		c.readEnded(err)
	}
	return n, err
}

// readEnded records the error that ended reading and reports it to lost.
func (c *conn) readEnded(err error) {
	c.lostMu.Lock()
	first := c.ended == nil
	if first {
		c.ended = err
	}
	lost := c.lost
	c.lostMu.Unlock()
	if first && lost != nil {
		lost(err)
	}
}

// onLost sets the function that is called when reading has ended, and calls it if
// that has happened already.
func (c *conn) onLost(lost func(error)) {
	c.lostMu.Lock()
	c.lost = lost
	ended := c.ended
	c.lostMu.Unlock()
	if ended != nil {
		lost(ended)
	}
}

// Write buffers the header of a data message until yamux writes its body, and
// then sends both.
func (c *conn) Write(b []byte) (int, error) {
	c.lastSent.Store(since(c.base))
	c.count.bytesOut.Add(uint64(len(b)))
	if len(c.pending) == 0 {
		if isDataHeader(b) {
			c.pending = append(c.pending, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	if len(b) <= joinLimitBytes {
		c.pending = append(c.pending, b...)
		_, err := c.Conn.Write(c.pending)
		c.pending = c.pending[:0]
		return len(b), err
	}
	_, err := c.Conn.Write(c.pending)
	c.pending = c.pending[:0]
	if err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection below TLS. It skips the TLS close alert, the write
// of which could block.
func (c *conn) Close() error { return c.raw.Close() }

func isDataHeader(b []byte) bool {
	if len(b) != muxHeaderBytes || b[1] != muxTypeData {
		return false
	}
	return b[8]|b[9]|b[10]|b[11] != 0
}
