package bench

import "time"

// Times of the slowdown.
const (
	slowFrom   = 10 * time.Second
	slowFor    = 20 * time.Second
	slowAfter  = 20 * time.Second
	slowFactor = 10

	normalPart = 0.7 // normal demand as a part of the capacity
	surgePart  = 1.4 // demand during the slowdown

	recoveredPart   = 0.95            // of normal goodput
	recoveredWindow = time.Second     // that has to show it
	recoveredStays  = 5 * time.Second // and for which it has to last
)

// slowdownSpec is a deep service that is ten times slower for a while, with a
// surge and hard retries at once.
func slowdownSpec(p Params) spec {
	demand := organisations(p.Organisations, 1, browsing())
	for i := range demand {
		part := demand[i].rate(0) * capacity()
		demand[i].rate = surge(part*normalPart, part*surgePart, slowFrom, slowFrom+slowFor)
	}
	slow := func(factor float64) func(*world) {
		return func(w *world) {
			for _, e := range w.endpoints[len(w.endpoints)-1] {
				e.slowness = factor
			}
		}
	}
	return spec{
		services: chain(p.Depth), sites: oneRegion(), demand: demand,
		faults: []fault{
			{at: slowFrom, do: slow(slowFactor)},
			{at: slowFrom + slowFor, do: slow(1)},
		},
		duration: slowFrom + slowFor + slowAfter, deadline: deadline, allowance: allowance,
	}
}

// slowdown measures the time to recover.
func slowdown(p Params, seed uint64) Outcome {
	s := slowdownSpec(p)
	mine := newWorld(s, ours(), seed).run()
	base := newWorld(s, naive(), seed).run()
	end := slowFrom + slowFor
	return Outcome{
		Measures: []Measure{
			{Name: "slowdown-recovery", Unit: "s", Sense: AtMost, Bound: 2, Value: mine.recovery(end), Naive: base.recovery(end)},
		},
		Curves: curves(mine, base),
	}
}

// recovery returns the time in seconds from end until goodput is back at its
// normal rate and stays there; the rest of the run when it does not come back.
func (a *account) recovery(end time.Duration) float64 {
	normal := a.goodput(warmUp, slowFrom, nil) * recoveredPart
	for at := end; at+recoveredStays <= a.spec.duration; at += bin {
		now := a.goodput(at, at+recoveredWindow, nil)
		later := a.goodput(at, at+recoveredStays, nil)
		if now >= normal && later >= normal {
			return (at - end).Seconds()
		}
	}
	return (a.spec.duration - end).Seconds()
}
