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
	// mailboxSize is the number of events that wait for the control goroutine.
	mailboxSize = 4096

	// tickEvery is the time between two looks at what control has to do.
	tickEvery = 100 * time.Millisecond
)

// control is the state that one goroutine owns. Everything else posts events.
type control struct {
	d       *Daemon
	mailbox chan func()
	fleet   *fleet.Fleet
	local   *membership.Local
	row     rowWriter
	probing bool

	document   []byte // the configuration in force, as written
	generation uint64
	incarnated int64 // incarnation of this daemon
	sequence   uint64
	ready      bool // as last logged
	whole      bool // the directory was whole when traffic was last told of it
	unsettled  bool // the parts of rates have not been derived from the last change of members
	reachable  bool // the store answered last time

	rng *rand.Rand
}

func newControl(d *Daemon) *control {
	c := &control{d: d, mailbox: make(chan func(), mailboxSize), local: membership.NewLocal(d.set.Service), reachable: true, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	c.incarnated = time.Now().UnixMilli()
	// No row can be there when the whole deployment starts for the first time.
	c.row = rowWriter{c: c, known: d.set.FirstStart}
	self := c.entry()
	d.entrySelf.Store(self)
	c.fleet = fleet.New(self, c)
	return c
}

// post hands an event to the control goroutine. It does not block: when the
// mailbox is full the event is dropped and counted; all events are repeated or
// repaired by later ones.
func (c *control) post(f func()) {
	select {
	case c.mailbox <- f:
	default:
		c.d.metrics.mailboxDropped.Inc()
	}
}

// await hands an event to the control goroutine and waits until it has been
// taken in. It reports false when the daemon stops.
func (c *control) await(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case c.mailbox <- func() { f(); close(done) }:
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
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	c.tick()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.mailbox:
			f()
			c.publish()
		case <-t.C:
			c.tick()
		}
	}
}

func (c *control) tick() {
	now := sinceBoot()
	c.row.tick(now)
	c.fleet.Tick(now)
	c.probe()
	c.d.gate.Tick()
	if !c.whole && c.d.directoryWhole() {
		c.Changed()
	}
	c.settleRates()
	c.d.tokens.tick()
	c.publish()
}

// publish copies what traffic reads about the age of the configuration.
func (c *control) publish() {
	if at, ok := c.fleet.Confirmed(); ok {
		c.d.confirmed.Store(int64(at))
	}
	if ready := c.d.isReady(); ready != c.ready {
		c.ready = ready
		c.d.log.Info("readiness", "ready", ready, "generation", c.generation, "age_ms", ageMillis(c.d.age()), "members", len(*c.d.members.Load()))
	}
}

// entry returns this daemon's entry as it is now.
func (c *control) entry() *membership.Entry {
	return &membership.Entry{
		Peer:        c.d.place.Peer,
		DataCentre:  c.d.place.DataCentre,
		Region:      c.d.place.Region,
		Service:     c.d.set.Service,
		Backend:     c.local.ID(),
		Born:        c.local.Born(),
		Incarnation: c.incarnated,
		Sequence:    c.sequence,
		Slots:       uint32(c.local.Slots()),
		State:       uint32(c.local.State()),
		Leaving:     c.d.stopping.Load(),
		Removed:     c.d.stopping.Load() && c.local.State() == membership.Gone,
	}
}

// announce publishes a change of this daemon's own entry.
func (c *control) announce() {
	c.sequence++
	e := c.entry()
	c.d.entrySelf.Store(e)
	c.fleet.Announce(e)
	c.row.want(e)
}

// Send implements fleet.Outside.
func (c *control) Send(peer string, m *wire.Fleet) { c.d.sendFleet(peer, m) }

// ReadStore implements fleet.Outside.
func (c *control) ReadStore() {
	sent := sinceBoot()
	go func() {
		document, version, err := c.d.store.Configuration(c.d.background)
		c.post(func() {
			c.storeAnswered("read", err)
			c.fleet.StoreRead(sent, document, version, err == nil)
		})
	}()
}

// storeAnswered logs the loss and the return of the store.
func (c *control) storeAnswered(call string, err error) {
	c.d.metrics.storeCall(call, err)
	if c.d.background.Err() != nil || c.reachable == (err == nil) {
		return
	}
	c.reachable = err == nil
	if err != nil {
		c.d.log.Warn("store lost", "call", call, "error", err)
		return
	}
	c.d.log.Info("store regained", "call", call)
}

// Adopt implements fleet.Outside.
func (c *control) Adopt(document []byte) uint64 {
	conf, err := c.d.dialect.DecodeConfiguration(document)
	if err != nil {
		c.d.log.Error("configuration rejected, the one in force stays", "generation", c.generation, "error", err)
		return c.generation
	}
	if conf.Generation <= c.generation {
		if conf.Generation < c.generation {
			c.d.log.Warn("older configuration ignored", "generation", c.generation, "offered", conf.Generation)
		}
		return c.generation
	}
	c.d.log.Info("configuration in force", "generation", conf.Generation, "before", c.generation, "routes", len(conf.Routes), "organisations", len(conf.Organisations))
	c.generation, c.document = conf.Generation, document
	c.d.tokens.apply(conf.Organisations)
	c.d.table.Store(routing.NewTable(conf, c.rng))
	return c.generation
}

// Document implements fleet.Outside.
func (c *control) Document() []byte { return c.document }

// Overtaken implements fleet.Outside: the clock of an earlier process at this
// address was ahead.
func (c *control) Overtaken(incarnation int64) {
	c.incarnated = max(c.incarnated, incarnation+1)
	c.announce()
}

// Changed implements fleet.Outside: it publishes the directory to traffic. Parts
// of rates follow with the next tick: when many daemons start or stop at once,
// changes come in hundreds, and each would move all parts of all organisations.
func (c *control) Changed() {
	members := c.fleet.Directory().Members()
	c.d.members.Store(&members)
	c.whole = c.d.directoryWhole()
	c.unsettled = true
	c.d.services.Range(func(k, v any) bool {
		v.(*endpoints).picker.SetEndpoints(c.d.endpointEntries(k.(string)))
		return true
	})
}

// settleRates derives the parts of rates that daemons earn from the directory.
func (c *control) settleRates() {
	if !c.unsettled {
		return
	}
	c.unsettled = false
	c.d.tokens.setMembers(c.d.self(), *c.d.members.Load(), c.whole)
}

// heard takes in a call of the local backend server.
func (c *control) heard(h membership.Heartbeat) {
	before := c.local.State()
	changed, restarted := c.local.Heard(h)
	if !changed {
		return
	}
	c.d.log.Info("backend server", "id", c.local.ID(), "born", c.local.Born(), "state", c.local.State().String(), "before", before.String(), "sequence", h.Sequence, "restarted", restarted)
	if restarted {
		c.d.gate.Restart()
	}
	c.backendChanged()
}

// backendChanged publishes what is known of the local backend server.
func (c *control) backendChanged() {
	if n := c.local.Slots(); n > 0 {
		c.d.gate.Resize(backend.Config{Slots: n, Connections: c.connections(), Cold: n})
	}
	c.d.backendNow.Store(&backendState{id: c.local.ID(), state: c.local.State()})
	c.announce()
}

// connections returns the connections that the local backend server accepts.
func (c *control) connections() int {
	t := c.d.table.Load()
	if t == nil {
		return backendConnections
	}
	if s := t.Service(c.d.set.Service); s != nil && s.MaxConnections > 0 {
		return s.MaxConnections
	}
	return backendConnections
}

// clone returns a copy of an entry that the caller may change.
func clone(e *membership.Entry) *membership.Entry { return proto.Clone(e).(*membership.Entry) }
