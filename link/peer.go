package link

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"wisteriafold/wire"
)

// peer holds the sessions with one peer address and the control messages that
// wait for it.
type peer struct {
	links   *Links
	address string
	current atomic.Pointer[session] // where new streams go

	mu       sync.Mutex
	sessions []*session
	dialling *dialing
	failedAt int64 // nanoseconds since links.base, 0 when the last dial worked
	queue    []*wire.Control
	sending  bool
	gone     bool // removed from links.peers
}

// dialing is one dial that all who need the session wait for.
type dialing struct {
	done    chan struct{}
	session *session
	err     error
}

// session returns a usable session, and dials when there is none.
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

// startDial returns a usable session, or the dial under way to get one.
func (p *peer) startDial() (*dialing, *session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return nil, nil, errGone
	}
	if s := p.pick(); s != nil {
		return nil, s, nil
	}
	if p.dialling != nil {
		return p.dialling, nil, nil
	}
	if !p.links.begin() {
		return nil, nil, ErrClosed
	}
	d := &dialing{done: make(chan struct{})}
	p.dialling = d
	go p.dial(d)
	return d, nil, nil
}

// errGone reports a peer that the keeper has dropped: look it up again.
var errGone = errors.New("peer was dropped")

// pick makes the newest usable session the current one. It needs the lock.
func (p *peer) pick() *session {
	for _, s := range slices.Backward(p.sessions) {
		if s.usable() {
			p.current.Store(s)
			return s
		}
	}
	p.current.Store(nil)
	return nil
}

func (p *peer) dial(d *dialing) {
	defer p.links.wg.Done()
	d.session, d.err = p.links.dial(p.address)
	if d.err == nil {
		p.install(d.session)
	}
	p.mu.Lock()
	p.dialling = nil
	p.failedAt = 0
	if d.err != nil {
		p.failedAt = p.links.since()
	}
	p.mu.Unlock()
	close(d.done)
}

// install adds a session that has passed its handshake. It proves that the
// peer answers: sessions that are silent, or that belong to an earlier process
// at this address, are closed.
func (p *peer) install(s *session) (installed bool) {
	p.mu.Lock()
	if p.gone {
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
	p.pick()
	p.mu.Unlock()
	return true
}

// remove forgets a closed session.
func (p *peer) remove(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions = slices.DeleteFunc(p.sessions, func(o *session) bool { return o == s })
	p.pick()
}

// send queues a control message, and reports whether it was taken.
func (p *peer) send(m *wire.Control) (taken, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return false, true
	}
	if len(p.queue) >= p.links.cfg.ControlQueue || p.waitingToRedial() {
		return false, false
	}
	p.queue = append(p.queue, m)
	if p.sending {
		return true, false
	}
	if !p.links.begin() {
		p.queue = nil
		return false, false
	}
	p.sending = true
	go p.sendLoop()
	return true, false
}

// waitingToRedial reports whether control messages must not cause a dial yet.
// It needs the lock.
func (p *peer) waitingToRedial() bool {
	if p.failedAt == 0 || p.dialling != nil || p.pick() != nil {
		return false
	}
	return p.links.since()-p.failedAt < int64(p.links.cfg.RedialWait)
}

// sendLoop writes queued control messages until none is left.
func (p *peer) sendLoop() {
	defer p.links.wg.Done()
	for {
		batch := p.takeQueue()
		if len(batch) == 0 {
			return
		}
		s, err := p.session(p.links.ctx)
		if err == nil {
			s.use()
			err = writeControl(s, batch)
		}
		var large *wire.FrameTooLargeError
		if s != nil && err != nil && !errors.As(err, &large) {
			s.retire() // calls on it go on, the next message takes a fresh dial
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

// unused marks the peer as gone when nothing refers to it any more.
func (p *peer) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	recent := p.failedAt != 0 && p.links.since()-p.failedAt < int64(p.links.cfg.IdleTimeout)
	if len(p.sessions) > 0 || p.dialling != nil || p.sending || recent {
		return false
	}
	p.gone = true
	return true
}
