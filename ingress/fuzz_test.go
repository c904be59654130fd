package ingress_test

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"wisteriafold/ingress"
)

// manyLineEnds are empty lines that may be over the limit, which fasthttp has not.
var manyLineEnds = regexp.MustCompile(`[\r\n]{9}`)

// FuzzHeads sends bytes on one connection. No panic may come of them, nothing may be
// held afterwards, and without overlapping requests the answers are those of
// fasthttp.Server: a request is never taken for two, or two for one.
func FuzzHeads(f *testing.F) {
	for _, text := range []string{
		request("GET", "/a") + request("GET", "/b", "Connection: close"),
		request("POST", "/a", "Content-Length: 3") + "abc" + request("GET", "/b"),
		request("PUT", "/a", "Transfer-Encoding: chunked") + "3;e=1\r\nabc\r\n0\r\nT: 1\r\n\r\n" + request("GET", "/b"),
		request("PUT", "/a", "Transfer-Encoding: chunked", "Content-Length: 3") + "3\r\nabc\r\n0\r\n\r\n",
		request("POST", "/a", "Expect: 100-continue", "Content-Length: 3") + "abc\r\n\r\n" + request("HEAD", "/b"),
		"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET http://h/x?y HTTP/1.1\r\nHost: a:1\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	old := &fasthttp.Server{
		Handler: func(hc *fasthttp.RequestCtx) {
			fuzzAnswer(&hc.Request.Header, &hc.Response, hc.RequestBodyStream())
		},
		ReadBufferSize: 20 << 10, StreamRequestBody: true, MaxRequestBodySize: 64 << 10, NoDefaultServerHeader: true,
		NoDefaultDate: true, NoDefaultContentType: true, DisablePreParseMultipartForm: true, ReduceMemoryUsage: true, Logger: silent{},
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 4<<10 || manyLineEnds.Match(b) {
			t.Skip()
		}
		want := &script{src: bytes.NewReader(b)}
		_ = old.ServeConn(want)
		for _, overlaps := range []bool{false, true} {
			got := &script{src: bytes.NewReader(b), ended: make(chan struct{})}
			serveScript(t, got, overlaps)
			if !overlaps {
				require.Equal(t, formerDate.ReplaceAllString(want.out.String(), ""), got.out.String())
			}
		}
	})
}

// serveScript serves one connection to its end.
func serveScript(t *testing.T, conn *script, overlaps bool) {
	s := ingress.New(ingress.Options{
		Handler: func(r *ingress.Request) {
			r.Admitted()
			fuzzAnswer(&r.Header, &r.Response, r.Body)
		},
		Overlaps: func(*fasthttp.RequestHeader) bool { return overlaps },
		Limits:   roomy,
		Context:  context.Background(),
		Log:      func(msg string, kv ...any) { t.Error(msg, kv) },
	})
	ln := &single{conn: conn, closed: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	select {
	case <-conn.ended:
	case <-time.After(wait):
		t.Fatal("the connection does not end")
	}
	s.Close()
	require.NoError(t, <-served)
	require.Zero(t, s.Stats().HeldBytes)
	require.Zero(t, s.Waiting())
	require.Zero(t, s.Stats().Open)
}

// fuzzAnswer answers with what was read of the request. It treats a body as the daemon
// does: one that is shorter than announced ends the connection.
func fuzzAnswer(h *fasthttp.RequestHeader, resp *fasthttp.Response, body io.Reader) {
	size := h.ContentLength()
	var b []byte
	if body != nil {
		var err error
		if b, err = io.ReadAll(body); err != nil || size >= 0 && len(b) != size {
			resp.SetConnectionClose()
			b = nil
		}
	}
	resp.SetBodyString(fmt.Sprintf("%s %q %q %d %08x\n", h.Method(), h.RequestURI(), h.Host(), len(b), crc32.ChecksumIEEE(b)))
}

// script is a connection whose caller sends what src has and closes its writing side.
type script struct {
	src   io.Reader
	out   bytes.Buffer
	ended chan struct{} // closed when the connection is closed, if not nil
	once  sync.Once
}

func (s *script) Read(p []byte) (int, error)  { return s.src.Read(p) }
func (s *script) Write(p []byte) (int, error) { return s.out.Write(p) }
func (s *script) Close() error {
	s.once.Do(func() {
		if s.ended != nil {
			close(s.ended)
		}
	})
	return nil
}
func (s *script) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (s *script) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (s *script) SetDeadline(time.Time) error      { return nil }
func (s *script) SetReadDeadline(time.Time) error  { return nil }
func (s *script) SetWriteDeadline(time.Time) error { return nil }
