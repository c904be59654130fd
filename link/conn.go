package link

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// sendBuffer bounds the kernel's send buffer of a connection, in bytes, so
	// that a ping does not wait long behind bodies on a slow link.
	sendBuffer = 256 << 10

	muxHeader   = 12 // bytes of a yamux header
	muxTypeData = 0  // yamux message type with a body

	// joinLimit is the largest body, in bytes, that is copied behind its header
	// to save a system call.
	joinLimit = 16 << 10
)

// conn is the connection below a yamux session. It notes when bytes arrived
// and writes a yamux header together with its body. yamux has one writing
// goroutine, so Write needs no lock.
type conn struct {
	net.Conn
	raw      net.Conn // below TLS
	base     time.Time
	lastRead atomic.Int64 // nanoseconds since base
	lastSent atomic.Int64 // nanoseconds since base
	count    *counters
	held     []byte
}

func newConn(c, raw net.Conn, base time.Time, count *counters) *conn {
	if t, ok := raw.(*net.TCPConn); ok {
		_ = t.SetNoDelay(true)
		_ = t.SetWriteBuffer(sendBuffer)
	}
	k := &conn{Conn: c, raw: raw, base: base, count: count}
	k.touch()
	return k
}

func (c *conn) touch() { c.lastRead.Store(since(c.base)) }

// Read reads from the connection and notes the time.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.touch()
		c.count.bytesIn.Add(uint64(n))
	}
	return n, err
}

// Write keeps the header of a data message back until its body comes.
func (c *conn) Write(b []byte) (int, error) {
	c.lastSent.Store(since(c.base))
	c.count.bytesOut.Add(uint64(len(b)))
	if len(c.held) == 0 {
		if isDataHeader(b) {
			c.held = append(c.held, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	if len(b) <= joinLimit {
		c.held = append(c.held, b...)
		_, err := c.Conn.Write(c.held)
		c.held = c.held[:0]
		return len(b), err
	}
	_, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	if err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection below TLS, without waiting for room to say so.
func (c *conn) Close() error { return c.raw.Close() }

func isDataHeader(b []byte) bool {
	if len(b) != muxHeader || b[1] != muxTypeData {
		return false
	}
	return b[8]|b[9]|b[10]|b[11] != 0
}
