package acceptor_test

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/acceptor"
)

// source is a listener that yields connections and errors from a channel.
type source struct {
	next   chan any
	closed chan struct{}
}

func newSource() *source { return &source{next: make(chan any, 32), closed: make(chan struct{})} }

func (s *source) Accept() (net.Conn, error) {
	select {
	case x := <-s.next:
		if err, ok := x.(error); ok {
			return nil, err
		}
		return x.(net.Conn), nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

func (s *source) Close() error   { close(s.closed); return nil }
func (s *source) Addr() net.Addr { return nil }

// connect yields a connection and returns its other end.
func (s *source) connect() net.Conn {
	a, b := net.Pipe()
	s.next <- b
	return a
}

// Failure: the process ends, or spins, when it has no descriptor for a connection.
func TestFailedAcceptsAreReportedAndRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		var failures atomic.Int64
		l := acceptor.New(s, acceptor.Config{Failed: func(err error) {
			require.ErrorIs(t, err, syscall.EMFILE)
			failures.Add(1)
		}})
		const failed = 8
		for range failed {
			s.next <- &net.OpError{Op: "accept", Err: syscall.EMFILE}
		}
		want := s.connect()
		started := time.Now()
		c, err := l.Accept()
		require.NoError(t, err)
		require.EqualValues(t, failed, failures.Load())
		require.Equal(t, (10+20+40+80+4*100)*time.Millisecond, time.Since(started))
		require.NoError(t, want.Close())
		require.NoError(t, c.Close())

		ended := make(chan error, 1)
		s.next <- &net.OpError{Op: "accept", Err: syscall.EMFILE}
		go func() {
			_, err := l.Accept()
			ended <- err
		}()
		synctest.Wait()
		require.NoError(t, l.Close())
		require.ErrorIs(t, <-ended, net.ErrClosed, "also while it waits to retry")
	})
}

// Failure: connections that are opened and left keep new ones out, or the one that is
// in use is closed instead.
func TestNewConnectionReplacesTheOneIdleForLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		var closed atomic.Int64
		l := acceptor.New(s, acceptor.Config{MaxConnections: 2, Closed: func() { closed.Add(1) }})
		accept := func() (theirs, ours net.Conn) {
			theirs = s.connect()
			ours, err := l.Accept()
			require.NoError(t, err)
			time.Sleep(time.Second)
			return theirs, ours
		}
		used, server := accept()
		idle, _ := accept()
		go func() { _, _ = used.Write([]byte("x")) }()
		_, err := server.Read(make([]byte, 1))
		require.NoError(t, err)
		_, third := accept()
		_, err = idle.Read(make([]byte, 1))
		require.Error(t, err, "the idle one is closed")
		require.Equal(t, 2, l.Connections())
		require.EqualValues(t, 1, closed.Load())
		go func() { _, _ = used.Write([]byte("x")) }()
		_, err = server.Read(make([]byte, 1))
		require.NoError(t, err, "the one in use is open")

		s.next <- errors.New("no descriptors")
		fourth := s.connect()
		_, err = l.Accept()
		require.NoError(t, err)
		require.EqualValues(t, 2, closed.Load(), "a failed accept frees a descriptor")
		require.Equal(t, 2, l.Connections())
		require.NoError(t, third.Close())
		require.NoError(t, fourth.Close())
	})
}
