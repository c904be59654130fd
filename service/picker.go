package service

import (
	"sync"
	"sync/atomic"
	"time"
)

// Picker chooses endpoints of one service for one daemon. SetEndpoints is
// called by the control goroutine; everything else is safe for concurrent use
// by traffic goroutines and takes no lock but that of one endpoint.
type Picker struct {
	config Config
	self   Location
	seed   uint64
	start  time.Time
	link   Link
	answer atomic.Int64 // smoothed size of an answer's body, bytes
	usual  atomicFloat  // smoothed time of answered attempts at any endpoint less latency, ns

	set  sync.Mutex // serialises SetEndpoints
	view atomic.Pointer[view]
}

// view is an immutable set of endpoints.
type view struct {
	near   [Localities][]*state
	byPeer map[string]*state
}

// NewPicker returns a Picker without endpoints. start is any time before the
// first call, on the clock that the calls use. seed varies the subset.
func NewPicker(start time.Time, c Config, self Location, seed uint64) *Picker {
	p := &Picker{config: c, self: self, seed: seed, start: start}
	p.view.Store(&view{})
	p.answer.Store(answerBytes)
	p.usual.store(float64(c.InitialService))
	return p
}

// SetLink sets the byte budget of the links to other regions; it is called
// before traffic starts. Without one no bytes are counted.
func (p *Picker) SetLink(l Link) { p.link = l }

// SetEndpoints replaces the endpoints of the service. What is known about an
// endpoint is kept unless its incarnation changed.
func (p *Picker) SetEndpoints(endpoints []Endpoint) {
	p.set.Lock()
	defer p.set.Unlock()
	old := p.view.Load()
	var near [Localities][]Endpoint
	for _, e := range endpoints {
		l := p.self.localityOf(e)
		near[l] = append(near[l], e)
	}
	next := &view{byPeer: make(map[string]*state)}
	for l := range near {
		for _, e := range subset(near[l], p.self.Peer, p.seed, p.config.Subset[l]) {
			s := keep(old, e, Locality(l))
			next.near[l] = append(next.near[l], s)
			next.byPeer[e.Peer] = s
		}
	}
	p.view.Store(next)
}

// keep returns the state of e in old if it is the same process with the same
// announcement, a copy of what calls showed if only the announcement changed,
// and a new state otherwise.
func keep(old *view, e Endpoint, l Locality) *state {
	s := old.byPeer[e.Peer]
	if s != nil && s.endpoint == e {
		return s
	}
	next := &state{endpoint: e, locality: l}
	if s == nil || s.endpoint.Incarnation != e.Incarnation {
		return next
	}
	next.inherit(s)
	return next
}

// inherit copies what calls showed about the same process.
func (s *state) inherit(from *state) {
	from.mu.Lock()
	defer from.mu.Unlock()
	s.failures, s.lost, s.ejections = from.failures, from.lost, from.ejections
	s.observedAt = from.observedAt
	s.took.store(from.took.load())
	s.loss.store(from.loss.load())
	s.shownAt.Store(from.shownAt.Load())
	s.passUntil.Store(from.passUntil.Load())
	s.unreached.Store(from.unreached.Load())
	s.report.Store(from.report.Load())
	s.reportedAt.Store(from.reportedAt.Load())
}

// Peers returns the peer addresses of the subset, nearest first: the
// connections that are worth keeping open.
func (p *Picker) Peers() []string {
	var peers []string
	for _, near := range p.view.Load().near {
		for _, s := range near {
			peers = append(peers, s.endpoint.Peer)
		}
	}
	return peers
}

// Begin counts an attempt that is about to be sent to peer. Every Begin is
// followed by one Observe with its result.
func (p *Picker) Begin(peer string) {
	s := p.view.Load().byPeer[peer]
	if s == nil {
		return
	}
	s.inFlight.Add(1)
	s.begun.Add(1)
}

// Observe records the end of an attempt that was begun at peer.
func (p *Picker) Observe(now time.Time, peer string, o Observation) {
	v := p.view.Load()
	s := v.byPeer[peer]
	if s == nil {
		return
	}
	if s.inFlight.Add(-1) < 0 {
		s.inFlight.Add(1) // begun before the endpoint was replaced
	}
	p.learn(o, s.locality)
	t := p.since(now)
	s.observe(t, o, &p.config, func() bool { return v.mayEject(t, p.config.EjectCap) })
}

// usualWeight is the part by which one answer moves the service's averages.
const usualWeight = 1.0 / 32

// learn folds one answer into the averages of the service. An update that is
// lost to a concurrent one does no harm.
func (p *Picker) learn(o Observation, l Locality) {
	if o.Result != Succeeded {
		return
	}
	if o.Bytes > 0 {
		old := p.answer.Load()
		p.answer.Store(old + int64(float64(o.Bytes-old)*usualWeight))
	}
	took := max(float64(o.Took-p.config.Latency[l]), 1)
	old := p.usual.load()
	p.usual.store(old + (took-old)*usualWeight)
}

// since returns the time on the Picker's own clock, ns.
func (p *Picker) since(now time.Time) int64 { return int64(now.Sub(p.start)) }

// mayEject reports whether one more endpoint may be ejected.
func (v *view) mayEject(now int64, limit float64) bool {
	out, all := 0, 0
	for _, near := range v.near {
		for _, s := range near {
			all++
			if now < s.passUntil.Load() && !s.unreached.Load() {
				out++
			}
		}
	}
	return float64(out+1) <= limit*float64(all)
}
