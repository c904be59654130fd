package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"wisteriafold/ingress"
)

func TestMain(m *testing.M) {
	// The server that answers are compared with leaves these goroutines.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// wait is how long a test waits for what must happen.
const wait = 10 * time.Second

// step is a request in progress whose end a test decides.
type step struct {
	id  string
	ctx context.Context
	end chan func(*ingress.Request) // nil answers with the id
}

// fixture is a server on a loopback address. Requests below /safe/ may overlap. Those
// with X-Hold wait for the test.
type fixture struct {
	t       *testing.T
	s       *ingress.Server
	address string
	started chan *step
	mu      sync.Mutex
	limits  ingress.Limits
}

func roomy() ingress.Limits {
	return ingress.Limits{HeaderBytes: 16 << 10, HeaderTimeout: time.Hour, IdleTimeout: time.Hour, HeldBytes: 64 << 20}
}

func start(t *testing.T, change func(*ingress.Options)) *fixture {
	f := &fixture{t: t, started: make(chan *step, 100), limits: roomy()}
	opt := ingress.Options{
		Handler:  f.handle,
		Overlaps: func(h *fasthttp.RequestHeader) bool { return strings.HasPrefix(string(h.RequestURI()), "/safe/") },
		Limits: func() ingress.Limits {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.limits
		},
		Context: t.Context(),
		Log:     func(string, ...any) {},
	}
	if change != nil {
		change(&opt)
	}
	f.s = ingress.New(opt)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = ln.Addr().String()
	ended := make(chan error, 1)
	go func() { ended <- f.s.Serve(ln) }()
	t.Cleanup(func() {
		f.s.Close()
		require.NoError(t, <-ended)
	})
	return f
}

func (f *fixture) handle(r *ingress.Request) {
	id := string(r.Header.RequestURI())
	if len(r.Header.Peek("X-Hold")) == 0 {
		answer(r)
		return
	}
	s := &step{id, r.Context(), make(chan func(*ingress.Request), 1)}
	if r.Body != nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	f.started <- s
	if len(r.Header.Peek("X-Unadmitted")) == 0 {
		r.Admitted()
	}
	select {
	case end := <-s.end:
		if end != nil {
			end(r)
			return
		}
		answer(r)
	case <-s.ctx.Done():
		r.Response.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

// answer answers as the request asks for.
func answer(r *ingress.Request) { answerTo(&r.Header, &r.Response, r.Body) }

func answerTo(h *fasthttp.RequestHeader, resp *fasthttp.Response, body io.Reader) {
	if n, err := strconv.Atoi(string(h.Peek("X-Status"))); err == nil {
		resp.SetStatusCode(n)
	}
	resp.Header.Add("Date", "today")
	resp.Header.Add("X-Method", string(h.Method()))
	text := string(h.RequestURI())
	if body != nil && len(h.Peek("X-Unread"))+len(h.Peek("X-Hold")) == 0 {
		b, err := io.ReadAll(body)
		broken := err != nil || h.ContentLength() > len(b)
		if len(b) > 0 || broken {
			text += fmt.Sprint(" body ", len(b), broken)
		}
		if broken {
			resp.SetConnectionClose()
		}
	}
	if n, err := strconv.Atoi(string(h.Peek("X-Size"))); err == nil {
		text = strings.Repeat("x", n)
	}
	resp.SetBodyRaw([]byte(text))
}

// caller is a connection of a caller.
type caller struct {
	*testing.T
	net.Conn
	br *bufio.Reader
}

func (f *fixture) connect() *caller {
	conn, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(wait)))
	return &caller{f.t, conn, bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	_, err := io.WriteString(c.Conn, text)
	require.NoError(c, err)
}

func request(method, path string, fields ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(fields, ""), "\r\n") + "\r\n"
}

// held is a request that may overlap and waits for the test.
func held(path string, fields ...string) string {
	return request("GET", path, append(fields, "X-Hold: 1")...)
}

// expect reads one answer.
func (c *caller) expect(status int, body string) {
	c.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	require.NoError(c, err, body)
	b, err := io.ReadAll(resp.Body)
	require.NoError(c, err, body)
	require.Equal(c, status, resp.StatusCode)
	require.Equal(c, body, string(b))
}

func (c *caller) expectEnd() {
	c.Helper()
	_, err := c.br.ReadByte()
	require.Error(c, err)
	var ne net.Error
	require.False(c, errors.As(err, &ne) && ne.Timeout(), "the connection is open")
}

func (f *fixture) next(id string) *step {
	f.t.Helper()
	select {
	case s := <-f.started:
		require.Equal(f.t, id, s.id)
		return s
	case <-time.After(wait):
		f.t.Fatal("not started: ", id)
		return nil
	}
}

// awaitWaiting waits until n requests were read that are not running.
func (f *fixture) awaitWaiting(n int) {
	f.t.Helper()
	f.eventually(func() bool { return f.s.Waiting() == int64(n) })
}

func (f *fixture) eventually(ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, ok, wait, time.Millisecond)
}

func (s *step) cancelled(t *testing.T) {
	t.Helper()
	select {
	case <-s.ctx.Done():
	case <-time.After(wait):
		t.Fatal("not cancelled: ", s.id)
	}
}

// Failure: a request behind a slow one waits until its caller gives up, or answers
// reach other requests than their own.
func TestSafeRequestsOverlapAndAreAnsweredInOrder(t *testing.T) {
	f := start(t, nil)
	c := f.connect()
	var steps []*step
	text := ""
	for i := range 8 {
		text += held(fmt.Sprint("/safe/", i))
	}
	c.send(text)
	for i := range 8 {
		steps = append(steps, f.next(fmt.Sprint("/safe/", i)))
	}
	for i := 7; i >= 0; i-- {
		close(steps[i].end)
	}
	for i := range 8 {
		c.expect(200, fmt.Sprint("/safe/", i))
	}
	require.EqualValues(t, 7, f.s.Stats().ReadAhead)
	f.eventually(func() bool { return f.s.Waiting() == 0 && f.s.Stats().HeldBytes == 0 })
}

// Failure: a request overtakes an earlier one of its connection at admission.
func TestRequestsAreAdmittedInOrder(t *testing.T) {
	f := start(t, nil)
	c := f.connect()
	c.send(held("/safe/1", "X-Unadmitted: 1") + held("/safe/2"))
	first := f.next("/safe/1")
	f.awaitWaiting(1)
	require.Empty(t, f.started)
	close(first.end)
	close(f.next("/safe/2").end)
	c.expect(200, "/safe/1")
	c.expect(200, "/safe/2")
}

// Failure: a request that may run once only, or has a body, starts behind a request
// whose answer closes the connection. Its caller sends it again and it runs twice.
func TestOtherRequestsStartWhenEarlierOnesAreAnswered(t *testing.T) {
	for name, second := range map[string]string{
		"not idempotent": held("/once/2"),
		"body":           held("/safe/2", "Content-Length: 1") + "b",
		"chunks":         held("/safe/2", "Transfer-Encoding: chunked") + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, nil)
			c := f.connect()
			c.send(held("/safe/1") + second + held("/safe/3"))
			first := f.next("/safe/1")
			f.awaitWaiting(1) // nothing is read past it
			require.Empty(t, f.started)
			close(first.end)
			c.expect(200, "/safe/1")
			one := f.next(strings.Split(second, " ")[1])
			require.Zero(t, f.s.Waiting())
			one.end <- func(r *ingress.Request) { answer(r) }
			c.expect(200, one.id)
			close(f.next("/safe/3").end)
			c.expect(200, "/safe/3")

			c = f.connect()
			c.send(held("/safe/4") + second)
			closing := f.next("/safe/4")
			f.awaitWaiting(1)
			closing.end <- func(r *ingress.Request) { answer(r); r.SetConnectionClose() }
			c.expect(200, "/safe/4")
			c.expectEnd()
			require.Empty(t, f.started)
			require.Zero(t, f.s.Waiting())
		})
	}
}

// Failure: a request is answered behind an answer that said the connection closes, or
// work goes on that nobody can be told of.
func TestClosingAnswerEndsWhatIsBehindIt(t *testing.T) {
	f := start(t, nil)
	c := f.connect()
	c.send(held("/safe/1") + held("/safe/2") + held("/safe/3"))
	first, second, third := f.next("/safe/1"), f.next("/safe/2"), f.next("/safe/3")
	close(third.end) // ready, and never sent
	f.awaitWaiting(1)
	second.end <- func(r *ingress.Request) { answer(r); r.SetConnectionClose() }
	f.eventually(func() bool { return f.s.Waiting() >= 2 })
	close(first.end)
	c.expect(200, "/safe/1")
	c.expect(200, "/safe/2")
	c.expectEnd()
	require.Empty(t, f.started)

	c = f.connect()
	c.send(held("/safe/5") + held("/safe/6"))
	closing, cancelled := f.next("/safe/5"), f.next("/safe/6")
	closing.end <- func(r *ingress.Request) { answer(r); r.SetConnectionClose() }
	cancelled.cancelled(t)
	c.expect(200, "/safe/5")
	c.expectEnd()

	c = f.connect()
	c.send(request("GET", "/safe/7", "Connection: close") + held("/safe/8"))
	c.expect(200, "/safe/7")
	c.expectEnd()
	require.Empty(t, f.started)
}

// Failure: a stop cuts requests of a connection that run beside the one whose answer
// announces the end of the connection.
func TestStopCutsNoRunningRequest(t *testing.T) {
	f := start(t, nil)
	c := f.connect()
	c.send(held("/safe/1") + held("/safe/2"))
	first, second := f.next("/safe/1"), f.next("/safe/2")
	stop := func(r *ingress.Request) { r.SetConnectionCloseIfLast(); answer(r) }
	first.end <- stop
	c.expect(200, "/safe/1")
	second.end <- stop
	c.expect(200, "/safe/2")
	c.expectEnd()
}

// Failure: work goes on for a caller that has left.
func TestRequestsAreCancelledWhenTheCallerLeaves(t *testing.T) {
	body := held("/once/2", "Content-Length: 1") + "b"
	for name, x := range map[string]struct {
		requests string
		running  []string
		leave    func(*net.TCPConn) error
	}{
		"closed":                 {held("/safe/1") + held("/safe/2"), []string{"/safe/1", "/safe/2"}, (*net.TCPConn).Close},
		"half closed":            {held("/safe/1") + held("/safe/2"), []string{"/safe/1", "/safe/2"}, (*net.TCPConn).CloseWrite},
		"reset":                  {held("/safe/1"), []string{"/safe/1"}, reset},
		"behind a body":          {body, []string{"/once/2"}, (*net.TCPConn).Close},
		"half closed, unread":    {body + held("/safe/3"), []string{"/once/2"}, (*net.TCPConn).CloseWrite},
		"half closed, read past": {held("/safe/1") + body, []string{"/safe/1"}, (*net.TCPConn).CloseWrite},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, nil)
			c := f.connect()
			c.send(x.requests)
			var steps []*step
			for _, id := range x.running {
				steps = append(steps, f.next(id))
			}
			require.NoError(t, x.leave(c.Conn.(*net.TCPConn)))
			for _, s := range steps {
				s.cancelled(t)
			}
			f.eventually(func() bool { s := f.s.Stats(); return s.Open == 0 && s.HeldBytes == 0 && f.s.Waiting() == 0 })
			require.Empty(t, f.started)
		})
	}
}

func reset(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}
