package bench

import "time"

// Demand and link of the experiment on a region's loss.
const (
	regionDemand = 0.6         // in each region, as a part of its capacity
	linkRate     = 30e6 / 8    // bytes a second each way
	lostOf       = 4           // of each four endpoints of a service
	lost         = 3           // three are lost
	linkWindow   = time.Second // over which the link's bytes are counted
)

// regionSpec is two regions of which one loses most of its endpoints.
func regionSpec(p Params) spec {
	near := organisations(p.Organisations, regionDemand*capacity(), onceOnly())
	far := organisations(p.Organisations, regionDemand*capacity(), onceOnly())
	for i := range far {
		far[i].region = "kumamoto"
	}
	return spec{
		services: chain(p.Depth), sites: twoRegions(), demand: append(near, far...),
		duration: faultEnds, deadline: deadline, allowance: allowance, linkRate: linkRate,
		faults: []fault{
			{at: faultFrom, do: func(w *world) { w.loseRegion("fukuoka") }},
			{at: faultFrom + noticed, do: (*world).spread},
		},
	}
}

// Sizes and demand of the variants that press on one side of the spill.
const (
	busyDemand  = 0.8       // in each region, where the other region needs its capacity
	smallAnswer = 256       // bytes, of which the link carries any number
	largeAnswer = 100 << 10 // bytes, of which the link carries few
)

// busyRegionSpec is regionSpec with busy regions and answers that cost the
// link nothing: only the other region's own need limits the spill.
func busyRegionSpec(p Params) spec {
	s := regionSpec(p)
	for i := range s.demand {
		part := s.demand[i].rate(0) / regionDemand
		s.demand[i].rate = steady(part * busyDemand)
		s.demand[i].body, s.demand[i].answer = smallAnswer, smallAnswer
	}
	return s
}

// largeAnswerSpec is regionSpec with answers that the link carries few of.
func largeAnswerSpec(p Params) spec {
	s := regionSpec(p)
	for i := range s.demand {
		s.demand[i].answer = largeAnswer
	}
	return s
}

// loseRegion kills three quarters of each service's endpoints in a region. The
// daemons of the lost endpoints take no requests either.
func (w *world) loseRegion(region string) {
	var left []*daemon
	for _, all := range w.endpoints {
		n := 0
		for _, e := range all {
			if e.Region != region {
				continue
			}
			n++
			if n%lostOf < lost {
				e.kill()
				continue
			}
			left = append(left, e.daemon)
		}
	}
	w.byRegion[region] = left
}

// regionLoss measures the other region's goodput and the link's bytes.
func regionLoss(p Params, seed uint64) Outcome {
	s := regionSpec(p)
	wm, wb := newWorld(s, ours(), seed), newWorld(s, naive(), seed)
	mine, base := wm.run(), wb.run()
	busy := busyRegionSpec(p)
	mineBusy, baseBusy := newWorld(busy, ours(), seed).run(), newWorld(busy, naive(), seed).run()
	large := largeAnswerSpec(p)
	lm, lb := newWorld(large, ours(), seed), newWorld(large, naive(), seed)
	lm.run()
	lb.run()
	return Outcome{
		Measures: []Measure{
			{Name: "region-loss-other-goodput", Bound: 0.95, Value: mine.regionServed("kumamoto"), Naive: base.regionServed("kumamoto")},
			{Name: "region-loss-link-bytes", Unit: "B/s", Sense: AtMost, Bound: linkRate, Value: wm.linkPeak(), Naive: wb.linkPeak()},
			{Name: "region-loss-busy-other-goodput", Bound: 0.95, Value: mineBusy.regionServed("kumamoto"), Naive: baseBusy.regionServed("kumamoto")},
			{Name: "region-loss-large-answers-link-bytes", Unit: "B/s", Sense: AtMost, Bound: linkRate, Value: lm.linkPeak(), Naive: lb.linkPeak()},
		},
		Curves: curves(mine, base),
	}
}

// regionServed returns a region's goodput as a part of its demand after the
// loss.
func (a *account) regionServed(region string) float64 {
	in := func(d *demandSpec) bool { return d.region == region }
	return a.goodput(faultFrom, faultEnds, in) / a.demanded(faultFrom, faultEnds, in)
}

// linkPeak returns the most bytes that were offered to a link in one window.
func (w *world) linkPeak() float64 {
	most := 0.0
	for _, l := range w.links {
		most = max(most, l.sent.peak(linkWindow)/linkWindow.Seconds())
	}
	return most
}
