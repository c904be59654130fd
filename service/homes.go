package service

import (
	"slices"
	"time"

	"wisteriafold/request"
)

const (
	// homeRetryAfter is the Retry-After for a call without a usable endpoint in the
	// regions to which it is restricted, or outside the evacuated data centres. An
	// ejected endpoint is tried again after about this time.
	homeRetryAfter = time.Second

	// reportedEvacuationTTL is how long the endpoints of a data centre are not used
	// after one of its gates has reported that it is evacuated. After the end of an
	// evacuation, daemons must not keep away for longer than it takes them to hear
	// of it.
	reportedEvacuationTTL = time.Second
)

var (
	errHomeRegion = &request.Error{
		Outcome: request.NotRun, Reason: request.ReasonHomeRegion, RetryAfter: homeRetryAfter,
		Remedy: "no endpoint in the allowed regions is usable, restore one there or allow another region",
	}
	errEvacuated = &request.Error{
		Outcome: request.NotRun, Reason: request.ReasonEvacuated, RetryAfter: homeRetryAfter,
		Remedy: "no endpoint outside the evacuated data centres is usable, end an evacuation",
	}
)

// noEndpoint returns the error for a call for which no endpoint of v can be used.
func (w *pick) noEndpoint(v *view) *request.Error {
	if w.call.Regions != nil {
		return errHomeRegion
	}
	for _, states := range v.byLocality {
		if slices.ContainsFunc(states, func(s *state) bool { return s.evacuated(w.now) }) {
			return errEvacuated
		}
	}
	return errNoEndpoint
}

// outside reports whether the call is restricted to other regions than that of s.
func (w *pick) outside(s *state) bool {
	return w.call.Regions != nil && !slices.Contains(w.call.Regions, s.endpoint.Region)
}

// evacuated reports whether the data centre of s is evacuated, as far as this daemon
// or, a moment ago, the endpoint's gate knows.
func (s *state) evacuated(now int64) bool {
	return s.endpoint.Evacuated || now < s.evacuatedUntil.Load()
}

// noteEvacuated keeps calls away from a data centre for a moment, because one of its
// gates reported that it is evacuated. The other gates would refuse them, too.
func (v *view) noteEvacuated(now int64, dataCentre string) {
	for _, s := range v.byPeer {
		if s.endpoint.DataCentre == dataCentre {
			s.evacuatedUntil.Store(now + int64(reportedEvacuationTTL))
		}
	}
}

// subsetOf returns the subset of the endpoints of one locality. Evacuated endpoints
// do not take the place of others; those that would be in the subset without the
// others follow, so that decisions list them and their measurements are kept.
func (p *Picker) subsetOf(endpoints []Endpoint, l Locality) []Endpoint {
	n := p.config.Subset[l]
	if !slices.ContainsFunc(endpoints, func(e Endpoint) bool { return e.Evacuated }) {
		return subset(endpoints, p.self.Peer, p.seed, n)
	}
	var usable, evacuated []Endpoint
	for _, e := range endpoints {
		if e.Evacuated {
			evacuated = append(evacuated, e)
		} else {
			usable = append(usable, e)
		}
	}
	return append(subset(usable, p.self.Peer, p.seed, n), subset(evacuated, p.self.Peer, p.seed, n)...)
}

// EnableHomes makes the following calls of SetEndpoints also keep a subset of each
// other region: the subset of all other regions together may contain no endpoint of a
// region to which a call is restricted. It is meant for services with such calls only,
// as the endpoints need memory.
func (p *Picker) EnableHomes() {
	p.set.Lock()
	defer p.set.Unlock()
	p.homes = true
}

// addHomes adds the subset of each other region to next. Endpoints that old or next
// already has keep their state.
func (p *Picker) addHomes(endpoints []Endpoint, next, old *view) {
	next.homes = make(map[string][]*state)
	byRegion := make(map[string][]Endpoint)
	for _, e := range endpoints {
		if p.self.localityOf(e) == OtherRegion {
			byRegion[e.Region] = append(byRegion[e.Region], e)
		}
	}
	for region, all := range byRegion {
		for _, e := range p.subsetOf(all, OtherRegion) {
			s := next.byPeer[e.Peer]
			if s == nil {
				s = stateFor(old, e, OtherRegion)
				next.byPeer[e.Peer] = s
			}
			next.homes[region] = append(next.homes[region], s)
		}
	}
}

// restrictedTo returns a view for a call that is restricted to regions. It also
// contains endpoints of other regions, which the decision lists as skipped.
func (v *view) restrictedTo(regions []string) *view {
	r := &view{byLocality: v.byLocality, byPeer: v.byPeer}
	far := slices.Clone(v.byLocality[OtherRegion])
	for _, region := range regions {
		for _, s := range v.homes[region] {
			if !slices.Contains(far, s) {
				far = append(far, s)
			}
		}
	}
	r.byLocality[OtherRegion] = far
	return r
}
