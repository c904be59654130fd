package config

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"wisteriafold/platform/memory"
	"wisteriafold/wire"
)

// fleet runs spreaders over in-memory links in virtual time. A run is determined
// by its seed.
type fleet struct {
	t       testing.TB
	random  *rand.Rand
	now     time.Time
	queue   events
	order   uint64
	store   *memory.Store
	daemons map[string]*daemon
	names   []string
	rosters map[string][]string

	linkCut          func(from, to string) bool // links that lose all messages
	storeUnreachable func(daemon string) bool   // daemons that can't reach the store
	lossRate         float64                    // probability that a message is lost
	slowRate         float64                    // probability that a message takes slowBy longer
	bytes            int                        // bytes of marshalled messages sent
	sent             int                        // messages sent

	dropReads bool // results of reads are lost

	reads int // of the store
}

// daemon is one spreader and the configuration that it has published last.
type daemon struct {
	*Spreader
	dc        string
	f         *fleet
	published *Snapshot
	withdrawn []string
	stopped   bool
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	tickEvery = 50 * time.Millisecond
	slowBy    = 1500 * time.Millisecond
)

func newFleet(t testing.TB, seed uint64, dataCentres, each int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), store: memory.New(),
		daemons: map[string]*daemon{}, rosters: map[string][]string{},
		linkCut: func(string, string) bool { return false }, storeUnreachable: func(string) bool { return false },
	}
	for dc := range dataCentres {
		name := fmt.Sprintf("dc%d", dc)
		for i := range each {
			f.rosters[name] = append(f.rosters[name], fmt.Sprintf("10.%d.%d.%d:7000", dc, i/250, i%250))
		}
	}
	for dc := range dataCentres {
		name := fmt.Sprintf("dc%d", dc)
		for _, address := range f.rosters[name] {
			f.names = append(f.names, address)
			f.start(address, name)
		}
	}
	return f
}

// start starts a daemon without a configuration. It replaces a daemon with the
// same address.
func (f *fleet) start(address, dc string) *daemon {
	if old := f.daemons[address]; old != nil {
		old.stopped = true
	}
	d := &daemon{dc: dc, f: f}
	d.Spreader = NewSpreader(Options{
		Self: address, DataCentre: dc, Outbox: d, Fetch: d.fetch, Publish: d.publish,
		Random: rand.New(rand.NewPCG(f.random.Uint64(), 2)),
	})
	for name, roster := range f.rosters {
		d.SetRoster(name, roster)
	}
	f.daemons[address] = d
	d.ticks(time.Duration(f.random.Int64N(int64(tickEvery))))
	return d
}

func (d *daemon) ticks(after time.Duration) {
	d.f.after(after, func() {
		if !d.stopped {
			d.Tick(d.f.now)
			d.ticks(tickEvery)
		}
	})
}

func (d *daemon) publish(s *Snapshot, withdrawn []string) {
	if d.published != nil {
		require.GreaterOrEqual(d.f.t, s.Generation, d.published.Generation, "the generation decreased")
	}
	d.published, d.withdrawn = s, withdrawn
}

// Send implements Outbox.
func (d *daemon) Send(to string, m *wire.Spread) {
	f := d.f
	raw, err := proto.Marshal(m)
	require.NoError(f.t, err)
	f.bytes += len(raw)
	f.sent++
	from := d.opts.Self
	if d.stopped || f.linkCut(from, to) || f.random.Float64() < f.lossRate {
		return
	}
	latency := time.Millisecond
	if target := f.daemons[to]; target != nil && target.dc != d.dc {
		latency = 20 * time.Millisecond
	}
	if f.random.Float64() < f.slowRate {
		latency += slowBy
	}
	f.after(latency, func() {
		target := f.daemons[to]
		if target == nil || target.stopped {
			return
		}
		got := new(wire.Spread)
		require.NoError(f.t, proto.Unmarshal(raw, got))
		target.Receive(f.now, from, got)
	})
}

// fetch reads the store as a worker would, with 20 ms each way.
func (d *daemon) fetch(since uint64) {
	d.f.reads++
	d.f.after(20*time.Millisecond, func() {
		if d.stopped || d.f.dropReads {
			return
		}
		if d.f.storeUnreachable(d.opts.Self) {
			d.Fetched(d.f.now, Update{}, context.DeadlineExceeded)
			return
		}
		u, err := Reader{d.f.store}.Read(context.Background(), since)
		d.f.after(20*time.Millisecond, func() { d.Fetched(d.f.now, u, err) })
	})
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, event{f.now.Add(d), f.order, run})
}

// run advances virtual time by d.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// apply puts a configuration in force in the store.
func (f *fleet) apply(c *Configuration) uint64 {
	f.t.Helper()
	return mustApply(f.t, f.store, c, rand.NewChaCha8([32]byte{byte(f.random.Uint32()), byte(f.random.Uint32())})).Generation
}

// behind returns the daemons, among those chosen, that lack a generation.
func (f *fleet) behind(generation uint64, among func(string) bool) []string {
	var out []string
	for _, name := range f.names {
		d := f.daemons[name]
		if !d.stopped && (among == nil || among(name)) && (d.published == nil || d.published.Generation < generation) {
			out = append(out, name)
		}
	}
	return out
}

func withKeys(c *Configuration, n int) *Configuration {
	out := *c
	out.Keys = nil
	for i := range n {
		out.Keys = append(out.Keys, Key{Digest: fmt.Sprintf("sha256:%064x", i), Organisation: "a"})
	}
	return &out
}
