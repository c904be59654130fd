package config

import (
	"fmt"
	"time"
)

// relay is the state of a daemon that reads the store, or may come to.
type relay struct {
	next     time.Time // of the next read
	reading  bool
	lost     int       // reads without a result, which may still come
	started  time.Time // of the read under way
	since    uint64    // store version that it starts from
	had      uint64    // generation that was in force here when it started
	read     time.Time // start of the last read that succeeded
	began    time.Time // when this daemon began to read
	askNext  time.Time // of the next asks to other data centres
	askFirst int       // data centre that is asked first
	failures int       // reads that failed since the last that succeeded
}

// isRelay reports whether this daemon is one of the regular relays.
func (m *Spreader) isRelay() bool {
	rank := m.topology.rank(m.o.Self)
	return rank >= 0 && rank < relayCount
}

// isReading reports whether this daemon has to read the store: as a relay, or
// as the next candidate when knowledge has grown old.
func (m *Spreader) isReading(now time.Time) bool {
	rank := m.topology.rank(m.o.Self)
	switch {
	case rank < 0:
		return false
	case rank < relayCount:
		return true
	}
	return now.Sub(m.confirmed) > takeoverAge+time.Duration(rank-relayCount)*takeoverStep
}

// tickRelay reads the store when that is due, and asks other data centres
// when the store has not answered for a while.
func (m *Spreader) tickRelay(now time.Time) {
	if !m.isReading(now) {
		m.relay.began = time.Time{}
		return
	}
	r := &m.relay
	if r.began.IsZero() {
		r.began = now
	}
	if r.reading && now.Sub(r.started) >= readTimeout {
		r.reading = false
		r.lost++
		r.failures++
		m.lastError = fmt.Sprintf("a read of the store has no result after %s: this daemon has more work than it can take", readTimeout)
	}
	if !r.reading && !now.Before(r.next) {
		r.reading, r.started = true, now
		r.had, r.since = m.generation(), m.content.snapshot.Version
		if m.full {
			r.since = 0
		}
		r.next = now.Add(readEvery)
		m.o.Fetch(r.since)
	}
	if m.isCutOff(now) && !now.Before(r.askNext) {
		r.askNext = now.Add(cutOffEvery)
		m.askAbroad(now)
	}
}

// isCutOff reports whether neither the store nor anyone who can read it has
// been heard of for a while.
func (m *Spreader) isCutOff(now time.Time) bool {
	return now.Sub(m.relay.began) > cutOffAfter && now.Sub(m.confirmed) > cutOffAfter && now.Sub(m.relay.read) > cutOffAfter
}

// Fetched takes the result of the read that Fetch began. After a read without
// a result, the next result may be of an older read than the last one: it is
// used, but confirms nothing.
func (m *Spreader) Fetched(now time.Time, u Update, err error) {
	r := &m.relay
	r.reading = false
	late := r.lost > 0
	if late {
		r.lost--
	}
	if err == nil && u.Changed && u.Head.Generation < r.had {
		err = &RegressedError{}
	}
	if err != nil {
		r.failures++
		m.lastError = err.Error()
		return
	}
	r.failures, r.read = 0, r.started
	m.lastError = ""
	if !u.Changed {
		// Nothing was newer than the version that the read started from.
		if !late && !m.full {
			m.confirm(m.generation(), r.started)
		}
		return
	}
	from := m.generation()
	if m.take(now, u.Head, u.Version, u.Full, u.Rows) {
		m.feed(from)
	}
	if !late {
		m.confirm(u.Head.Generation, r.started)
	}
}

// askAbroad asks relays of other data centres, which also makes them tell
// their news for a while.
func (m *Spreader) askAbroad(now time.Time) {
	others := sortedKeys(m.rosters)
	for i := range min(cutOffAsks, len(others)) {
		dc := others[(m.relay.askFirst+i)%len(others)]
		relays := relaysOf(m.rosters[dc], relayCount)
		if len(relays) > 0 {
			m.ask(now, relays[m.o.Random.IntN(len(relays))], true)
		}
	}
	m.relay.askFirst += cutOffAsks
}

// tellFollowers sends a new generation to relays without the store.
func (m *Spreader) tellFollowers(now time.Time, from uint64) {
	for _, to := range sortedKeys(m.followers) {
		if now.After(m.followers[to]) {
			delete(m.followers, to)
			continue
		}
		m.sendDelta(to, from, false)
	}
}
