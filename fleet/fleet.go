package fleet

import (
	"hash/fnv"
	"time"

	"wisteriafold/membership"
	"wisteriafold/wire"
)

// Timing of a Fleet. RefreshInterval plus two unanswered requests (askTimeout each) plus
// one read of the store must stay well below the time within which a withdrawn
// key must stop working.
const (
	RefreshInterval = 700 * time.Millisecond  // interval at which the configuration is refreshed
	askTimeout      = 350 * time.Millisecond  // time to wait for a peer's answer; ten times the longest round trip
	suspectDuration = 3 * time.Second         // time for which a peer that did not answer is not asked again
	staleDuration   = time.Second             // time for which a peer that answered with a stale configuration is not asked again
	readAfter       = 1500 * time.Millisecond // configuration age at which a daemon reads the store itself
	readSpread      = 400 * time.Millisecond  // range over which the daemons spread that age, so that one reads and the others ask it
	readPause       = 500 * time.Millisecond  // minimum time between two reads of the store by one daemon
	repairEvery     = 3 * time.Second         // time between two comparisons of the directory with a daemon of another region
	RemoveAfter     = 6 * time.Second         // time without messages after which a daemon is removed; by then it refuses requests with a key, so its share of the rate limits is free
	mergePause      = time.Second             // minimum time between two requests for a complete directory

	// leavingRowRetention is how long the row of a removed daemon is kept whose backend
	// server was leaving. A daemon that starts again at the address learns from it that
	// heartbeats of before are out of date, which arrive up to some seconds late.
	leavingRowRetention = time.Minute

	// never stands for an event that has not happened. It is earlier than any
	// time of the clock.
	never = time.Duration(-1 << 62)
)

// Delegate is the interface through which a Fleet reaches peers, the store and the
// rest of its daemon. Its methods must not block.
type Delegate interface {
	// Send sends a message to the daemon at the address peer.
	Send(peer string, m *wire.Fleet)

	// ReadStore starts a read of the configuration from the store. When the
	// read ends, Fleet.HandleStoreRead must be called exactly once.
	ReadStore()

	// Adopt decodes a document and applies it if it is newer than the current
	// configuration. It returns the current generation afterwards.
	Adopt(document []byte) (generation uint64)

	// Document returns the current document, or nil if there is none.
	Document() []byte

	// DirectoryChanged is called after each change of the directory.
	DirectoryChanged()

	// DeleteRow deletes the row of a removed daemon from the store. entry is the
	// entry that marks its incarnation as removed. A row of a later incarnation is kept.
	DeleteRow(entry *membership.Entry)

	// StoreEpochChanged is called when the store has come back from an earlier copy:
	// what was written since the copy is gone.
	StoreEpochChanged(from, to uint64)

	// Restore is called with an entry for this daemon's address that an earlier
	// process at the address published.
	Restore(entry *membership.Entry)

	// Superseded is called when an entry for this daemon's address supersedes
	// the daemon's own entry. incarnation is that of the entry received, which
	// is not older than the daemon's own.
	Superseded(incarnation int64)
}

// Fleet is the control state of one daemon; see the package comment. It is not
// safe for concurrent use. Times are readings of a clock that keeps running while
// the process is suspended.
type Fleet struct {
	self    *membership.Entry
	out     Delegate
	dir     *membership.Directory
	spread  time.Duration
	suspect map[string]time.Duration // peers that did not answer are not asked until this time
	stale   map[string]time.Duration // peers with a stale configuration, and this daemon after a failed store read, are not used until this time

	generation uint64
	packed     []byte // packed document of generation packedFor
	packedFor  uint64
	rowVersion uint64        // highest version of the configuration's row read so far
	confirmed  time.Duration // no configuration newer than generation was accepted before this time

	askedPeer string // peer with an outstanding request; empty if none
	askID     uint64
	askedAt   time.Duration
	lastAsk   time.Duration

	tracksEvacuated  bool     // see TrackEvacuations
	evacuated        []string // evacuated data centres, in order
	evacuatedVersion uint64   // version of the store as of which evacuated was read, 0 while it is not known

	now   time.Duration // time of the latest event
	store epochState

	storeEmptyAt time.Duration // last time at which the store was known to have no configuration
	reading      bool
	readAt       time.Duration
	lastHeard    map[string]time.Duration // arrival of the last message from each peer
	keptRows     map[string]keptRow       // rows of removed daemons that are deleted later
	removals     bool                     // an entry that marks a daemon as removed has been merged since keptRows was updated
	sourceSince  time.Duration            // time since which this daemon has read the store for its region; never if it does not
	repairedAt   time.Duration
	mergedAt     time.Duration
}

// New returns a Fleet whose directory holds only the daemon's own entry.
func New(self *membership.Entry, out Delegate) *Fleet {
	h := fnv.New32a()
	_, _ = h.Write([]byte(self.Peer)) // never fails
	f := &Fleet{
		self:        self,
		out:         out,
		dir:         membership.NewDirectory(),
		spread:      readSpread * time.Duration(h.Sum32()%1000) / 1000,
		suspect:     make(map[string]time.Duration),
		stale:       make(map[string]time.Duration),
		lastHeard:   make(map[string]time.Duration),
		keptRows:    make(map[string]keptRow),
		sourceSince: never,
		confirmed:   never,
		readAt:      never,
		store:       epochState{settledAt: never},
		lastAsk:     never,
	}
	f.dir.Merge(self)
	return f
}

// Directory returns the directory of known daemons.
func (f *Fleet) Directory() *membership.Directory { return f.dir }

// ConfirmedAt returns a time before which no configuration newer than the current
// one was accepted. ok is false while no such time is known.
func (f *Fleet) ConfirmedAt() (at time.Duration, ok bool) { return f.confirmed, f.confirmed != never }

// Generation returns the current generation, or 0 if there is none.
func (f *Fleet) Generation() uint64 { return f.generation }

// Tick refreshes the configuration and the directory when they are due. It must
// be called several times per RefreshInterval.
func (f *Fleet) Tick(now time.Duration) {
	f.now = max(f.now, now)
	f.endRewrite(now)
	if f.askedPeer != "" && now-f.askedAt >= askTimeout {
		f.suspect[f.askedPeer] = now + suspectDuration
		f.askedPeer = ""
	}
	age := now - max(f.confirmed, f.storeEmptyAt)
	if age >= readAfter+f.spread {
		f.read(now)
	}
	f.repairWithoutStore(now, age)
	source := f.source(now)
	f.deleteKeptRows(now, source == f.self.Peer)
	if source == f.self.Peer {
		if now-f.readAt >= RefreshInterval {
			f.read(now)
		}
		f.repair(now, age)
		f.removeGone(now, age)
		return
	}
	if f.askedPeer == "" && now-f.lastAsk >= f.askPause(age) {
		f.ask(now, source)
	}
}

// askPause returns the time between two requests to peers. It is shorter while the
// configuration is old.
func (f *Fleet) askPause(age time.Duration) time.Duration {
	if age > readAfter {
		return RefreshInterval / 3
	}
	return RefreshInterval
}

// source returns the daemon to ask for the configuration: in this region, the one
// with the lowest address that is neither leaving, suspected nor stale. It may be
// this daemon, which is also the result if there is no such daemon.
func (f *Fleet) source(now time.Duration) string {
	for _, e := range f.dir.Members() {
		if e.Region == f.self.Region && !e.Leaving && now >= f.suspect[e.Peer] && now >= f.stale[e.Peer] {
			return e.Peer
		}
	}
	return f.self.Peer
}

// ask sends a freshness request to a peer.
func (f *Fleet) ask(now time.Duration, peer string) {
	f.askID++
	f.askedPeer, f.askedAt, f.lastAsk = peer, now, now
	f.out.Send(peer, &wire.Fleet{Kind: &wire.Fleet_FreshnessRequest{FreshnessRequest: &wire.FreshnessRequest{
		Id: f.askID, Generation: f.generation, MembersDigest: f.dir.Digest(),
	}}})
}

// repair asks a daemon of another region at intervals. Its directory may hold
// announcements that did not reach this region because of a network partition, and
// its configuration may be fresh while none in this region is.
func (f *Fleet) repair(now, age time.Duration) {
	pause := repairEvery
	if age > readAfter {
		pause = RefreshInterval / 3
	}
	if now-f.repairedAt < pause || f.askedPeer != "" {
		return
	}
	f.repairedAt = now
	var others []string
	for _, e := range f.dir.Members() {
		if e.Region != f.self.Region && now >= f.suspect[e.Peer] && now >= f.stale[e.Peer] {
			others = append(others, e.Peer)
		}
	}
	if len(others) > 0 {
		f.ask(now, others[int(f.askID%uint64(len(others)))])
	}
}

// read starts a read of the store unless one is running or the last one started
// less than readPause ago.
func (f *Fleet) read(now time.Duration) {
	if f.reading || now-f.readAt < readPause {
		return
	}
	f.reading, f.readAt = true, now
	f.out.ReadStore()
}

// HandleStoreRead processes the result of a read that started at sent. ok is false if
// the store gave no answer. A row or a set with an older version than that of an
// earlier answer is ignored.
func (f *Fleet) HandleStoreRead(sent time.Duration, r Reading, ok bool) {
	f.reading = false
	f.now = max(f.now, sent)
	if epoch, known := r.epoch(); ok && known {
		f.noteEpoch(epoch)
	}
	if ok {
		delete(f.stale, f.self.Peer)
	} else {
		f.stale[f.self.Peer] = sent + suspectDuration
	}
	if ok && f.takeEvacuated(r.Evacuated, r.StoreVersion) {
		f.pushEvacuated()
		f.pushEvacuatedFar()
	}
	if ok && r.Version == 0 && f.generation == 0 {
		f.storeEmptyAt = sent
	}
	if !ok || r.Version == 0 || r.Version < f.rowVersion {
		return
	}
	if r.Version > f.rowVersion {
		f.rowVersion = r.Version
		if f.adopt(r.Document) {
			f.push()
		}
	}
	if f.generation > 0 && sent >= f.store.settledAt {
		f.confirmed = max(f.confirmed, sent)
	}
}

// adopt passes a document to Delegate.Adopt and reports whether the current
// generation changed.
func (f *Fleet) adopt(document []byte) bool {
	before := f.generation
	f.generation = f.out.Adopt(document)
	return f.generation != before
}

// push sends the configuration to the other daemons of this region.
func (f *Fleet) push() { f.sendToRegion(f.freshness(0, never, 0)) }

// sendToRegion sends a message to the other daemons of this region.
func (f *Fleet) sendToRegion(m *wire.Fleet) {
	for _, e := range f.dir.Members() {
		if e.Peer != f.self.Peer && e.Region == f.self.Region {
			f.out.Send(e.Peer, m)
		}
	}
}

// freshness returns a message with this daemon's generation, configuration age and
// directory digest. The document is included if the receiver's generation is older
// and the packed document is not too large. now is never for a push, which states
// no age.
func (f *Fleet) freshness(id uint64, now time.Duration, receiverHas uint64) *wire.Fleet {
	m := &wire.Freshness{Id: id, Generation: f.generation, AgeUs: -1, MembersDigest: f.dir.Digest(), StoreEpochs: f.store.count()}
	if f.confirmed != never && now != never {
		m.AgeUs = (now - f.confirmed).Microseconds()
	}
	f.addEvacuated(m)
	if f.generation > receiverHas {
		if f.packedFor != f.generation {
			f.packed, f.packedFor = pack(f.out.Document()), f.generation
		}
		m.Configuration = f.packed
	}
	return &wire.Fleet{Kind: &wire.Fleet_Freshness{Freshness: m}}
}

// Receive processes one message from another daemon. Messages of kinds other than
// freshness requests, freshness and sidecars only show that the daemon is alive.
func (f *Fleet) Receive(now time.Duration, from string, m *wire.Fleet) {
	f.now = max(f.now, now)
	delete(f.suspect, from)
	f.lastHeard[from] = now
	switch k := m.Kind.(type) {
	case *wire.Fleet_FreshnessRequest:
		f.out.Send(from, f.freshness(k.FreshnessRequest.Id, now, k.FreshnessRequest.Generation))
	case *wire.Fleet_Freshness:
		f.handleFreshness(now, from, k.Freshness)
	case *wire.Fleet_Sidecars:
		f.handleSidecars(from, k.Sidecars)
	}
}

// handleFreshness processes a push or an answer to this daemon's request. Only an
// answer to the outstanding request updates the age of the configuration.
func (f *Fleet) handleFreshness(now time.Duration, from string, m *wire.Freshness) {
	if m.StoreEpochs > 0 {
		f.noteEpoch(m.StoreEpochs - 1)
	}
	if m.Generation > f.generation {
		f.adoptPacked(now, m.Configuration)
	}
	if f.takeEvacuated(m.Evacuated, m.OperatorVersion) && !f.isInRegion(from) {
		f.pushEvacuated() // the reader of this region may be cut off from the store
	}
	if f.askedPeer != from || m.Id != f.askID {
		return
	}
	f.askedPeer = ""
	setMissing := f.tracksEvacuated && m.OperatorVersion == 0
	if setMissing {
		f.stale[from] = now + suspectDuration // it may have been started with other settings
	} else if m.Generation == 0 && f.generation == 0 {
		f.storeEmptyAt = max(f.storeEmptyAt, f.askedAt) // the source would have pushed a configuration if there were one
	} else if age := time.Duration(m.AgeUs) * time.Microsecond; m.AgeUs < 0 || age > readAfter || m.Generation < f.generation {
		f.stale[from] = now + staleDuration
	} else {
		delete(f.stale, from)
		if f.isInRegion(from) {
			f.sourceSince = never // another daemon reads the store for this region
		}
	}
	if !setMissing && m.AgeUs >= 0 && m.Generation == f.generation && f.generation > 0 {
		f.confirmed = max(f.confirmed, f.askedAt-time.Duration(m.AgeUs)*time.Microsecond)
	}
	if m.MembersDigest != f.dir.Digest() && now-f.mergedAt >= mergePause {
		f.mergedAt = now
		f.out.Send(from, f.sidecars(f.dir.All(), true))
	}
}

// adoptPacked adopts a packed configuration from a peer. If it is missing or cannot
// be unpacked, adoptPacked reads the store instead.
func (f *Fleet) adoptPacked(now time.Duration, packed []byte) {
	document, err := unpack(packed)
	if err != nil {
		f.read(now)
		return
	}
	f.adopt(document)
}
