package bench

import (
	"time"

	"wisteriafold/request"
)

// serviceSpec describes the endpoints of one service.
type serviceSpec struct {
	name  string
	slots int
	work  time.Duration // mean time that a call works by itself
	calls []int         // services that each call calls, one after the other

	tolerant bool // goes on with the next call when one has failed, and fails at the end
}

// siteSpec is one data centre.
type siteSpec struct {
	dataCentre, region string
	endpoints          int // of each service
}

// demandSpec is one stream of outside requests.
type demandSpec struct {
	organisation string
	weight       float64 // contract weight
	importance   request.Importance
	region       string
	service      int                            // service that the requests enter by
	rate         func(at time.Duration) float64 // requests a second
	retries      int                            // times that a caller asks again
	pause        time.Duration                  // before it asks again
	body, answer int64                          // sizes in bytes
}

// fault happens at a time.
type fault struct {
	at time.Duration
	do func(w *world)
}

// spec is one experiment's deployment, demand and faults.
type spec struct {
	services  []serviceSpec
	sites     []siteSpec
	demand    []demandSpec
	faults    []fault
	contracts map[string]contractSpec // none means no limit
	duration  time.Duration
	deadline  time.Duration
	allowance uint32
	linkRate  float64 // bytes a second each way between regions, 0 for no limit
}

// contractSpec is an organisation's rate and burst.
type contractSpec struct{ rate, burst float64 }

// Sizes of the deployments, from the brief: four endpoints a service in two
// data centres of a region, the deepest service with few slots.
const (
	upperSlots  = 100
	upperWork   = 5 * time.Millisecond
	bottomSlots = 20
	bottomWork  = 40 * time.Millisecond

	siteEndpoints = 2

	deadline  = time.Second
	allowance = 3

	callBody   = 2 << 10
	answerBody = 8 << 10
)

// chain returns depth services that call one another in a row; the last one is
// the bottleneck.
func chain(depth int) []serviceSpec {
	var all []serviceSpec
	for i := range depth - 1 {
		all = append(all, serviceSpec{name: string(rune('a' + i)), slots: upperSlots, work: upperWork, calls: []int{i + 1}})
	}
	return append(all, serviceSpec{name: "bottom", slots: bottomSlots, work: bottomWork})
}

// oneRegion returns two data centres in one region.
func oneRegion() []siteSpec {
	return []siteSpec{
		{dataCentre: "f1", region: "fukuoka", endpoints: siteEndpoints},
		{dataCentre: "f2", region: "fukuoka", endpoints: siteEndpoints},
	}
}

// twoRegions returns two data centres in each of two regions.
func twoRegions() []siteSpec {
	return append(oneRegion(),
		siteSpec{dataCentre: "k1", region: "kumamoto", endpoints: siteEndpoints},
		siteSpec{dataCentre: "k2", region: "kumamoto", endpoints: siteEndpoints})
}

// capacity returns what the bottleneck of one region carries, requests a second.
func capacity() float64 {
	return 2 * siteEndpoints * bottomSlots / bottomWork.Seconds()
}

// steady is a constant rate.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// surge is rate, and high between from and to.
func surge(rate, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return rate
	}
}
