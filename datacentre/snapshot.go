package datacentre

import (
	"slices"
	"strings"
	"time"

	"wisteriafold/service"
)

// Snapshot is what a directory knew at one time. It never changes and may be
// read by any goroutine.
type Snapshot struct {
	endpoints map[string][]service.Endpoint
	rosters   []Roster
	dataRow   int // index of the own data centre's roster, -1 for none
}

// Endpoints returns the endpoints of a subscribed service that take work,
// ordered by peer address. The slice must not be changed.
func (s *Snapshot) Endpoints(name string) []service.Endpoint { return s.endpoints[name] }

// Subscribed reports whether the directory keeps that service.
func (s *Snapshot) Subscribed(name string) bool {
	_, ok := s.endpoints[name]
	return ok
}

// Rosters returns the rosters of all data centres, ordered by name.
func (s *Snapshot) Rosters() []Roster { return s.rosters }

// Roster returns the roster of the own data centre, and whether it is known.
func (s *Snapshot) Roster() (Roster, bool) {
	if s.dataRow < 0 {
		return Roster{}, false
	}
	return s.rosters[s.dataRow], true
}

// Snapshot returns the newest snapshot. Any goroutine may call it.
func (d *Directory) Snapshot() *Snapshot { return d.published.Load() }

func (d *Directory) publish(_ time.Time) {
	d.dirty = false
	s := &Snapshot{endpoints: make(map[string][]service.Endpoint), dataRow: -1}
	for key, w := range d.watches {
		if !w.wanted {
			continue
		}
		list := make([]service.Endpoint, 0, len(w.merged))
		for _, state := range w.merged {
			if !state.Draining {
				list = append(list, fromWire(state))
			}
		}
		slices.SortFunc(list, func(a, b service.Endpoint) int { return strings.Compare(a.Peer, b.Peer) })
		s.endpoints[key.service] = list
	}
	for i, name := range d.dataCentres() {
		v := d.rosters.rows[name].value
		if name == d.cfg.DataCentre {
			s.dataRow = i
		}
		s.rosters = append(s.rosters, Roster{
			DataCentre: name, Region: v.Region, Version: v.Version,
			Addresses: v.Addresses, Expelled: v.Expelled, ConfirmedAt: d.rosters.confirmedAt,
		})
	}
	d.published.Store(s)
}

// Counts are what a directory has done since it started.
type Counts struct {
	Pauses     uint64 // gaps on its clock after which it gave everybody a new term
	Jobs       uint64 // jobs submitted for the store
	JobsFailed uint64 // of these, how many read nothing
	Expelled   uint64 // members taken off the roster
	Expired    uint64 // endpoints dropped for missing heartbeats
	ListsSent  uint64 // endpoint lists and changes sent to subscribers
}

// Status describes a directory for operators.
type Status struct {
	Listed          bool          // on its data centre's roster
	Relay           bool          // answers others about rosters
	Rosters         []Roster      // of all data centres
	RosterAge       time.Duration // since the rosters were confirmed, negative when never
	StoreError      string        // of the last job, empty when it went well
	Announced       *service.Endpoint
	Acknowledged    []string // registrars that hold the newest state of the endpoint
	Held            []HeldService
	Subscriptions   []Subscription
	Members         []Member // of the own data centre
	Counts          Counts
	JoinsLeavesOpen int // requests that wait for the next transaction
}

// HeldService is what a daemon holds as a registrar.
type HeldService struct {
	Service     string
	Local       int // endpoints of its own data centre
	Remote      int // endpoints of other data centres
	Draining    int
	Subscribers int
	Behind      int // subscribers that have not acknowledged the newest version
	Version     uint64
	Warming     bool
}

// Subscription is what a daemon knows of a service.
type Subscription struct {
	Service    string
	DataCentre string
	Endpoints  int
	Registrars []RegistrarView
}

// RegistrarView is what one registrar has told.
type RegistrarView struct {
	Registrar string
	Endpoints int
	Version   uint64
	Warming   bool
	Age       time.Duration // since it was heard from
}

// Member is one member of the own data centre's roster.
type Member struct {
	Address string
	Age     time.Duration // since it was heard from, negative when never
	Alive   bool          // has not left a question unanswered
}

// Status returns what the directory holds and how old it is.
func (d *Directory) Status(now time.Time) Status {
	r := &d.rosters
	st := Status{
		Listed: r.listed(), Relay: len(r.led) > 0, Rosters: d.Snapshot().rosters, RosterAge: -1,
		Counts: d.count, JoinsLeavesOpen: len(r.joins) + len(r.leaves),
	}
	if !r.confirmedAt.IsZero() {
		st.RosterAge = now.Sub(r.confirmedAt)
	}
	if r.storeErr != nil {
		st.StoreError = r.storeErr.Error()
	}
	if d.own.state != nil {
		e := fromWire(d.own.state)
		st.Announced = &e
		for _, to := range sortedNames(d.own.acked) {
			if d.own.acked[to].revision == d.own.state.Revision {
				st.Acknowledged = append(st.Acknowledged, to)
			}
		}
	}
	for _, name := range sortedNames(d.services) {
		st.Held = append(st.Held, d.services[name].status(d, now))
	}
	st.Subscriptions = d.subscriptions(now)
	for _, a := range r.ownRow().addresses() {
		m := Member{Address: a, Age: -1, Alive: d.alive(now, a)}
		if c := d.peers[a]; c != nil && !c.heardAt.IsZero() {
			m.Age = now.Sub(c.heardAt)
		}
		st.Members = append(st.Members, m)
	}
	return st
}

func (r *registry) status(d *Directory, now time.Time) HeldService {
	h := HeldService{Service: r.service, Subscribers: len(r.subs), Version: r.version, Warming: r.warming(d, now)}
	for _, e := range r.entries {
		switch {
		case e.state.Draining:
			h.Draining++
		case e.remote:
			h.Remote++
		default:
			h.Local++
		}
	}
	for _, s := range r.subs {
		if s.acked != r.version {
			h.Behind++
		}
	}
	return h
}

func (d *Directory) subscriptions(now time.Time) []Subscription {
	var out []Subscription
	for key, w := range d.watches {
		sub := Subscription{Service: key.service, DataCentre: key.dataCentre, Endpoints: len(w.merged)}
		for _, from := range sortedNames(w.views) {
			v := w.views[from]
			sub.Registrars = append(sub.Registrars, RegistrarView{
				Registrar: from, Endpoints: len(v.states), Version: v.version, Warming: v.warming, Age: now.Sub(v.heardAt),
			})
		}
		out = append(out, sub)
	}
	slices.SortFunc(out, func(a, b Subscription) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	return out
}
