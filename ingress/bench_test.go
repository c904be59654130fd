package ingress_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"wisteriafold/ingress"
)

var answerBody = bytes.Repeat([]byte("x"), 200)

// servers are this package's server and the one that it replaces, with a handler that
// answers at once.
var servers = []struct {
	name  string
	start func(b *testing.B) (address string)
}{
	{"ingress", func(b *testing.B) string {
		s := ingress.New(ingress.Options{
			Handler:  func(r *ingress.Request) { r.Admitted(); r.Response.SetBodyRaw(answerBody) },
			Overlaps: func(h *fasthttp.RequestHeader) bool { return h.IsGet() },
			Limits:   roomy,
			Context:  context.Background(),
			Log:      func(string, ...any) {},
		})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		go func() { _ = s.Serve(ln) }()
		b.Cleanup(s.Close)
		return ln.Addr().String()
	}},
	{"fasthttp", func(b *testing.B) string {
		return former(b, func(hc *fasthttp.RequestCtx) { hc.Response.SetBodyRaw(answerBody) })
	}},
}

// BenchmarkRequest measures requests one after another on a few connections. cpu-ns/op
// is the processor time of servers and callers together, which are the same for both.
func BenchmarkRequest(b *testing.B) {
	for _, s := range servers {
		for _, method := range []string{"GET", "POST"} {
			b.Run(s.name+"/"+method, func(b *testing.B) {
				address := s.start(b)
				text := request(method, "/safe/1", "User-Agent: bench", "X-Deadline-Ms: 1000", "X-Attempt-Id: 123456789", "Content-Length: 0")
				b.ReportAllocs()
				before := processorTime(b)
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					conn, err := net.Dial("tcp", address)
					if err != nil {
						b.Error(err)
						return
					}
					defer func() { _ = conn.Close() }()
					buf := make([]byte, 4096)
					for pb.Next() {
						if !ask(conn, text, buf) {
							b.Error("the connection ended")
							return
						}
					}
				})
				b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

// ask sends one request and reads the answer, which ends with the body.
func ask(conn net.Conn, text string, buf []byte) bool {
	if _, err := io.WriteString(conn, text); err != nil {
		return false
	}
	for n := 0; ; {
		m, err := conn.Read(buf[n:])
		if err != nil {
			return false
		}
		if n += m; bytes.HasSuffix(buf[:n], answerBody) {
			return true
		}
	}
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleConnection measures the memory of connections that have carried a
// request and wait for the next, callers included.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 300
	for _, s := range servers {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				before := memory()
				address := s.start(b)
				conns := make([]net.Conn, connections)
				buf := make([]byte, 4096)
				for i := range conns {
					var err error
					conns[i], err = net.Dial("tcp", address)
					require.NoError(b, err)
					require.True(b, ask(conns[i], request("GET", "/safe/1"), buf))
				}
				b.ReportMetric(float64(memory()-before)/connections, "B/connection")
				for _, c := range conns {
					_ = c.Close()
				}
			}
		})
	}
}

// memory returns the bytes of heap and stacks in use.
func memory() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // empties pools
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
