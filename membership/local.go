package membership

import "time"

// Heartbeat is one heartbeat or deregistration call of the local backend server.
type Heartbeat struct {
	ID       string
	StartMs  int64  // start time of the incarnation, Unix ms; 0 if not given
	Received int64  // time at which the daemon received it, Unix ms
	Sequence uint64 // orders the calls of one incarnation; 0 on a deregistration without one
	State    State
	Service  string // empty on a deregistration
	Slots    int    // maximum number of concurrent calls; 0 if not given

	Cold        time.Duration // how much longer it tolerates only few calls a second
	ColdUnknown bool          // Cold was given and is no plausible time
}

// Local tracks the daemon's local backend server from the heartbeats that it
// sends. The incarnation with the latest start time is the current one. Calls of
// an earlier incarnation, and calls that arrive out of order, change nothing. It
// is not safe for concurrent use.
type Local struct {
	service       string
	id            string
	startMs       int64
	startsGiven   bool  // heartbeats here give their start time, as far as known
	leftAt        int64 // when an incarnation left that had not given its start time, Unix ms; it started before
	sequence      uint64
	state         State
	slots         int
	accepted      uint64 // number of heartbeats and deregistrations accepted
	former        *Entry // entry of a previous daemon, nil while none is known
	heartbeatSeen bool   // the state comes from a heartbeat or deregistration, not just from a probe or a stored entry
}

// NewLocal returns a Local that has received no heartbeat. service is the name of
// the local backend server's service in the daemon's settings.
func NewLocal(service string) *Local { return &Local{service: service} }

// ID returns the id of the backend server, or an empty string while unknown.
func (l *Local) ID() string { return l.id }

// StartMs returns the start time of the incarnation in Unix ms, or 0 if unknown.
func (l *Local) StartMs() int64 { return l.startMs }

// State returns the state of the backend server.
func (l *Local) State() State { return l.state }

// Slots returns the maximum number of concurrent calls, or 0 if unknown.
func (l *Local) Slots() int { return l.slots }

// Accepted returns the number of heartbeats and deregistrations that were neither out
// of date nor from another service.
func (l *Local) Accepted() uint64 { return l.accepted }

// HandleHeartbeat processes a heartbeat or deregistration. changed reports whether the
// state, id, start time or slots changed; restarted reports whether another
// incarnation replaced a known one.
func (l *Local) HandleHeartbeat(h Heartbeat) (changed, restarted bool) {
	if h.Service != "" && h.Service != l.service {
		return false, false // another service's backend server, not the local one of this daemon
	}
	if h.StartMs != 0 && h.StartMs < l.startMs {
		return false, false
	}
	if h.State != Gone && h.StartMs == 0 && l.startsGiven {
		return false, false // of another writer: backend servers here give their start time in every heartbeat
	}
	otherIncarnation := h.ID != l.id || h.StartMs > max(l.startMs, l.leftAt) && (l.startMs != 0 || l.leftAt != 0 || l.heartbeatSeen)
	if h.State == Gone && otherIncarnation && h.StartMs <= l.startMs && (l.startMs != 0 || l.state >= Draining) {
		return false, false // deregistration of an earlier incarnation, or by another writer
	}
	if !otherIncarnation {
		if l.heartbeatSeen && h.Sequence != 0 && h.Sequence <= l.sequence && !l.leavesNow(h) {
			return false, false
		}
		if l.state == Gone || l.state == Draining && h.State == Ready {
			// An incarnation that drains or is gone does not become ready again. That
			// holds also when a previous daemon was told, whose heartbeats may be late.
			return false, false
		}
	}
	before := *l
	l.accepted++
	l.apply(h, otherIncarnation)
	return before.state != l.state || before.id != l.id || before.startMs != l.startMs || before.slots != l.slots, otherIncarnation && before.id != ""
}

// leavesNow reports whether h announces that the known incarnation leaves. That is
// final, so that the sequence does not matter: a heartbeat of another writer may have
// raised it above those of the backend server.
func (l *Local) leavesNow(h Heartbeat) bool {
	return h.StartMs != 0 && h.StartMs == l.startMs && h.State > l.state && h.State >= Draining
}

// Reflects reports whether the state contains what h says about leaving. A heartbeat
// for which it does not hold must not be acknowledged: the backend server relies on
// the acknowledgement when it leaves.
func (l *Local) Reflects(h Heartbeat) bool {
	if h.State < Draining {
		return true
	}
	if h.ID != l.id {
		return l.startMs != 0 // of an earlier incarnation; without start times nothing tells which is the later one
	}
	return l.state >= h.State
}

// apply stores the values of an accepted heartbeat or deregistration.
func (l *Local) apply(h Heartbeat, otherIncarnation bool) {
	l.id, l.state, l.heartbeatSeen = h.ID, h.State, true
	if h.StartMs != 0 {
		l.startMs, l.startsGiven = h.StartMs, true
	}
	switch {
	case h.State >= Draining && l.startMs == 0:
		l.leftAt = h.Received
		if l.former != nil && l.former.Backend == h.ID {
			l.startMs = l.former.Born
		}
	case otherIncarnation:
		l.leftAt = 0
	}
	if otherIncarnation || h.Sequence != 0 {
		l.sequence = h.Sequence
	}
	if h.Slots != 0 {
		l.slots = h.Slots
	}
}

// HandleProbe processes a successful health check after a restart of the daemon: the
// backend server that answered is Ready until a heartbeat says otherwise. It
// changes nothing once a heartbeat has arrived, or if the same backend server is
// known to be draining or gone. It reports whether it set the state.
func (l *Local) HandleProbe(id string, slots int) bool {
	if l.heartbeatSeen || id == "" {
		return false
	}
	if l.id == id && (l.state == Draining || l.state == Gone) {
		return false // a previous daemon received its drain or deregistration
	}
	l.id, l.state = id, Ready
	if slots > 0 {
		l.slots = slots
	}
	return true
}

// Restore processes an entry that a previous daemon at this address published. Of an
// entry whose backend server is draining or gone it restores everything, also when
// that backend server is known already: a late heartbeat or a health check may come
// first. Of other entries it restores the slots, and only while no backend server is
// known. It reports whether the state changed.
func (l *Local) Restore(e *Entry) bool {
	if e == nil || e.Service != l.service {
		return false
	}
	if l.id == "" {
		l.slots = int(e.Slots)
	}
	l.startsGiven = l.startsGiven || e.Born != 0
	if l.startMs == 0 && l.id == e.Backend && l.state >= Draining {
		l.startMs = e.Born // given to an earlier process, and not when it left
	}
	l.former = e
	state := State(e.State)
	if state != Draining && state != Gone || l.id == e.Backend && state <= l.state || !l.isCovered(e) {
		return false
	}
	if l.id != e.Backend || e.Born != 0 {
		l.startMs = e.Born
	}
	l.id, l.state, l.leftAt = e.Backend, state, 0
	if l.startMs == 0 {
		l.leftAt = e.Incarnation // it had started before that daemon
	}
	return true
}

// isCovered reports whether an entry is about the known backend server, or about one that
// may be a later one than that, because the start time of the known one was not given. The
// latter may come from another writer; if it is a successor, its next heartbeat proves that.
func (l *Local) isCovered(e *Entry) bool {
	sameLife := l.startMs == e.Born || e.Born == 0 && l.startMs <= e.Incarnation
	return l.startMs == 0 || l.id == e.Backend && sameLife
}
