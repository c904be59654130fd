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
	return Outcome{
		Measures: []Measure{
			{Name: "region-loss-other-goodput", Bound: 0.95, Value: mine.regionServed("kumamoto"), Naive: base.regionServed("kumamoto")},
			{Name: "region-loss-link-bytes", Unit: "B/s", Sense: AtMost, Bound: linkRate, Value: wm.linkPeak(), Naive: wb.linkPeak()},
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
