package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"google.golang.org/protobuf/proto"

	"wisteriafold/wire"
)

// Handler receives what peers send.
type Handler interface {
	// ServeCall serves one stream that a peer has opened; first is its first
	// frame. It runs on a goroutine of its own, and the stream is closed when it
	// returns. ctx ends when the opener closes the stream, when the session fails,
	// and when Close stops waiting for running streams.
	ServeCall(ctx context.Context, s *Stream, first *wire.Frame)

	// ReceiveControl handles one control message from the peer at the address
	// from. It must not block.
	ReceiveControl(from string, m *wire.Control)
}

// Links holds the sessions of one daemon. Its methods are safe for concurrent use.
type Links struct {
	cfg        Config
	hello      *wire.Hello
	handler    Handler
	base       time.Time // time of New, zero point of the times in nanoseconds
	count      counters
	pool       pond.Pool
	serving    atomic.Int64
	refusing   atomic.Bool
	handshakes chan struct{} // semaphore: one element per handshake in progress

	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	// Lock order: mu, then peer.mu, then closingMu.
	mu        sync.RWMutex
	peers     map[string]*peer
	listeners []net.Listener

	closingMu sync.RWMutex // guards closing, and orders wg.Add before Close sets it
	closing   bool
}

// New returns links without any session and starts their periodic checks.
func New(cfg Config, h Handler) (*Links, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	hello := proto.Clone(cfg.Hello).(*wire.Hello)
	hello.Protocol = wire.ProtocolVersion
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	l := &Links{
		cfg: cfg, hello: hello, handler: h, base: time.Now(),
		pool:       pond.NewPool(cfg.MaxStreams),
		handshakes: make(chan struct{}, cfg.MaxHandshakes),
		peers:      make(map[string]*peer),
	}
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	l.wg.Add(1)
	go l.checkLoop()
	return l, nil
}

// since returns the time since New in nanoseconds. It is never 0, which the
// fields that hold such times use for "not set".
func (l *Links) since() int64 { return since(l.base) }

func since(base time.Time) int64 { return int64(time.Since(base)) + 1 }

// Serve accepts sessions on ln. It returns nil after Close, and the listener's
// error when accepting fails before that.
func (l *Links) Serve(ln net.Listener) error {
	l.mu.Lock()
	if l.isClosing() {
		l.mu.Unlock()
		return ln.Close()
	}
	l.listeners = append(l.listeners, ln)
	l.mu.Unlock()
	for {
		c, err := ln.Accept()
		if err != nil {
			if l.isClosing() {
				return nil
			}
			return err
		}
		l.accept(c)
	}
}

// accept starts the handshake on an accepted connection. It closes the connection
// when MaxHandshakes handshakes are already in progress.
func (l *Links) accept(c net.Conn) {
	select {
	case l.handshakes <- struct{}{}:
	default:
		l.count.refused.Add(1)
		_ = c.Close()
		return
	}
	if !l.addGoroutine() {
		<-l.handshakes
		_ = c.Close()
		return
	}
	go func() {
		defer l.wg.Done()
		defer func() { <-l.handshakes }()
		ctx, cancel := context.WithTimeout(l.ctx, l.cfg.DialTimeout)
		defer cancel()
		s, err := l.handshakeAccept(ctx, c)
		if err != nil {
			l.count.refused.Add(1)
			_ = c.Close()
			return
		}
		l.count.accepted.Add(1)
		l.installAccepted(s)
	}()
}

func (l *Links) installAccepted(s *session) {
	for {
		p, err := l.peer(s.peer)
		if err != nil {
			s.fail(err)
			return
		}
		if p.install(s) {
			return
		}
	}
}

// addGoroutine adds one goroutine to wg. It returns false when Close has been called.
func (l *Links) addGoroutine() bool {
	l.closingMu.RLock()
	defer l.closingMu.RUnlock()
	if l.closing {
		return false
	}
	l.wg.Add(1)
	return true
}

func (l *Links) isClosing() bool {
	l.closingMu.RLock()
	defer l.closingMu.RUnlock()
	return l.closing
}

// peer returns the peer at that address, and creates it when there is none. It
// returns ErrClosed after Close.
func (l *Links) peer(address string) (*peer, error) {
	l.mu.RLock()
	p := l.peers[address]
	l.mu.RUnlock()
	if l.isClosing() {
		return nil, ErrClosed
	}
	if p != nil {
		return p, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosing() {
		return nil, ErrClosed
	}
	if p = l.peers[address]; p == nil {
		p = &peer{links: l, address: address}
		l.peers[address] = p
	}
	return p, nil
}

func (l *Links) dial(address string) (*session, error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.DialTimeout)
	defer cancel()
	l.count.dials.Add(1)
	c, err := l.cfg.Dial(ctx, address)
	if err == nil {
		var s *session
		if s, err = l.handshakeDial(ctx, c, address); err == nil {
			return s, nil
		}
		_ = c.Close()
	}
	l.count.dialFailures.Add(1)
	if isContextError(err) { // the timeout of this dial, not a deadline of the caller
		err = &HandshakeError{Peer: address, Remedy: "it did not answer in time: check that it is running and reachable"}
	}
	return nil, err
}

// openAttempts limits the number of sessions that OpenStream tries when one is being
// retired or fails while the stream is being opened.
const openAttempts = 3

// OpenStream opens a stream to the daemon at the peer address. The stream is closed when
// ctx ends. The error is always a NotSentError.
func (l *Links) OpenStream(ctx context.Context, address string) (*Stream, error) {
	var err error
	for range openAttempts {
		var p *peer
		if p, err = l.peer(address); err != nil {
			break
		}
		var s *session
		if s, err = p.session(ctx); err != nil {
			if errors.Is(err, errPeerRemoved) {
				continue
			}
			break
		}
		y, openErr := s.open()
		if openErr == nil {
			l.count.opened.Add(1)
			return newOutgoing(ctx, s, y), nil
		}
		err = openErr
		if errors.Is(err, ErrTooManyStreams) {
			break
		}
	}
	return nil, &NotSentError{Peer: address, Cause: err}
}

// SendControl queues a control message for the daemon at the peer address and does not
// wait. Delivery is best effort: a message that cannot be sent is dropped and
// counted.
func (l *Links) SendControl(address string, m *wire.Control) {
	for {
		p, err := l.peer(address)
		if err != nil {
			l.count.controlDropped.Add(1)
			return
		}
		queued, removed := p.send(m)
		if removed {
			continue
		}
		if !queued {
			l.count.controlDropped.Add(1)
		}
		return
	}
}

// RefuseStreams makes the links answer every new stream of a peer with outcome "not run"
// and reason "shutting-down". Running streams, streams that this daemon opens and
// control messages are not affected.
func (l *Links) RefuseStreams() { l.refusing.Store(true) }

// closePollInterval is the interval at which Close checks for remaining sessions.
const closePollInterval = 10 * time.Millisecond

// Close shuts the links down. It answers incoming calls "not run", opens no more
// streams, waits for running streams to finish and closes each session once both
// sides have retired it. When ctx ends first, Close closes the remaining sessions
// immediately, and returns ctx's error if one of them still had open streams. All
// goroutines of the links have ended when Close returns.
func (l *Links) Close(ctx context.Context) error {
	l.RefuseStreams()
	l.closingMu.Lock()
	l.closing = true
	l.closingMu.Unlock()
	l.mu.Lock()
	for _, ln := range l.listeners {
		_ = ln.Close()
	}
	l.mu.Unlock()
	err := l.drain(ctx)
	l.cancel(ErrClosed)
	for _, s := range l.sessions() {
		s.fail(ErrClosed)
	}
	l.wg.Wait()
	return err
}

func (l *Links) drain(ctx context.Context) error {
	tick := time.NewTicker(closePollInterval)
	defer tick.Stop()
	for {
		remaining := l.sessions()
		if len(remaining) == 0 {
			return nil
		}
		for _, s := range remaining {
			s.retire()
			l.closeRetired(s)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return openStreamsError(ctx, remaining)
		}
	}
}

// openStreamsError returns ctx's error when one of the sessions still has open streams,
// which closing it would interrupt.
func openStreamsError(ctx context.Context, remaining []*session) error {
	for _, s := range remaining {
		if s.streams.Load() > 0 {
			return ctx.Err()
		}
	}
	return nil
}

// sessions returns all sessions.
func (l *Links) sessions() []*session {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var all []*session
	for _, p := range l.peers {
		p.mu.Lock()
		all = append(all, p.sessions...)
		p.mu.Unlock()
	}
	return all
}

// forget removes a closed session from its peer.
func (l *Links) forget(s *session) {
	l.mu.RLock()
	p := l.peers[s.peer]
	l.mu.RUnlock()
	if p != nil {
		p.remove(s)
	}
}
