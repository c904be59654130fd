package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"wisteriafold/wire"
)

// streamBacklog bounds the streams of one session that wait to be accepted.
const streamBacklog = 1024

// closeTimeout is how long a stream that this side has closed waits for the
// other side to close it too, before it is reset.
const closeTimeout = 30 * time.Second

// silentLog drops yamux's own log lines; errors come back as errors.
type silentLog struct{}

func (silentLog) Print(...any)          {}
func (silentLog) Printf(string, ...any) {}
func (silentLog) Println(...any)        {}

func muxConfig(c *Config) *yamux.Config {
	m := yamux.DefaultConfig()
	m.AcceptBacklog = streamBacklog
	m.EnableKeepAlive = false
	m.ConnectionWriteTimeout = c.WriteTimeout
	m.StreamOpenTimeout = 0
	m.StreamCloseTimeout = closeTimeout
	m.LogOutput = nil
	m.Logger = silentLog{}
	return m
}

// session is one yamux session with a peer that has passed the handshake.
type session struct {
	links   *Links
	peer    string
	remote  *wire.Hello
	conn    *conn
	mux     *yamux.Session
	control *yamux.Stream

	controlMu   sync.Mutex // orders writes to the control stream
	controlLost bool       // a write failed: see writeControl

	openMu      sync.RWMutex // orders OpenStream before our End
	retired     bool         // we have promised to open no more streams
	retiring    atomic.Bool
	peerRetired atomic.Bool
	streams     atomic.Int64 // streams in use on this side, either direction
	lastUse     atomic.Int64 // nanoseconds since links.base
	retiredAt   atomic.Int64
	suspectAt   atomic.Int64 // 0 when not suspect
	pingAt      atomic.Int64 // 0 when no ping is out
	pinging     atomic.Bool
	failed      atomic.Bool

	ctx    context.Context
	cancel context.CancelCauseFunc
}

func (l *Links) newSession(peer string, c *conn, m *yamux.Session, control *yamux.Stream, remote *wire.Hello) *session {
	s := &session{links: l, peer: peer, conn: c, mux: m, control: control, remote: remote}
	s.ctx, s.cancel = context.WithCancelCause(l.ctx)
	s.use()
	return s
}

func (s *session) use() { s.lastUse.Store(s.links.since()) }

// usable reports whether new streams may be opened.
func (s *session) usable() bool {
	return !s.retiring.Load() && s.suspectAt.Load() == 0 && !s.mux.IsClosed()
}

// run serves the session until it breaks.
func (s *session) run() {
	s.links.wg.Add(2)
	go s.acceptLoop()
	go s.controlLoop()
}

func (s *session) acceptLoop() {
	defer s.links.wg.Done()
	for {
		y, err := s.mux.AcceptStream()
		if err != nil {
			s.fail(err)
			return
		}
		s.use()
		s.links.serve(s, y)
	}
}

func (s *session) controlLoop() {
	defer s.links.wg.Done()
	for {
		f, err := wire.Read(s.control)
		if err != nil {
			s.fail(err)
			return
		}
		switch k := f.Kind.(type) {
		case *wire.Frame_Control:
			s.use()
			s.links.count.controlReceived.Add(1)
			s.links.handler.ReceiveControl(s.peer, k.Control)
		case *wire.Frame_End:
			s.peerRetired.Store(true)
			s.retire()
		}
	}
}

// open opens a stream. Its error means that nothing of the call was sent.
func (s *session) open() (*yamux.Stream, error) {
	if !s.openMu.TryRLock() {
		return nil, errRetired
	}
	defer s.openMu.RUnlock()
	if s.retired {
		return nil, errRetired
	}
	if s.streams.Load() >= streamBacklog {
		return nil, ErrBusy
	}
	s.use()
	return s.mux.OpenStream()
}

// retire promises the peer that this side opens no more streams. The keeper
// closes the session when both sides have promised and no stream is left.
func (s *session) retire() {
	if !s.retiring.CompareAndSwap(false, true) {
		return
	}
	s.retiredAt.Store(s.links.since())
	s.links.wg.Add(1)
	go func() {
		defer s.links.wg.Done()
		s.openMu.Lock()
		s.retired = true
		s.openMu.Unlock()
		err := s.writeControl(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}})
		if err != nil && !errors.Is(err, errControlLost) {
			s.fail(err)
		}
	}()
}

// writeControl sends frames on the control stream. A write that fails may have
// sent a part of a frame, and yamux may still send the rest later: its result
// would be taken for that of the next write, which would return while its bytes
// are still being read. So nothing is written after a failure; the session has
// to be retired.
func (s *session) writeControl(frames ...*wire.Frame) error {
	s.controlMu.Lock()
	defer s.controlMu.Unlock()
	if s.controlLost {
		return errControlLost
	}
	err := writeFrames(s.control, frames)
	var large *wire.FrameTooLargeError
	if err != nil && !errors.As(err, &large) {
		s.controlLost = true
	}
	return err
}

// fail closes the session; its streams end with the cause.
func (s *session) fail(cause error) {
	if errors.Is(cause, io.EOF) {
		cause = errPeerClosed
	}
	if s.failed.CompareAndSwap(false, true) && errors.Is(cause, ErrSilent) {
		s.links.count.silent.Add(1)
	}
	s.cancel(cause)
	_ = s.mux.Close()
	s.links.forget(s)
}

// cause returns why the session ended, nil while it lasts.
func (s *session) cause() error { return context.Cause(s.ctx) }

// suspect marks the session as possibly silent, so that new streams take a
// fresh dial.
func (s *session) suspect() {
	if s.suspectAt.CompareAndSwap(0, s.links.since()) {
		s.links.count.suspected.Add(1)
	}
}

var (
	errRetired    = errors.New("session is being retired")
	errPeerClosed = errors.New("peer closed the session")
	errRestarted  = errors.New("peer process was replaced")
	errUnused     = errors.New("session was retired")

	errControlLost = errors.New("an earlier write on the control stream failed")
)

// handshakeDial opens a session over a fresh connection to peer.
func (l *Links) handshakeDial(ctx context.Context, raw net.Conn, peer string) (*session, error) {
	deadline, _ := ctx.Deadline()
	_ = raw.SetDeadline(deadline)
	tc, err := clientTLS(ctx, raw, l.cfg.TLS, peer)
	if err != nil {
		return nil, &HandshakeError{Peer: peer, Remedy: "check both certificates and their authority", Cause: err}
	}
	c := newConn(tc, raw, l.base, &l.count)
	m, err := yamux.Client(c, muxConfig(&l.cfg))
	if err != nil {
		return nil, err
	}
	control, err := m.OpenStream()
	if err == nil {
		err = l.sendHello(control)
	}
	var remote *wire.Hello
	if err == nil {
		remote, err = l.readHello(control, peer)
	}
	if err == nil && remote.Instance != peer {
		err = &HandshakeError{Peer: peer, Remedy: "it says that it is " + remote.Instance + ": check the peer addresses in the settings"}
	}
	if err != nil {
		_ = m.Close()
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	return l.newSession(peer, c, m, control, remote), nil
}

// handshakeAccept opens a session over an accepted connection.
func (l *Links) handshakeAccept(ctx context.Context, raw net.Conn) (*session, error) {
	deadline, _ := ctx.Deadline()
	_ = raw.SetDeadline(deadline)
	from := raw.RemoteAddr().String()
	tc, err := serverTLS(ctx, raw, l.cfg.TLS)
	if err != nil {
		return nil, &HandshakeError{Peer: from, Remedy: "check its certificate and authority", Cause: err}
	}
	c := newConn(tc, raw, l.base, &l.count)
	m, err := yamux.Server(c, muxConfig(&l.cfg))
	if err != nil {
		return nil, err
	}
	control, err := m.AcceptStreamWithContext(ctx)
	var remote *wire.Hello
	if err == nil {
		remote, err = l.readHello(control, from)
	}
	if err == nil {
		if cause := checkHelloIdentity(tc, remote.Instance); cause != nil {
			err = &HandshakeError{Peer: from, Remedy: "its certificate does not prove the address that it claims", Cause: cause}
		}
	}
	if err == nil {
		err = l.sendHello(control)
	}
	if err != nil {
		_ = m.Close()
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	return l.newSession(remote.Instance, c, m, control, remote), nil
}

func (l *Links) sendHello(control *yamux.Stream) error {
	return wire.Write(control, &wire.Frame{Kind: &wire.Frame_Hello{Hello: l.hello}})
}

func (l *Links) readHello(control *yamux.Stream, from string) (*wire.Hello, error) {
	f, err := wire.Read(control)
	if err != nil {
		return nil, &HandshakeError{Peer: from, Remedy: "it does not speak this protocol, or is paused", Cause: err}
	}
	h := f.GetHello()
	if h == nil || h.Instance == "" {
		return nil, &HandshakeError{Peer: from, Remedy: "its first frame is no Hello: it does not speak this protocol"}
	}
	if h.Protocol != wire.Protocol {
		return nil, &HandshakeError{Peer: from, Remedy: "it speaks another version of the protocol: upgrade the older side"}
	}
	return h, nil
}
