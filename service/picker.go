package service

import (
	"sync"
	"sync/atomic"
	"time"
)

// Picker chooses endpoints of one service for one daemon. SetEndpoints is
// called by the control goroutine. The other methods, except SetLinkBudget, are safe
// for concurrent use by traffic goroutines and lock at most one endpoint.
type Picker struct {
	config     Config
	self       Location
	seed       uint64
	start      time.Time
	link       LinkBudget
	reports    atomic.Int64 // reports received of paced endpoints
	answerSize atomic.Int64 // smoothed size of answer bodies, bytes
	typical    atomicFloat  // smoothed response time over all endpoints, without network latency, ns
	gateTime   atomicFloat  // smoothed service time in the reports with a work percent of all endpoints, ns; 0 before the first

	set   sync.Mutex // serialises SetEndpoints
	homes bool       // see EnableHomes
	view  atomic.Pointer[view]
}

// view is an immutable set of endpoints.
type view struct {
	byLocality [Localities][]*state
	byPeer     map[string]*state
	homes      map[string][]*state // subset of each other region; nil without EnableHomes
}

// NewPicker returns a Picker without endpoints. start is a time before the first
// call, on the clock whose times are passed to Pick and Observe. seed varies the
// subset.
func NewPicker(start time.Time, c Config, self Location, seed uint64) *Picker {
	p := &Picker{config: c, self: self, seed: seed, start: start}
	p.view.Store(&view{})
	p.answerSize.Store(defaultAnswerBytes)
	p.typical.store(float64(c.InitialServiceTime))
	return p
}

// SetLinkBudget sets the byte budget of the links to other regions. It must be called
// before traffic starts. Without a budget no bytes are charged.
func (p *Picker) SetLinkBudget(l LinkBudget) { p.link = l }

// SetEndpoints replaces the endpoints of the service. The measurements of an
// endpoint are kept unless its incarnation changed.
func (p *Picker) SetEndpoints(endpoints []Endpoint) {
	p.set.Lock()
	defer p.set.Unlock()
	old := p.view.Load()
	var byLocality [Localities][]Endpoint
	for _, e := range endpoints {
		l := p.self.localityOf(e)
		byLocality[l] = append(byLocality[l], e)
	}
	next := &view{byPeer: make(map[string]*state)}
	for l := range byLocality {
		for _, e := range p.subsetOf(byLocality[l], Locality(l)) {
			s := stateFor(old, e, Locality(l))
			s.setPacing(e.SlowStart)
			s.cold.announce(e.ColdShare, p.since(e.ColdUntil))
			next.byLocality[l] = append(next.byLocality[l], s)
			next.byPeer[e.Peer] = s
		}
	}
	if p.homes {
		p.addHomes(endpoints, next, old)
	}
	p.view.Store(next)
}

// stateFor returns the state for e: the one in old if the endpoint is unchanged,
// a new one with the old measurements if the incarnation is the same, and an
// empty one otherwise.
func stateFor(old *view, e Endpoint, l Locality) *state {
	s := old.byPeer[e.Peer]
	e.ColdShare, e.ColdUntil, e.SlowStart = 0, time.Time{}, 0 // they are kept in the state, and do not make another endpoint
	if s != nil && s.endpoint == e {
		return s
	}
	next := &state{endpoint: e, locality: l}
	if s == nil || s.endpoint.Incarnation != e.Incarnation {
		return next
	}
	next.copyMeasurements(s)
	return next
}

// copyMeasurements copies the measurements of an earlier state of the same
// incarnation. Counts of attempts in flight and the draining flag are not copied.
func (s *state) copyMeasurements(from *state) {
	from.mu.Lock()
	defer from.mu.Unlock()
	s.failures, s.failedDials, s.ejections = from.failures, from.failedDials, from.ejections
	s.observedAt = from.observedAt
	s.responseTime.store(from.responseTime.load())
	s.loss.store(from.loss.load())
	s.measuredAt.Store(from.measuredAt.Load())
	s.excludedUntil.Store(from.excludedUntil.Load())
	s.dialsFailed.Store(from.dialsFailed.Load())
	s.report.Store(from.report.Load())
	s.reportedAt.Store(from.reportedAt.Load())
	s.cold.copyFrom(&from.cold)
	s.copyPacing(from)
	s.usual.copyFrom(&from.usual)
	s.overflow.share.store(from.overflow.share.load())
	s.overflow.changedAt = from.overflow.changedAt
}

// Peers returns the peer addresses of the subset, nearest first. The daemon
// keeps connections to them open.
func (p *Picker) Peers() []string {
	var peers []string
	for _, states := range p.view.Load().byLocality {
		for _, s := range states {
			peers = append(peers, s.endpoint.Peer)
		}
	}
	return peers
}

// Begin counts an attempt that is about to be sent to peer. Every Begin must be
// followed by one Observe.
func (p *Picker) Begin(peer string) {
	s := p.view.Load().byPeer[peer]
	if s == nil {
		return
	}
	s.inFlight.Add(1)
	s.sentSinceReport.Add(1)
}

// Observe records the result of an attempt that was sent to peer.
func (p *Picker) Observe(now time.Time, peer string, o Observation) {
	v := p.view.Load()
	s := v.byPeer[peer]
	if s == nil {
		return
	}
	if s.inFlight.Add(-1) < 0 {
		s.inFlight.Add(1) // the attempt began before the endpoint's state was replaced
	}
	if o.Report != nil && s.pace.duration.Load() > 0 {
		p.reports.Add(1)
	}
	p.updateService(o, s.locality)
	p.updateGateTime(o.Report)
	t := p.since(now)
	if o.Report != nil && o.Report.Evacuated {
		v.noteEvacuated(t, s.endpoint.DataCentre)
	}
	s.observe(t, o, &p.config, func() bool { return v.mayEject(t, p.config.EjectCap) })
}

// serviceWeight is the weight of one answer in the averages of the service.
const serviceWeight = 1.0 / 32

// updateService updates the service's averages of response time and answer size.
// Concurrent calls may overwrite each other's update, which is harmless for an
// average.
func (p *Picker) updateService(o Observation, l Locality) {
	if o.Result != Succeeded {
		return
	}
	if o.Bytes > 0 {
		old := p.answerSize.Load()
		p.answerSize.Store(old + int64(float64(o.Bytes-old)*serviceWeight))
	}
	took := max(float64(o.Duration-p.config.Latency[l]), 1)
	old := p.typical.load()
	p.typical.store(old + (took-old)*serviceWeight)
}

// gateTimeWeight is the weight of one report in the average service time of the gates.
const gateTimeWeight = 1.0 / 256

// updateGateTime updates the average service time of the gates with a report that has
// a work percent.
func (p *Picker) updateGateTime(r *Load) {
	if r == nil || r.WorkPercent == 0 || r.ServiceTime == 0 {
		return
	}
	old := p.gateTime.load()
	if old == 0 {
		old = float64(r.ServiceTime)
	}
	p.gateTime.store(old + (float64(r.ServiceTime)-old)*gateTimeWeight)
}

// since returns the time from the Picker's start to now, in ns.
func (p *Picker) since(now time.Time) int64 { return int64(now.Sub(p.start)) }

// mayEject reports whether one more endpoint may be ejected. limit is the largest
// ejected fraction of the subset.
func (v *view) mayEject(now int64, limit float64) bool {
	ejected, total := 0, 0
	for _, states := range v.byLocality {
		for _, s := range states {
			if s.endpoint.Evacuated {
				continue
			}
			total++
			if now < s.excludedUntil.Load() && !s.dialsFailed.Load() {
				ejected++
			}
		}
	}
	return float64(ejected+1) <= limit*float64(total)
}
