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

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"wisteriafold/memaccount"
	"wisteriafold/request"
)

// answering starts a server that answers every request with text, and counts the
// requests that it has received.
func answering(t *testing.T, text string) (address string, received *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	received = new(atomic.Int64)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = conn.Close() }()
				for {
					if _, err := conn.Read(make([]byte, 4096)); err != nil {
						return
					}
					received.Add(1)
					_, _ = io.WriteString(conn, text)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return ln.Addr().String(), received
}

const (
	roomForOne = 300 << 10 // room for one answer of answerSize
	answerSize = 200 << 10
)

// memoryClient returns a client of a server with answers of answerSize, and the part of
// the account that it uses.
func memoryClient(t *testing.T, head string) (*Client, *memaccount.Part, *atomic.Int64) {
	address, received := answering(t, head+strings.Repeat("x", answerSize))
	p := memaccount.New(roomForOne).Part(roomForOne)
	c := New(Config{Address: address, MaxConnections: 4, DialTimeout: time.Second, IdleTimeout: time.Minute, Answers: p})
	t.Cleanup(c.Close)
	return c, p, received
}

const sizedHead = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 204800\r\n\r\n"

// Failure: an answer stops counting once it has been read, while it is still held.
func TestAnswerIsHeldUntilItIsReleased(t *testing.T) {
	c, p, _ := memoryClient(t, sizedHead)
	a, err := c.DoRaw(t.Context(), rawCall("1", 3))
	require.NoError(t, err)
	require.Len(t, a.Body, answerSize)
	require.EqualValues(t, answerSize, p.Used())
	a.Release()
	require.Zero(t, p.Used())

	call := rawCall("1", 3)
	call.Held = p.Hold()
	a, err = c.DoRaw(t.Context(), call)
	require.NoError(t, err)
	a.Release()
	require.EqualValues(t, answerSize, p.Used(), "the caller's holding outlives the response")
	call.Held.Release()
	require.Zero(t, p.Used())
}

// Failure: an answer for which there is no room fails at once, or is read all the same,
// or the error promises that the request has not run.
func TestAnswerWaitsForRoomUntilTheDeadline(t *testing.T) {
	c, p, received := memoryClient(t, sizedHead)
	other := p.Hold()
	require.True(t, other.TryReserve(roomForOne-initialReserve))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := c.DoRaw(ctx, rawCall("1", 3))
	require.Equal(t, request.Unknown, request.AsError(err).Outcome)
	require.Equal(t, request.ReasonDeadline, request.AsError(err).Reason)
	require.EqualValues(t, 1, received.Load())

	time.AfterFunc(50*time.Millisecond, other.Release)
	a, err := c.DoRaw(t.Context(), rawCall("1", 3))
	require.NoError(t, err)
	require.Len(t, a.Body, answerSize)
	a.Release()
	require.Zero(t, p.Used())
}

// Failure: a request is sent although there is no room for any answer, or its refusal
// does not promise that it has not run.
func TestRequestIsNotSentWithoutRoomForAnAnswer(t *testing.T) {
	c, p, received := memoryClient(t, sizedHead)
	require.True(t, p.Hold().TryReserve(roomForOne))
	_, err := c.DoRaw(t.Context(), rawCall("1", 3))
	require.Equal(t, request.NotRun, request.AsError(err).Outcome)
	require.Equal(t, request.ReasonBusy, request.AsError(err).Reason)
	require.Zero(t, received.Load())
}

// Failure: an answer that never fits waits until the deadline, or counts as a fault of
// the backend server's connection.
func TestAnswerLargerThanTheAccountFailsAsBusy(t *testing.T) {
	for name, head := range map[string]string{
		"known length":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 400000\r\n\r\n",
		"unknown length": "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n" + strings.Repeat("x", answerSize),
	} {
		t.Run(name, func(t *testing.T) {
			c, p, _ := memoryClient(t, head)
			_, err := c.DoRaw(t.Context(), rawCall("1", 3))
			require.Equal(t, request.Unknown, request.AsError(err).Outcome)
			require.Equal(t, request.ReasonBusy, request.AsError(err).Reason)
			require.Zero(t, p.Used())
		})
	}
}

// Failure: the body of a response that cannot be an answer is read to the limit, which
// takes processor time from other requests.
func TestBodyOfAnUnacceptedResponseIsNotRead(t *testing.T) {
	const socketBuffers = 16 << 20 // bytes that the kernel takes from the server at most
	address, sent := endless(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "body")
	c := New(Config{Address: address, MaxConnections: 4, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxAnswerBytes: 64 << 20})
	defer c.Close()
	call := rawCall("1", 3)
	refused := request.NewUnknownError(request.ReasonBroken, "no id", nil)
	call.Accept = func(*fasthttp.Response) error { return refused }
	_, err := c.DoRaw(t.Context(), call)
	require.Equal(t, refused, request.AsError(err))
	require.LessOrEqual(t, sent.Load(), int64(socketBuffers))
	require.Zero(t, c.OpenConnections())
}

// Failure: answers of unknown length are read faster than the budget, or slower ones
// have to wait.
func TestReadBudgetBoundsTheRate(t *testing.T) {
	var b readBudget
	start := time.Now()
	require.LessOrEqual(t, b.take(start, readBudgetBurst), time.Duration(0))
	var latest time.Duration
	for range 2 * readBudgetRate / (1 << 20) { // two seconds of the budget
		latest = b.take(start, 1<<20)
	}
	require.InDelta(t, 2*time.Second, latest, float64(time.Millisecond))
	now := start.Add(10 * time.Second)
	for range 1000 { // half of the budget
		require.LessOrEqual(t, b.take(now, readBudgetRate/2000), time.Duration(0))
		now = now.Add(time.Millisecond)
	}
}
