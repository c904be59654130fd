package service

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriafold/request"
)

// Sizes in bytes charged to a link in addition to the request body.
const (
	headerBytes        = 512     // headers and framing, in each direction
	defaultAnswerBytes = 4 << 10 // assumed answer body before any answer with a body was received
)

// candidate is the cheapest endpoint drawn in one locality.
type candidate struct {
	state *state
	cost  float64 // ns
}

// pick holds the state of one decision.
type pick struct {
	picker   *Picker
	now      int64
	rng      *rand.Rand
	call     *request.Call
	tried    []string
	decision Decision
	usable   [maxSubset]*state
	tally    *tally // nil unless the decision is explained

	beyondShare bool // cold endpoints are used beyond this daemon's share
	coldPassed  bool // an endpoint was skipped because it is cold
	pacePassed  bool // an endpoint was skipped because it is paced
}

// Pick chooses the endpoint for one attempt of call. tried lists the peers that
// refused or lost earlier attempts of the call; they are not chosen again. The
// error is a *request.Error with outcome NotRun. rng must not be used by another
// goroutine during the call. The caller must call Begin for the chosen endpoint.
func (p *Picker) Pick(now time.Time, rng *rand.Rand, call *request.Call, tried []string) (Endpoint, Decision, error) {
	w := pick{picker: p, now: p.since(now), rng: rng, call: call, tried: tried}
	best, err := w.decide(p.viewFor(call))
	if err != nil {
		return Endpoint{}, w.decision, err
	}
	best.state.cold.take(w.now)
	w.decision.Peer = best.state.endpoint.Peer
	w.decision.Locality = best.state.locality
	w.decision.Cost = time.Duration(best.cost)
	return best.state.endpoint, w.decision, nil
}

// viewFor returns the view that a decision about call uses.
func (p *Picker) viewFor(call *request.Call) *view {
	v := p.view.Load()
	if call.Regions != nil {
		v = v.restrictedTo(call.Regions)
	}
	return v
}

// decide returns the endpoint for the call, or the refusal if none can be used.
func (w *pick) decide(v *view) (candidate, *request.Error) {
	best := w.choose(v)
	if best.state == nil && (w.coldPassed || w.pacePassed) {
		// The gates of these endpoints know how many calls they have got.
		w.beyondShare = true
		best = w.choose(v)
	}
	if best.state == nil {
		best = w.failOpen(v)
	}
	if best.state != nil {
		return best, nil
	}
	if w.coldPassed {
		return candidate{}, errOnlyCold
	}
	return candidate{}, w.noEndpoint(v)
}

// passOver records that an endpoint was not chosen.
func (w *pick) passOver(s *state, why Skip, cost float64) {
	w.decision.addPassedOver(s.endpoint.Peer, why, time.Duration(cost))
	if w.tally != nil {
		w.tally.passedOver[s] = why
	}
}

var errNoEndpoint = request.NewNotRunError(request.ReasonNoEndpoint,
	"check that endpoints of the service are announced, not draining and reachable (wisteriafold status)")

// choose returns the best candidate of all localities, compared nearest first.
// Its state is nil if no endpoint is usable.
func (w *pick) choose(v *view) candidate {
	var best candidate
	for l, states := range v.byLocality {
		c := w.draw(states, best.state != nil)
		if c.state == nil {
			continue
		}
		if best.state == nil {
			if !w.chargeLink(c) {
				continue
			}
			best = c
			w.decision.Why = w.nearestReason(Locality(l), v)
			continue
		}
		why, skip := WhySpill, SkipHigherCost
		if !w.spills(best, c) {
			if !w.handsOn(best, c) {
				continue
			}
			why, skip = WhyOverflow, SkipShedding
		}
		if !w.chargeLink(c) {
			continue
		}
		w.passOver(best.state, skip, best.cost)
		w.decision.Why = why
		best = c
	}
	return best
}

// nearestReason returns why l, the nearest usable locality, was chosen.
func (w *pick) nearestReason(l Locality, v *view) Why {
	for nearer := range l {
		if len(v.byLocality[nearer]) > 0 {
			return WhyFarther
		}
	}
	if w.decision.Usable == 1 {
		return WhyOnly
	}
	return WhyLowestCost
}

// draw returns the cheapest of up to Choices endpoints drawn at random from the
// usable ones of a locality. nearer means that a nearer locality has a candidate.
func (w *pick) draw(states []*state, nearer bool) candidate {
	n := 0
	for _, s := range states {
		if n == maxSubset {
			break
		}
		if why := w.skip(s, nearer); why != SkipNone {
			w.passOver(s, why, 0)
			continue
		}
		w.usable[n] = s
		n++
	}
	w.decision.Usable += n
	var best candidate
	for range min(w.picker.config.Choices, n) {
		i := w.rng.IntN(n)
		s := w.usable[i]
		n--
		w.usable[i] = w.usable[n]
		c := candidate{state: s, cost: w.cost(s)}
		if best.state == nil {
			best = c
			continue
		}
		worse := c
		if w.prefers(c, &best) {
			best, worse = c, best
		}
		w.passOver(worse.state, SkipHigherCost, worse.cost)
	}
	return best
}

// paceWeight returns the probability with which s takes part in the decision.
func (w *pick) paceWeight(s *state) float64 {
	return s.paceWeight(w.now, w.picker.reports.Load(), w.picker.typical.load())
}

// prefers reports whether c is chosen instead of best. A paced endpoint is as likely to
// be chosen as the other one, and then counts as equally expensive.
func (w *pick) prefers(c candidate, best *candidate) bool {
	if w.beyondShare || w.paceWeight(c.state) == 1 && w.paceWeight(best.state) == 1 {
		return c.cost < best.cost
	}
	return w.rng.IntN(2) == 0
}

// cost returns the expected time of one attempt at s plus the cost of its bytes
// (Config.ByteTime), in ns.
func (w *pick) cost(s *state) float64 {
	perKiB := float64(w.picker.config.ByteTime[s.locality])
	return s.cost(w.now, &w.picker.config, w.picker.typical.load(), w.picker.gateTime.load()) + perKiB*float64(w.expectedBytes())/kib
}

// expectedBytes returns the expected size of an attempt in both directions, in
// bytes.
func (w *pick) expectedBytes() int64 {
	back := w.call.AnswerBytes
	if back <= 0 {
		back = w.picker.answerSize.Load()
	}
	return max(w.call.BodyBytes, 0) + back + 2*headerBytes
}

const kib = 1 << 10

// skip returns the reason for which this call cannot use s, or SkipNone. nearer
// means that a nearer locality has a candidate.
func (w *pick) skip(s *state, nearer bool) Skip {
	if w.outside(s) {
		return SkipHomeRegion
	}
	if slices.Contains(w.tried, s.endpoint.Peer) {
		return SkipTried
	}
	if why := s.skip(w.now); why != SkipNone {
		return why
	}
	if s.cold.skips(w.now, w.rng, w.beyondShare) {
		w.coldPassed = true
		return SkipCold
	}
	if !w.beyondShare {
		if p := w.paceWeight(s); p < 1 && w.rng.Float64() >= p {
			w.pacePassed = true
			return SkipPaced
		}
	}
	if s.locality != OtherRegion {
		return SkipNone
	}
	if nearer && w.hasLargeBody() {
		return SkipLargeBody
	}
	// Without a usable endpoint in a nearer locality, the call is sent and the
	// remote gate decides. The gate knows the current demand of its region; the
	// load report may be out of date.
	if nearer && !w.hasHeadroom(s) {
		return SkipNoHeadroom
	}
	return SkipNone
}

// hasLargeBody reports whether the request body is large enough to stay in its
// region. A body of unknown size counts as large.
func (w *pick) hasLargeBody() bool {
	limit := w.picker.config.LargeBody
	return limit > 0 && (w.call.BodyBytes < 0 || w.call.BodyBytes >= limit)
}

// hasHeadroom reports whether s, an endpoint in another region, has spare
// capacity for a call of this importance. Without a fresh load report it admits
// one attempt at a time, which serves as a probe.
func (w *pick) hasHeadroom(s *state) bool {
	c := &w.picker.config
	share := c.Headroom[min(int(w.call.Importance), len(c.Headroom)-1)]
	if share <= 0 {
		return false
	}
	r := s.freshReport(w.now, c.ReportTTL)
	if r == nil {
		return s.inFlight.Load() == 0
	}
	if r.Level > 0 || r.Queued > 0 {
		return false
	}
	return s.outstanding(r)+1 <= share*s.limit(r)/s.slowdown(w.now, r, w.picker.gateTime.load(), c)
}

// spills decides at random whether the call goes to the farther candidate. The
// probability is the cost advantage divided by SpillSpan.
func (w *pick) spills(near, far candidate) bool {
	advantage := near.cost - far.cost
	if advantage <= 0 {
		return false
	}
	span := float64(w.picker.config.SpillSpan)
	return advantage >= span || w.rng.Float64()*span < advantage
}

// chargeLink charges the expected bytes of the call to the link if c is in
// another region. It reports whether the call may use c.
func (w *pick) chargeLink(c candidate) bool {
	if c.state.locality != OtherRegion || w.picker.link == nil {
		return true
	}
	out := max(w.call.BodyBytes, 0) + headerBytes
	back := w.picker.answerSize.Load() + headerBytes
	if w.picker.link.Take(c.state.endpoint.Region, out, back) {
		return true
	}
	w.passOver(c.state, SkipLinkBudget, c.cost)
	return false
}

// failOpen returns an ejected or unreachable endpoint for use when no endpoint
// is usable: of the nearest locality that has any, the one whose exclusion ends
// first.
func (w *pick) failOpen(v *view) candidate {
	var best *state
	for _, states := range v.byLocality {
		for _, s := range states {
			why := s.skip(w.now)
			if why != SkipEjected && why != SkipUnreachable || w.outside(s) || slices.Contains(w.tried, s.endpoint.Peer) {
				continue
			}
			if best == nil || s.excludedUntil.Load() < best.excludedUntil.Load() {
				best = s
			}
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		return candidate{}
	}
	c := candidate{state: best, cost: w.cost(best)}
	if !w.chargeLink(c) {
		return candidate{}
	}
	w.decision.Why = WhyFailOpen
	return c
}
