package bench

import (
	"math"
	"time"
)

// The tree of the experiment on attempts.
const (
	treeDepth  = 6
	treeFanOut = 3
)

// treeServices returns services of which each calls the next several times.
func treeServices() []serviceSpec {
	all := chain(treeDepth)
	for i := range treeDepth - 1 {
		all[i].calls = nil
		for range treeFanOut {
			all[i].calls = append(all[i].calls, i+1)
		}
	}
	return all
}

// treeSpec is a trickle of requests, one at a time.
func treeSpec() spec {
	s := browsing()
	s.retries = 0
	s.rate = steady(1)
	return spec{
		services: treeServices(), sites: oneRegion(), demand: []demandSpec{s},
		duration: 30 * time.Second, deadline: 10 * time.Second, allowance: allowance,
	}
}

// attempts measures the largest number of attempts of one call in any tree
// when all endpoints of the deepest service fail, and when those of all fail.
func attempts(_ Params, seed uint64) Outcome {
	run := func(p policy, s spec) int {
		w := newWorld(s, p, seed)
		w.account.perTree = true
		return w.run().maxAt
	}
	both := func(s spec) (float64, float64) {
		return float64(run(ours(), s)), float64(run(naive(), s))
	}
	deep, deepNaive := both(failing(treeSpec(), treeDepth-1))
	all, allNaive := both(failing(treeSpec(), 0))
	w := newWorld(failing(treeSpec(), treeDepth-1), ours(), seed)
	extra := float64(w.run().maxExtra)
	return Outcome{Measures: []Measure{
		{Name: "attempts-deepest-failing", Sense: AtMost, Bound: 1 + allowance, Value: deep, Naive: deepNaive},
		{Name: "attempts-all-failing", Sense: AtMost, Bound: 1 + allowance, Value: all, Naive: allNaive},
		{Name: "attempts-extra-in-tree", Sense: AtMost, Bound: allowance, Value: extra, Naive: math.NaN()},
	}}
}

// failing lets every endpoint of the services from i on fail.
func failing(s spec, from int) spec {
	s.faults = append(s.faults, fault{do: func(w *world) {
		for _, all := range w.endpoints[from:] {
			for _, e := range all {
				e.failing = true
			}
		}
	}})
	return s
}
