package bench

import (
	"time"

	"wisteriafold/request"
)

// quiet is how often a stream without demand is looked at again.
const quiet = 50 * time.Millisecond

// arrivals plays the i-th stream of demand as a Poisson process.
func (w *world) arrivals(i int) {
	s := &w.spec.demand[i]
	rate := s.rate(w.clock.elapsed())
	if rate <= 0 {
		w.clock.after(quiet, func() { w.arrivals(i) })
		return
	}
	d := time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
	w.clock.after(d, func() {
		w.account.stream(i).offered.add(w.clock.elapsed(), 1)
		(&asker{w: w, stream: i, spec: s}).ask()
		w.arrivals(i)
	})
}

// asker is one caller with one request on its mind.
type asker struct {
	w      *world
	stream int
	spec   *demandSpec
	asked  int
}

// ask sends the request to any daemon of the caller's region.
func (a *asker) ask() {
	a.asked++
	near := a.w.byRegion[a.spec.region]
	d := near[a.w.rng.IntN(len(near))]
	a.w.account.stream(a.stream).asked.add(a.w.clock.elapsed(), 1)
	d.enter(a.spec, a.hear)
}

// hear takes the end of the request and asks again if it failed.
func (a *asker) hear(ok bool, why request.Reason) {
	s := a.w.account.stream(a.stream)
	if ok {
		s.completed.add(a.w.clock.elapsed(), 1)
		return
	}
	s.reasons[why]++
	s.refused.add(a.w.clock.elapsed(), 1)
	if a.asked > a.spec.retries {
		s.failed.add(a.w.clock.elapsed(), 1)
		return
	}
	a.w.clock.after(a.spec.pause, a.ask)
}
