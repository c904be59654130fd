package httpclient

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/request"
)

// resetDuringUpload starts a server that answers each request as soon as it has read a
// part of it, and resets the connection while the rest is being sent.
func resetDuringUpload(t *testing.T, answer string) *Client {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_, _ = io.WriteString(conn, answer)
			time.Sleep(5 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	})
	c := New(Config{Address: ln.Addr().String(), MaxConnections: 1, DialTimeout: time.Second, IdleTimeout: time.Minute})
	t.Cleanup(func() {
		c.Close()
		_ = ln.Close()
		wg.Wait()
	})
	return c
}

// Failure: a backend server answers an upload at once without a length and resets the
// connection while the upload is being written. The write takes the error of the socket,
// the read sees an end, and what has arrived is passed on as a whole answer.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	const (
		tries = 30 // whether the write or the read takes the error is up to the kernel
		size  = 16 << 20
	)
	c := resetDuringUpload(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart of it")
	for range tries {
		got, err := do(t, c, rawCall("1", size))
		require.Error(t, err, "%q passed for complete", got)
		require.Equal(t, request.Unknown, request.AsError(err).Outcome)
	}
	for range tries {
		got, err := doStreamed(t, c, strings.NewReader(strings.Repeat("b", size)), size)
		require.Error(t, err, "%q passed for complete", got)
	}
	c = resetDuringUpload(t, ok("1", "too long"))
	got, err := do(t, c, rawCall("1", size))
	require.NoError(t, err, "a length tells that the answer is complete")
	require.Equal(t, "too long", got)
}
