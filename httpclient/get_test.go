package httpclient

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/response"
)

// sendingOnce starts a server that sends text on each connection and closes it.
func sendingOnce(t *testing.T, text string) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return ln.Addr().String()
}

// Failure: a health check or a command takes bytes that are no response, a part of one, or
// one that is too long for a good answer.
func TestGetReturnsOnlyWholeResponses(t *testing.T) {
	const maxBytes = 100
	get := func(text string) (*GetResponse, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		return Get(ctx, GetRequest{Address: sendingOnce(t, text), Path: "/x", MaxBytes: maxBytes})
	}
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	resp, err := get(head + strings.Repeat("b", maxBytes-len(head)))
	require.NoError(t, err)
	require.Equal(t, 200, resp.Header.StatusCode())
	require.Len(t, resp.Body, maxBytes-len(head))

	for _, more := range []int{1, 2, 1000} {
		_, err = get(head + strings.Repeat("b", maxBytes-len(head)+more))
		require.ErrorIs(t, err, errAnswerTooLong)
	}
	_, err = get("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nb")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = get("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
	var malformed *response.MalformedError
	require.ErrorAs(t, err, &malformed)
	_, err = get("")
	require.ErrorIs(t, err, io.EOF)
}

func TestGetEndsWithItsContext(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // no connection is accepted
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = Get(ctx, GetRequest{Address: ln.Addr().String(), Path: "/x", MaxBytes: 100})
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
