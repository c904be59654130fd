package link

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"wisteriafold/wire"
)

// peer holds the sessions with the daemon at one peer address and the control
// messages queued for it.
type peer struct {
	links   *Links
	address string
	current atomic.Pointer[session] // session for new streams; nil or unusable when there is none

	mu          sync.Mutex
	sessions    []*session
	pendingDial *pendingDial
	failedAt    int64 // nanoseconds since links.base, 0 when the last dial succeeded
	queue       []*wire.Control
	sending     bool
	removed     bool // removed from links.peers
}

// pendingDial is a dial in progress. All goroutines that need the session wait for it.
type pendingDial struct {
	done    chan struct{}
	session *session
	err     error
}

// session returns a usable session. When there is none, it dials one or waits for
// the dial in progress.
func (p *peer) session(ctx context.Context) (*session, error) {
	if s := p.current.Load(); s != nil && s.usable() {
		return s, nil
	}
	d, s, err := p.startDial()
	if err != nil || s != nil {
		return s, err
	}
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// startDial returns a usable session. When there is none, it returns the dial in
// progress, which it starts if necessary.
func (p *peer) startDial() (*pendingDial, *session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		return nil, nil, errPeerRemoved
	}
	if s := p.selectCurrent(); s != nil {
		return nil, s, nil
	}
	if p.pendingDial != nil {
		return p.pendingDial, nil, nil
	}
	if !p.links.addGoroutine() {
		return nil, nil, ErrClosed
	}
	d := &pendingDial{done: make(chan struct{})}
	p.pendingDial = d
	go p.dial(d)
	return d, nil, nil
}

// errPeerRemoved reports that the peer has been removed from Links.peers since it was
// looked up. The caller has to look it up again.
var errPeerRemoved = errors.New("peer was removed while unused")

// selectCurrent makes the newest usable session the current one and returns it, or nil when
// there is none. The caller must hold p.mu.
func (p *peer) selectCurrent() *session {
	for _, s := range slices.Backward(p.sessions) {
		if s.usable() {
			p.current.Store(s)
			return s
		}
	}
	p.current.Store(nil)
	return nil
}

func (p *peer) dial(d *pendingDial) {
	defer p.links.wg.Done()
	d.session, d.err = p.links.dial(p.address)
	if d.err == nil {
		p.install(d.session)
	}
	p.mu.Lock()
	p.pendingDial = nil
	p.failedAt = 0
	if d.err != nil {
		p.failedAt = p.links.since()
	}
	p.mu.Unlock()
	close(d.done)
}

// install adds and starts a session that has completed its handshake. The
// handshake shows that the peer responds, so older sessions that are suspect are
// closed, as are those of an earlier process at this address. It returns false
// when the peer has been removed from Links.peers.
func (p *peer) install(s *session) (installed bool) {
	p.mu.Lock()
	if p.removed {
		p.mu.Unlock()
		return false
	}
	old := slices.Clone(p.sessions)
	p.sessions = append(p.sessions, s)
	p.mu.Unlock()
	s.run()
	for _, o := range old {
		switch {
		case o.remote.Incarnation != s.remote.Incarnation:
			o.fail(errRestarted)
		case o.stillSuspect():
			o.fail(ErrSilent)
		}
	}
	if p.links.ctx.Err() != nil {
		s.fail(ErrClosed)
	}
	p.mu.Lock()
	p.selectCurrent()
	p.mu.Unlock()
	return true
}

// remove removes a closed session.
func (p *peer) remove(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions = slices.DeleteFunc(p.sessions, func(o *session) bool { return o == s })
	p.selectCurrent()
}

// send queues a control message. It reports whether the message was queued, and
// whether the peer has been removed and has to be looked up again.
func (p *peer) send(m *wire.Control) (queued, removed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		return false, true
	}
	if len(p.queue) >= p.links.cfg.ControlQueue || p.waitingToRedial() {
		return false, false
	}
	p.queue = append(p.queue, m)
	if p.sending {
		return true, false
	}
	if !p.links.addGoroutine() {
		p.queue = nil
		return false, false
	}
	p.sending = true
	go p.sendLoop()
	return true, false
}

// waitingToRedial reports whether control messages must not start a dial yet,
// because the last one failed less than RedialWait ago. The caller must hold p.mu.
func (p *peer) waitingToRedial() bool {
	if p.failedAt == 0 || p.pendingDial != nil || p.selectCurrent() != nil {
		return false
	}
	return p.links.since()-p.failedAt < int64(p.links.cfg.RedialWait)
}

// sendLoop writes the queued control messages until the queue is empty.
func (p *peer) sendLoop() {
	defer p.links.wg.Done()
	for {
		batch := p.takeQueue()
		if len(batch) == 0 {
			return
		}
		s, err := p.session(p.links.ctx)
		if err == nil {
			s.markUsed()
			err = writeControl(s, batch)
		}
		var large *wire.FrameTooLargeError
		if s != nil && err != nil && !errors.As(err, &large) {
			s.retire() // its streams continue; the next message uses a new session
		}
		if err != nil {
			p.links.count.controlDropped.Add(uint64(len(batch)))
			continue
		}
		p.links.count.controlSent.Add(uint64(len(batch)))
	}
}

func (p *peer) takeQueue() []*wire.Control {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := p.queue
	p.queue = nil
	if len(batch) == 0 {
		p.sending = false
	}
	return batch
}

func writeControl(s *session, batch []*wire.Control) error {
	frames := make([]*wire.Frame, len(batch))
	for i, m := range batch {
		frames[i] = &wire.Frame{Kind: &wire.Frame_Control{Control: m}}
	}
	return s.writeControl(frames...)
}

// removeIfUnused marks the peer as removed when it has no session, pending dial or
// queued message and no dial has failed within IdleTimeout. It reports whether it
// did so; the caller must then delete the peer from Links.peers.
func (p *peer) removeIfUnused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	recent := p.failedAt != 0 && p.links.since()-p.failedAt < int64(p.links.cfg.IdleTimeout)
	if len(p.sessions) > 0 || p.pendingDial != nil || p.sending || recent {
		return false
	}
	p.removed = true
	return true
}
