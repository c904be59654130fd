package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriafold/backend"
	"wisteriafold/fleet"
	"wisteriafold/membership"
	"wisteriafold/routing"
	"wisteriafold/wire"
)

const (
	// mailboxSize is the maximum number of events queued for the control goroutine.
	mailboxSize = 4096

	// tickInterval is the interval of the control goroutine's periodic work.
	tickInterval = 100 * time.Millisecond

	// maxClockStep is how far the clock of an instance may be set back without
	// making the stored start time of its backend server implausible.
	maxClockStep = time.Minute

	// maxNotices is the maximum number of unknown configuration values that are
	// logged. Further ones are only counted.
	maxNotices = 100
)

// control holds the state that the control goroutine owns. Other goroutines post
// events to it.
type control struct {
	d       *Daemon
	mailbox chan func()
	fleet   *fleet.Fleet
	local   *membership.Local
	row     rowWriter
	probing bool
	cold    coldControl

	document          []byte // the configuration in force, as written
	generation        uint64
	incarnation       int64 // incarnation of this daemon
	sequence          uint64
	loggedReady       bool                    // readiness as last logged
	directoryComplete bool                    // the directory was complete when it was last published
	ratesStale        bool                    // the members have changed since the shares of rates were computed
	storeReachable    bool                    // the last call to the store succeeded
	rejection         string                  // error of the document rejected last, empty once one was adopted
	noticed           map[routing.Notice]bool // notices that have been logged

	rng *rand.Rand
}

func newControl(d *Daemon) *control {
	c := &control{d: d, mailbox: make(chan func(), mailboxSize), local: membership.NewLocal(d.settings.Service), storeReachable: true, noticed: make(map[routing.Notice]bool), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	c.incarnation = time.Now().UnixMilli()
	// The store has no row of this daemon when the deployment starts for the first time.
	c.row = rowWriter{c: c, versionKnown: d.settings.FirstStart, unsettled: noneUnsettled}
	self := c.entry()
	d.selfEntry.Store(self)
	c.fleet = fleet.New(self, c)
	if d.tracksEvacuations() {
		c.fleet.TrackEvacuations()
	}
	return c
}

// post queues an event for the control goroutine. It does not block: when the
// mailbox is full, the event is dropped and counted. All events are repeated or
// made up for by later ones.
func (c *control) post(f func()) {
	select {
	case c.mailbox <- f:
	default:
		c.d.metrics.mailboxDropped.Inc()
	}
}

// postAndWait queues an event for the control goroutine and waits until it has been
// handled. It returns false when ctx ends first.
func (c *control) postAndWait(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case c.mailbox <- func() { defer close(done); f() }:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *control) run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	c.d.protect("control tick", c.tick)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.mailbox:
			c.d.protect("control event", f)
			c.publish()
		case <-t.C:
			c.d.protect("control tick", c.tick)
		}
	}
}

func (c *control) tick() {
	now := sinceBoot()
	c.row.tick(now)
	c.fleet.Tick(now)
	c.probe()
	c.d.gate.Tick()
	if !c.directoryComplete && c.d.directoryComplete() {
		c.DirectoryChanged()
	}
	c.updateRateShares()
	c.d.tokens.tick()
	c.publish()
}

// publish stores the confirmation time of the configuration for request goroutines
// and logs changes of readiness.
func (c *control) publish() {
	c.publishColdness()
	if at, ok := c.fleet.ConfirmedAt(); ok {
		c.d.confirmed.Store(int64(at))
	}
	c.publishEvacuations()
	if ready := c.d.isReady(); ready != c.loggedReady {
		c.loggedReady = ready
		c.d.log.Info("readiness", "ready", ready, "generation", c.generation, "age_ms", ageMillis(c.d.configurationAge()), "members", len(*c.d.members.Load()))
	}
}

// entry returns this daemon's membership entry for its current state.
func (c *control) entry() *membership.Entry {
	return &membership.Entry{
		Peer:        c.d.location.Peer,
		DataCentre:  c.d.location.DataCentre,
		Region:      c.d.location.Region,
		Service:     c.d.settings.Service,
		Backend:     c.local.ID(),
		Born:        c.local.StartMs(),
		Incarnation: c.incarnation,
		Sequence:    c.sequence,
		Slots:       uint32(c.local.Slots()),
		State:       uint32(c.local.State()),
		ColdUntil:   c.cold.announced,
		Leaving:     c.d.stopping.Load(),
		Removed:     c.d.stopping.Load() && c.local.State() == membership.Gone,
	}
}

// announce publishes a change of this daemon's own entry to request goroutines,
// other daemons and the store.
func (c *control) announce() {
	c.sequence++
	e := c.entry()
	c.d.selfEntry.Store(e)
	c.fleet.Announce(e)
	c.row.requestWrite(withoutColdness(e))
}

// Send implements fleet.Delegate.
func (c *control) Send(peer string, m *wire.Fleet) { c.d.sendFleet(peer, m) }

// ReadStore implements fleet.Delegate.
func (c *control) ReadStore() {
	sent := sinceBoot()
	go func() {
		var reading fleet.Reading
		err := errPanicked
		c.d.protect("read of the configuration", func() { reading, err = c.d.readOperatorRows(c.d.background) })
		c.post(func() {
			c.storeAnswered("read", err)
			c.fleet.HandleStoreRead(sent, reading, err == nil)
		})
	}()
}

// StoreEpochChanged implements fleet.Delegate. It checks the row of this daemon, which
// may be gone or older.
func (c *control) StoreEpochChanged(from, to uint64) {
	wait := c.row.epochChanged(sinceBoot(), to)
	c.d.metrics.storeEpochs.Inc()
	c.d.log.Warn("the store came back from an earlier copy", "epoch", to, "before", from, "row_checked_in_ms", wait.Milliseconds(), "generation", c.generation)
}

// storeAnswered counts a call to the store and logs when the store becomes
// unreachable or reachable again.
func (c *control) storeAnswered(call string, err error) {
	c.d.metrics.storeCall(call, err)
	if c.d.background.Err() != nil || c.storeReachable == (err == nil) {
		return
	}
	c.storeReachable = err == nil
	if err != nil {
		c.d.log.Warn("store lost", "call", call, "error", err)
		return
	}
	c.d.log.Info("store regained", "call", call)
}

// Adopt implements fleet.Delegate.
func (c *control) Adopt(document []byte) uint64 {
	conf, err := c.d.dialect.DecodeConfiguration(document)
	if err != nil {
		c.configurationRejected(err)
		return c.generation
	}
	if conf.Generation <= c.generation {
		if conf.Generation < c.generation {
			c.d.log.Warn("older configuration ignored", "generation", c.generation, "offered", conf.Generation)
		}
		return c.generation
	}
	c.d.log.Info("configuration in force", "generation", conf.Generation, "before", c.generation, "routes", len(conf.Routes), "organisations", len(conf.Organisations))
	c.generation, c.document, c.rejection = conf.Generation, document, ""
	conf.LockOutUndeclared(c.d.settings.declaredRegions())
	c.logNotices(conf.Notices)
	c.d.tokens.apply(conf.Organisations)
	c.d.table.Store(routing.NewTable(conf, c.rng))
	c.resizeGate()
	c.configureCold()
	return c.generation
}

// configurationRejected logs and counts a document that could not be used. The same
// document may be offered by the store and by several daemons; it is logged once.
func (c *control) configurationRejected(err error) {
	c.d.metrics.configurationsRejected.Inc()
	if err.Error() == c.rejection {
		return
	}
	c.rejection = err.Error()
	outcome := "keeping the one in force"
	if c.generation == 0 {
		outcome = "none is in force: this daemon is not ready and refuses all requests"
	}
	c.d.log.Error("configuration rejected, "+outcome, "generation", c.generation, "error", err)
}

// logNotices logs and counts values of a configuration that this version does not
// know. A value is logged once, not again for each generation that contains it.
func (c *control) logNotices(notices []routing.Notice) {
	for _, n := range notices {
		c.d.metrics.unknownValues.Inc()
		if c.noticed[n] || len(c.noticed) >= maxNotices {
			continue
		}
		c.noticed[n] = true
		c.d.log.Warn("unknown value in the configuration", "field", n.Field, "value", n.Value, "remedy", n.Remedy)
	}
}

// Document implements fleet.Delegate.
func (c *control) Document() []byte { return c.document }

// Superseded implements fleet.Delegate. It raises the incarnation above the given
// one, which an earlier process at this address used because its clock was ahead, or
// which others have removed. The latter have earned the tokens of this daemon again.
func (c *control) Superseded(incarnation int64) {
	c.incarnation = max(c.incarnation, incarnation+1)
	c.d.tokens.dropSaved()
	c.announce()
}

// DirectoryChanged implements fleet.Delegate. It publishes the directory to request
// goroutines. The shares of rates are updated at the next tick: when many daemons
// start or stop at once, there are hundreds of changes, and each would recompute
// the shares of all organisations.
func (c *control) DirectoryChanged() {
	members := c.fleet.Directory().Members()
	c.d.members.Store(&members)
	c.directoryComplete = c.d.directoryComplete()
	c.ratesStale = true
	c.d.refreshAllEndpoints()
}

// updateRateShares computes which share of each organisation's rate this daemon
// earns, if the directory has changed.
func (c *control) updateRateShares() {
	if !c.ratesStale {
		return
	}
	c.ratesStale = false
	c.d.tokens.setMembers(c.d.self(), *c.d.members.Load(), c.directoryComplete)
}

// handleHeartbeat handles a heartbeat of the local backend server. It reports whether
// the heartbeat may be acknowledged. If stored is not nil, that is only the case once
// it is closed: the acknowledgement of a leaving must hold even if all daemons end right
// after it and an earlier heartbeat arrives late.
func (c *control) handleHeartbeat(h membership.Heartbeat) (taken bool, stored <-chan struct{}) {
	taken = c.applyHeartbeat(h)
	if !taken || h.State < membership.Draining || h.ID != c.local.ID() {
		return taken, nil
	}
	stored = c.row.leavingStored()
	c.row.tick(sinceBoot())
	return taken, stored
}

// applyHeartbeat updates the state of the local backend server from a heartbeat. It
// reports whether the state reflects it.
func (c *control) applyHeartbeat(h membership.Heartbeat) bool {
	before, accepted := c.local.State(), c.local.Accepted()
	changed, restarted := c.local.HandleHeartbeat(h)
	coldnessChanged := c.local.Accepted() != accepted && c.hearHeartbeat(h, restarted)
	if !changed {
		if coldnessChanged && c.local.State() == membership.Ready {
			c.announce()
		}
		return c.local.Reflects(h)
	}
	c.d.log.Info("backend server", "id", c.local.ID(), "born", c.local.StartMs(), "state", c.local.State().String(), "before", before.String(), "sequence", h.Sequence, "restarted", restarted)
	if restarted {
		c.d.gate.Restart()
	}
	c.backendChanged()
	return c.local.Reflects(h)
}

// Restore implements fleet.Delegate. It takes over what a previous daemon at this
// address published.
func (c *control) Restore(e *membership.Entry) {
	if time.UnixMilli(e.Born).After(time.Now().Add(maxClockStep)) {
		c.d.log.Warn("entry of the previous daemon ignored: its backend server has not started yet", "born", e.Born)
		return // it would make the backend server's own heartbeats look late
	}
	before := c.local.State()
	if !c.local.Restore(e) {
		return
	}
	c.d.log.Info("backend server", "id", c.local.ID(), "born", c.local.StartMs(), "state", c.local.State().String(), "before", before.String(), "by", "entry of the previous daemon")
	c.backendChanged()
}

// backendChanged applies the slots of the local backend server to the gate and
// publishes its state.
func (c *control) backendChanged() {
	c.resizeGate()
	c.d.backendSnapshot.Store(&backendState{id: c.local.ID(), state: c.local.State()})
	c.announce()
}

// resizeGate applies the slots of the local backend server and the connections that the
// configuration gives.
func (c *control) resizeGate() {
	if n := c.local.Slots(); n > 0 {
		c.d.gate.Resize(backend.Config{Slots: n, MaxConnections: c.connections(), InitialLimit: n})
	}
}

// connections returns the maximum number of connections to the local backend
// server. It is at most that of the client, so that calls wait in the queue of the gate.
func (c *control) connections() int {
	most := c.d.settings.backendConnections()
	t := c.d.table.Load()
	if t == nil {
		return most
	}
	if s := t.Service(c.d.settings.Service); s != nil && s.MaxConnections > 0 {
		return min(s.MaxConnections, most)
	}
	return most
}

// clone returns a deep copy of an entry.
func clone(e *membership.Entry) *membership.Entry { return proto.Clone(e).(*membership.Entry) }
