package instance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriafold/config"
	"wisteriafold/contract"
	"wisteriafold/datacentre"
	"wisteriafold/organisation"
	"wisteriafold/platform"
	"wisteriafold/service"
	"wisteriafold/wire"
)

const (
	tickInterval       = 25 * time.Millisecond
	gateTickInterval   = 100 * time.Millisecond
	controlReadTimeout = 2 * time.Second // for one store operation of the control goroutine
)

// event is a unit of work for the control goroutine.
type event interface {
	apply(c *control, now time.Time)
}

// control is the state of the control goroutine, which alone changes it. The
// state machines spread, members and shares do no I/O and are passed the time.
type control struct {
	d       *Daemon
	mailbox chan event

	spread  *config.Spreader
	members *datacentre.Directory
	shares  *contract.Machine

	lastMembers         *datacentre.Snapshot
	announced           bool
	draining            bool // the backend server or this daemon is shutting down
	refusals            int  // consecutive health checks whose connection was refused
	nextGateTick        time.Time
	nextIdleCheck       time.Time
	leaveDone           chan struct{} // closed when the shares are given up and the daemon is off the roster
	contractsGeneration uint64        // configuration generation of the contracts in shares
}

func newControl(d *Daemon) *control {
	c := &control{d: d, mailbox: make(chan event, d.set.Limits.MailboxSize)}
	out := outbox{d}
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(d.random(), d.random())) }
	c.spread = config.NewSpreader(config.Options{
		Self:       d.self.Peer,
		DataCentre: d.self.DataCentre,
		Seeds:      slices.Concat(d.set.Seeds, d.set.FarSeeds),
		Outbox:     spreadOutbox{out},
		Fetch:      c.fetch,
		Publish:    c.publish,
		Random:     rng(),
	})
	dc := datacentre.Defaults()
	dc.Self = d.self.Peer
	dc.DataCentre = d.self.DataCentre
	dc.Region = d.self.Region
	dc.Seeds = d.set.Seeds
	dc.FarSeeds = d.set.FarSeeds
	c.members = datacentre.NewDirectory(d.epoch, dc, memberOutbox{out}, jobs{d}, rng())
	c.shares = contract.New(contract.Config{
		Self:       d.self.Peer,
		DataCentre: d.self.DataCentre,
		Epoch:      d.epoch,
		Rand:       rng(),
		Outbox:     loanOutbox{out},
		MaxWait:    d.set.Limits.EntryWait,
	})
	empty := config.EmptySnapshot()
	d.view.Store(&view{snap: empty, keys: organisation.NewKeyring(empty.Configuration)})
	return c
}

// post sends an event to the control goroutine. It never blocks a request: when
// the mailbox is full, the event is dropped and counted.
func (d *Daemon) post(e event) {
	select {
	case d.control.mailbox <- e:
	default:
		d.stats.mailboxFull.Add(1)
	}
}

func (c *control) run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.mailbox:
			c.measure(func(now time.Time) { e.apply(c, now) })
		case <-c.shares.Wake():
			c.measure(c.shares.Tick)
		case <-t.C:
			c.measure(c.tick)
		}
	}
}

// measure runs one step and adds its duration to the time that the control
// goroutine was busy.
func (c *control) measure(step func(now time.Time)) {
	now := c.d.now()
	step(now)
	c.d.stats.controlBusy.Add(int64(c.d.now().Sub(now)))
}

func (c *control) tick(now time.Time) {
	c.members.Tick(now)
	c.applyMembers(now)
	c.spread.Tick(now)
	if at := c.spread.ConfirmedAt(); !at.IsZero() {
		c.d.confirmed.Store(int64(at.Sub(c.d.epoch)))
	}
	c.shares.Tick(now)
	if !now.Before(c.nextGateTick) {
		c.nextGateTick = now.Add(gateTickInterval)
		c.d.gate.Tick()
	}
	c.dropIdleTargets(now)
	c.tickLeaving(now)
}

// applyMembers passes a new members snapshot to the spreader, the contracts and
// the endpoint pickers.
func (c *control) applyMembers(now time.Time) {
	s := c.members.Snapshot()
	if s == c.lastMembers {
		return
	}
	c.lastMembers = s
	for _, r := range s.Rosters() {
		c.spread.SetRoster(r.DataCentre, r.Addresses)
	}
	c.setRosters(now)
	c.d.targets.Range(func(_, v any) bool {
		t := v.(*target)
		t.picker.SetEndpoints(c.d.endpointsOf(t.name))
		return true
	})
}

// setRosters passes the roster of every data centre to shares, and an empty one
// for each data centre that the configuration names but that never had a
// roster.
func (c *control) setRosters(now time.Time) {
	known := make(map[string]bool)
	var newest time.Time
	for _, r := range c.lastMembers.Rosters() {
		known[r.DataCentre] = true
		if r.ConfirmedAt.After(newest) {
			newest = r.ConfirmedAt
		}
		c.shares.SetRoster(now, contract.Roster{
			DataCentre:  r.DataCentre,
			Version:     r.Version,
			Addresses:   r.Addresses,
			Expelled:    r.Expelled,
			ConfirmedAt: r.ConfirmedAt,
		})
	}
	for _, dc := range c.spread.Snapshot().Configuration.DataCentres {
		if !known[dc.Name] && !newest.IsZero() {
			c.shares.SetRoster(now, contract.Roster{DataCentre: dc.Name, ConfirmedAt: newest})
		}
	}
}

// publish puts a configuration in force. The spreader calls it with the new
// snapshot and the digests of keys that must be refused although the snapshot
// has them.
func (c *control) publish(s *config.Snapshot, withdrawn []string) {
	now := c.d.now()
	old := c.d.view.Load()
	fresh := newView(old, s, withdrawn)
	c.d.view.Store(fresh)
	c.d.evictWithdrawn(old, fresh)
	c.applyEvacuations(old.snap, s)
	if s.Generation != c.contractsGeneration {
		c.contractsGeneration = s.Generation
		c.setContracts(now, s)
	}
	if c.subscribesToAll() {
		for i := range s.Configuration.Services {
			c.members.Subscribe(now, s.Configuration.Services[i].Name)
		}
	}
	c.d.log.Info("configuration in force", "instance", c.d.set.Instance, "generation", s.Generation, "withdrawn_early", len(withdrawn))
}

func (c *control) setContracts(now time.Time, s *config.Snapshot) {
	err := c.shares.SetContracts(now, s.Generation, contractsOf(s.Configuration))
	if err != nil {
		c.d.log.Error("contracts rejected", "generation", s.Generation, "err", err)
	}
	if c.lastMembers != nil {
		c.setRosters(now)
	}
}

// contractsOf returns the contracts of all organisations and links.
func contractsOf(conf *config.Configuration) []contract.Contract {
	var out []contract.Contract
	for i := range conf.Organisations {
		o := &conf.Organisations[i]
		out = append(out, contract.Contract{
			Name:    o.Name,
			Version: conf.ContractVersion(o),
			Rate:    o.Rate,
			Burst:   o.Burst,
			Shares:  sharesOf(conf, func(dc string) float64 { return conf.Share(o, dc) }),
		})
	}
	for i := range conf.Links {
		out = append(out, linkContracts(conf, &conf.Links[i])...)
	}
	return out
}

func sharesOf(conf *config.Configuration, share func(dataCentre string) float64) []contract.Share {
	var out []contract.Share
	for _, dc := range conf.DataCentres {
		if w := share(dc.Name); w > 0 {
			out = append(out, contract.Share{DataCentre: dc.Name, Weight: w})
		}
	}
	return out
}

// fetch reads the configuration from the store on a worker goroutine.
func (c *control) fetch(since uint64) {
	d := c.d
	d.submit(func(ctx context.Context) event {
		u, err := (config.Reader{Table: d.table}).Read(ctx, since)
		return fetched{u, err}
	}, func() event { return fetched{err: errBusy} })
}

// submit runs work on the pool and posts its result. When the queue of the pool
// is full, it posts the result of instead.
func (d *Daemon) submit(work func(context.Context) event, instead func() event) {
	_, ok := d.pool.TrySubmit(func() {
		ctx, cancel := context.WithTimeout(d.background, controlReadTimeout)
		defer cancel()
		d.post(work(ctx))
	})
	if !ok {
		d.post(instead())
	}
}

var errBusy = &platform.UnavailableError{Op: "a store operation of the control goroutine", Cause: context.DeadlineExceeded}

// fetched is the event that a read of the configuration has finished.
type fetched struct {
	update config.Update
	err    error
}

func (e fetched) apply(c *control, now time.Time) { c.spread.Fetched(now, e.update, e.err) }

// jobs runs the directory's store operations on the pool.
type jobs struct{ d *Daemon }

// Submit implements datacentre.Jobs.
func (j jobs) Submit(job datacentre.Job) {
	j.d.submit(func(ctx context.Context) event {
		return jobDone{datacentre.Run(ctx, j.d.table, job)}
	}, func() event { return jobDone{datacentre.Result{Job: job, Err: errBusy}} })
}

// jobDone is the event that a store operation of the directory has finished.
type jobDone struct{ result datacentre.Result }

func (e jobDone) apply(c *control, now time.Time) {
	for _, err := range e.result.Ignored {
		c.d.log.Warn("row ignored", "error", err)
	}
	c.members.Finish(now, e.result)
}

// controlReceived is the event that a control message has arrived.
type controlReceived struct {
	from string
	msg  *wire.Control
}

func (e controlReceived) apply(c *control, now time.Time) {
	switch k := e.msg.Kind.(type) {
	case *wire.Control_Loan:
		c.shares.Receive(now, e.from, k.Loan)
	case *wire.Control_Spread:
		c.spread.Receive(now, e.from, k.Spread)
	case *wire.Control_Member:
		c.members.Receive(now, e.from, k.Member)
		c.applyMembers(now)
	}
}

// ReceiveControl implements link.Handler.
func (d *Daemon) ReceiveControl(from string, m *wire.Control) { d.post(controlReceived{from, m}) }

// subscribed is the event that a service is called for the first time.
type subscribed struct{ t *target }

func (e subscribed) apply(c *control, now time.Time) {
	c.members.Subscribe(now, e.t.name)
	e.t.picker.SetEndpoints(c.d.endpointsOf(e.t.name))
}

// endpoint describes this daemon's backend server.
func (c *control) endpoint() service.Endpoint {
	b := c.d.set.Backend
	return service.Endpoint{
		Peer:        c.d.self.Peer,
		Service:     b.Service,
		DataCentre:  c.d.self.DataCentre,
		Region:      c.d.self.Region,
		Slots:       uint32(b.Slots),
		Connections: uint32(b.Connections),
		Incarnation: c.d.incarnation,
	}
}
