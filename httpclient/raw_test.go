package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"wisteriafold/request"
)

// scripted starts a server that answers each request with the next script, and
// closes the connection after the last one. A script that ends in "!" resets the
// connection. scripted returns a client of the server, and a function that returns
// the number of connections opened.
func scripted(t *testing.T, scripts ...string) (*Client, func() int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var mu sync.Mutex
	var conns []net.Conn
	var opened atomic.Int32
	next := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			opened.Add(1)
			br := bufio.NewReader(conn)
			for next < len(scripts) {
				r, err := http.ReadRequest(br)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, r.Body)
				s := scripts[next]
				next++
				_, _ = io.WriteString(conn, strings.TrimSuffix(s, "!"))
				if strings.HasSuffix(s, "!") {
					_ = conn.(*net.TCPConn).SetLinger(0)
					break
				}
				if strings.Contains(s, "Connection: close") || !strings.Contains(s, "Content-Length") {
					break
				}
			}
			_ = conn.Close()
		}
	}()
	c := New(Config{Address: ln.Addr().String(), MaxConnections: 4, DialTimeout: time.Second, IdleTimeout: time.Minute})
	t.Cleanup(func() {
		_ = ln.Close()
		c.Close()
		mu.Lock()
		for _, x := range conns {
			_ = x.Close()
		}
		mu.Unlock()
		<-done
	})
	return c, func() int { return int(opened.Load()) }
}

func rawCall(id string, body int) *RawCall {
	return &RawCall{
		Head:    []byte("POST /p HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(body) + "\r\n\r\n"),
		Body:    []byte(strings.Repeat("b", body)),
		Matches: func(r *fasthttp.Response) bool { return string(r.Header.Peek("Id")) == id },
	}
}

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func do(t *testing.T, c *Client, call *RawCall) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	a, err := c.DoRaw(ctx, call)
	if err != nil {
		return "", err
	}
	defer a.Release()
	return string(a.Body), nil
}

func TestLateResponseToAnEarlierRequestIsSkipped(t *testing.T) {
	c, _ := scripted(t, ok("1", "one")+ok("1", "one again"), ok("2", "two"))
	got, err := do(t, c, rawCall("1", 3))
	require.NoError(t, err)
	require.Equal(t, "one", got)
	got, err = do(t, c, rawCall("2", 3))
	require.NoError(t, err)
	require.Equal(t, "two", got)
}

// A backend server sends only late responses to other requests. None of them may
// be delivered as the response to the pending request.
func TestResponsesToOtherRequestsAreNeverDelivered(t *testing.T) {
	c, _ := scripted(t, ok("a", "1")+ok("b", "2")+ok("c", "3")+ok("d", "4"))
	_, err := do(t, c, rawCall("1", 3))
	require.ErrorIs(t, err, errOtherResponses)
	require.Equal(t, request.Unknown, request.AsError(err).Outcome)
	require.Empty(t, c.idle)
}

// Bytes that arrive after a complete response, while the connection is idle, would
// be taken for the response to the next request.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	c, opened := scripted(t, ok("1", "one"), ok("2", "two"))
	_, err := do(t, c, rawCall("1", 3))
	require.NoError(t, err)
	cc := c.idle[0]
	extra, other := tcpPair(t)
	_, err = other.Write([]byte("extra"))
	require.NoError(t, err)
	_, err = extra.Read(make([]byte, 1)) // the remaining bytes have arrived too
	require.NoError(t, err)
	require.NoError(t, cc.Close())
	cc.Conn = extra
	require.Equal(t, connUnread, peek(extra))
	got, err := do(t, c, rawCall("2", 3))
	require.NoError(t, err)
	require.Equal(t, "two", got)
	require.Equal(t, 2, opened())
}

// tcpPair returns both ends of a loopback connection.
func tcpPair(t *testing.T) (a, b net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	a, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	b, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a, b
}

func TestTruncatedResponseIsReportedAsUnknown(t *testing.T) {
	for name, script := range map[string]string{
		"short body":    "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 10\r\n\r\nabc",
		"short head":    "HTTP/1.1 200 OK\r\nId: 1",
		"no bytes":      "",
		"garbage":       "\x00\x01 garbage\r\n\r\n",
		"cut chunks":    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"reset at once": "!",
	} {
		c, _ := scripted(t, script)
		_, err := do(t, c, rawCall("1", 3))
		require.Error(t, err, name)
		require.Equal(t, request.Unknown, request.AsError(err).Outcome, name)
	}
}

func TestResponseWithoutLengthEndsWhenItsConnectionCloses(t *testing.T) {
	c, opened := scripted(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it", ok("2", "two"))
	got, err := do(t, c, rawCall("1", 0))
	require.NoError(t, err)
	require.Equal(t, "all of it", got)
	_, err = do(t, c, rawCall("2", 0))
	require.NoError(t, err)
	require.Equal(t, 2, opened())
}

func TestKeepAliveTimeoutLimitsConnectionReuse(t *testing.T) {
	keep := strings.Replace(ok("1", "x"), "\r\n\r\n", "\r\nKeep-Alive: timeout=9\r\n\r\n", 1)
	c, opened := scripted(t, keep, ok("2", "y"), strings.Replace(ok("3", "z"), "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1), ok("4", "z"))
	for _, id := range []string{"1", "2", "3"} {
		_, err := do(t, c, rawCall(id, 1))
		require.NoError(t, err)
	}
	require.Equal(t, 1, opened())
	require.Equal(t, time.Millisecond, c.idle[0].keepAliveFor, "the margin leaves no idle time but the minimum")
	c.idle[0].idleSince = c.idle[0].idleSince.Add(-time.Second)
	_, err := do(t, c, rawCall("4", 1))
	require.NoError(t, err)
	require.Equal(t, 2, opened())
}

func TestMaxIdleAvoidsConnectionsIdleForLonger(t *testing.T) {
	c, opened := scripted(t, strings.Replace(ok("1", "x"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), ok("2", "x"))
	_, err := do(t, c, rawCall("1", 0))
	require.NoError(t, err)
	call := rawCall("2", 0)
	call.MaxIdle = time.Second
	_, err = do(t, c, call)
	require.NoError(t, err)
	require.Equal(t, 2, opened())
	c.mu.Lock()
	c.idle[0].idleSince = c.idle[0].idleSince.Add(-2 * time.Second)
	c.mu.Unlock()
	old := c.idle[0]
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	fresh, err := c.acquireRecent(ctx, time.Second, 0)
	require.NoError(t, err)
	require.NoError(t, fresh.Close())
	require.Equal(t, []*clientConn{old}, c.idle)
}

// The backend server answers a large upload before it has read the whole body.
func TestEarlyResponseToALargeBodyIsDelivered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	release := make(chan struct{})
	defer close(release)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = bufio.NewReader(conn).ReadString('\n')
		_, _ = io.WriteString(conn, ok("1", "too long"))
		<-release
	}()
	c := New(Config{Address: ln.Addr().String(), MaxConnections: 1, DialTimeout: time.Second, IdleTimeout: time.Minute})
	defer c.Close()
	got, err := do(t, c, rawCall("1", 16<<20))
	require.NoError(t, err)
	require.Equal(t, "too long", got)
	require.Empty(t, c.idle)
}

// The deadline timer of the connection may fire before that of the context, which
// has the same deadline. The timeout must still be reported as a deadline.
func TestConnectionTimeoutIsReportedAsDeadline(t *testing.T) {
	err := lostError(t.Context(), &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded})
	require.Equal(t, request.ReasonDeadline, request.AsError(err).Reason)
	require.Equal(t, request.Unknown, request.AsError(err).Outcome)
}

// A backend server reads nothing of an upload until the deadline has passed.
func TestUploadStillBeingSentAtItsDeadlineIsReportedAsDeadline(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // no connection is accepted, so that nothing is read
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	c := New(Config{Address: ln.Addr().String(), MaxConnections: 4, DialTimeout: time.Second, IdleTimeout: time.Minute})
	defer c.Close()
	upload := rawCall("1", 16<<20)
	for range 100 { // the timers of the connection and of ctx race
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		_, err = c.DoRaw(ctx, upload)
		cancel()
		var e *request.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, request.ReasonDeadline, e.Reason, e.Error())
	}
}
