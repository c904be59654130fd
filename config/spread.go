package config

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriafold/wire"
)

// Intervals, timeouts and limits for the spread of the configuration.
const (
	askEvery       = time.Second            // between regular asks, which go to the two trees by turns
	askEveryEmpty  = 200 * time.Millisecond // between regular asks while this daemon has no configuration
	askTimeout     = 2 * time.Second        // after which an ask counts as unanswered
	askParentEvery = 10                     // rounds of regular asks between two asks to an unresponsive parent
	announceGrace  = 200 * time.Millisecond // from an announcement until its sender is asked
	announceTries  = 10                     // largest number of asks for one announcement
	readEvery      = 500 * time.Millisecond // between reads of the store by one relay
	readTimeout    = 5 * time.Second        // after which a read counts as timed out
	takeoverAge    = 4 * time.Second        // configuration age at which the first candidate begins to read
	takeoverStep   = time.Second            // added for each further rank
	cutOffAfter    = 1500 * time.Millisecond
	cutOffEvery    = time.Second // between asks to other data centres by a relay without the store
	cutOffAsks     = 8           // data centres asked at a time
	followerExpiry = 5 * time.Second
	maxFollowers   = 64
	reportWait     = 50 * time.Millisecond // delay that combines the reports of several children
	reportExpiry   = 7 * time.Second
	maxReporters   = 256
	maxLaggards    = 8 // named in one report
)

// Outbox sends messages to the control goroutines of other daemons. A message
// may be lost, delayed, duplicated or reordered. Send must not block.
type Outbox interface {
	Send(to string, m *wire.Spread)
}

// Options of a Spreader. All fields but Seeds are needed.
type Options struct {
	Self       string   // this daemon's peer address
	DataCentre string   // this daemon's data centre
	Seeds      []string // peer addresses to ask while the roster is not known

	Outbox Outbox

	// Fetch starts a read of the store from a version; its result is passed to
	// Fetched. At most one read is in progress, not counting those that have
	// timed out.
	Fetch func(since uint64)

	// Publish is called with the snapshot that is in force from now on.
	// withdrawn are the digests of keys that must be refused although the
	// snapshot contains them.
	Publish func(s *Snapshot, withdrawn []string)

	Random *rand.Rand
}

// Spreader obtains the configuration for this daemon and forwards it to others.
// It is used by the control goroutine only, which calls Receive, Fetched and
// SetRoster when these events occur, and Tick at least every 100 ms. It reads no
// clock: times are passed in, and only their differences matter.
type Spreader struct {
	opts      Options
	content   *content
	journal   journal
	withdrawn map[string]uint64 // key digest to the generation that withdraws it
	roster    []string          // of this data centre, as passed to SetRoster
	topology  topology
	rosters   map[string][]string // of other data centres
	confirmed time.Time           // latest time at which no generation newer than content existed
	needsFull bool                // the last generation could not be applied: ask for all rows

	lastError string

	asks      asks
	announced announcement
	forwarded [treeCount]forwarding
	assembly  assembly
	followers map[string]time.Time // relays that can't reach the store, until when they get new generations
	relay     relay
	reports   reports
}

// NewSpreader returns a spreader that has no configuration yet.
func NewSpreader(o Options) *Spreader {
	m := &Spreader{
		opts:      o,
		content:   newContent(),
		withdrawn: map[string]uint64{},
		topology:  newTopology(o.Self, nil),
		rosters:   map[string][]string{},
		followers: map[string]time.Time{},
	}
	m.asks.pending = map[uint64]pendingAsk{}
	m.assembly.pending = map[assemblyKey]*partialDelta{}
	m.reports.byAddress = map[string]receivedReport{}
	m.reports.summaries = map[string]DataCentreStatus{}
	return m
}

// SetRoster sets the addresses of a data centre's instances. For other data
// centres a part of the roster is enough.
func (m *Spreader) SetRoster(dataCentre string, addresses []string) {
	if dataCentre != m.opts.DataCentre {
		m.rosters[dataCentre] = addresses
		return
	}
	if slices.Equal(addresses, m.roster) {
		return
	}
	m.roster = slices.Clone(addresses)
	m.topology = newTopology(m.opts.Self, addresses)
	for tree := range m.asks.level {
		m.asks.level[tree] = 0
	}
}

// Snapshot returns the configuration in force here.
func (m *Spreader) Snapshot() *Snapshot { return m.content.snapshot }

// ConfirmedAt returns the latest time on this daemon's clock at which no
// generation newer than Snapshot is known to have existed. It returns a time
// long past when this was never confirmed. The configuration age is the time
// since ConfirmedAt.
func (m *Spreader) ConfirmedAt() time.Time {
	if m.confirmed.IsZero() {
		return time.Unix(0, 0) // the zero time is too far back for a time.Duration
	}
	return m.confirmed
}

// Receive handles a message from the daemon at address from.
func (m *Spreader) Receive(now time.Time, from string, msg *wire.Spread) {
	switch k := msg.GetKind().(type) {
	case *wire.Spread_Ask:
		m.receiveAsk(now, from, k.Ask)
	case *wire.Spread_Answer:
		m.receiveAnswer(now, from, k.Answer)
	case *wire.Spread_Delta:
		m.receiveDelta(now, from, k.Delta)
	case *wire.Spread_Announce:
		m.receiveAnnounce(now, from, k.Announce)
	case *wire.Spread_Query:
		m.receiveQuery(from)
	case *wire.Spread_Summary:
		m.receiveSummary(now, k.Summary)
	}
}

// Tick does the periodic work that is due.
func (m *Spreader) Tick(now time.Time) {
	m.assembly.expire(now)
	m.reports.expire(now)
	m.tickRelay(now)
	m.tickAnnounced(now)
	m.tickAsks(now)
}

// generation returns the generation in force here.
func (m *Spreader) generation() uint64 { return m.content.snapshot.Generation }

// confirm records that no generation newer than the given one existed at a time.
// It has no effect while the generation in force is older than the given one.
func (m *Spreader) confirm(generation uint64, at time.Time) {
	if generation <= m.generation() && at.After(m.confirmed) {
		m.confirmed = at
	}
}

// apply puts a generation in force and reports whether it did. A generation that
// is not newer, or that does not match its digest, is not applied.
func (m *Spreader) apply(now time.Time, h Head, version uint64, full bool, rows []Row) bool {
	from := m.generation()
	if h.Generation <= from {
		m.needsFull = m.needsFull && !full // all rows have been received, and they are not newer
		return false
	}
	if full {
		rows = m.content.diffTo(rows)
	}
	if err := m.content.apply(h, version, rows); err != nil {
		m.needsFull = true
		m.lastError = err.Error()
		return false
	}
	m.needsFull = false
	m.journal.add(from, h.Generation, rows)
	for digest, generation := range m.withdrawn {
		if generation <= h.Generation {
			delete(m.withdrawn, digest)
		}
	}
	m.publish()
	m.reports.sendAt = now.Add(reportWait)
	m.sendToFollowers(now, from)
	return true
}

// withdraw refuses keys before the generation that withdraws them is in force.
func (m *Spreader) withdraw(generation uint64, digests []string) {
	if generation <= m.generation() {
		return
	}
	changed := false
	for _, d := range digests {
		if _, held := m.content.rows[rowKey(KindKey, d)]; held && m.withdrawn[d] < generation {
			changed = changed || m.withdrawn[d] == 0
			m.withdrawn[d] = generation
		}
	}
	if changed {
		m.publish()
	}
}

func (m *Spreader) publish() {
	m.opts.Publish(m.content.snapshot, sortedKeys(m.withdrawn))
}

// sortedKeys returns the keys of a map in order, so that runs are reproducible.
func sortedKeys[V any](of map[string]V) []string { return slices.Sorted(maps.Keys(of)) }
