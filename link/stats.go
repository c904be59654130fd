package link

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

type counters struct {
	dials, dialFailures, accepted, refused       atomic.Uint64
	suspected, silent                            atomic.Uint64
	opened, served, streamsRefused               atomic.Uint64
	controlSent, controlReceived, controlDropped atomic.Uint64
	bytesIn, bytesOut                            atomic.Uint64
}

// Stats holds the counters since New and a snapshot of the sessions.
type Stats struct {
	Dials           uint64 // sessions that this daemon tried to open
	DialFailures    uint64 // dials that failed
	Accepted        uint64 // sessions that peers opened
	Refused         uint64 // accepted connections closed: invalid data, handshake timeout or failure, MaxHandshakes reached
	Suspected       uint64 // times that a session became suspect
	Silent          uint64 // sessions closed because they stayed silent
	Opened          uint64 // streams opened to peers
	Served          uint64 // streams served for peers
	StreamsRefused  uint64 // streams of peers that this daemon answered "not run"
	ControlSent     uint64 // control messages written to a session
	ControlReceived uint64 // control messages received
	ControlDropped  uint64 // control messages dropped before they were written
	BytesIn         uint64 // bytes received, below yamux and above TLS
	BytesOut        uint64 // bytes sent, below yamux and above TLS
	Sessions        []SessionStats
}

// SessionStats describes one session.
type SessionStats struct {
	Peer      string
	Streams   int           // open streams, in both directions
	Idle      time.Duration // since the last stream or control message
	SilentFor time.Duration // since the last byte received
	Suspect   bool          // possibly silent, new streams use another session
	Retiring  bool          // closed once both sides have retired it
}

// Stats returns the counters and the sessions; the sessions are sorted by peer
// address.
func (l *Links) Stats() Stats {
	c := &l.count
	st := Stats{
		Dials: c.dials.Load(), DialFailures: c.dialFailures.Load(),
		Accepted: c.accepted.Load(), Refused: c.refused.Load(),
		Suspected: c.suspected.Load(), Silent: c.silent.Load(),
		Opened: c.opened.Load(), Served: c.served.Load(), StreamsRefused: c.streamsRefused.Load(),
		ControlSent: c.controlSent.Load(), ControlReceived: c.controlReceived.Load(), ControlDropped: c.controlDropped.Load(),
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
	}
	now := l.since()
	for _, s := range l.sessions() {
		st.Sessions = append(st.Sessions, SessionStats{
			Peer: s.peer, Streams: int(s.streams.Load()),
			Idle: time.Duration(now - s.lastUse.Load()), SilentFor: s.silentFor(now),
			Suspect: s.suspectAt.Load() != 0, Retiring: s.retiring.Load(),
		})
	}
	slices.SortFunc(st.Sessions, func(a, b SessionStats) int { return cmp.Compare(a.Peer, b.Peer) })
	return st
}
