package datacentre

import (
	"slices"
	"time"

	"wisteriafold/service"
	"wisteriafold/wire"
)

// announcer announces the endpoint of this daemon to the registrars of its
// service.
type announcer struct {
	state *wire.EndpointState // nil if there is no endpoint to announce
	acked map[string]*announcement
}

// announcement is the state of the announcement to one registrar.
type announcement struct {
	revision uint64 // last acknowledged revision, 0 for none
	next     time.Time
	interval time.Duration
}

// Announce announces the endpoint to all callers of its service. Call it once the
// backend server answers, and again after each change of the endpoint. Announce
// sets Peer, DataCentre and Region.
func (d *Directory) Announce(now time.Time, e service.Endpoint) {
	next := &wire.EndpointState{
		Peer: d.cfg.Self, Service: e.Service, DataCentre: d.cfg.DataCentre, Region: d.cfg.Region,
		Slots: e.Slots, Connections: e.Connections, Incarnation: e.Incarnation, Draining: e.Draining,
	}
	d.announcer.change(next)
	d.announcer.tick(d, now)
	d.flush(now)
}

// Withdraw announces to all callers that the endpoint accepts no new work. It
// stays withdrawn until the next Announce.
func (d *Directory) Withdraw(now time.Time) {
	if d.announcer.state == nil || d.announcer.state.Draining {
		return
	}
	e := fromWire(d.announcer.state)
	e.Draining = true
	d.Announce(now, e)
}

// Withdrawn reports whether all live registrars in this data centre have
// acknowledged the withdrawal of the endpoint. It is true if no endpoint has been
// announced.
func (d *Directory) Withdrawn(now time.Time) bool {
	a := &d.announcer
	if a.state == nil {
		return true
	}
	if !a.state.Draining {
		return false
	}
	for _, to := range d.choose(now, d.rank(d.cfg.DataCentre, registrarRole(a.state.Service)), registrarsPerService) {
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

// tick sends the full state until it is acknowledged, and then heartbeats. A
// withdrawal also goes to the registrars of other data centres, until each has
// acknowledged it.
func (a *announcer) tick(d *Directory, now time.Time) {
	if a.state == nil {
		return
	}
	targets := d.choose(now, d.rank(d.cfg.DataCentre, registrarRole(a.state.Service)), registrarsPerService)
	near := len(targets)
	if a.state.Draining {
		targets = append(slices.Clone(targets), d.remoteRegistrars(now, a.state.Service)...)
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
		d.expectReply(now, to)
		d.send(to, &wire.Member{Kind: &wire.Member_Announce{Announce: m}})
	}
	if len(a.acked) > maxCandidates {
		a.forget(targets)
	}
}

// remoteRegistrars returns the registrars of the service in all other data
// centres. They receive endpoints from the registrars of this data centre, but a
// withdrawal also directly from the endpoint, so that it arrives even if a
// registrar has just restarted.
func (d *Directory) remoteRegistrars(now time.Time, service string) []string {
	var out []string
	for _, name := range d.dataCentres() {
		if name != d.cfg.DataCentre {
			out = append(out, d.choose(now, d.rank(name, registrarRole(service)), registrarsPerService)...)
		}
	}
	return out
}

// retryWait returns the time until an unacknowledged message is resent.
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
