package datacentre

import (
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriafold/wire"
)

// registry is the state that this daemon holds as a registrar of one service.
type registry struct {
	service    string
	epoch      uint64 // random, chosen at creation; identifies this registry in its lists
	since      time.Time
	usedAt     time.Time
	version    uint64
	entries    map[string]*entry // by peer
	superseded incarnationHistory
	log        []logEntry // changes, ordered by version
	subs       map[string]*subscriber

	warm     bool      // version was incremented when warming ended, so that subscribers learn of it
	urgent   bool      // a withdrawal is pending and must be pushed without delay
	nextPush time.Time // earliest time to push changes that are not urgent
}

// entry is one endpoint held by a registrar.
type entry struct {
	state     *wire.EndpointState
	hash      uint64
	remote    bool      // endpoint of another data centre
	expiresAt time.Time // set for local entries only
}

// logEntry records one change of an endpoint.
type logEntry struct {
	version uint64
	peer    string
}

// subscriber is a daemon that receives changes.
type subscriber struct {
	localOnly bool
	acked     uint64 // last acknowledged version, 0 for none
	sent      uint64 // last version sent
	levels    levels // of the list sent last
	tries     int
	resendAt  time.Time
	expiresAt time.Time
}

// levels are the numbers of times that the local and remote endpoints are halved
// for a subscriber, so that long lists are reduced to about MaxLocal or MaxRemote
// endpoints.
type levels struct{ local, remote int }

// incarnationHistory holds the superseded incarnations of each address.
type incarnationHistory map[string][]uint64

func (p incarnationHistory) has(peer string, incarnation uint64) bool {
	return slices.Contains(p[peer], incarnation)
}

func (p incarnationHistory) add(peer string, incarnation uint64) {
	list := append(p[peer], incarnation)
	p[peer] = list[max(0, len(list)-maxSuperseded):]
}

// newer reports whether s replaces old, and records the superseded incarnation if
// there is one.
func (p incarnationHistory) newer(old, s *wire.EndpointState) bool {
	if p.has(s.Peer, s.Incarnation) {
		return false
	}
	if old == nil {
		return true
	}
	if old.Incarnation != s.Incarnation {
		p.add(s.Peer, old.Incarnation)
		return true
	}
	return s.Revision > old.Revision
}

// registry returns the registry of the service and creates it if necessary.
func (d *Directory) registry(now time.Time, name string) *registry {
	r := d.services[name]
	if r == nil {
		r = &registry{
			service: name, epoch: d.rng.Uint64() | 1, since: now, version: 1,
			entries: make(map[string]*entry), superseded: make(incarnationHistory), subs: make(map[string]*subscriber),
		}
		d.services[name] = r
	}
	r.usedAt = now
	return r
}

func (r *registry) extendDeadlines(gap time.Duration) {
	for _, e := range r.entries {
		e.expiresAt = e.expiresAt.Add(gap)
	}
	for _, s := range r.subs {
		s.expiresAt = s.expiresAt.Add(gap)
	}
}

// warming reports whether the registry is so new that live endpoints may not have
// announced themselves to it yet.
func (r *registry) warming(d *Directory, now time.Time) bool {
	return now.Sub(r.since) < d.cfg.HeartbeatMax+d.cfg.ReplyTimeout
}

// put stores the state of an endpoint if it is newer than the stored one. It
// returns the entry now stored, or nil if there is none.
func (r *registry) put(s *wire.EndpointState, remote bool) *entry {
	e := r.entries[s.Peer]
	var old *wire.EndpointState
	if e != nil {
		old = e.state
	}
	if !r.superseded.newer(old, s) {
		return e
	}
	if e == nil {
		e = &entry{hash: xxhash.Sum64String(s.Peer)}
		r.entries[s.Peer] = e
	}
	e.state, e.remote = s, remote
	r.urgent = r.urgent || s.Draining
	r.changed(s.Peer)
	return e
}

func (r *registry) changed(peer string) {
	r.version++
	r.log = append(r.log, logEntry{r.version, peer})
	r.log = r.log[max(0, len(r.log)-maxChangeLog):]
}

func (r *registry) drop(peer string) {
	delete(r.entries, peer)
	r.changed(peer)
}

// receiveAnnounce handles an announcement or heartbeat of an endpoint.
func (d *Directory) receiveAnnounce(now time.Time, from string, m *wire.Announce) {
	if s := m.Endpoint; s != nil && s.DataCentre != d.cfg.DataCentre {
		d.receiveWithdrawal(now, from, m)
		return
	}
	r := d.registry(now, m.Service)
	e := r.entries[from]
	if s := m.Endpoint; s != nil && s.Peer == from && s.Service == m.Service {
		e = r.put(s, false)
	}
	ack := &wire.AnnounceAck{Service: m.Service, Incarnation: m.Incarnation}
	interval := spread(len(r.entries), d.cfg.HeartbeatsPerSecond, d.cfg.HeartbeatEvery, d.cfg.HeartbeatMax)
	ack.IntervalMs = uint32(interval.Milliseconds())
	if e != nil && !e.remote && e.state.Incarnation == m.Incarnation {
		ack.Revision = e.state.Revision
		e.expiresAt = now.Add(time.Duration(d.cfg.MissedHeartbeats * float64(interval)))
	}
	d.send(from, &wire.Member{Kind: &wire.Member_AnnounceAck{AnnounceAck: ack}})
	if r.urgent {
		d.push(now, r)
	}
}

// receiveWithdrawal handles the withdrawal of an endpoint of another data centre,
// sent by the endpoint itself.
func (d *Directory) receiveWithdrawal(now time.Time, from string, m *wire.Announce) {
	s := m.Endpoint
	if r := d.services[m.Service]; r != nil && s.Draining && s.Peer == from && r.entries[from] != nil {
		r.put(s, true)
		d.push(now, r)
	}
	ack := &wire.AnnounceAck{Service: m.Service, Incarnation: m.Incarnation, Revision: m.Revision}
	ack.IntervalMs = uint32(d.cfg.HeartbeatEvery.Milliseconds())
	d.send(from, &wire.Member{Kind: &wire.Member_AnnounceAck{AnnounceAck: ack}})
}

// spread returns the interval at which n senders together send at most perSecond
// messages, limited to the range from least to most.
func spread(n int, perSecond float64, least, most time.Duration) time.Duration {
	return min(most, max(least, time.Duration(float64(n)/perSecond*float64(time.Second))))
}

// receiveSubscribe handles a subscription, its renewal, cancellation or an
// acknowledgement.
func (d *Directory) receiveSubscribe(now time.Time, from string, m *wire.Subscribe) {
	if m.Cancel {
		if r := d.services[m.Service]; r != nil {
			delete(r.subs, from)
		}
		return
	}
	d.noteRestart(now, from, m)
	r := d.registry(now, m.Service)
	s := r.subs[from]
	if s == nil || s.localOnly != m.Local {
		s = &subscriber{localOnly: m.Local}
		r.subs[from] = s
	}
	renew := r.renewEvery(d, m.Local)
	s.expiresAt = now.Add(3 * renew)
	s.acked = 0
	if m.Epoch == r.epoch {
		s.acked = m.Version
	}
	if s.acked == r.version {
		s.tries = 0
		s.resendAt = time.Time{}
		if m.Ack {
			return
		}
		d.sendList(now, r, from, s, s.levels) // has no changes and only confirms the renewal
		return
	}
	if !m.Ack {
		s.resendAt = now
	}
	d.push(now, r)
}

// renewEvery returns the interval between renewals; local is for subscribers
// in other data centres.
func (r *registry) renewEvery(d *Directory, local bool) time.Duration {
	least := d.cfg.RenewEvery
	if local {
		least = d.cfg.RenewFarEvery
	}
	return spread(len(r.subs), d.cfg.RenewalsPerSecond, least, d.cfg.RenewMax)
}

// push sends each subscriber the changes that it lacks, and resends them until
// they are acknowledged. With many subscribers, changes that are not urgent are
// collected for up to PushMax to stay within PushesPerSecond.
func (d *Directory) push(now time.Time, r *registry) {
	pushDue := r.urgent || !now.Before(r.nextPush)
	due := func(s *subscriber) bool {
		switch s.sent {
		case r.version:
			return !now.Before(s.resendAt)
		case 0:
			return true
		default:
			return pushDue
		}
	}
	var to []string
	for address, s := range r.subs {
		if s.acked != r.version && due(s) {
			to = append(to, address)
		}
	}
	if len(to) == 0 {
		return
	}
	if pushDue {
		r.urgent = false
		r.nextPush = now.Add(spread(len(r.subs), d.cfg.PushesPerSecond, 0, d.cfg.PushMax))
	}
	slices.Sort(to)
	lv := [2]levels{r.levels(d, false), r.levels(d, true)}
	for _, address := range to {
		s := r.subs[address]
		if s.sent != r.version {
			s.tries = 0
		}
		l := lv[0]
		if s.localOnly {
			l = lv[1]
		}
		d.sendList(now, r, address, s, l)
		s.resendAt = now.Add(d.cfg.RetryEvery << min(s.tries, 4))
		s.tries++
	}
}

// sortedNames returns the keys of m, sorted.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// sendList sends the changes since the version that the subscriber has. It sends
// the full list if those changes are no longer logged, the subscriber has no
// version yet or its levels have changed.
func (d *Directory) sendList(now time.Time, r *registry, to string, s *subscriber, lv levels) {
	m := &wire.EndpointList{
		Service: r.service, DataCentre: d.cfg.DataCentre, Epoch: r.epoch, Base: s.acked, Version: r.version,
		Warming: r.warming(d, now), RenewMs: uint32(r.renewEvery(d, s.localOnly).Milliseconds()),
	}
	full := s.acked == 0 || lv != s.levels || (s.acked < r.version && (len(r.log) == 0 || r.log[0].version > s.acked+1))
	if full {
		m.Base = 0
		for _, peer := range sortedNames(r.entries) {
			if e := r.entries[peer]; r.wanted(e, to, s.localOnly, lv) {
				m.Endpoints = append(m.Endpoints, e.state)
			}
		}
	} else {
		r.addChanges(m, to, s, lv)
	}
	s.sent, s.levels = r.version, lv
	d.count.ListsSent++
	d.send(to, &wire.Member{Kind: &wire.Member_EndpointList{EndpointList: m}})
}

func (r *registry) addChanges(m *wire.EndpointList, to string, s *subscriber, lv levels) {
	seen := make(map[string]bool)
	for _, c := range slices.Backward(r.log) {
		if c.version <= s.acked {
			break
		}
		if seen[c.peer] {
			continue
		}
		seen[c.peer] = true
		if e := r.entries[c.peer]; e == nil {
			m.Removed = append(m.Removed, c.peer)
		} else if r.wanted(e, to, s.localOnly, lv) {
			m.Endpoints = append(m.Endpoints, e.state)
		}
	}
}

// levels returns how many times the lists are halved for subscribers; local is
// for subscribers in other data centres, which receive only local endpoints.
func (r *registry) levels(d *Directory, local bool) levels {
	n := 0
	for _, e := range r.entries {
		if !e.remote {
			n++
		}
	}
	most := d.cfg.MaxLocal
	if local {
		most = d.cfg.MaxRemote
	}
	return levels{local: halvings(n, most), remote: halvings(len(r.entries)-n, d.cfg.MaxLocal)}
}

// halvings returns how many times n must be halved to be at most most.
func halvings(n, most int) int {
	if n <= most {
		return 0
	}
	return bits.Len(uint((n - 1) / most))
}

// wanted reports whether the endpoint belongs on the subscriber's list. A
// draining endpoint does even if halving would exclude it, since the subscriber
// may have received it from another registrar.
func (r *registry) wanted(e *entry, to string, local bool, lv levels) bool {
	if local && e.remote {
		return false
	}
	if e.state.Draining {
		return true
	}
	n := lv.local
	if e.remote {
		n = lv.remote
	}
	if n == 0 {
		return true
	}
	return mix(e.hash^xxhash.Sum64String(to)) <= math.MaxUint64>>n
}

func (d *Directory) tickRegistries(now time.Time) {
	for _, name := range sortedNames(d.services) {
		r := d.services[name]
		for _, peer := range r.expired(now) {
			d.count.Expired++
			r.drop(peer)
		}
		for to, s := range r.subs {
			if now.After(s.expiresAt) {
				delete(r.subs, to)
			}
		}
		if !r.warm && !r.warming(d, now) {
			r.warm = true
			r.version++
		}
		if len(r.entries) > 0 {
			d.watch(now, watchKey{name, d.cfg.DataCentre}).usedAt = now
		}
		d.watchRemote(now, r)
		d.push(now, r)
		if len(r.entries) > 0 || len(r.subs) > 0 {
			r.usedAt = now
		}
		if now.Sub(r.usedAt) > idleTimeout {
			delete(d.services, name)
		}
	}
}

// expired returns the local endpoints that have expired for missing heartbeats,
// sorted.
func (r *registry) expired(now time.Time) []string {
	var out []string
	for peer, e := range r.entries {
		if !e.remote && now.After(e.expiresAt) {
			out = append(out, peer)
		}
	}
	slices.Sort(out)
	return out
}

// watchRemote subscribes to the registrars of other data centres while the
// registry has subscribers in its own data centre.
func (d *Directory) watchRemote(now time.Time, r *registry) {
	near := false
	for _, s := range r.subs {
		near = near || !s.localOnly
	}
	if !near {
		return
	}
	for _, name := range d.dataCentres() {
		if name != d.cfg.DataCentre {
			d.watch(now, watchKey{r.service, name}).usedAt = now
		}
	}
}
