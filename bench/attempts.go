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

// treeServices returns services of which each calls the next several times. A
// tolerant service makes all of its calls even when one has failed.
func treeServices(tolerant bool) []serviceSpec {
	all := chain(treeDepth)
	for i := range treeDepth - 1 {
		all[i].tolerant = tolerant
		all[i].calls = nil
		for range treeFanOut {
			all[i].calls = append(all[i].calls, i+1)
		}
	}
	return all
}

// treeSpec is a trickle of requests for which the services from i on fail.
func treeSpec(tolerant bool, from int) spec {
	s := onceOnly()
	s.rate = steady(1)
	return spec{
		services: treeServices(tolerant), sites: oneRegion(), demand: []demandSpec{s},
		duration: 30 * time.Second, deadline: 20 * time.Second, allowance: allowance,
		faults: []fault{{do: func(w *world) { w.failFrom(from) }}},
	}
}

// failFrom lets every endpoint of the services from i on fail.
func (w *world) failFrom(i int) {
	for _, all := range w.endpoints[i:] {
		for _, e := range all {
			e.failing = true
		}
	}
}

// attempts measures the largest number of attempts of one call in any tree
// when all endpoints of the deepest service fail and when those of all fail,
// and the extra attempts in a tree that makes all of its calls. The naive
// version is not run on the last: it makes millions of attempts there.
func attempts(_ Params, seed uint64) Outcome {
	run := func(p policy, s spec) *account {
		w := newWorld(s, p, seed)
		w.account.perTree = true
		return w.run()
	}
	deepest := treeSpec(false, treeDepth-1)
	all := treeSpec(false, 0)
	wide := run(ours(), treeSpec(true, treeDepth-1))
	return Outcome{Measures: []Measure{
		{
			Name: "attempts-deepest-failing", Sense: AtMost, Bound: 1 + allowance,
			Value: float64(run(ours(), deepest).maxAt), Naive: float64(run(naive(), deepest).maxAt),
		},
		{
			Name: "attempts-all-failing", Sense: AtMost, Bound: 1 + allowance,
			Value: float64(run(ours(), all).maxAt), Naive: float64(run(naive(), all).maxAt),
		},
		{
			Name: "attempts-fan-out", Sense: AtMost, Bound: 1 + allowance,
			Value: float64(wide.maxAt), Naive: math.NaN(),
		},
		{
			Name: "attempts-extra-in-tree", Sense: AtMost, Bound: allowance,
			Value: float64(wide.maxExtra), Naive: math.NaN(),
		},
	}}
}
