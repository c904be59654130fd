package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriafold/config"
	"wisteriafold/platform/memory"
	"wisteriafold/wire"
)

const (
	configTick    = 25 * time.Millisecond // of a daemon's control goroutine
	configRead    = 40 * time.Millisecond // of the store, there and back
	configNear    = time.Millisecond      // one way in a data centre
	configFar     = 20 * time.Millisecond // one way between data centres
	configFraming = 10 + 12               // bytes of Frame, Control and length, and of the yamux header
)

// configFleet runs real spreaders over in-memory links in virtual time.
type configFleet struct {
	clock   *clock
	random  *rand.Rand
	secret  *rand.ChaCha8
	store   *memory.Store
	daemons []*configDaemon
	byPeer  map[string]*configDaemon
	sighted func(peer string) bool // reaches the store
	reads   int
	mark    int
	work    time.Duration // in spreaders and codec, on the clock of the machine
	err     error
}

// configDaemon is one spreader with what it has sent.
type configDaemon struct {
	*config.Spreader
	f            *configFleet
	peer, centre string
	bytes, sent  int
	since        time.Time // when the generation in force came
}

// newConfigFleet starts daemons that know all rosters and have nothing.
func newConfigFleet(seed uint64, centres, each int) *configFleet {
	f := &configFleet{
		clock:   newClock(),
		random:  rand.New(rand.NewPCG(seed, 1)),
		secret:  rand.NewChaCha8([32]byte{byte(seed)}),
		store:   memory.New(),
		byPeer:  map[string]*configDaemon{},
		sighted: func(string) bool { return true },
	}
	rosters := map[string][]string{}
	for c := range centres {
		name := fmt.Sprintf("centre-%d", c)
		for i := range each {
			d := &configDaemon{f: f, peer: fmt.Sprintf("10.%d.%d.%d:7000", c, i/250, i%250), centre: name}
			f.daemons = append(f.daemons, d)
			f.byPeer[d.peer] = d
			rosters[name] = append(rosters[name], d.peer)
		}
	}
	for _, d := range f.daemons {
		d.Spreader = config.NewSpreader(config.Options{
			Self: d.peer, DataCentre: d.centre, Outbox: d, Fetch: d.fetch, Publish: d.publish,
			Random: rand.New(rand.NewPCG(f.random.Uint64(), 2)),
		})
		for name, roster := range rosters {
			d.SetRoster(name, roster)
		}
		d.tick(time.Duration(f.random.Int64N(int64(configTick))))
	}
	return f
}

func (d *configDaemon) tick(after time.Duration) {
	d.f.clock.after(after, func() {
		d.f.timed(func() { d.Tick(d.f.clock.now) })
		d.tick(configTick)
	})
}

// timed adds the time that do takes on this machine.
func (f *configFleet) timed(do func()) {
	begin := time.Now()
	do()
	f.work += time.Since(begin)
}

func (d *configDaemon) publish(*config.Snapshot, []string) { d.since = d.f.clock.now }

// Send implements config.Outbox.
func (d *configDaemon) Send(to string, m *wire.Spread) {
	raw, err := proto.Marshal(m)
	if err != nil {
		d.f.err = err
		return
	}
	d.bytes += len(raw) + configFraming
	d.sent++
	target := d.f.byPeer[to]
	if target == nil {
		return
	}
	way := configNear
	if target.centre != d.centre {
		way = configFar
	}
	d.f.clock.after(way, func() { target.receive(d.peer, raw) })
}

func (d *configDaemon) receive(from string, raw []byte) {
	d.f.timed(func() {
		m := new(wire.Spread)
		if err := proto.Unmarshal(raw, m); err != nil {
			d.f.err = err
			return
		}
		d.Receive(d.f.clock.now, from, m)
	})
}

// fetch reads the store as a worker would.
func (d *configDaemon) fetch(since uint64) {
	d.f.reads++
	d.f.clock.after(configRead/2, func() {
		var u config.Update
		err := context.DeadlineExceeded
		if d.f.sighted(d.peer) {
			u, err = config.Reader{Table: d.f.store}.Read(context.Background(), since)
		}
		d.f.clock.after(configRead/2, func() {
			d.f.timed(func() { d.Fetched(d.f.clock.now, u, err) })
		})
	})
}

// run lets virtual time pass.
func (f *configFleet) run(d time.Duration) { f.clock.run(f.clock.elapsed() + d) }

// apply changes the rate of one organisation among keys that stay.
func (f *configFleet) apply() {
	f.mark++
	c := config.Configuration{
		DataCentres:   []config.DataCentre{{Name: "centre-0", Region: "east"}},
		Organisations: []config.Organisation{{Name: "museum", Rate: float64(f.mark), Burst: 10, Weight: 1}},
		Settings:      config.EmptySnapshot().Configuration.Settings,
	}
	for i := range configKeys {
		c.Keys = append(c.Keys, config.Key{Digest: fmt.Sprintf("sha256:%064x", i), Organisation: "museum"})
	}
	base, err := config.Read(context.Background(), f.store)
	if err == nil {
		var id string
		id, err = config.NewApplyID(base, f.secret)
		if err == nil {
			_, err = config.Apply(context.Background(), f.store, base, &c, id)
		}
	}
	if err != nil {
		f.err = err
	}
}

// slowest returns the time from begin until the last daemon had the newest
// generation, or false when one has not.
func (f *configFleet) slowest(begin time.Time) (time.Duration, bool) {
	var worst time.Duration
	for _, d := range f.daemons {
		if d.Snapshot().Generation != uint64(f.mark) {
			return 0, false
		}
		worst = max(worst, d.since.Sub(begin))
	}
	return worst, true
}
