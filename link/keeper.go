package link

import (
	"cmp"
	"slices"
	"time"
)

const (
	// pauseTicks is how many ticks late the keeper must run to take it for a
	// pause of this process, after which what it knows about silence is void.
	pauseTicks = 5

	// controlPatience is how many ping intervals a session without streams may
	// receive nothing after a control message before it is pinged.
	controlPatience = 3

	// retirePatience is how many ping timeouts a retired session without streams
	// waits for its peer's promise.
	retirePatience = 2
)

// keep checks all sessions at every tick until the links are closed.
func (l *Links) keep() {
	defer l.wg.Done()
	tick := time.NewTicker(l.cfg.Tick)
	defer tick.Stop()
	last := l.since()
	for {
		select {
		case <-tick.C:
		case <-l.ctx.Done():
			return
		}
		now := l.since()
		all := l.sessions()
		if now-last > pauseTicks*int64(l.cfg.Tick) {
			for _, s := range all {
				s.forgive()
			}
		}
		last = now
		for _, s := range all {
			l.checkHealth(s, now)
			l.checkUse(s, now)
		}
		l.limitSessions(all)
		l.dropUnusedPeers()
	}
}

// forgive restarts the silence clock of a session.
func (s *session) forgive() {
	s.conn.touch()
	s.pingAt.Store(0)
}

// heardSince reports whether bytes arrived at or after t.
func (s *session) heardSince(t int64) bool { return s.conn.lastRead.Load() >= t }

// stillSuspect reports whether the session is suspect and has stayed silent.
func (s *session) stillSuspect() bool {
	at := s.suspectAt.Load()
	if at == 0 {
		return false
	}
	if s.heardSince(at) {
		s.suspectAt.Store(0)
		s.pingAt.Store(0)
		return false
	}
	return true
}

func (l *Links) checkHealth(s *session, now int64) {
	if s.stillSuspect() {
		l.checkSuspect(s, now)
		return
	}
	if at := s.pingAt.Load(); at != 0 {
		switch {
		case s.heardSince(at):
			s.pingAt.Store(0)
		case now-at >= int64(l.cfg.PingTimeout):
			s.suspect()
		}
		return
	}
	if s.silentFor(now) >= s.patience() {
		s.pingAt.Store(now)
		s.ping()
	}
}

func (s *session) silentFor(now int64) time.Duration {
	return time.Duration(now - s.conn.lastRead.Load())
}

// patience is how long the session may receive nothing before it is pinged.
func (s *session) patience() time.Duration {
	interval := s.links.cfg.PingInterval
	if s.streams.Load() > 0 {
		return interval
	}
	if s.conn.lastSent.Load() > s.conn.lastRead.Load() {
		return controlPatience * interval
	}
	return 1 << 62
}

// ping sends a ping. What counts is that any byte arrives after it.
func (s *session) ping() {
	if !s.pinging.CompareAndSwap(false, true) {
		return
	}
	s.links.wg.Add(1)
	go func() {
		defer s.links.wg.Done()
		defer s.pinging.Store(false)
		_, _ = s.mux.Ping()
	}()
}

// checkSuspect tries a fresh dial in place of a suspect session, and gives the
// session up when the peer has been out of reach for DeadTimeout.
func (l *Links) checkSuspect(s *session, now int64) {
	if now-s.suspectAt.Load() >= int64(l.cfg.DeadTimeout) {
		s.fail(ErrSilent)
		return
	}
	p, err := l.peer(s.peer)
	if err != nil {
		return
	}
	p.mu.Lock()
	wait := p.waitingToRedial()
	p.mu.Unlock()
	if wait {
		return
	}
	_, other, err := p.startDial()
	if err != nil || other == nil {
		return
	}
	if !other.heardSince(s.suspectAt.Load()) {
		other.ping()
		return
	}
	s.fail(ErrSilent)
}

// checkUse retires an idle session and closes a retired one.
func (l *Links) checkUse(s *session, now int64) {
	idle := now - s.lastUse.Load()
	if s.streams.Load() == 0 && idle >= int64(l.cfg.IdleTimeout) {
		s.retire()
	}
	l.closeRetired(s)
}

// closeRetired closes a session that both sides have retired and on which no
// stream is left. A peer that does not answer is waited for a while only.
func (l *Links) closeRetired(s *session) {
	at := s.retiredAt.Load()
	if at == 0 || s.streams.Load() > 0 || s.mux.NumStreams() > 1 {
		return
	}
	waited := l.since() - at
	if s.peerRetired.Load() || waited >= retirePatience*int64(l.cfg.PingTimeout) {
		s.openMu.RLock()
		promised := s.retired
		s.openMu.RUnlock()
		if promised {
			s.fail(errUnused)
		}
	}
}

// limitSessions retires the sessions that were unused for longest above MaxSessions.
func (l *Links) limitSessions(all []*session) {
	kept := slices.DeleteFunc(all, func(s *session) bool { return s.retiring.Load() })
	over := len(kept) - l.cfg.MaxSessions
	if over <= 0 {
		return
	}
	idle := slices.DeleteFunc(kept, func(s *session) bool { return s.streams.Load() > 0 })
	slices.SortFunc(idle, func(a, b *session) int { return cmp.Compare(a.lastUse.Load(), b.lastUse.Load()) })
	for _, s := range idle[:min(over, len(idle))] {
		s.retire()
	}
}

func (l *Links) dropUnusedPeers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, p := range l.peers {
		if p.unused() {
			delete(l.peers, address)
		}
	}
}
