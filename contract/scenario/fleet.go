// Package scenario simulates a fleet of contract machines in one goroutine and in
// virtual time, with messages that can be lost, delayed or delivered twice, and
// checks every admission against the contract. Tests and benchmarks use it.
package scenario

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriafold/contract"
	"wisteriafold/wire"
)

// Options configures a fleet.
type Options struct {
	Seed        uint64
	DataCentres int
	Daemons     int           // in each data centre
	Step        time.Duration // virtual time between two ticks of each daemon
	Near, Far   time.Duration // one-way latency within a region and between regions; a region has two data centres
	Poll        time.Duration // time between two reads of the store
	Machine     contract.Config
	Loss        float64 // fraction of the messages that are lost
	Late        float64 // fraction of the messages and store reads that are delayed by up to LateBy
	LateBy      time.Duration
	Double      float64 // fraction of the messages that arrive twice
	CountBytes  bool
	FirstFence  time.Duration // fence time of the processes started at time 0; 0 stands for that of Machine
}

// Daemon is one daemon of the fleet.
type Daemon struct {
	Address     string
	DataCentre  string
	Machine     *contract.Machine
	Alive       bool
	PausedUntil time.Duration
	NoStore     bool // the daemon cannot read the store
	region      int
	offset      time.Duration // of the daemon's clock
	nextPoll    time.Duration
	generation  uint64
	fleet       *Fleet
}

// Fleet is a set of daemons with their store and network.
type Fleet struct {
	Options
	Now       time.Duration
	Daemons   []*Daemon
	Check     *Checker
	StoreDown bool
	CutOff    map[string]bool // data centres without connection to any other data centre and to the store
	Messages  int
	Bytes     int

	rng        *rand.Rand
	queue      queue
	sequence   int
	base       time.Time
	rosters    map[string]contract.Roster
	contracts  []contract.Contract
	generation uint64
	joined     int
}

// loanSpan exceeds the longest time that a loan of a simulated fleet lasts.
const loanSpan = 3 * time.Second

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// New returns a fleet with all daemons in their rosters.
func New(o Options, contracts []contract.Contract) *Fleet {
	f := &Fleet{
		Options: o, Check: NewChecker(), CutOff: make(map[string]bool),
		rng:  rand.New(rand.NewPCG(o.Seed, 1)),
		base: time.Unix(1e9, 0), rosters: make(map[string]contract.Roster),
	}
	f.Apply(contracts)
	for dc := range o.DataCentres {
		name := Name(dc)
		f.rosters[name] = contract.Roster{DataCentre: name}
		for range o.Daemons {
			f.Join(dc)
		}
	}
	return f
}

// Name returns the name of a data centre.
func Name(dc int) string { return fmt.Sprintf("dc%d", dc) }

// EvenShares splits a contract evenly between data centres.
func EvenShares(dcs int) []contract.Share {
	var out []contract.Share
	for dc := range dcs {
		out = append(out, contract.Share{DataCentre: Name(dc), Weight: 1})
	}
	return out
}

// Apply puts a new generation of contracts into the store.
func (f *Fleet) Apply(cs []contract.Contract) {
	f.generation++
	f.contracts = slices.Clone(cs)
	for i := range f.contracts {
		f.contracts[i].Version = f.generation
		f.Check.Allow(f.contracts[i])
	}
}

// Join starts a daemon at a new address and adds it to its roster.
func (f *Fleet) Join(dc int) *Daemon {
	f.joined++
	d := &Daemon{Address: fmt.Sprintf("10.%d.0.%d:1", dc, f.joined), DataCentre: Name(dc), region: dc / 2, fleet: f}
	f.Daemons = append(f.Daemons, d)
	r := f.rosters[d.DataCentre]
	r.Version++
	r.Addresses = append(slices.Clone(r.Addresses), d.Address)
	f.rosters[d.DataCentre] = r
	f.Start(d)
	return d
}

// Remove removes a daemon from its roster. clean says that the daemon left by
// itself; otherwise it is recorded as expelled.
func (f *Fleet) Remove(d *Daemon, clean bool) {
	r := f.rosters[d.DataCentre]
	r.Version++
	r.Addresses = slices.DeleteFunc(slices.Clone(r.Addresses), func(a string) bool { return a == d.Address })
	if !clean {
		r.Expelled = append(slices.Clone(r.Expelled), d.Address)
	}
	f.rosters[d.DataCentre] = r
}

// Start starts a new process of a daemon at its address.
func (f *Fleet) Start(d *Daemon) {
	cfg := f.Machine
	d.offset = time.Duration(f.rng.Int64N(int64(time.Hour)))
	d.Alive, d.PausedUntil, d.nextPoll, d.generation = true, 0, f.Now, 0
	cfg.Self, cfg.DataCentre, cfg.Epoch = d.Address, d.DataCentre, d.Clock()
	cfg.Rand = rand.New(rand.NewPCG(f.Seed, f.rng.Uint64()))
	cfg.Outbox = d
	if f.FirstFence > 0 && f.Now == 0 {
		cfg.Fence = f.FirstFence
	}
	d.Machine = contract.New(cfg)
}

// Clock returns the time of the daemon's monotonic clock.
func (d *Daemon) Clock() time.Time { return d.fleet.base.Add(d.fleet.Now + d.offset) }

// Running reports whether the process is alive and not paused.
func (d *Daemon) Running() bool { return d.Alive && d.fleet.Now >= d.PausedUntil }

// Send implements contract.Outbox.
func (d *Daemon) Send(to string, m *wire.Loan) {
	f := d.fleet
	f.Messages++
	if f.CountBytes {
		f.Bytes += proto.Size(m)
	}
	if f.rng.Float64() < f.Loss {
		return
	}
	i := slices.IndexFunc(f.Daemons, func(x *Daemon) bool { return x.Address == to })
	if i < 0 {
		return
	}
	peer := f.Daemons[i]
	f.deliver(d, peer, m)
	if f.Double > 0 && f.rng.Float64() < f.Double {
		f.deliver(d, peer, proto.Clone(m).(*wire.Loan))
	}
}

func (f *Fleet) deliver(from, to *Daemon, m *wire.Loan) {
	delay := f.Near
	if from.region != to.region {
		delay = f.Far
	}
	if f.Late > 0 && f.rng.Float64() < f.Late {
		delay += time.Duration(f.rng.Int64N(int64(f.LateBy)))
	}
	sender := from.Address
	f.after(delay, func() { f.arrive(sender, from.DataCentre, to, m) })
}

// arrive delivers a message. A message to a paused process is delivered when the
// process resumes, as from its socket buffer.
func (f *Fleet) arrive(sender, dc string, to *Daemon, m *wire.Loan) {
	switch {
	case !to.Alive || (dc != to.DataCentre && (f.CutOff[dc] || f.CutOff[to.DataCentre])):
		return
	case !to.Running():
		f.after(to.PausedUntil-f.Now, func() { f.arrive(sender, dc, to, m) })
	default:
		to.Machine.Receive(to.Clock(), sender, m)
	}
}

func (f *Fleet) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, event{f.Now + d, f.sequence, run})
}

// Run advances the time by one step: it delivers messages, then calls traffic, then
// reads the store and ticks the daemons. A daemon that resumes from a pause may
// therefore take tokens before its control goroutine has run.
func (f *Fleet) Run(traffic func()) {
	end := f.Now + f.Step
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.Now = e.at
		e.run()
	}
	f.Now = end
	if traffic != nil {
		traffic()
	}
	for _, d := range f.Daemons {
		if !d.Running() {
			continue
		}
		if f.Now >= d.nextPoll {
			f.poll(d)
		}
		d.Machine.Tick(d.Clock())
	}
	f.Check.Follow(f, loanSpan)
}

// poll reads the store; the answer arrives after the latency between regions, or
// later.
func (f *Fleet) poll(d *Daemon) {
	d.nextPoll = f.Now + f.Poll
	if f.StoreDown || d.NoStore || f.CutOff[d.DataCentre] {
		return
	}
	at, generation, cs := d.Clock(), f.generation, f.contracts
	var rosters []contract.Roster
	for dc := range f.DataCentres {
		r := f.rosters[Name(dc)]
		r.ConfirmedAt = at
		rosters = append(rosters, r)
	}
	machine := d.Machine
	delay := f.Far
	if f.Late > 0 && f.rng.Float64() < f.Late {
		delay += time.Duration(f.rng.Int64N(int64(f.LateBy)))
	}
	f.after(delay, func() { f.learn(d, machine, generation, cs, rosters) })
}

func (f *Fleet) learn(d *Daemon, machine *contract.Machine, generation uint64, cs []contract.Contract, rosters []contract.Roster) {
	if d.Machine != machine || !d.Alive {
		return
	}
	if !d.Running() {
		f.after(d.PausedUntil-f.Now, func() { f.learn(d, machine, generation, cs, rosters) })
		return
	}
	for _, r := range rosters {
		d.Machine.SetRoster(d.Clock(), r)
	}
	if generation > d.generation {
		d.generation = generation
		if err := d.Machine.SetContracts(d.Clock(), generation, cs); err != nil {
			panic(err)
		}
	}
}

// Take takes one token at a daemon without waiting, records the admission and
// reports whether the request was admitted.
func (f *Fleet) Take(d *Daemon, name string) bool {
	v := d.Machine.Limiter().Take(d.Clock(), name)
	if v.OK {
		f.Check.Admit(f.Now, name, 1)
	}
	return v.OK
}

// Return takes a token for a request that is then not run, and gives the token back
// after the given time.
func (f *Fleet) Return(d *Daemon, name string, after time.Duration) {
	machine := d.Machine
	v := machine.Limiter().Take(d.Clock(), name)
	if !v.OK {
		return
	}
	ticket := f.Check.Admit(f.Now, name, 1).Hold()
	offset := d.offset
	f.after(after, func() {
		machine.Limiter().GiveBackAt(f.base.Add(f.Now+offset), v)
		f.Check.Withdraw(f.Now, ticket)
	})
}
