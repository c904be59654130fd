package bench

// Contracts of the heavy organisation's experiment.
const (
	heavyFactor  = 10  // demand of the heavy organisation as a multiple of its rate
	withinPart   = 0.9 // demand of the others as a part of theirs
	contractPart = 0.9 // all rates together as a part of the capacity
	oversoldPart = 1.5 // the same where more is sold than there is
	burstSeconds = 1.0 // bursts in seconds of the rate
)

// heavySpec is one organisation that sends ten times its rate from the warm-up
// on, while the rest stay within theirs.
func heavySpec(p Params, sold float64) spec {
	demand := organisations(p.Organisations, sold*capacity(), browsing())
	contracts := make(map[string]contractSpec)
	for i := range demand {
		d := &demand[i]
		rate := d.rate(0)
		contracts[d.organisation] = contractSpec{rate: rate, burst: rate * burstSeconds}
		d.rate = steady(rate * withinPart)
		if i == len(demand)-1 {
			d.rate = surge(rate*withinPart, rate*heavyFactor, warmUp, p.Duration)
		}
		d.retries = 0
	}
	return spec{
		services: chain(p.Depth), sites: oneRegion(), demand: demand, contracts: contracts,
		duration: p.Duration, deadline: deadline, allowance: allowance,
	}
}

// heavyOrganisation measures how the others fare.
func heavyOrganisation(p Params, seed uint64) Outcome {
	s, o := heavySpec(p, contractPart), heavySpec(p, oversoldPart)
	o.contracts = nil
	mine := newWorld(s, ours(), seed).run()
	base := newWorld(s, naive(), seed).run()
	mineOver := newWorld(o, ours(), seed).run()
	baseOver := newWorld(o, naive(), seed).run()
	return Outcome{
		Measures: []Measure{
			{Name: "heavy-worst-served", Bound: 0.95, Value: mine.worstServed(), Naive: base.worstServed()},
			{Name: "heavy-refused-within-rate", Sense: AtMost, Bound: 0.001, Value: mine.refusedWithin(), Naive: base.refusedWithin()},
			{Name: "heavy-no-contracts-worst-served", Bound: 0.95, Value: mineOver.worstServed(), Naive: baseOver.worstServed()},
		},
		Curves: curves(mineOver, baseOver),
	}
}

// worstServed returns the least ratio of any organisation's goodput to the
// smaller of its demand and its fair share of the capacity.
func (a *account) worstServed() float64 {
	shares := a.fairShares()
	worst := 1.0
	for i, s := range a.streams {
		got := s.completed.rate(warmUp, a.spec.duration)
		worst = min(worst, got/shares[i])
	}
	return worst
}

// fairShares returns the max-min fair division of the capacity by weight, cut
// to demand and, where there are contracts, to the rate of the contract.
func (a *account) fairShares() []float64 {
	wants := make([]float64, len(a.streams))
	for i, s := range a.streams {
		wants[i] = s.offered.rate(warmUp, a.spec.duration)
		if c, ok := a.spec.contracts[a.spec.demand[i].organisation]; ok {
			wants[i] = min(wants[i], c.rate)
		}
	}
	shares := make([]float64, len(wants))
	room := capacity()
	for range wants {
		a.fill(wants, shares, room)
	}
	return shares
}

// fill gives each stream that is not yet satisfied its part of what the
// satisfied ones leave.
func (a *account) fill(wants, shares []float64, room float64) {
	weights := 0.0
	for i := range wants {
		if shares[i] > 0 && shares[i] >= wants[i] {
			room -= wants[i]
			continue
		}
		weights += a.spec.demand[i].weight
	}
	for i := range wants {
		if shares[i] > 0 && shares[i] >= wants[i] {
			continue
		}
		shares[i] = min(wants[i], room*a.spec.demand[i].weight/weights)
	}
}

// refusedWithin returns the part of the requests of organisations within their
// rate that were not served after the warm-up.
func (a *account) refusedWithin() float64 {
	var refused, all float64
	for i, s := range a.streams {
		d := a.spec.demand[i]
		if d.rate(warmUp) > a.spec.contracts[d.organisation].rate {
			continue
		}
		all += s.asked.sum(warmUp, a.spec.duration)
		refused += s.refused.sum(warmUp, a.spec.duration)
	}
	return refused / all
}
