package ingress_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/ingress"
)

func (f *fixture) limit(change func(*ingress.Limits)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.limits)
}

// status reads one answer and returns its status.
func (c *caller) status() int {
	c.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	require.NoError(c, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(c, err)
	return resp.StatusCode
}

// Failure: heads of any size are held, or a caller inside the limit is refused.
func TestHeadsAreLimited(t *testing.T) {
	const limit = 2 << 10
	f := start(t, nil)
	f.limit(func(l *ingress.Limits) { l.HeaderBytes = limit })
	head := func(fields int) string { // fields is their size with the empty line
		rest := len("Host: h\r\nX-A: \r\n\r\n")
		return request("GET", "/safe/"+strings.Repeat("p", 1000), "X-A: "+strings.Repeat("x", fields-rest))
	}
	c := f.connect()
	c.send(head(limit))
	require.Equal(t, 200, c.status())
	c.send(held("/safe/1"))
	first := f.next("/safe/1")
	c.send(head(limit + 1))
	f.awaitWaiting(1)
	close(first.end)
	c.expect(200, "/safe/1")
	require.Equal(t, 431, c.status())
	c.expectEnd()

	for name, x := range map[string]struct {
		text   string
		status int
	}{
		"line without end":            {"GET /" + strings.Repeat("x", 1<<20), 431},
		"fields without end":          {"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 1<<18), 431},
		"empty lines":                 {strings.Repeat("\r\n", 4) + request("GET", "/safe/2"), 200},
		"empty lines over the limit":  {strings.Repeat("\n", 9), 400},
		"empty lines without end":     {strings.Repeat("\r\n", 1<<18), 400},
		"chunk extension without end": {request("PUT", "/once/1", "Transfer-Encoding: chunked") + "1;" + strings.Repeat("x", 1<<20), 200},
		"many chunk extensions":       {request("PUT", "/once/1", "Transfer-Encoding: chunked") + strings.Repeat("1;xxx\r\nb\r\n", 1<<12), 200},
		"trailer without end":         {request("PUT", "/once/1", "Transfer-Encoding: chunked") + "0\r\n" + strings.Repeat("A: b\r\n", 1<<18), 200},
	} {
		t.Run(name, func(t *testing.T) {
			c := f.connect()
			_, _ = io.WriteString(c.Conn, x.text) // the server may end the connection before it is sent
			resp, err := http.ReadResponse(c.br, nil)
			require.NoError(t, err)
			b, _ := io.ReadAll(resp.Body)
			require.Equal(t, x.status, resp.StatusCode)
			if strings.HasPrefix(x.text, "PUT") {
				require.Contains(t, string(b), "true", "the body is broken")
			}
			if name != "empty lines" {
				require.True(t, resp.Close)
				c.expectEnd()
			}
		})
	}
	f.eventually(func() bool { return f.s.Stats().HeldBytes == 0 })
	require.EqualValues(t, 5, f.s.Stats().HeadsRejected)
}

// Failure: a connection is held by a caller that sends a head byte by byte, or one that
// sends nothing, or is ended while a request runs.
func TestSlowHeadsAndIdleConnectionsEnd(t *testing.T) {
	f := start(t, nil)
	f.limit(func(l *ingress.Limits) { l.HeaderTimeout, l.IdleTimeout = time.Hour, 2*time.Hour })
	slow, behind, idle, busy := f.connect(), f.connect(), f.connect(), f.connect()
	busy.send(held("/once/1"))
	running := f.next("/once/1")
	behind.send(held("/safe/2"))
	earlier := f.next("/safe/2")
	for _, c := range []*caller{slow, behind} {
		c.send("GET /safe/3 HTTP/1.1\r\n")
	}
	idle.send(request("GET", "/safe/4"))
	idle.expect(200, "/safe/4")
	f.eventually(func() bool { return f.s.Stats().HeldBytes > 2*16<<10 }) // both heads are being read

	f.s.SweepForTest(90 * time.Minute)
	slow.expectEnd()
	f.eventually(func() bool { return f.s.Stats().HeadsRejected == 2 })
	close(earlier.end)
	behind.expect(200, "/safe/2")
	behind.expectEnd()
	idle.send(request("GET", "/safe/5"))
	idle.expect(200, "/safe/5")

	f.eventually(func() bool { f.s.SweepForTest(3 * time.Hour); return f.s.Stats().Open == 1 })
	idle.expectEnd()
	close(running.end)
	busy.expect(200, "/once/1")
}

// Failure: one connection has the whole daemon at work, or lets it hold answers without
// end by reading the first one slowly.
func TestReadAheadOfAConnectionIsBounded(t *testing.T) {
	const ahead = 3
	f := start(t, func(o *ingress.Options) { o.ReadAhead, o.HeldBack = ahead, 1000 })
	c := f.connect()
	c.send(strings.Repeat(held("/safe/1"), 2*ahead))
	var steps []*step
	for range 1 + ahead {
		steps = append(steps, f.next("/safe/1"))
	}
	require.EqualValues(t, ahead, f.s.Stats().ReadAhead)
	close(steps[0].end)
	steps = append(steps[1:], f.next("/safe/1"))
	for _, s := range steps {
		close(s.end)
	}
	close(f.next("/safe/1").end)
	for range 2 * ahead {
		c.expect(200, "/safe/1")
	}

	c.send(held("/safe/2") + held("/safe/3", "X-Size: 1000"))
	first, second := f.next("/safe/2"), f.next("/safe/3")
	close(second.end)
	f.awaitWaiting(1)
	c.send(strings.Repeat(request("GET", "/safe/4"), 8))
	f.s.SweepForTest(0)
	require.LessOrEqual(t, f.s.Waiting(), int64(2), "one may be read while the second is answered")
	close(first.end)
	c.expect(200, "/safe/2")
	c.expect(200, strings.Repeat("x", 1000))
	for range 8 {
		c.expect(200, "/safe/4")
	}
}

// Failure: connections take the descriptors that the daemon needs for others.
func TestConnectionsAreLimited(t *testing.T) {
	const limit = 3
	f := start(t, nil)
	f.limit(func(l *ingress.Limits) { l.Connections = limit })
	unused, used, busy := f.connect(), f.connect(), f.connect()
	busy.send(held("/once/1"))
	running := f.next("/once/1")
	used.send(request("GET", "/safe/2"))
	used.expect(200, "/safe/2")
	f.eventually(func() bool { return f.s.Stats().Open == limit && f.s.Waiting() == 0 })
	more := f.connect()
	more.send(held("/once/3"))
	third := f.next("/once/3")
	unused.expectEnd()
	last := f.connect()
	last.send(held("/once/4"))
	fourth := f.next("/once/4")
	used.expectEnd()
	f.connect().expectEnd()
	for _, s := range []*step{running, third, fourth} {
		close(s.end)
	}
	busy.expect(200, "/once/1")
	more.expect(200, "/once/3")
	s := f.s.Stats()
	require.EqualValues(t, []uint64{1, 2}, []uint64{s.Refused, s.Evicted})
}

// failing is a listener whose first accepts fail.
type failing struct {
	net.Listener
	left atomic.Int32
}

func (l *failing) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Failure: a failed accept ends the listener.
func TestFailedAcceptsAreRetried(t *testing.T) {
	f := start(t, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &failing{Listener: ln}
	l.left.Store(3)
	ended := make(chan error, 1)
	go func() { ended <- f.s.Serve(l) }()
	f.address = ln.Addr().String()
	c := f.connect()
	c.send(request("GET", "/safe/1"))
	c.expect(200, "/safe/1")
	require.EqualValues(t, 3, f.s.Stats().AcceptErrors)
	require.NoError(t, ln.Close())
	require.NoError(t, <-ended)
}

// Failure: a caller that takes no bytes holds an answer without end.
func TestReadersWithoutProgressAreCut(t *testing.T) {
	f := start(t, nil)
	c := f.connect()
	c.send(request("GET", "/safe/1", "X-Size: 50000000"))
	f.eventually(func() bool { return f.s.Stats().HeldBytes > 50000000 })
	later := time.Duration(0)
	f.eventually(func() bool { // the socket buffers may take bytes for a while
		later += time.Minute
		f.s.SweepForTest(later)
		return f.s.Stats().Open == 0
	})
	f.eventually(func() bool { return f.s.Stats().HeldBytes == 0 && f.s.Waiting() == 0 })
	require.NotZero(t, f.s.Stats().ReadersCut)
	resp, err := http.ReadResponse(c.br, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	require.Error(t, err, "the answer must not look whole")
}

// Failure: answers that callers do not read fill the memory, or an ordinary caller is
// cut for it.
func TestMemoryIsTakenFromTheStalledThenTheLargest(t *testing.T) {
	s, ms := time.Second, time.Millisecond
	for _, x := range []struct {
		bytes   []int64
		stalled []time.Duration
		limit   int64
		want    int
	}{
		{[]int64{50, 24}, []time.Duration{9 * s, 9 * s}, 100, -1},
		{[]int64{25, 50}, []time.Duration{2 * s, 0}, 100, 0},
		{[]int64{50, 50}, []time.Duration{0, 0}, 100, -1},
		{[]int64{10, 20, 80}, []time.Duration{9 * s, 2 * s, 0}, 100, 0},
		{[]int64{0, 20, 81}, []time.Duration{9 * s, 2 * s, 0}, 100, 1},
		{[]int64{30, 20, 60}, []time.Duration{0, 999 * ms, 0}, 100, 2},
		{[]int64{50, 52, 51}, []time.Duration{300 * ms, 0, 200 * ms}, 100, 0}, // not the one that has just begun to read
		{nil, nil, 100, -1},
	} {
		require.Equal(t, x.want, ingress.ChooseVictimForTest(x.bytes, x.stalled, x.limit), x)
	}

	f := start(t, nil)
	f.limit(func(l *ingress.Limits) { l.HeldBytes = 60 << 20 })
	stalled, ordinary := f.connect(), f.connect()
	ordinary.send(held("/once/1"))
	running := f.next("/once/1")
	require.False(t, f.s.Full())
	stalled.send(request("GET", "/safe/1", "X-Size: 50000000"))
	f.eventually(f.s.Full)
	f.connect().send(request("GET", "/safe/2", "X-Size: 20000000"))
	f.eventually(func() bool { return !f.s.Full() })
	require.EqualValues(t, 1, f.s.Stats().ReadersCut)
	close(running.end)
	ordinary.expect(200, "/once/1")
}

// Failure: a connection that is no socket, whose state cannot be polled, hangs.
func TestConnectionsWithoutSocketAreServed(t *testing.T) {
	f := start(t, nil)
	client, server := net.Pipe()
	ln := &single{conn: server, closed: make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- f.s.Serve(ln) }()
	c := &caller{t, client, bufio.NewReader(client)}
	require.NoError(t, client.SetDeadline(time.Now().Add(wait)))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(client, held("/safe/1")+held("/safe/2")+request("POST", "/once/3", "Content-Length: 1")+"b"+request("GET", "/safe/4", "Connection: close"))
	}()
	first, second := f.next("/safe/1"), f.next("/safe/2")
	close(second.end)
	close(first.end)
	c.expect(200, "/safe/1")
	c.expect(200, "/safe/2")
	c.expect(200, "/once/3 body 1 false")
	c.expect(200, "/safe/4")
	c.expectEnd()
	<-sent
	require.NoError(t, ln.Close())
	require.NoError(t, <-ended)
}

// single is a listener with one connection.
type single struct {
	conn   net.Conn
	closed chan struct{}
	given  atomic.Bool
	ended  atomic.Bool
}

func (l *single) Accept() (net.Conn, error) {
	if l.given.CompareAndSwap(false, true) {
		return l.conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *single) Close() error {
	if l.ended.CompareAndSwap(false, true) {
		close(l.closed)
		return nil
	}
	return errors.New("closed before; close a listener once")
}

func (l *single) Addr() net.Addr { return &net.TCPAddr{} }
