package bench

import (
	"fmt"
	"time"

	"wisteriafold/request"
)

// Demand of callers that retry hard.
const (
	hardRetries = 8
	hardPause   = 50 * time.Millisecond

	warmUp = 5 * time.Second // before figures are taken

	importantPart = 0.2 // demand of important requests as a part of the capacity
)

// organisations splits a rate over n organisations of which the first quarter
// has twice the weight and the demand of the others.
func organisations(n int, rate float64, s demandSpec) []demandSpec {
	large := max(n/4, 1)
	total := float64(n + large)
	var all []demandSpec
	for i := range n {
		s.organisation = fmt.Sprintf("org%d", i)
		s.weight = 1
		if i < large {
			s.weight = 2
		}
		s.rate = steady(rate * s.weight / total)
		all = append(all, s)
	}
	return all
}

// browsing is a stream of normal requests whose callers retry hard.
func browsing() demandSpec {
	return demandSpec{
		weight: 1, importance: request.Normal, region: "fukuoka",
		retries: hardRetries, pause: hardPause, body: callBody, answer: answerBody,
	}
}

// deposits is a stream of important requests whose callers ask once.
func deposits() demandSpec {
	s := browsing()
	s.importance, s.retries = request.Critical, 0
	return s
}

// overloadSpec is demand that jumps to several times the capacity after the
// warm-up, while important requests stay within it.
func overloadSpec(p Params) spec {
	important := importantPart * capacity()
	demand := organisations(p.Organisations, p.Overload*capacity()-important, browsing())
	for i := range demand {
		high := demand[i].rate(0)
		low := high * (normalPart - importantPart) / (p.Overload - importantPart)
		demand[i].rate = surge(low, high, warmUp, p.Duration)
	}
	demand = append(demand, organisations(p.Organisations, important, deposits())...)
	return spec{
		services: chain(p.Depth), sites: oneRegion(), demand: demand,
		duration: p.Duration, deadline: deadline, allowance: allowance,
	}
}

// mixedSpec is overloadSpec where every other organisation enters by the
// bottleneck itself, so that new trees and trees in progress compete there.
func mixedSpec(p Params) spec {
	s := overloadSpec(p)
	for i := range s.demand {
		if i%2 == 1 {
			s.demand[i].service = p.Depth - 1
		}
	}
	return s
}

// mixedEntry measures wasted work where some requests enter deep in the chain.
func mixedEntry(p Params, seed uint64) Outcome {
	s := mixedSpec(p)
	mine := newWorld(s, ours(), seed).run()
	base := newWorld(s, naive(), seed).run()
	return Outcome{
		Measures: []Measure{
			{Name: "mixed-entry-goodput", Bound: 0.95, Value: mine.bottleneck(), Naive: base.bottleneck()},
			{Name: "mixed-entry-wasted-work", Sense: AtMost, Bound: 0.02, Value: mine.wastedPart(), Naive: base.wastedPart()},
		},
		Curves: curves(mine, base),
	}
}

// overload measures goodput, important requests and wasted work.
func overload(p Params, seed uint64) Outcome {
	s := overloadSpec(p)
	mine := newWorld(s, ours(), seed).run()
	base := newWorld(s, naive(), seed).run()
	return Outcome{
		Measures: []Measure{
			{Name: "overload-goodput", Bound: 0.95, Value: mine.bottleneck(), Naive: base.bottleneck()},
			{Name: "overload-important", Bound: 0.999, Value: mine.important(), Naive: base.important()},
			{Name: "overload-wasted-work", Sense: AtMost, Bound: 0.02, Value: mine.wastedPart(), Naive: base.wastedPart()},
		},
		Curves: curves(mine, base),
	}
}

// bottleneck returns goodput as a part of what the bottleneck carries.
func (a *account) bottleneck() float64 {
	return a.goodput(warmUp, a.spec.duration, nil) / capacity()
}

// important returns the completed part of the requests of the highest class
// that ended.
func (a *account) important() float64 {
	var done, lost float64
	for i, s := range a.streams {
		if a.spec.demand[i].importance == request.Critical {
			done += s.completed.sum(0, a.spec.duration)
			lost += s.failed.sum(0, a.spec.duration)
		}
	}
	return done / (done + lost)
}

// curves returns the goodput of both versions.
func curves(mine, base *account) []Curve {
	return []Curve{{Name: "wisteriafold", Points: mine.curve()}, {Name: "naive", Points: base.curve()}}
}
