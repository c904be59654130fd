package httpclient

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"wisteriafold/request"
)

// endless starts a server that answers every request with start, followed by repeat
// until the client closes the connection. It returns the server's address and the
// number of bytes that it has sent.
func endless(t *testing.T, start, repeat string) (address string, sent *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sent = new(atomic.Int64)
	var wg sync.WaitGroup
	block := strings.Repeat(repeat, 1+(8<<10)/len(repeat))
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 4096)); err != nil {
					return
				}
				if _, err := io.WriteString(conn, start); err != nil {
					return
				}
				for {
					n, err := io.WriteString(conn, block)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return ln.Addr().String(), sent
}

// Failure: a backend server in trouble sends bytes that are no answer without end, and
// the daemon reads them into memory until the deadline of the request.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const (
		limit         = 256 << 10
		socketBuffers = 16 << 20 // bytes that the kernel takes from the server at most and the client does not read
		chunkedHead   = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	for name, script := range map[string][2]string{
		"garbage in place of a head":  {"", "\x00\xff\x13garbage"},
		"blank lines before a head":   {"", "\r\n"},
		"fields of a head":            {"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
		"one field of a head":         {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"informational heads":         {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"continue heads":              {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body until close":            {"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n", "body"},
		"body of an enormous length":  {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 900000000000000\r\n\r\n", "body"},
		"body in chunks":              {chunkedHead, "4\r\nbody\r\n"},
		"one enormous chunk":          {chunkedHead + "7ffffffffff\r\n", "body"},
		"extension of a chunk":        {chunkedHead + "4;x=", "extension"},
		"digits of a chunk's size":    {chunkedHead, "0"},
		"trailer fields":              {chunkedHead + "4\r\nbody\r\n0\r\n", "X-More: and more\r\n"},
		"answers to other requests":   {"", ok("0", "other")},
		"error answers without an id": {"", "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := endless(t, script[0], script[1])
			c := New(Config{Address: address, MaxConnections: 4, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxAnswerBytes: limit})
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := c.DoRaw(ctx, rawCall("1", 3))
			require.Error(t, err)
			e := request.AsError(err)
			require.Equal(t, request.Unknown, e.Outcome, "the request was sent, so it may have run")
			require.Equal(t, request.ReasonBroken, e.Reason, "cut off by the limit, not by the deadline")
			require.LessOrEqual(t, sent.Load(), int64(limit+socketBuffers))
			require.Zero(t, c.OpenConnections())
			require.Zero(t, c.cfg.Answers.Used())
		})
	}
}

// Failure: many answers, each within its limit, exceed the memory of the daemon
// together.
func TestAnswersBeingReadAreBoundedTogether(t *testing.T) {
	address, _ := endless(t, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n", "body")
	c := New(Config{Address: address, MaxConnections: 8, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxAnswerBytes: 64 << 20, MaxHeldBytes: 1 << 20})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			_, err := c.DoRaw(ctx, rawCall("1", 3))
			assert.Error(t, err)
			assert.NoError(t, ctx.Err(), "cut off by the limit, not by the deadline")
		})
	}
	wg.Wait()
	require.Zero(t, c.cfg.Answers.Used())
}

// Failure: as above, for calls whose answers are streamed. The part that is kept is the
// head.
func TestHeadsWithoutEndAreCutOff(t *testing.T) {
	const socketBuffers = 16 << 20 // bytes that the kernel takes from the server at most and the client does not read
	for name, script := range map[string][2]string{
		"garbage in place of a head": {"", "\x00\xff\x13garbage"},
		"blank lines before a head":  {"", "\r\n"},
		"fields of a head":           {"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
		"one field of a head":        {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"informational heads":        {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := endless(t, script[0], script[1])
			c := New(Config{Address: address, MaxConnections: 4, DialTimeout: time.Second, IdleTimeout: time.Minute})
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var req fasthttp.Request
			req.SetRequestURI("http://h.example/")
			_, err := c.Do(ctx, &req)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "cut off by a limit, not by the deadline")
			require.Equal(t, request.Unknown, request.AsError(err).Outcome)
			require.LessOrEqual(t, sent.Load(), int64(socketBuffers))
			require.Zero(t, c.OpenConnections())
		})
	}
}
