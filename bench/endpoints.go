package bench

import "time"

// Times of the experiments on single endpoints.
const (
	faultFrom = 10 * time.Second
	faultEnds = 25 * time.Second

	spareDemand = 0.65 // demand as a part of the capacity

	away       = 2 * time.Second // from the loss of an endpoint to its restart
	noticed    = time.Second     // from a change of an endpoint to its spread
	coldFor    = 3 * time.Second
	coldFactor = 5
)

// endpointSpec is demand that three of four endpoints can carry.
func endpointSpec(p Params) spec {
	return spec{
		services: chain(p.Depth), sites: oneRegion(),
		demand:   organisations(p.Organisations, spareDemand*capacity(), onceOnly()),
		duration: faultEnds, deadline: deadline, allowance: allowance,
	}
}

// onceOnly is browsing by callers that ask once.
func onceOnly() demandSpec {
	s := browsing()
	s.retries = 0
	return s
}

// victim is the endpoint of the deepest service that has the fault.
func (w *world) victim() *endpoint { return w.endpoints[len(w.endpoints)-1][0] }

// cold is the factor on the work of an endpoint that has just started.
func cold(since time.Duration) float64 {
	if since >= coldFor {
		return 1
	}
	return coldFactor - (coldFactor-1)*since.Seconds()/coldFor.Seconds()
}

// coldSpec is an endpoint that is lost and starts cold.
func coldSpec(p Params) spec {
	s := endpointSpec(p)
	s.faults = []fault{
		{at: faultFrom, do: func(w *world) { w.victim().kill() }},
		{at: faultFrom + noticed, do: (*world).spread},
		{at: faultFrom + away, do: func(w *world) { w.victim().restart(cold) }},
		{at: faultFrom + away + noticed, do: (*world).spread},
	}
	return s
}

// coldStart measures goodput while an endpoint is lost and starts cold.
func coldStart(p Params, seed uint64) Outcome {
	s := coldSpec(p)
	mine := newWorld(s, ours(), seed).run()
	base := newWorld(s, naive(), seed).run()
	return Outcome{
		Measures: []Measure{{
			Name: "cold-start-goodput", Bound: 0.95,
			Value: mine.served(faultEnds), Naive: base.served(faultEnds),
		}},
		Curves: curves(mine, base),
	}
}

// served returns the least ratio of goodput to demand in any second between the
// fault and to.
func (a *account) served(to time.Duration) float64 {
	worst := 1.0
	for at := faultFrom; at+time.Second <= to; at += bin {
		demand := a.demanded(at, at+time.Second, nil)
		worst = min(worst, a.goodput(at, at+time.Second, nil)/demand)
	}
	return worst
}

// slowLiarSpec is an endpoint that reports no load while it is slow.
func slowLiarSpec(p Params) spec {
	s := endpointSpec(p)
	s.faults = []fault{{at: faultFrom, do: func(w *world) {
		w.victim().lying, w.victim().slowness = true, slowFactor
		w.account.forget()
	}}}
	return s
}

// failingLiarSpec is an endpoint that reports no load while it fails at once.
func failingLiarSpec(p Params) spec {
	s := endpointSpec(p)
	s.faults = []fault{{at: faultFrom, do: func(w *world) {
		w.victim().lying, w.victim().failing = true, true
		w.account.forget()
	}}}
	return s
}

// liar measures goodput and the share of attempts of an endpoint that reports
// no load while it is slow, and of one that reports none while it fails.
func liar(p Params, seed uint64) Outcome {
	slow, broken := slowLiarSpec(p), failingLiarSpec(p)
	const fair = 1.0 / (2 * siteEndpoints)
	wm, wb := newWorld(slow, ours(), seed), newWorld(slow, naive(), seed)
	mine, base := wm.run(), wb.run()
	fm, fb := newWorld(broken, ours(), seed), newWorld(broken, naive(), seed)
	mineBroken, baseBroken := fm.run(), fb.run()
	return Outcome{
		Measures: []Measure{
			{Name: "liar-slow-goodput", Bound: 0.95, Value: mine.served(faultEnds), Naive: base.served(faultEnds)},
			{Name: "liar-slow-attempts", Sense: AtMost, Bound: fair, Value: wm.victimPart(), Naive: wb.victimPart()},
			{Name: "liar-failing-goodput", Bound: 0.95, Value: mineBroken.served(faultEnds), Naive: baseBroken.served(faultEnds)},
			{Name: "liar-failing-failures", Sense: AtMost, Bound: fair, Value: fm.victimFailures(), Naive: fb.victimFailures()},
		},
		Curves: curves(mine, base),
	}
}

// victimPart returns the part of the attempts at the victim's service that the
// victim got.
func (w *world) victimPart() float64 {
	total := 0
	for _, e := range w.endpoints[len(w.endpoints)-1] {
		total += w.account.attempts[e]
	}
	return float64(w.account.attempts[w.victim()]) / float64(total)
}

// victimFailures returns the failed attempts at the victim as a part of all
// attempts at its service: what a fair share of traffic would make fail.
func (w *world) victimFailures() float64 {
	total := 0
	for _, e := range w.endpoints[len(w.endpoints)-1] {
		total += w.account.attempts[e]
	}
	return float64(w.account.failures[w.victim()]) / float64(total)
}
