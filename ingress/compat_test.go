package ingress_test

import (
	"errors"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// former is the server that this package replaces, with its options.
func former(t testing.TB, h fasthttp.RequestHandler) (address string) {
	s := &fasthttp.Server{
		Handler:                      h,
		ReadBufferSize:               20 << 10,
		ReadTimeout:                  30 * time.Second,
		WriteTimeout:                 15 * time.Second,
		IdleTimeout:                  90 * time.Second,
		StreamRequestBody:            true,
		MaxRequestBodySize:           64 << 10,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		ReduceMemoryUsage:            true,
		Logger:                       silent{},
		CloseOnShutdown:              true,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ln) }()
	t.Cleanup(func() {
		_ = s.Shutdown()
		require.NoError(t, <-ended)
	})
	return ln.Addr().String()
}

type silent struct{}

func (silent) Printf(string, ...any) {}

// exchange sends text and returns all that is answered until the connection ends. It
// closes the writing side after a text that is not whole.
func exchange(t *testing.T, address, text string, whole bool) string {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(wait)))
	_, _ = io.WriteString(conn, text) // the server may have closed the connection
	if !whole {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	b, err := io.ReadAll(conn)
	var ne net.Error
	require.False(t, errors.As(err, &ne) && ne.Timeout(), "the connection is open after %.100s", b)
	return string(b)
}

// formerDate is the Date that fasthttp.Server writes on its own error answers.
var formerDate = regexp.MustCompile(`Date: \w{3}, [^\r]* GMT\r\n`)

// Failure: callers that send one request at a time get other bytes than before.
func TestAnswersAreThoseOfTheFormerServer(t *testing.T) {
	f := start(t, nil)
	old := former(t, func(hc *fasthttp.RequestCtx) { answerTo(&hc.Request.Header, &hc.Response, hc.RequestBodyStream()) })
	chunks := "Transfer-Encoding: chunked"
	last := request("GET", "/once/last", "Connection: close")
	for name, text := range map[string]string{
		"GET":                    request("GET", "/once/1") + last,
		"HEAD":                   request("HEAD", "/once/1") + last,
		"POST without length":    request("POST", "/once/1") + last,
		"length 0":               request("POST", "/once/1", "Content-Length: 0") + last,
		"length":                 request("POST", "/once/1", "Content-Length: 4") + "body" + last,
		"long body":              request("POST", "/once/1", "Content-Length: 100000") + strings.Repeat("x", 100000) + last,
		"GET with body":          request("GET", "/safe/1", "Content-Length: 4") + "body" + last,
		"chunks":                 request("PUT", "/once/1", chunks) + "4\r\nbody\r\n3;e=x\r\nabc\r\n0\r\nX-T: 1\r\n\r\n" + last,
		"chunk size with spaces": request("PUT", "/once/1", chunks) + "4 \r\nbody\r\n0\r\n\r\n" + last,
		"broken size":            request("PUT", "/once/1", chunks) + "zz\r\n" + last,
		"broken end of chunk":    request("PUT", "/once/1", chunks) + "2\r\nabcd\r\n0\r\n\r\n" + last,
		"space before extension": request("PUT", "/once/1", chunks) + "2 ;e\r\nab\r\n0\r\n\r\n" + last,
		"line feed in extension": request("PUT", "/once/1", chunks) + "2;e\nab\r\n0\r\n\r\n" + last,
		"huge size":              request("PUT", "/once/1", chunks) + "fffffffffffffffff\r\nab\r\n0\r\n\r\n" + last,
		"length and chunks":      request("PUT", "/once/1", "Content-Length: 3", chunks) + "0\r\n\r\n" + last,
		"two lengths":            request("PUT", "/once/1", "Content-Length: 0", "Content-Length: 5") + last,
		"odd coding":             request("PUT", "/once/1", "Transfer-Encoding: gzip") + last,
		"space before colon":     request("GET", "/once/1", "X-A : 1") + last,
		"folded field":           request("GET", "/once/1", "X-A: 1\r\n b") + last,
		"half: bare line feeds":  strings.ReplaceAll(request("GET", "/once/1")+last, "\r\n", "\n"),
		"no host":                "GET / HTTP/1.1\r\n\r\n",
		"odd host":               "GET / HTTP/1.1\r\nHost: a b\r\n\r\n",
		"odd method":             "G(T / HTTP/1.1\r\nHost: h\r\n\r\n",
		"odd version":            "GET / HTTP/x\r\nHost: h\r\n\r\n",
		"version 1.0":            "GET / HTTP/1.0\r\nHost: h\r\n\r\n" + last,
		"version 1.0 kept":       "GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n" + last,
		"whole URI":              request("GET", "http://x/once/1") + last,
		"empty lines":            request("POST", "/once/1", "Content-Length: 1") + "b\r\n\r\n" + last,
		"lone carriage return":   "\r" + last,
		"half a head":            "GET / HTTP/1.1\r\nHo",
		"half a body":            request("POST", "/once/1", "Content-Length: 4") + "bo",
		"half a chunk":           request("POST", "/once/1", chunks) + "4\r\nbo",
		"half a long body":       request("POST", "/once/1", "Content-Length: 40000") + strings.Repeat("x", 20000),
		"expect":                 request("POST", "/once/1", "Content-Length: 4", "Expect: 100-continue") + "body" + last,
		"expect without body":    request("GET", "/safe/1", "Expect: 100-continue") + last,
		"unread body":            request("POST", "/once/1", "Content-Length: 4", "X-Unread: 1") + "body" + last,
		"long unread body":       request("POST", "/once/1", "Content-Length: 1000000", "X-Unread: 1") + strings.Repeat("x", 9000),
		"unread chunks":          request("POST", "/once/1", chunks, "X-Unread: 1") + "4\r\nbody\r\n0\r\n\r\n" + last,
		"no content":             request("GET", "/once/1", "X-Status: 204") + last,
		"not modified":           request("GET", "/once/1", "X-Status: 304", "X-Size: 10000") + last,
		"head of a long answer":  request("HEAD", "/once/1", "X-Size: 10000") + last,
		"long answer":            request("GET", "/once/1", "X-Size: 1000000") + last,
		"sent ahead":             request("GET", "/once/1") + request("GET", "/once/2") + request("POST", "/once/3", "Content-Length: 1") + "b" + last,
		"head over the limit":    request("GET", "/once/1", "X-A: "+strings.Repeat("x", 30<<10)),
		"nothing":                "",
	} {
		t.Run(name, func(t *testing.T) {
			whole := name != "nothing" && !strings.HasPrefix(name, "half")
			want := formerDate.ReplaceAllString(exchange(t, old, text, whole), "")
			got := exchange(t, f.address, text, whole)
			if len(want) > 1<<10 || len(got) > 1<<10 {
				require.True(t, want == got, "%.300s", got)
			}
			require.Equal(t, want, got)
			require.NotContains(t, got, "Server:")
		})
	}
}
