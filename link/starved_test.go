package link

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/wire"
)

// starvedConn is a connection from which this process does not get to read while it is
// starved. What arrives waits in the kernel.
type starvedConn struct {
	*net.TCPConn
	starved chan chan struct{} // holds a channel that is closed when reading may go on
}

func (c *starvedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	select {
	case free := <-c.starved:
		<-free
	default:
	}
	return n, err
}

// talker answers a call with chunks every few milliseconds until the call is cancelled or
// quiet is closed.
type talker struct{ quiet chan struct{} }

func (*talker) ReceiveControl(string, *wire.Control) {}

func (x *talker) ServeCall(ctx context.Context, s *Stream, _ *wire.Frame) {
	_ = s.Write(&wire.Frame{Kind: &wire.Frame_Answer{Answer: &wire.AnswerHead{Outcome: wire.Outcome_OUTCOME_ANSWERED, BodyFollows: true}}})
	for n := uint64(0); ; n++ {
		select {
		case <-x.quiet:
			_ = s.Write(end())
			return
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Millisecond):
			_ = s.Write(chunk("x"))
		}
	}
}

// Failure: a process that gets no processor time for its reads takes a peer for dead
// whose bytes have arrived, and ends the calls in progress.
func TestUnreadBytesAreNotSilence(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	x := &talker{quiet: make(chan struct{})}
	cfg := Defaults()
	cfg.Hello = &wire.Hello{Instance: address, Incarnation: 1}
	server, err := New(cfg, x)
	require.NoError(t, err)
	go func() { _ = server.Serve(ln) }()

	starved := make(chan chan struct{}, 1)
	cfg.Hello = &wire.Hello{Instance: "127.0.0.1:1", Incarnation: 1}
	cfg.PingInterval, cfg.PingTimeout, cfg.Tick = 50*time.Millisecond, 100*time.Millisecond, 20*time.Millisecond
	cfg.Dial = func(ctx context.Context, a string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", a)
		if err != nil {
			return nil, err
		}
		return &starvedConn{c.(*net.TCPConn), starved}, nil
	}
	client, err := New(cfg, &talker{})
	require.NoError(t, err)
	defer closeAll(t, client, server)

	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	s, err := client.OpenStream(ctx, address)
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.Write(small("b")))
	_, err = s.Read()
	require.NoError(t, err)

	free := make(chan struct{})
	release := sync.OnceFunc(func() { close(free) })
	defer release()
	starved <- free
	time.Sleep(20 * cfg.PingTimeout)
	require.Zero(t, client.Stats().Suspected)
	release()
	close(x.quiet)
	for f := (*wire.Frame)(nil); f.GetEnd() == nil; {
		f, err = s.Read()
		require.NoError(t, err)
	}
	require.Zero(t, client.Stats().Silent)
	require.EqualValues(t, 1, client.Stats().Dials, "the session has not been replaced")
}
