package datacentre

import (
	"cmp"
	"slices"
	"time"

	"wisteriafold/wire"
)

// watchKey identifies a subscription to the registrars of a service in one data
// centre.
type watchKey struct{ service, dataCentre string }

// watch merges the lists that the registrars of one data centre hold for a
// service.
type watch struct {
	key        watchKey
	wanted     bool             // needed for this daemon's own traffic, not only for its registry
	views      map[string]*view // by registrar
	superseded incarnationHistory
	merged     map[string]*wire.EndpointState // endpoints in use, by peer
	usedAt     time.Time
	lostAt     time.Time // when registrars stopped answering, zero while one answers
}

// view is the list received from one registrar.
type view struct {
	epoch, version uint64
	warming        bool
	states         map[string]*wire.EndpointState
	heardAt        time.Time
	next           time.Time // next renewal
	renew          time.Duration
	tries          int
}

// fresh reports whether the registrar is alive and has sent a list within three
// renewal intervals.
func (d *Directory) fresh(now time.Time, registrar string, v *view) bool {
	return d.alive(now, registrar) && now.Sub(v.heardAt) < 3*v.renew
}

// Subscribe adds the service to the snapshot and keeps its endpoints up to date.
func (d *Directory) Subscribe(now time.Time, service string) {
	w := d.watch(now, watchKey{service, d.cfg.DataCentre})
	if w.wanted {
		return
	}
	w.wanted = true
	d.dirty = true
	d.tickWatches(now)
	d.flush(now)
}

// Unsubscribe removes the service from the snapshot.
func (d *Directory) Unsubscribe(now time.Time, service string) {
	if w := d.watches[watchKey{service, d.cfg.DataCentre}]; w != nil {
		w.wanted = false
		w.usedAt = now
		d.dirty = true
	}
	d.flush(now)
}

func (d *Directory) watch(now time.Time, key watchKey) *watch {
	w := d.watches[key]
	if w == nil {
		w = &watch{
			key: key, views: make(map[string]*view), superseded: make(incarnationHistory),
			merged: make(map[string]*wire.EndpointState), usedAt: now,
		}
		d.watches[key] = w
		d.dirty = true
	}
	return w
}

func (d *Directory) endWatch(key watchKey) {
	w := d.watches[key]
	if w == nil {
		return
	}
	for _, to := range sortedNames(w.views) {
		d.cancel(to, key.service)
	}
	delete(d.watches, key)
	d.dirty = true
}

func (w *watch) extendDeadlines(gap time.Duration) {
	for _, v := range w.views {
		v.heardAt = v.heardAt.Add(gap)
	}
}

// isRemote reports whether the watch is on another data centre.
func (w *watch) isRemote(d *Directory) bool { return w.key.dataCentre != d.cfg.DataCentre }

func (d *Directory) tickWatches(now time.Time) {
	keys := make([]watchKey, 0, len(d.watches))
	for key := range d.watches {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b watchKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.dataCentre, b.dataCentre))
	})
	for _, key := range keys {
		w := d.watches[key]
		if !w.wanted && now.Sub(w.usedAt) > idleTimeout {
			d.endWatch(key)
			if w.isRemote(d) {
				d.mergeRemote(now, w, nil)
			}
			continue
		}
		targets := d.choose(now, d.rank(key.dataCentre, registrarRole(key.service)), registrarsPerService)
		d.renewViews(now, w, targets)
		d.dropViews(now, w, targets)
	}
}

// renewViews subscribes to the registrars that this watch needs.
func (d *Directory) renewViews(now time.Time, w *watch, targets []string) {
	for _, to := range targets {
		v := w.views[to]
		if v == nil {
			v = &view{states: make(map[string]*wire.EndpointState), heardAt: now, renew: d.cfg.RenewEvery}
			w.views[to] = v
		}
		if !now.Before(v.next) {
			v.next = now.Add(d.cfg.RetryEvery << min(v.tries, 4))
			v.tries++
			d.expectReply(now, to)
			d.subscribe(w, to, v, false)
		}
	}
}

func (d *Directory) subscribe(w *watch, to string, v *view, ack bool) {
	m := &wire.Subscribe{Service: w.key.service, Local: w.isRemote(d), Epoch: v.epoch, Version: v.version, Ack: ack}
	if r := d.services[w.key.service]; r != nil && m.Local {
		m.Registry = r.epoch
	}
	d.send(to, &wire.Member{Kind: &wire.Member_Subscribe{Subscribe: m}})
}

// noteRestart renews a view immediately if its registrar has restarted and so has
// lost its subscribers. The epoch in the registrar's own subscription shows that.
func (d *Directory) noteRestart(now time.Time, from string, m *wire.Subscribe) {
	if m.Registry == 0 {
		return
	}
	for _, name := range d.dataCentres() {
		w := d.watches[watchKey{m.Service, name}]
		if w == nil {
			continue
		}
		if v := w.views[from]; v != nil && v.epoch != 0 && v.epoch != m.Registry {
			v.next = now
		}
	}
}

// receiveList handles a list or change sent by a registrar.
func (d *Directory) receiveList(now time.Time, from string, m *wire.EndpointList) {
	w := d.watches[watchKey{m.Service, m.DataCentre}]
	if w == nil || w.views[from] == nil {
		return
	}
	v := w.views[from]
	v.heardAt = now
	v.tries = 0
	v.renew = max(time.Duration(m.RenewMs)*time.Millisecond, d.cfg.RetryEvery)
	v.next = now.Add(d.jitter(v.renew))
	switch {
	case m.Base == 0:
		v.states = make(map[string]*wire.EndpointState, len(m.Endpoints))
	case m.Epoch != v.epoch || m.Base > v.version:
		v.epoch, v.version = 0, 0
		d.subscribe(w, from, v, false)
		return
	case m.Version < v.version:
		return // delayed on the way
	}
	changed := m.Base == 0 || m.Version != v.version || v.warming != m.Warming
	v.epoch, v.version, v.warming = m.Epoch, m.Version, m.Warming
	for _, s := range m.Endpoints {
		v.states[s.Peer] = s
	}
	for _, peer := range m.Removed {
		delete(v.states, peer)
	}
	if changed {
		d.subscribe(w, from, v, true)
		d.merge(now, w, m.Endpoints)
	}
}

// dropViews removes the views of registrars that do not answer or are no longer
// registrars, once a current registrar that answers has a complete list. Views of
// another data centre are also removed RemoteExpiry after its last registrar
// stopped answering.
func (d *Directory) dropViews(now time.Time, w *watch, targets []string) {
	complete, answers := false, false
	for _, from := range targets {
		v := w.views[from]
		ok := v != nil && d.fresh(now, from, v)
		answers = answers || ok
		complete = complete || (ok && v.epoch != 0 && !v.warming)
	}
	if answers {
		w.lostAt = time.Time{}
	} else if w.lostAt.IsZero() {
		w.lostAt = now
	}
	lost := w.isRemote(d) && !w.lostAt.IsZero() && now.Sub(w.lostAt) > d.cfg.RemoteExpiry
	if !complete && !lost {
		return
	}
	dropped := false
	for _, from := range sortedNames(w.views) {
		v := w.views[from]
		if slices.Contains(targets, from) && d.fresh(now, from, v) {
			continue
		}
		dropped = dropped || len(v.states) > 0
		delete(w.views, from)
		if !slices.Contains(targets, from) {
			d.cancel(from, w.key.service)
		}
	}
	if dropped {
		d.merge(now, w, nil)
	}
}

// cancel ends a subscription.
func (d *Directory) cancel(registrar, service string) {
	m := &wire.Subscribe{Service: service, Cancel: true}
	d.send(registrar, &wire.Member{Kind: &wire.Member_Subscribe{Subscribe: m}})
}

// merge updates the endpoints in use after a change: for each endpoint the newest
// state that any registrar holds. Endpoints missing from all lists are removed
// only if one of the lists is complete.
func (d *Directory) merge(now time.Time, w *watch, updates []*wire.EndpointState) {
	for _, s := range updates {
		if w.superseded.newer(w.merged[s.Peer], s) {
			w.merged[s.Peer] = s
		}
	}
	held := make(map[string]bool)
	for _, v := range w.views {
		for peer, s := range v.states {
			held[peer] = true
			if w.merged[peer] == nil && w.superseded.newer(nil, s) {
				w.merged[peer] = s
			}
		}
	}
	if w.hasCompleteView() {
		for peer := range w.merged {
			if !held[peer] {
				delete(w.merged, peer)
			}
		}
	}
	d.dirty = true
	if w.isRemote(d) {
		d.mergeRemote(now, w, w.merged)
	} else {
		d.adopt(now, w, updates)
	}
}

// adopt copies newer states of local endpoints from the other registrar of this
// data centre, since a daemon may reach only one of the two.
func (d *Directory) adopt(now time.Time, w *watch, updates []*wire.EndpointState) {
	r := d.services[w.key.service]
	if r == nil {
		return
	}
	for _, s := range updates {
		if e := r.entries[s.Peer]; e != nil && !e.remote && s.DataCentre == d.cfg.DataCentre {
			r.put(s, false)
		}
	}
	if r.urgent {
		d.push(now, r)
	}
}

// hasCompleteView reports whether one of the views comes from a registrar that is
// not warming, so that an endpoint missing from all views is gone. It is true if
// there are no views.
func (w *watch) hasCompleteView() bool {
	if len(w.views) == 0 {
		return true
	}
	for _, v := range w.views {
		if v.epoch != 0 && !v.warming {
			return true
		}
	}
	return false
}

// mergeRemote puts another data centre's endpoints into the registry.
func (d *Directory) mergeRemote(now time.Time, w *watch, states map[string]*wire.EndpointState) {
	r := d.services[w.key.service]
	if r == nil {
		return
	}
	for _, peer := range sortedNames(states) {
		r.put(states[peer], true)
	}
	for _, peer := range sortedNames(r.entries) {
		e := r.entries[peer]
		if e.remote && e.state.DataCentre == w.key.dataCentre && states[peer] == nil {
			r.drop(peer)
		}
	}
	d.push(now, r)
}
