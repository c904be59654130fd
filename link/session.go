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

// streamBacklog is the number of streams of one session that may wait to be
// accepted. Opening a stream fails with ErrTooManyStreams while as many are in use on the
// session.
const streamBacklog = 1024

// closeTimeout is how long a stream that this side has closed waits for the other
// side to close it as well, before yamux resets it.
const closeTimeout = 30 * time.Second

// discardLogger discards the log lines of yamux, which also returns errors to its
// caller.
type discardLogger struct{}

func (discardLogger) Print(...any)          {}
func (discardLogger) Printf(string, ...any) {}
func (discardLogger) Println(...any)        {}

func muxConfig(c *Config) *yamux.Config {
	m := yamux.DefaultConfig()
	m.AcceptBacklog = streamBacklog
	m.EnableKeepAlive = false
	m.ConnectionWriteTimeout = c.WriteTimeout
	m.StreamOpenTimeout = 0
	m.StreamCloseTimeout = closeTimeout
	m.LogOutput = nil
	m.Logger = discardLogger{}
	return m
}

// session is one yamux session whose handshake has succeeded.
type session struct {
	links   *Links
	peer    string
	remote  *wire.Hello
	conn    *conn
	mux     *yamux.Session
	control *yamux.Stream

	controlMu     sync.Mutex // orders writes to the control stream
	controlFailed bool       // a write failed, see writeControl

	openMu      sync.RWMutex // held for reading by OpenStream, so that End is sent after it
	retired     bool         // this side opens no more streams; guarded by openMu
	retiring    atomic.Bool  // retire has been called
	peerRetired atomic.Bool  // the peer has sent End
	streams     atomic.Int64 // streams in use on this side, either direction
	lastUse     atomic.Int64 // nanoseconds since links.base
	retiredAt   atomic.Int64 // 0 when not retiring
	suspectAt   atomic.Int64 // 0 when not suspect
	pingAt      atomic.Int64 // 0 when no ping is pending
	pinging     atomic.Bool  // a goroutine is waiting in mux.Ping
	failed      atomic.Bool  // fail has been called

	openStreamsMu sync.Mutex
	openStreams   map[*Stream]struct{}
	interrupted   bool // interruptStreams has been called; guarded by openStreamsMu

	ctx    context.Context
	cancel context.CancelCauseFunc
}

func (l *Links) newSession(peer string, c *conn, m *yamux.Session, control *yamux.Stream, remote *wire.Hello) *session {
	s := &session{links: l, peer: peer, conn: c, mux: m, control: control, remote: remote, openStreams: make(map[*Stream]struct{})}
	s.ctx, s.cancel = context.WithCancelCause(l.ctx)
	s.markUsed()
	c.onLost(s.transportLost)
	return s
}

// transportLost ends the session's streams when no more bytes arrive. yamux closes
// the session's shutdown channel before it closes the streams, and in between a
// blocked Stream.Read turns without a pause. With one processor that keeps yamux
// from closing the streams until the reader is preempted, for each stream in turn.
// A read whose deadline has passed returns instead.
func (s *session) transportLost(err error) {
	if errors.Is(err, io.EOF) {
		err = errPeerClosed
	}
	s.cancel(err)
	s.interruptStreams()
}

// interruptStreams ends pending and future waits of the session's streams for bytes.
// Bytes that have arrived can still be read.
func (s *session) interruptStreams() {
	s.openStreamsMu.Lock()
	defer s.openStreamsMu.Unlock()
	s.interrupted = true
	_ = s.control.SetReadDeadline(past)
	for st := range s.openStreams {
		_ = st.mux.SetReadDeadline(past)
	}
}

func (s *session) addStream(st *Stream) {
	s.streams.Add(1)
	s.openStreamsMu.Lock()
	defer s.openStreamsMu.Unlock()
	s.openStreams[st] = struct{}{}
	if s.interrupted {
		_ = st.mux.SetReadDeadline(past)
	}
}

func (s *session) removeStream(st *Stream) {
	s.streams.Add(-1)
	s.openStreamsMu.Lock()
	defer s.openStreamsMu.Unlock()
	delete(s.openStreams, st)
}

func (s *session) markUsed() { s.lastUse.Store(s.links.since()) }

// usable reports whether new streams may be opened on the session.
func (s *session) usable() bool {
	return !s.retiring.Load() && s.suspectAt.Load() == 0 && !s.mux.IsClosed()
}

// run starts the goroutines that serve the session until it fails.
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
		s.markUsed()
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
			s.markUsed()
			s.links.count.controlReceived.Add(1)
			s.links.handler.ReceiveControl(s.peer, k.Control)
		case *wire.Frame_End:
			s.peerRetired.Store(true)
			s.retire()
		}
	}
}

// open opens a stream. When it returns an error, nothing of the call was sent.
func (s *session) open() (*yamux.Stream, error) {
	if !s.openMu.TryRLock() {
		return nil, errRetired
	}
	defer s.openMu.RUnlock()
	if s.retired {
		return nil, errRetired
	}
	if s.streams.Load() >= streamBacklog {
		return nil, ErrTooManyStreams
	}
	s.markUsed()
	return s.mux.OpenStream()
}

// retire stops opening streams on the session and tells the peer so with End. The
// session is closed once both sides have sent End and no stream is left, see
// closeRetired.
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
		if err != nil && !errors.Is(err, errControlFailed) {
			s.fail(err)
		}
	}()
}

// writeControl sends frames on the control stream. After a failure it writes
// nothing more, and the caller has to retire the session: a failed write may have
// sent part of a frame, and yamux may still send the rest later. The result of that
// late write would be taken for the result of the next write, which would then
// return while yamux is still reading its buffer.
func (s *session) writeControl(frames ...*wire.Frame) error {
	s.controlMu.Lock()
	defer s.controlMu.Unlock()
	if s.controlFailed {
		return errControlFailed
	}
	err := writeFrames(s.control, frames)
	var large *wire.FrameTooLargeError
	if err != nil && !errors.As(err, &large) {
		s.controlFailed = true
	}
	return err
}

// fail closes the session and ends its streams with the cause.
func (s *session) fail(cause error) {
	if errors.Is(cause, io.EOF) {
		cause = errPeerClosed
	}
	if s.failed.CompareAndSwap(false, true) && errors.Is(cause, ErrSilent) {
		s.links.count.silent.Add(1)
	}
	s.cancel(cause)
	s.interruptStreams()
	_ = s.mux.Close()
	s.links.forget(s)
}

// cause returns why the session ended, and nil while it is open.
func (s *session) cause() error { return context.Cause(s.ctx) }

// suspect marks the session as possibly silent, so that new streams use another
// session.
func (s *session) suspect() {
	if s.suspectAt.CompareAndSwap(0, s.links.since()) {
		s.links.count.suspected.Add(1)
	}
}

var (
	errRetired    = errors.New("session is being retired")
	errPeerClosed = errors.New("peer closed the session")
	errRestarted  = errors.New("peer process was restarted")
	errUnused     = errors.New("session was retired and closed")

	errControlFailed = errors.New("an earlier write on the control stream failed")
)

// handshakeDial opens a session over a fresh connection to peer.
func (l *Links) handshakeDial(ctx context.Context, raw net.Conn, peer string) (*session, error) {
	deadline, _ := ctx.Deadline()
	_ = raw.SetDeadline(deadline)
	tc, err := clientTLS(ctx, raw, l.cfg.TLS, peer)
	if err != nil {
		return nil, &HandshakeError{Peer: peer, Remedy: "check both certificates and the authority that issued them", Cause: err}
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
		err = &HandshakeError{Peer: peer, Remedy: "its Hello names the instance " + remote.Instance + ": check the peer addresses in the settings"}
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
		return nil, &HandshakeError{Peer: from, Remedy: "check its certificate and the authority that issued it", Cause: err}
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
			err = &HandshakeError{Peer: from, Remedy: "its certificate does not name the address in its Hello: issue one that does", Cause: cause}
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
		return nil, &HandshakeError{Peer: from, Remedy: "it sent no valid Hello: check that it speaks this protocol and is not paused", Cause: err}
	}
	h := f.GetHello()
	if h == nil || h.Instance == "" {
		return nil, &HandshakeError{Peer: from, Remedy: "its first frame is not a Hello with an instance address: check that it speaks this protocol"}
	}
	if h.Protocol != wire.ProtocolVersion {
		return nil, &HandshakeError{Peer: from, Remedy: "it speaks another version of the protocol: upgrade the older daemon"}
	}
	return h, nil
}
