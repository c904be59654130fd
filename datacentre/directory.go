package datacentre

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriafold/wire"
)

// Outbox sends one-way messages to peers. Send does not block, and a message may
// be lost.
type Outbox interface {
	Send(to string, m *wire.Member)
}

// Jobs submits store operations to a worker goroutine. The result is passed to
// Directory.Finish on the control goroutine. At most one job is in progress.
type Jobs interface {
	Submit(j Job)
}

// Directory is the membership state of one daemon. All methods except Snapshot
// must be called from the control goroutine.
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
	announcer  announcer
	services   map[string]*registry
	watches    map[watchKey]*watch
	ranks      map[rankKey]ranking
	count      Counts

	dirty     bool
	published atomic.Pointer[Snapshot]
}

// contact records when a peer was last heard from and whether it answers.
type contact struct {
	heardAt    time.Time
	unanswered time.Time // first request since heardAt that expects a reply, zero if none
}

// NewDirectory returns a directory that starts at now and knows only its seeds.
// jobs may be nil for a daemon that cannot reach the store.
func NewDirectory(now time.Time, cfg Config, out Outbox, jobs Jobs, rng *rand.Rand) *Directory {
	d := &Directory{
		cfg: cfg, out: out, jobs: jobs, rng: rng, epoch: now, ticked: now,
		peers:    make(map[string]*contact),
		services: make(map[string]*registry),
		watches:  make(map[watchKey]*watch),
		ranks:    make(map[rankKey]ranking),
	}
	d.rosters.start(d, now)
	d.announcer.acked = make(map[string]*announcement)
	d.publish(now)
	return d
}

// Receive handles a message from the peer at address from.
func (d *Directory) Receive(now time.Time, from string, m *wire.Member) {
	d.heard(now, from)
	d.dispatch(now, from, m)
	d.flush(now)
}

func (d *Directory) dispatch(now time.Time, from string, m *wire.Member) {
	switch k := m.Kind.(type) {
	case *wire.Member_RosterPull:
		d.rosters.receivePull(now, from, k.RosterPull)
	case *wire.Member_RosterState:
		d.rosters.receiveState(now, k.RosterState)
	case *wire.Member_RosterAsk:
		d.rosters.receiveAsk(now, from, k.RosterAsk)
	case *wire.Member_Probe:
		if !k.Probe.Reply {
			d.send(from, &wire.Member{Kind: &wire.Member_Probe{Probe: &wire.Probe{Reply: true}}})
		}
	case *wire.Member_Announce:
		d.receiveAnnounce(now, from, k.Announce)
	case *wire.Member_AnnounceAck:
		d.announcer.receiveAck(now, from, k.AnnounceAck)
	case *wire.Member_Subscribe:
		d.receiveSubscribe(now, from, k.Subscribe)
	case *wire.Member_EndpointList:
		d.receiveList(now, from, k.EndpointList)
	}
}

// Tick performs all work that is due. Call it about every 50 ms.
func (d *Directory) Tick(now time.Time) {
	if gap := now.Sub(d.ticked); gap > pauseThreshold {
		d.extendDeadlines(now, gap)
	}
	d.ticked = now
	d.rosters.tick(now)
	d.forgetPeers(now)
	d.announcer.tick(d, now)
	d.tickRegistries(now)
	d.tickWatches(now)
	d.flush(now)
}

// Finish handles the result of a job.
func (d *Directory) Finish(now time.Time, r Result) {
	d.rosters.finish(now, r)
	d.flush(now)
}

// flush delivers the messages that the directory has sent to itself, and
// publishes a new snapshot if anything has changed.
func (d *Directory) flush(now time.Time) {
	for len(d.loopback) > 0 {
		m := d.loopback[0]
		d.loopback = d.loopback[1:]
		d.dispatch(now, d.cfg.Self, m)
	}
	if d.dirty {
		d.publish(now)
	}
}

// extendDeadlines extends all expiry times by gap, the length of a pause of this
// process, since it has received no messages in the meantime.
func (d *Directory) extendDeadlines(now time.Time, gap time.Duration) {
	d.count.Pauses++
	for _, c := range d.peers {
		c.heardAt = c.heardAt.Add(gap)
		if !c.unanswered.IsZero() {
			c.unanswered = now
		}
	}
	for _, r := range d.services {
		r.extendDeadlines(gap)
	}
	for _, w := range d.watches {
		w.extendDeadlines(gap)
	}
}

// forgetPeers removes contacts not heard from for ExpelManyAfter, unless a
// request to them has been unanswered for less than that.
func (d *Directory) forgetPeers(now time.Time) {
	if now.Before(d.nextForget) {
		return
	}
	d.nextForget = now.Add(idleTimeout)
	for address, c := range d.peers {
		if now.Sub(c.heardAt) > d.cfg.ExpelManyAfter && now.Sub(c.unanswered) > d.cfg.ExpelManyAfter {
			delete(d.peers, address)
		}
	}
}

// send sends m. Messages to this daemon itself bypass the network.
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

// expectReply records that a reply is expected from the peer.
func (d *Directory) expectReply(now time.Time, to string) {
	if to == d.cfg.Self {
		return
	}
	if c := d.contact(to); c.unanswered.IsZero() {
		c.unanswered = now
	}
}

// alive reports whether no request to the peer has been unanswered for
// ReplyTimeout.
func (d *Directory) alive(now time.Time, address string) bool {
	c := d.peers[address]
	return c == nil || c.unanswered.IsZero() || now.Sub(c.unanswered) < d.cfg.ReplyTimeout
}

// rankKey identifies a ranking of a data centre's members for a role.
type rankKey struct{ dataCentre, role string }

// ranking is a cached ranking, valid until the roster changes.
type ranking struct {
	of     *row
	ranked []string
}

// rank returns the candidates for a role in a data centre, best first. In the own
// data centre the seeds come last, in case no member on the roster is alive.
func (d *Directory) rank(dataCentre, role string) []string {
	key := rankKey{dataCentre, role}
	of := d.rosters.rows[dataCentre]
	if r, ok := d.ranks[key]; ok && r.of == of {
		return r.ranked
	}
	var ranked []string
	if of != nil {
		ranked = place(of.value.Addresses, of.hashes, xxhash.Sum64String(role), maxCandidates)
	}
	if dataCentre == d.cfg.DataCentre {
		ranked = append(ranked, without(Place(d.rosters.unlisted(), role, maxCandidates), ranked)...)
	}
	if len(d.ranks) >= maxCachedRanks {
		clear(d.ranks)
	}
	d.ranks[key] = ranking{of, ranked}
	return ranked
}

// choose returns the shortest prefix of ranked that has at least n candidates, n
// of them alive, or all of ranked if fewer than n are alive.
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

// jitter returns a random duration between 0.8 and 1.2 times t.
func (d *Directory) jitter(t time.Duration) time.Duration {
	return time.Duration((0.8 + 0.4*d.rng.Float64()) * float64(t))
}

// dataCentres returns the names of all data centres that have a roster, sorted.
func (d *Directory) dataCentres() []string { return d.rosters.names }
