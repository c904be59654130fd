package service

import (
	"math"
	"math/rand/v2"
	"time"

	"wisteriafold/request"
)

// Explanation says how a Picker would choose the endpoint for a call.
type Explanation struct {
	Draws       int           // number of decisions from which the probabilities are estimated
	Endpoints   []Explained   // all endpoints that the decision considers, nearest first
	Refused     float64       // probability that no endpoint is chosen
	Reason      string        // reason of such a refusal, empty if there was none
	Typical     time.Duration // smoothed response time of the service without network latency
	GateTime    time.Duration // smoothed service time that the gates report; 0 before the first report
	AnswerBytes int64         // expected size of the answer body
}

// Explained is what a decision knows of one endpoint.
type Explained struct {
	Endpoint     Endpoint
	Locality     Locality
	Probability  float64            // with which it is chosen
	Why          map[string]float64 // probabilities of the reasons for choosing it; they add up to Probability
	PassedOver   map[string]float64 // probabilities of the reasons for not choosing it
	Cost         time.Duration      // expected time with the cost of bytes
	Latency      time.Duration      // part of Cost: network round trip
	ByteCost     time.Duration      // part of Cost: transfer of the expected bytes
	ResponseTime time.Duration      // measured here without network latency; 0 if there is no measurement
	MeasuredAge  time.Duration      // age of ResponseTime and Loss, -1 if there is no measurement
	Loss         float64            // measured ratio of failed and refused attempts
	Outstanding  float64            // estimated number of calls there
	InFlight     int64              // attempts of this daemon that have not ended
	Limit        float64            // concurrency limit
	Report       *Load              // last load report, nil if there is none
	ReportAge    time.Duration      // age of Report, -1 if there is none
	ReportFresh  bool               // Report is recent enough to be used
	Cold         bool
	PaceWeight   float64       // probability with which it takes part in a decision
	Overflow     float64       // share of its calls that is handed on to farther endpoints
	ExcludedFor  time.Duration // time left of an exclusion after failures, 0 if there is none
}

// tally collects the endpoints that were not chosen in one explained decision.
type tally struct {
	passedOver map[*state]Skip // last reason of each
}

// Clone returns a Picker with the same endpoints, measurements and seed that shares no
// state with p, and no link budget. Clone locks one endpoint at a time.
func (p *Picker) Clone() *Picker {
	p.set.Lock()
	homes := p.homes
	p.set.Unlock()
	c := &Picker{config: p.config, self: p.self, seed: p.seed, start: p.start, homes: homes}
	c.reports.Store(p.reports.Load())
	c.answerSize.Store(p.answerSize.Load())
	c.typical.store(p.typical.load())
	c.gateTime.store(p.gateTime.load())
	c.view.Store(p.view.Load().clone())
	return c
}

// clone returns a view whose states are copies.
func (v *view) clone() *view {
	next := &view{byPeer: make(map[string]*state, len(v.byPeer))}
	copies := make(map[*state]*state, len(v.byPeer))
	copyAll := func(states []*state) []*state {
		out := make([]*state, 0, len(states))
		for _, s := range states {
			if copies[s] == nil {
				copies[s] = s.clone()
			}
			out = append(out, copies[s])
		}
		return out
	}
	for l, states := range v.byLocality {
		next.byLocality[l] = copyAll(states)
	}
	if v.homes != nil {
		next.homes = make(map[string][]*state, len(v.homes))
	}
	for region, states := range v.homes {
		next.homes[region] = copyAll(states)
	}
	for peer, s := range v.byPeer {
		next.byPeer[peer] = copyAll([]*state{s})[0]
	}
	return next
}

// clone returns a copy of s.
func (s *state) clone() *state {
	c := &state{endpoint: s.endpoint, locality: s.locality}
	c.copyMeasurements(s)
	c.inFlight.Store(s.inFlight.Load())
	c.sentSinceReport.Store(s.sentSinceReport.Load())
	c.draining.Store(s.draining.Load())
	c.evacuatedUntil.Store(s.evacuatedUntil.Load())
	return c
}

// Explain explains the choice for an attempt of call, as Pick would make it. It makes
// draws decisions on a copy of the state, so that p stays as it is and concurrent
// decisions are not delayed. The draws do not affect each other: none is sent, and the
// random phase of a cold share that the first one draws is later than now, which skips the
// endpoint whatever the phase is. tried lists the peers of earlier attempts. The budget of
// links is not taken into account, because asking it charges it.
func (p *Picker) Explain(now time.Time, rng *rand.Rand, call *request.Call, tried []string, draws int) Explanation {
	c := p.Clone()
	v := c.viewFor(call)
	x := Explanation{
		Draws: draws, Typical: time.Duration(c.typical.load()), GateTime: time.Duration(c.gateTime.load()),
	}
	w := pick{picker: c, now: c.since(now), rng: rng, call: call, tried: tried}
	x.AnswerBytes = w.expectedBytes() - max(call.BodyBytes, 0) - 2*headerBytes
	index := make(map[*state]int)
	for _, states := range v.byLocality {
		for _, s := range states {
			index[s] = len(x.Endpoints)
			x.Endpoints = append(x.Endpoints, w.explain(s))
		}
	}
	for range draws {
		t := tally{passedOver: make(map[*state]Skip)}
		d := pick{picker: c, now: w.now, rng: rng, call: call, tried: tried, tally: &t}
		best, err := d.decide(v)
		part := 1 / float64(draws)
		if err != nil {
			x.Refused += part
			x.Reason = string(err.Reason)
		} else {
			e := &x.Endpoints[index[best.state]]
			e.Probability += part
			e.Why[d.decision.Why.String()] += part
			delete(t.passedOver, best.state)
		}
		for s, why := range t.passedOver {
			x.Endpoints[index[s]].PassedOver[why.String()] += part
		}
	}
	return x
}

// explain returns what the decision knows of s.
func (w *pick) explain(s *state) Explained {
	c := &w.picker.config
	r := s.freshReport(w.now, c.ReportTTL)
	e := Explained{
		Endpoint: s.endpoint, Locality: s.locality,
		Why: make(map[string]float64), PassedOver: make(map[string]float64),
		Cost:         durationOf(w.cost(s)),
		Latency:      c.Latency[s.locality],
		ByteCost:     durationOf(float64(c.ByteTime[s.locality]) * float64(w.expectedBytes()) / kib),
		ResponseTime: durationOf(s.responseTime.load()),
		MeasuredAge:  -1,
		Loss:         s.loss.load(),
		Outstanding:  s.outstanding(r),
		InFlight:     s.inFlight.Load(),
		Limit:        s.limit(r),
		Report:       s.report.Load(),
		ReportAge:    -1,
		ReportFresh:  r != nil,
		Cold:         s.cold.isCold(w.now),
		PaceWeight:   w.paceWeight(s),
		Overflow:     s.overflow.share.load(),
		ExcludedFor:  time.Duration(max(s.excludedUntil.Load()-w.now, 0)),
	}
	if at := s.measuredAt.Load(); at != 0 {
		e.MeasuredAge = time.Duration(max(w.now-at, 0))
	}
	if e.Report != nil {
		e.ReportAge = time.Duration(max(w.now-s.reportedAt.Load(), 0))
	}
	return e
}

// durationOf converts a time in ns, which may be out of range.
func durationOf(ns float64) time.Duration {
	return time.Duration(min(ns, math.MaxInt64/2))
}
