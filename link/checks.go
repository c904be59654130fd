package link

import (
	"cmp"
	"slices"
	"time"
)

const (
	// pauseTicks is the time between two checks, in ticks, above which this process
	// is assumed to have been paused. The silence seen so far is then discarded,
	// because the peer may have sent data that this process has not read yet.
	pauseTicks = 5

	// controlWaitPingIntervals is the time, in ping intervals, that a session without
	// streams may receive nothing before it is pinged, when its last write is newer
	// than its last read.
	controlWaitPingIntervals = 3

	// endWaitPingTimeouts is the time, in ping timeouts, that a retired session without
	// streams waits for its peer's End.
	endWaitPingTimeouts = 2
)

// checkLoop checks all sessions at every Tick until the links are closed.
func (l *Links) checkLoop() {
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
				s.resetSilence()
			}
		}
		last = now
		for _, s := range all {
			l.checkHealth(s, now)
			l.checkIdle(s, now)
		}
		l.limitSessions(all)
		l.removeUnusedPeers()
	}
}

// resetSilence resets the silence timer of the session and forgets its pending ping.
func (s *session) resetSilence() {
	s.conn.markRead()
	s.pingAt.Store(0)
}

// receivedSince reports whether bytes arrived at or after t, in nanoseconds since
// links.base. Bytes that wait unread in the socket's buffer count as arrived: this
// process has had no processor time to read them, and a peer must not be taken for
// silent because of that. A session from which nothing is read within DeadTimeout is
// not excused any more.
func (s *session) receivedSince(t int64) bool {
	if s.conn.lastRead.Load() >= t {
		return true
	}
	return s.silentFor(s.links.since()) < s.links.cfg.DeadTimeout && unread(s.conn.raw)
}

// stillSuspect reports whether the session is suspect. A session that has
// received bytes since it became suspect is no longer so.
func (s *session) stillSuspect() bool {
	at := s.suspectAt.Load()
	if at == 0 {
		return false
	}
	if s.receivedSince(at) {
		s.suspectAt.Store(0)
		s.pingAt.Store(0)
		return false
	}
	return true
}

// checkHealth pings a session that has been silent for too long, and marks it as
// suspect when nothing arrives within PingTimeout.
func (l *Links) checkHealth(s *session, now int64) {
	if s.stillSuspect() {
		l.checkSuspect(s, now)
		return
	}
	if at := s.pingAt.Load(); at != 0 {
		switch {
		case s.receivedSince(at):
			s.pingAt.Store(0)
		case now-at >= int64(l.cfg.PingTimeout):
			s.suspect()
		}
		return
	}
	if s.silentFor(now) >= s.pingAfter() {
		s.pingAt.Store(now)
		s.ping()
	}
}

func (s *session) silentFor(now int64) time.Duration {
	return time.Duration(now - s.conn.lastRead.Load())
}

// pingAfter returns how long the session may receive nothing before it is pinged.
func (s *session) pingAfter() time.Duration {
	interval := s.links.cfg.PingInterval
	if s.streams.Load() > 0 {
		return interval
	}
	if s.conn.lastSent.Load() > s.conn.lastRead.Load() {
		return controlWaitPingIntervals * interval
	}
	return 1 << 62
}

// ping sends a ping without waiting for its answer. The result is ignored,
// because any byte received after the ping shows that the connection delivers.
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

// checkSuspect starts a dial to replace a suspect session, and closes the session
// once another session has received bytes since then. After DeadTimeout it closes
// the session in any case.
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
	if !other.receivedSince(s.suspectAt.Load()) {
		other.ping()
		return
	}
	s.fail(ErrSilent)
}

// checkIdle retires an idle session and closes a retired one.
func (l *Links) checkIdle(s *session, now int64) {
	idle := now - s.lastUse.Load()
	if s.streams.Load() == 0 && idle >= int64(l.cfg.IdleTimeout) {
		s.retire()
	}
	l.closeRetired(s)
}

// closeRetired closes a session that both sides have retired and on which no
// stream is left but the control stream. A peer that does not send End is waited
// for at most endWaitPingTimeouts ping timeouts.
func (l *Links) closeRetired(s *session) {
	at := s.retiredAt.Load()
	if at == 0 || s.streams.Load() > 0 || s.mux.NumStreams() > 1 {
		return
	}
	waited := l.since() - at
	if s.peerRetired.Load() || waited >= endWaitPingTimeouts*int64(l.cfg.PingTimeout) {
		s.openMu.RLock()
		retired := s.retired
		s.openMu.RUnlock()
		if retired {
			s.fail(errUnused)
		}
	}
}

// limitSessions retires the least recently used sessions above MaxSessions. It
// skips sessions with open streams.
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

// removeUnusedPeers removes the peers without sessions, dials and messages.
func (l *Links) removeUnusedPeers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, p := range l.peers {
		if p.removeIfUnused() {
			delete(l.peers, address)
		}
	}
}
