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
	// frame. It runs on a goroutine of its own, and the stream is closed when
	// it returns. ctx ends when the opener closes the stream, when the session
	// breaks and when Close cuts what is left.
	ServeCall(ctx context.Context, s *Stream, first *wire.Frame)

	// ReceiveControl takes one control message of the peer at that address. It
	// must not block.
	ReceiveControl(from string, m *wire.Control)
}

// Links holds the sessions of one daemon. Its methods are safe for concurrent use.
type Links struct {
	cfg     Config
	hello   *wire.Hello
	handler Handler
	base    time.Time
	count   counters
	pool    pond.Pool
	serving atomic.Int64
	refuse  atomic.Bool
	hands   chan struct{} // one element for each handshake under way

	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	// Locks are taken in this order: mu, then a peer's, then life.
	mu        sync.RWMutex
	peers     map[string]*peer
	listeners []net.Listener

	life    sync.RWMutex // guards closing, and wg.Add against it
	closing bool
}

// New returns links without any session.
func New(cfg Config, h Handler) (*Links, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	hello := proto.Clone(cfg.Hello).(*wire.Hello)
	hello.Protocol = wire.Protocol
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	l := &Links{
		cfg: cfg, hello: hello, handler: h, base: time.Now(),
		pool:  pond.NewPool(cfg.MaxStreams),
		hands: make(chan struct{}, cfg.MaxHandshakes),
		peers: make(map[string]*peer),
	}
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	l.wg.Add(1)
	go l.keep()
	return l, nil
}

// since is the time since New in nanoseconds, never 0.
func (l *Links) since() int64 { return since(l.base) }

func since(base time.Time) int64 { return int64(time.Since(base)) + 1 }

// Serve accepts sessions on ln until Close, and then returns nil. It returns
// the listener's error otherwise.
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

// accept starts the handshake on an accepted connection, unless too many are
// under way.
func (l *Links) accept(c net.Conn) {
	select {
	case l.hands <- struct{}{}:
	default:
		l.count.refused.Add(1)
		_ = c.Close()
		return
	}
	if !l.begin() {
		<-l.hands
		_ = c.Close()
		return
	}
	go func() {
		defer l.wg.Done()
		defer func() { <-l.hands }()
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

// begin counts one more goroutine, unless Close has begun.
func (l *Links) begin() bool {
	l.life.RLock()
	defer l.life.RUnlock()
	if l.closing {
		return false
	}
	l.wg.Add(1)
	return true
}

func (l *Links) isClosing() bool {
	l.life.RLock()
	defer l.life.RUnlock()
	return l.closing
}

// peer returns the peer at that address.
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
	if byCaller(err) { // this dial's own timeout, not the caller's
		err = &HandshakeError{Peer: address, Remedy: "it did not answer in time: check that it runs and can be reached"}
	}
	return nil, err
}

// openAttempts bounds how often Open tries another session when one is being
// retired or breaks under it.
const openAttempts = 3

// Open opens a stream to the daemon at the peer address. ctx governs the whole
// life of the stream: when it ends, the stream is closed. The error is always
// a NotSentError.
func (l *Links) Open(ctx context.Context, address string) (*Stream, error) {
	var err error
	for range openAttempts {
		var p *peer
		if p, err = l.peer(address); err != nil {
			break
		}
		var s *session
		if s, err = p.session(ctx); err != nil {
			if errors.Is(err, errGone) {
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
		if errors.Is(err, ErrBusy) {
			break
		}
	}
	return nil, &NotSentError{Peer: address, Cause: err}
}

// Send sends a control message to the daemon at the peer address: best effort,
// without waiting. What cannot be sent is dropped and counted.
func (l *Links) Send(address string, m *wire.Control) {
	for {
		p, err := l.peer(address)
		if err != nil {
			l.count.controlDropped.Add(1)
			return
		}
		taken, gone := p.send(m)
		if gone {
			continue
		}
		if !taken {
			l.count.controlDropped.Add(1)
		}
		return
	}
}

// Refuse answers every further call of a peer with "not run, shutting-down".
// Running streams, own calls and control messages go on.
func (l *Links) Refuse() { l.refuse.Store(true) }

// closePoll is how often Close looks whether streams are left.
const closePoll = 10 * time.Millisecond

// Close shuts down: incoming calls are refused as "not run", no stream can be
// opened, running streams finish, and sessions are closed by agreement with
// their peers. When ctx ends first, sessions are closed without agreement, and
// ctx's error is returned when that cut a stream. No goroutine is left when it
// returns.
func (l *Links) Close(ctx context.Context) error {
	l.Refuse()
	l.life.Lock()
	l.closing = true
	l.life.Unlock()
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
	tick := time.NewTicker(closePoll)
	defer tick.Stop()
	for {
		left := l.sessions()
		if len(left) == 0 {
			return nil
		}
		for _, s := range left {
			s.retire()
			l.closeRetired(s)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return cutError(ctx, left)
		}
	}
}

// cutError returns ctx's error when closing the sessions now cuts a stream.
func cutError(ctx context.Context, left []*session) error {
	for _, s := range left {
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

// forget drops a closed session from its peer.
func (l *Links) forget(s *session) {
	l.mu.RLock()
	p := l.peers[s.peer]
	l.mu.RUnlock()
	if p != nil {
		p.remove(s)
	}
}
