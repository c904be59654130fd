package httpclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// repeating starts a server that refuses a request when its id comes for the first time,
// and runs it after that. On a connection on which it has refused the id before, it writes
// that refusal once more before the answer.
func repeating(t *testing.T) *Client {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg sync.WaitGroup
	var mu sync.Mutex
	seen := map[string]bool{}
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		br := bufio.NewReader(conn)
		refused := map[string]bool{}
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get("Id")
			mu.Lock()
			again := seen[id]
			seen[id] = true
			mu.Unlock()
			switch {
			case !again:
				refused[id] = true
				_, _ = io.WriteString(conn, ok(id, "refused"))
			case refused[id]:
				_, _ = io.WriteString(conn, ok(id, "refused"))
				fallthrough
			default:
				_, _ = io.WriteString(conn, ok(id, "ran"))
			}
		}
	}
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { serve(conn) })
		}
	})
	c := New(Config{Address: ln.Addr().String(), MaxConnections: 4, DialTimeout: time.Second, IdleTimeout: time.Minute})
	t.Cleanup(func() {
		c.Close()
		_ = ln.Close()
		wg.Wait()
	})
	return c
}

// Failure: a backend server refuses a request, gets it again with the same id on the same
// connection, writes the refusal once more and runs the request. The caller is told that
// it has not run.
func TestConnectionNeverCarriesAnIDTwice(t *testing.T) {
	c := repeating(t)
	for i := range 40 {
		id := strconv.Itoa(i % 20)
		for _, want := range []string{"refused", "ran"}[i/20:] {
			call := rawCall(id, 3)
			call.ID = id
			got, err := do(t, c, call)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
	}
	require.LessOrEqual(t, c.OpenConnections(), 3, "one for each time that an id came")
}

// Failure: the ids that a connection has carried are kept without a bound, or are
// forgotten while it is still in use.
func TestConnectionEndsWhenItHasCarriedTooManyIDs(t *testing.T) {
	var ids carriedIDs
	for i := range uint64(maxCarried) {
		require.False(t, ids.full())
		ids.add(i + 1)
	}
	require.True(t, ids.full())
	require.True(t, ids.contains(1))
	require.False(t, ids.contains(maxCarried+1))
	require.NotZero(t, hashID("x"))
	require.Zero(t, hashID(""))

	c, opened := scripted(t, ok("1", "one"), ok("2", "two"))
	cc, err := c.acquire(t.Context(), 0)
	require.NoError(t, err)
	cc.carried = ids[:maxCarried-1]
	c.release(cc)
	for _, id := range []string{"1", "2"} {
		call := rawCall(id, 3)
		call.ID = id
		_, err := do(t, c, call)
		require.NoError(t, err)
	}
	require.Equal(t, 2, opened())
}
