package datacentre

import (
	"slices"
	"strings"
	"time"

	"wisteriafold/service"
)

// Snapshot is the state of a directory at one time. It is immutable and may be
// read by any goroutine.
type Snapshot struct {
	endpoints map[string][]service.Endpoint
	rosters   []Roster
	dataRow   int // index in rosters of the own data centre, -1 if it has no roster
}

// Endpoints returns the endpoints of a subscribed service that are not draining,
// ordered by peer address. The caller must not modify the slice.
func (s *Snapshot) Endpoints(name string) []service.Endpoint { return s.endpoints[name] }

// Subscribed reports whether the directory is subscribed to the service.
func (s *Snapshot) Subscribed(name string) bool {
	_, ok := s.endpoints[name]
	return ok
}

// Rosters returns the rosters of all data centres, ordered by name.
func (s *Snapshot) Rosters() []Roster { return s.rosters }

// Roster returns the roster of the own data centre and true, or false when it is
// unknown.
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

// Counts are the event counters of a directory since it started.
type Counts struct {
	Pauses     uint64 // gaps of more than a second between ticks, after which all deadlines were extended
	Jobs       uint64 // jobs submitted for the store
	JobsFailed uint64 // jobs that failed without reading the table
	Expelled   uint64 // members that this daemon removed from the roster
	Expired    uint64 // endpoints dropped for missing heartbeats
	ListsSent  uint64 // endpoint lists and changes sent to subscribers
}

// Status describes a directory for operators.
type Status struct {
	Listed          bool          // this daemon is on its data centre's roster
	Relay           bool          // this daemon is the relay of at least one group
	Rosters         []Roster      // of all data centres
	RosterAge       time.Duration // time since the rosters were confirmed, negative if never
	StoreError      string        // error of the last job, empty if it succeeded
	Announced       *service.Endpoint
	Acknowledged    []string // registrars that have acknowledged the newest state of the endpoint
	Held            []HeldService
	Subscriptions   []Subscription
	Members         []Member // of the own data centre
	Counts          Counts
	JoinsLeavesOpen int // joins and leaves that wait for the next transaction
}

// HeldService describes a service for which a daemon is a registrar.
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

// Subscription describes a subscription of a daemon to the endpoints of a service
// in one data centre.
type Subscription struct {
	Service    string
	DataCentre string
	Endpoints  int
	Registrars []RegistrarView
}

// RegistrarView describes the endpoint list received from one registrar.
type RegistrarView struct {
	Registrar string
	Endpoints int
	Version   uint64
	Warming   bool
	Age       time.Duration // time since its last list
}

// Member is one member of the own data centre's roster.
type Member struct {
	Address string
	Age     time.Duration // time since its last message, negative if there was none
	Alive   bool          // no request to it has been unanswered for ReplyTimeout
}

// Status returns the state of the directory and its age.
func (d *Directory) Status(now time.Time) Status {
	r := &d.rosters
	st := Status{
		Listed: r.listed(), Relay: len(r.relayedGroups) > 0, Rosters: d.Snapshot().rosters, RosterAge: -1,
		Counts: d.count, JoinsLeavesOpen: len(r.joins) + len(r.leaves),
	}
	if !r.confirmedAt.IsZero() {
		st.RosterAge = now.Sub(r.confirmedAt)
	}
	if r.storeErr != nil {
		st.StoreError = r.storeErr.Error()
	}
	if d.announcer.state != nil {
		e := fromWire(d.announcer.state)
		st.Announced = &e
		for _, to := range sortedNames(d.announcer.acked) {
			if d.announcer.acked[to].revision == d.announcer.state.Revision {
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
