package datacentre

import (
	"slices"
	"time"

	"wisteriafold/service"
	"wisteriafold/wire"
)

// announcer keeps the registrars of the own service informed of the own
// endpoint.
type announcer struct {
	state *wire.EndpointState // nil when there is nothing to announce
	acked map[string]*announcement
}

// announcement is what one registrar has been told.
type announcement struct {
	revision uint64 // that it has acknowledged, 0 for none
	next     time.Time
	interval time.Duration
}

// Announce makes the endpoint known to all who call its service. Call it when
// the backend server answers, and again when something about it has changed.
// Peer, DataCentre and Region are filled in.
func (d *Directory) Announce(now time.Time, e service.Endpoint) {
	next := &wire.EndpointState{
		Peer: d.cfg.Self, Service: e.Service, DataCentre: d.cfg.DataCentre, Region: d.cfg.Region,
		Slots: e.Slots, Connections: e.Connections, Incarnation: e.Incarnation, Draining: e.Draining,
	}
	d.own.change(next)
	d.own.tick(d, now)
	d.settle(now)
}

// Withdraw tells all callers that the endpoint takes no new work. It stays
// withdrawn until the next Announce.
func (d *Directory) Withdraw(now time.Time) {
	if d.own.state == nil || d.own.state.Draining {
		return
	}
	e := fromWire(d.own.state)
	e.Draining = true
	d.Announce(now, e)
}

// Withdrawn reports whether all live registrars have acknowledged that the
// endpoint is withdrawn, or that there is none.
func (d *Directory) Withdrawn(now time.Time) bool {
	a := &d.own
	if a.state == nil {
		return true
	}
	if !a.state.Draining {
		return false
	}
	for _, to := range d.choose(now, d.rank(d.cfg.DataCentre, registrarRole(a.state.Service)), registrars) {
		if d.alive(now, to) && (a.acked[to] == nil || a.acked[to].revision != a.state.Revision) {
			return false
		}
	}
	return true
}

func (a *announcer) change(next *wire.EndpointState) {
	next.Revision = 1
	if a.state != nil && a.state.Service == next.Service && a.state.Incarnation == next.Incarnation {
		next.Revision = a.state.Revision + 1
	}
	a.state = next
	for _, sent := range a.acked {
		sent.revision = 0
		sent.next = time.Time{}
	}
}

// tick sends what is due: the whole state until it is acknowledged, then heartbeats.
func (a *announcer) tick(d *Directory, now time.Time) {
	if a.state == nil {
		return
	}
	targets := d.choose(now, d.rank(d.cfg.DataCentre, registrarRole(a.state.Service)), registrars)
	near := len(targets)
	if a.state.Draining {
		targets = append(slices.Clone(targets), d.registrarsElsewhere(now, a.state.Service)...)
	}
	for i, to := range targets {
		sent := a.acked[to]
		if sent == nil {
			sent = &announcement{interval: d.cfg.HeartbeatEvery}
			a.acked[to] = sent
		}
		if now.Before(sent.next) || (i >= near && sent.revision == a.state.Revision) {
			continue
		}
		m := &wire.Announce{Service: a.state.Service, Incarnation: a.state.Incarnation, Revision: a.state.Revision}
		sent.next = now.Add(d.jitter(sent.interval))
		if sent.revision != a.state.Revision {
			m.Endpoint = a.state
			sent.next = now.Add(d.retryWait(now, to))
		}
		d.ask(now, to)
		d.send(to, &wire.Member{Kind: &wire.Member_Announce{Announce: m}})
	}
	if len(a.acked) > candidates {
		a.forget(targets)
	}
}

// registrarsElsewhere returns the registrars of the service in all other data
// centres. They learn of endpoints from the registrars here, but of one that
// leaves also from itself, so that it does not matter who has just restarted.
func (d *Directory) registrarsElsewhere(now time.Time, service string) []string {
	var out []string
	for _, name := range d.dataCentres() {
		if name != d.cfg.DataCentre {
			out = append(out, d.choose(now, d.rank(name, registrarRole(service)), registrars)...)
		}
	}
	return out
}

// retryWait is the time to the next try of an unacknowledged message.
func (d *Directory) retryWait(now time.Time, to string) time.Duration {
	if d.alive(now, to) {
		return d.cfg.RetryEvery
	}
	return d.cfg.ReplyTimeout
}

func (a *announcer) forget(targets []string) {
	kept := make(map[string]*announcement, len(targets))
	for _, to := range targets {
		kept[to] = a.acked[to]
	}
	a.acked = kept
}

func (a *announcer) receiveAck(now time.Time, from string, m *wire.AnnounceAck) {
	sent := a.acked[from]
	if sent == nil || a.state == nil || m.Service != a.state.Service || m.Incarnation != a.state.Incarnation {
		return
	}
	fresh := sent.revision != m.Revision
	sent.revision = m.Revision
	sent.interval = time.Duration(m.IntervalMs) * time.Millisecond
	if fresh && m.Revision == a.state.Revision {
		sent.next = now.Add(sent.interval)
	} else if m.Revision != a.state.Revision {
		sent.next = time.Time{}
	}
}

func registrarRole(service string) string { return "service/" + service }

func fromWire(s *wire.EndpointState) service.Endpoint {
	return service.Endpoint{
		Peer: s.Peer, Service: s.Service, DataCentre: s.DataCentre, Region: s.Region,
		Slots: s.Slots, Connections: s.Connections, Incarnation: s.Incarnation, Draining: s.Draining,
	}
}
