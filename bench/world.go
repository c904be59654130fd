package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriafold/backend"
	"wisteriafold/request"
	"wisteriafold/service"
)

// roundTrips are the network round trips between daemons.
var roundTrips = [service.Localities]time.Duration{
	500 * time.Microsecond, 2 * time.Millisecond, 40 * time.Millisecond,
}

// callerTrip is the round trip between a caller and its entry.
const callerTrip = 6 * time.Millisecond

// world is one run.
type world struct {
	spec    spec
	policy  policy
	clock   *clock
	rng     *rand.Rand
	account *account

	endpoints [][]*endpoint // by service
	daemons   []*daemon
	byPeer    map[string]*endpoint
	byRegion  map[string][]*daemon
	links     map[string]*link // by sending region
	buckets   map[string]*bucket
	waiting   map[*backend.Ticket]*attempt
}

// endpoint is one backend server with its daemon and gate.
type endpoint struct {
	service.Endpoint
	w       *world
	spec    *serviceSpec
	service int
	daemon  *daemon
	gate    gate
	here    []*attempt // waiting and running

	dead      bool
	failing   bool                              // every call fails at once
	lying     bool                              // reports no load
	slowness  float64                           // factor on the work
	warmth    func(since time.Duration) float64 // factor on the work after a start, nil when warm
	startedAt time.Time
}

// newWorld builds a run of s under p.
func newWorld(s spec, p policy, seed uint64) *world {
	w := &world{
		spec: s, policy: p, clock: newClock(),
		rng:       rand.New(rand.NewPCG(seed, 1)),
		endpoints: make([][]*endpoint, len(s.services)),
		byPeer:    make(map[string]*endpoint),
		byRegion:  make(map[string][]*daemon),
		links:     make(map[string]*link),
		buckets:   make(map[string]*bucket),
		waiting:   make(map[*backend.Ticket]*attempt),
	}
	w.account = newAccount(s)
	for _, site := range s.sites {
		if w.links[site.region] == nil {
			w.links[site.region] = newLink(s.linkRate)
		}
		w.addSite(site)
	}
	for name, c := range s.contracts {
		w.buckets[name] = &bucket{rate: c.rate, burst: c.burst, left: c.burst}
	}
	for _, d := range w.daemons {
		d.connect()
	}
	w.spread()
	return w
}

// addSite adds the endpoints of one data centre.
func (w *world) addSite(site siteSpec) {
	for i := range w.spec.services {
		for n := range site.endpoints {
			w.addEndpoint(site, i, n)
		}
	}
}

func (w *world) addEndpoint(site siteSpec, i, n int) {
	s := &w.spec.services[i]
	e := &endpoint{w: w, spec: s, service: i, slowness: 1}
	e.Endpoint = service.Endpoint{
		Peer:    fmt.Sprintf("%s-%s-%d:7000", s.name, site.dataCentre, n),
		Service: s.name, DataCentre: site.dataCentre, Region: site.region,
		Slots: uint32(s.slots), Connections: uint32(8 * s.slots), Incarnation: 1,
	}
	e.daemon = &daemon{w: w, self: service.Location{Peer: e.Peer, DataCentre: site.dataCentre, Region: site.region}}
	e.gate = w.newGate(s)
	w.endpoints[i] = append(w.endpoints[i], e)
	w.byPeer[e.Peer] = e
	w.daemons = append(w.daemons, e.daemon)
	w.byRegion[site.region] = append(w.byRegion[site.region], e.daemon)
}

// newGate returns the gate of one endpoint of s.
func (w *world) newGate(s *serviceSpec) gate {
	if w.policy.naive || w.policy.fifoGate {
		return &fifoGate{limit: s.slots}
	}
	c := w.policy.gate
	c.Slots, c.MaxConnections = s.slots, 8*s.slots
	return newCoreGate(w, c)
}

// spread tells every daemon the endpoints that are alive.
func (w *world) spread() {
	for i, all := range w.endpoints {
		var known []service.Endpoint
		for _, e := range all {
			if !e.dead {
				known = append(known, e.Endpoint)
			}
		}
		for _, d := range w.daemons {
			d.setEndpoints(i, known)
		}
	}
}

// run plays demand and faults until the end.
func (w *world) run() *account {
	for _, f := range w.spec.faults {
		w.clock.after(f.at, func() { f.do(w) })
	}
	for i := range w.spec.demand {
		w.arrivals(i)
	}
	w.clock.run(w.spec.duration)
	return w.account
}

// oneWay returns the time that bytes take between two places. Bytes between
// regions pass the link in the order of their sending.
func (w *world) oneWay(from, to service.Location, bytes int64) time.Duration {
	switch {
	case from.Region != to.Region:
		return roundTrips[service.OtherRegion]/2 + w.links[from.Region].send(w.clock.elapsed(), bytes)
	case from.DataCentre != to.DataCentre:
		return roundTrips[service.SameRegion] / 2
	default:
		return roundTrips[service.SameDataCentre] / 2
	}
}

// work draws the time that one call works: half fixed, half exponential.
func (e *endpoint) work() time.Duration {
	if e.failing {
		return time.Millisecond
	}
	factor := e.slowness
	if e.warmth != nil {
		factor *= e.warmth(e.w.clock.now.Sub(e.startedAt))
	}
	return time.Duration(float64(e.spec.work) * factor * (0.5 + 0.5*e.w.rng.ExpFloat64()))
}

// kill stops an endpoint; what it holds is lost.
func (e *endpoint) kill() {
	e.dead = true
	for len(e.here) > 0 {
		e.here[0].lose()
	}
}

// restart brings a killed endpoint back as a new process.
func (e *endpoint) restart(warmth func(time.Duration) float64) {
	e.dead = false
	e.Incarnation++
	e.gate = e.w.newGate(e.spec)
	e.startedAt = e.w.clock.now
	e.warmth = warmth
}

// load is the report that rides on an answer.
func (e *endpoint) load() service.Load {
	if e.lying {
		return service.Load{Limit: uint32(e.spec.slots), ServiceTime: time.Millisecond}
	}
	return e.gate.report()
}

// feedback is the admission level that rides on an answer.
func (e *endpoint) feedback() request.Feedback {
	return request.Feedback{Gate: e.gate.level()}
}
