package config

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriafold/wire"
)

// Periods and bounds of the spread.
const (
	askEvery      = time.Second            // between asks to the parents, in turn
	askHungry     = 200 * time.Millisecond // between asks while there is no configuration at all
	askTimeout    = 2 * time.Second        // after which an ask counts as not answered
	askLower      = 10                     // regular asks between two tries of a silent parent
	announceGrace = 200 * time.Millisecond // from an announcement until its sender is asked
	announceTries = 10                     // asks for one announcement
	readEvery     = 500 * time.Millisecond // between reads of the store by one relay
	readTimeout   = 5 * time.Second        // after which a read counts as lost
	takeoverAge   = 4 * time.Second        // age of knowledge at which a candidate begins to read
	takeoverStep  = time.Second            // added for each place further down
	cutOffAfter   = 1500 * time.Millisecond
	cutOffEvery   = time.Second // between asks to other data centres by a relay without the store
	cutOffAsks    = 8           // data centres asked at a time
	followFor     = 5 * time.Second
	maxFollowers  = 64
	reportWait    = 50 * time.Millisecond // gathers reports of several children
	reportExpiry  = 7 * time.Second
	maxReporters  = 256
	maxLaggards   = 8 // named in one report
)

// Outbox sends messages to the control goroutines of other daemons. A message
// may be lost, delayed, doubled or overtaken. Send must not block.
type Outbox interface {
	Send(to string, m *wire.Spread)
}

// Options of a Spreader. All fields but Seeds are needed.
type Options struct {
	Self       string   // this daemon's peer address
	DataCentre string   // this daemon's data centre
	Seeds      []string // peer addresses to ask while the roster is not known

	Outbox Outbox

	// Fetch begins a read of the store that starts at a version; its result
	// comes back through Fetched. At most one is under way.
	Fetch func(since uint64)

	// Publish tells what is in force from now on. withdrawn are digests of
	// keys that must be refused although the snapshot has them.
	Publish func(s *Snapshot, withdrawn []string)

	Random *rand.Rand
}

// Spreader brings the configuration to this daemon and passes it on. It
// belongs to the control goroutine, which calls Receive, Fetched and SetRoster
// as these occur and Tick at least every 100 ms. It keeps no clock: times are
// passed in and only their differences count.
type Spreader struct {
	o         Options
	content   *content
	journal   journal
	withdrawn map[string]uint64 // key digest to the generation that withdraws it
	roster    []string          // of this data centre, as it was given
	topology  topology
	rosters   map[string][]string // of other data centres
	confirmed time.Time           // when nothing newer than content was known to exist
	full      bool                // what arrived did not fit: ask for everything

	lastError string

	asks      asks
	announced announcement
	forwarded [treeCount]forwarding
	assembly  assembly
	followers map[string]time.Time // relays without the store, until when
	relay     relay
	reports   reports
}

// NewSpreader returns a spreader that has no configuration yet.
func NewSpreader(o Options) *Spreader {
	m := &Spreader{
		o:         o,
		content:   newContent(),
		withdrawn: map[string]uint64{},
		topology:  newTopology(o.Self, nil),
		rosters:   map[string][]string{},
		followers: map[string]time.Time{},
	}
	m.asks.open = map[uint64]openAsk{}
	m.assembly.open = map[assemblyKey]*partial{}
	m.reports.of = map[string]reported{}
	m.reports.summaries = map[string]DataCentreStatus{}
	return m
}

// SetRoster gives the addresses of a data centre's instances. For other data
// centres a part of the roster is enough.
func (m *Spreader) SetRoster(dataCentre string, addresses []string) {
	if dataCentre != m.o.DataCentre {
		m.rosters[dataCentre] = addresses
		return
	}
	if slices.Equal(addresses, m.roster) {
		return
	}
	m.roster = slices.Clone(addresses)
	m.topology = newTopology(m.o.Self, addresses)
	for tree := range m.asks.level {
		m.asks.level[tree] = 0
	}
}

// Snapshot returns what is in force here.
func (m *Spreader) Snapshot() *Snapshot { return m.content.snapshot }

// ConfirmedAt returns the time of this daemon's clock at which it is certain
// that nothing newer than Snapshot existed. When that was never so it is a time
// long past. The age of knowledge is the time since then.
func (m *Spreader) ConfirmedAt() time.Time {
	if m.confirmed.IsZero() {
		return time.Unix(0, 0) // the zero time is too far back for a time.Duration
	}
	return m.confirmed
}

// Receive takes a message from the daemon at address from.
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

// Tick does what is due.
func (m *Spreader) Tick(now time.Time) {
	m.assembly.expire(now)
	m.reports.expire(now)
	m.tickRelay(now)
	m.tickAnnounced(now)
	m.tickAsks(now)
}

// generation returns the generation in force here.
func (m *Spreader) generation() uint64 { return m.content.snapshot.Generation }

// confirm notes that nothing newer than a generation existed at a time.
func (m *Spreader) confirm(generation uint64, at time.Time) {
	if generation <= m.generation() && at.After(m.confirmed) {
		m.confirmed = at
	}
}

// take puts a generation in force. It reports whether that is done; a
// generation that is not newer leaves everything as it is.
func (m *Spreader) take(now time.Time, h Head, version uint64, full bool, rows []Row) bool {
	from := m.generation()
	if h.Generation <= from {
		m.full = m.full && !full // all that there is has been seen, and is no more
		return false
	}
	if full {
		rows = m.content.against(rows)
	}
	if err := m.content.take(h, version, rows); err != nil {
		m.full = true
		m.lastError = err.Error()
		return false
	}
	m.full = false
	m.journal.add(from, h.Generation, rows)
	for digest, generation := range m.withdrawn {
		if generation <= h.Generation {
			delete(m.withdrawn, digest)
		}
	}
	m.publish()
	m.reports.due = now.Add(reportWait)
	m.tellFollowers(now, from)
	return true
}

// withdraw refuses keys ahead of the generation that withdraws them.
func (m *Spreader) withdraw(generation uint64, digests []string) {
	if generation <= m.generation() {
		return
	}
	news := false
	for _, d := range digests {
		if _, held := m.content.rows[rowKey(KindKey, d)]; held && m.withdrawn[d] < generation {
			news = news || m.withdrawn[d] == 0
			m.withdrawn[d] = generation
		}
	}
	if news {
		m.publish()
	}
}

func (m *Spreader) publish() {
	m.o.Publish(m.content.snapshot, sortedKeys(m.withdrawn))
}

// sortedKeys makes walks over a map repeat from run to run.
func sortedKeys[V any](of map[string]V) []string { return slices.Sorted(maps.Keys(of)) }
