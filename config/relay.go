package config

import (
	"fmt"
	"time"
)

// relay is the state of a daemon that reads the store, or that may take over as
// a relay.
type relay struct {
	nextRead        time.Time // time of the next read
	reading         bool
	lostReads       int       // reads that timed out; their results may still arrive
	started         time.Time // start of the read in progress
	startVersion    uint64    // store version that the read in progress starts from
	startGeneration uint64    // generation that was in force here when that read started
	lastRead        time.Time // start of the last read that succeeded
	readingSince    time.Time // when this daemon began to read the store, zero while it does not
	nextAsk         time.Time // time of the next asks to other data centres
	firstAsked      int       // index of the data centre that is asked first
	failures        int       // failed reads since the last successful one
}

// isRelay reports whether this daemon is one of the regular relays.
func (m *Spreader) isRelay() bool {
	rank := m.topology.rank(m.opts.Self)
	return rank >= 0 && rank < relayCount
}

// mustReadStore reports whether this daemon has to read the store: as a
// relay, or as a candidate when the configuration age shows that the daemons
// ranked before it do not read.
func (m *Spreader) mustReadStore(now time.Time) bool {
	rank := m.topology.rank(m.opts.Self)
	switch {
	case rank < 0:
		return false
	case rank < relayCount:
		return true
	}
	return now.Sub(m.confirmed) > takeoverAge+time.Duration(rank-relayCount)*takeoverStep
}

// tickRelay starts a read of the store when one is due, and asks other data
// centres while this daemon is cut off.
func (m *Spreader) tickRelay(now time.Time) {
	if !m.mustReadStore(now) {
		m.relay.readingSince = time.Time{}
		return
	}
	r := &m.relay
	if r.readingSince.IsZero() {
		r.readingSince = now
	}
	if r.reading && now.Sub(r.started) >= readTimeout {
		r.reading = false
		r.lostReads++
		r.failures++
		m.lastError = fmt.Sprintf("a read of the store returned no result within %s: this daemon is overloaded", readTimeout)
	}
	if !r.reading && !now.Before(r.nextRead) {
		r.reading, r.started = true, now
		r.startGeneration, r.startVersion = m.generation(), m.content.snapshot.Version
		if m.needsFull {
			r.startVersion = 0
		}
		r.nextRead = now.Add(readEvery)
		m.opts.Fetch(r.startVersion)
	}
	if m.isCutOff(now) && !now.Before(r.nextAsk) {
		r.nextAsk = now.Add(cutOffEvery)
		m.askOtherDataCentres(now)
	}
}

// isCutOff reports whether, for cutOffAfter, this daemon has neither read the
// store with success nor received a confirmation from a daemon that can.
func (m *Spreader) isCutOff(now time.Time) bool {
	return now.Sub(m.relay.readingSince) > cutOffAfter && now.Sub(m.confirmed) > cutOffAfter && now.Sub(m.relay.lastRead) > cutOffAfter
}

// Fetched handles the result of a read that Fetch started. After a read has
// timed out, the next result may belong to that read instead of the last one: it
// is applied, but it confirms nothing.
func (m *Spreader) Fetched(now time.Time, u Update, err error) {
	r := &m.relay
	r.reading = false
	late := r.lostReads > 0
	if late {
		r.lostReads--
	}
	if err == nil && u.Changed && u.Head.Generation < r.startGeneration {
		err = &RegressedError{}
	}
	if err != nil {
		r.failures++
		m.lastError = err.Error()
		return
	}
	r.failures, r.lastRead = 0, r.started
	m.lastError = ""
	if !u.Changed {
		// Nothing was newer than the version that the read started from.
		if !late && !m.needsFull {
			m.confirm(m.generation(), r.started)
		}
		return
	}
	from := m.generation()
	if m.apply(now, u.Head, u.Version, u.Full, u.Rows) {
		m.broadcast(from)
	}
	if !late {
		m.confirm(u.Head.Generation, r.started)
	}
}

// askOtherDataCentres asks relays of other data centres. These then also
// send new generations to this daemon for followerExpiry.
func (m *Spreader) askOtherDataCentres(now time.Time) {
	others := sortedKeys(m.rosters)
	for i := range min(cutOffAsks, len(others)) {
		dc := others[(m.relay.firstAsked+i)%len(others)]
		relays := relaysOf(m.rosters[dc], relayCount)
		if len(relays) > 0 {
			m.ask(now, relays[m.opts.Random.IntN(len(relays))], true)
		}
	}
	m.relay.firstAsked += cutOffAsks
}

// sendToFollowers sends a new generation to relays that can't reach the store.
func (m *Spreader) sendToFollowers(now time.Time, from uint64) {
	for _, to := range sortedKeys(m.followers) {
		if now.After(m.followers[to]) {
			delete(m.followers, to)
			continue
		}
		m.sendDelta(to, from, false)
	}
}
