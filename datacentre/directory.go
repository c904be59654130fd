package datacentre

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriafold/wire"
)

// Outbox sends messages to peers: one way, without waiting, and possibly lost.
type Outbox interface {
	Send(to string, m *wire.Member)
}

// Jobs takes work on the store for a worker goroutine. The result comes back
// to Directory.Finish on the control goroutine. At most one job is out.
type Jobs interface {
	Submit(j Job)
}

// Directory is the membership state of one daemon. All methods but Snapshot
// belong to the control goroutine.
type Directory struct {
	cfg    Config
	out    Outbox
	jobs   Jobs
	rng    *rand.Rand
	epoch  time.Time
	ticked time.Time

	peers    map[string]*contact
	loopback []*wire.Member

	nextForget time.Time
	rosters    rosters
	own        announcer
	services   map[string]*registry
	watches    map[watchKey]*watch
	ranks      map[rankKey]ranking
	count      Counts

	dirty     bool
	published atomic.Pointer[Snapshot]
}

// contact is what is known about whether a peer answers.
type contact struct {
	heardAt    time.Time
	unanswered time.Time // first question since it was last heard, zero when none
}

// NewDirectory returns a directory that starts at now, knowing only its seeds.
// jobs may be nil for a daemon without a way to the store.
func NewDirectory(now time.Time, cfg Config, out Outbox, jobs Jobs, rng *rand.Rand) *Directory {
	d := &Directory{
		cfg: cfg, out: out, jobs: jobs, rng: rng, epoch: now, ticked: now,
		peers:    make(map[string]*contact),
		services: make(map[string]*registry),
		watches:  make(map[watchKey]*watch),
		ranks:    make(map[rankKey]ranking),
	}
	d.rosters.start(d, now)
	d.own.acked = make(map[string]*announcement)
	d.publish(now)
	return d
}

// Receive takes a message of the peer at that address.
func (d *Directory) Receive(now time.Time, from string, m *wire.Member) {
	d.heard(now, from)
	d.dispatch(now, from, m)
	d.settle(now)
}

func (d *Directory) dispatch(now time.Time, from string, m *wire.Member) {
	switch k := m.Kind.(type) {
	case *wire.Member_RosterPull:
		d.rosters.pulled(now, from, k.RosterPull)
	case *wire.Member_RosterState:
		d.rosters.answered(now, k.RosterState)
	case *wire.Member_RosterAsk:
		d.rosters.asked(now, from, k.RosterAsk)
	case *wire.Member_Probe:
		if !k.Probe.Reply {
			d.send(from, &wire.Member{Kind: &wire.Member_Probe{Probe: &wire.Probe{Reply: true}}})
		}
	case *wire.Member_Announce:
		d.receiveAnnounce(now, from, k.Announce)
	case *wire.Member_AnnounceAck:
		d.own.receiveAck(now, from, k.AnnounceAck)
	case *wire.Member_Subscribe:
		d.receiveSubscribe(now, from, k.Subscribe)
	case *wire.Member_EndpointList:
		d.receiveList(now, from, k.EndpointList)
	}
}

// Tick does what is due. Call it every 50 ms or so.
func (d *Directory) Tick(now time.Time) {
	if gap := now.Sub(d.ticked); gap > pauseAfter {
		d.forgive(now, gap)
	}
	d.ticked = now
	d.rosters.tick(now)
	d.forgetPeers(now)
	d.own.tick(d, now)
	d.tickRegistries(now)
	d.tickWatches(now)
	d.settle(now)
}

// Finish takes the result of a job.
func (d *Directory) Finish(now time.Time, r Result) {
	d.rosters.finished(now, r)
	d.settle(now)
}

// settle delivers what the directory has sent to itself and publishes.
func (d *Directory) settle(now time.Time) {
	for len(d.loopback) > 0 {
		m := d.loopback[0]
		d.loopback = d.loopback[1:]
		d.dispatch(now, d.cfg.Self, m)
	}
	if d.dirty {
		d.publish(now)
	}
}

// forgive gives everybody a new term after a pause of this process, which has
// heard nobody meanwhile.
func (d *Directory) forgive(now time.Time, gap time.Duration) {
	d.count.Pauses++
	for _, c := range d.peers {
		c.heardAt = c.heardAt.Add(gap)
		if !c.unanswered.IsZero() {
			c.unanswered = now
		}
	}
	for _, r := range d.services {
		r.forgive(gap)
	}
	for _, w := range d.watches {
		w.forgive(gap)
	}
}

// forgetPeers drops contacts that have not been heard from for very long.
func (d *Directory) forgetPeers(now time.Time) {
	if now.Before(d.nextForget) {
		return
	}
	d.nextForget = now.Add(idleAfter)
	for address, c := range d.peers {
		if now.Sub(c.heardAt) > d.cfg.ExpelManyAfter && now.Sub(c.unanswered) > d.cfg.ExpelManyAfter {
			delete(d.peers, address)
		}
	}
}

// send sends m, to this daemon itself without the network.
func (d *Directory) send(to string, m *wire.Member) {
	if to == d.cfg.Self {
		d.loopback = append(d.loopback, m)
		return
	}
	d.out.Send(to, m)
}

func (d *Directory) contact(address string) *contact {
	c := d.peers[address]
	if c == nil {
		c = new(contact)
		d.peers[address] = c
	}
	return c
}

func (d *Directory) heard(now time.Time, from string) {
	c := d.contact(from)
	c.heardAt = now
	c.unanswered = time.Time{}
}

// ask notes that an answer is expected from the peer.
func (d *Directory) ask(now time.Time, to string) {
	if to == d.cfg.Self {
		return
	}
	if c := d.contact(to); c.unanswered.IsZero() {
		c.unanswered = now
	}
}

// alive reports whether the peer has not left a question unanswered for long.
func (d *Directory) alive(now time.Time, address string) bool {
	c := d.peers[address]
	return c == nil || c.unanswered.IsZero() || now.Sub(c.unanswered) < d.cfg.ReplyTimeout
}

// rankKey names a ranking of a data centre's members for a role.
type rankKey struct{ dataCentre, role string }

// ranking is remembered until the roster changes.
type ranking struct {
	of     *row
	ranked []string
}

// rank returns the candidates for a role in a data centre, best first. Seeds
// come last in the own one, for the case that nobody on the roster lives.
func (d *Directory) rank(dataCentre, role string) []string {
	key := rankKey{dataCentre, role}
	of := d.rosters.rows[dataCentre]
	if r, ok := d.ranks[key]; ok && r.of == of {
		return r.ranked
	}
	var ranked []string
	if of != nil {
		ranked = place(of.value.Addresses, of.hashes, xxhash.Sum64String(role), candidates)
	}
	if dataCentre == d.cfg.DataCentre {
		ranked = append(ranked, without(Place(d.rosters.unlisted(), role, candidates), ranked)...)
	}
	if len(d.ranks) >= ranksKept {
		clear(d.ranks)
	}
	d.ranks[key] = ranking{of, ranked}
	return ranked
}

// choose returns the first n candidates, and so many of those after them that
// n live ones are among them.
func (d *Directory) choose(now time.Time, ranked []string, n int) []string {
	live := 0
	for i, a := range ranked {
		if d.alive(now, a) {
			live++
		}
		if live >= n && i+1 >= n {
			return ranked[:i+1]
		}
	}
	return ranked
}

// jitter returns a time between 0.8 and 1.2 times t.
func (d *Directory) jitter(t time.Duration) time.Duration {
	return time.Duration((0.8 + 0.4*d.rng.Float64()) * float64(t))
}

// dataCentres returns the names of all data centres that have a roster, sorted.
func (d *Directory) dataCentres() []string { return d.rosters.names }
