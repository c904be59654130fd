package backend

import "time"

// routeTimes estimates the service time of each route. The service times of the
// routes of one backend server may differ by an order of magnitude, so that a
// median over all calls predicts none of them.
type routeTimes struct{ byRoute map[string]*routeTime }

// routeTime holds the measured service times of one route.
type routeTime struct {
	median median
	fast   quantile // time that a few of the calls stay below
	work   float64  // average work percent during the measured calls; 0 while the backend server reports none
}

const (
	// maxRoutes is the maximum number of routes with an estimate. The service time of
	// further routes stays unknown: calls to them are refused for their deadline only
	// once it has passed.
	maxRoutes = 1024

	// workWeight is the weight of one call in the average work percent of a route. The
	// median moves by at most medianStep for each call, so that both cover about the
	// same calls.
	workWeight = medianStep
)

// add records the latency of a call that was answered, and the work percent at its
// end, 0 when it is unknown.
func (k *routeTimes) add(route string, latency time.Duration, work float64) {
	q := k.byRoute[route]
	if q == nil {
		if len(k.byRoute) >= maxRoutes {
			return
		}
		if k.byRoute == nil {
			k.byRoute = make(map[string]*routeTime)
		}
		q = &routeTime{}
		k.byRoute[route] = q
	}
	q.median.add(latency)
	if work == 0 {
		q.work = 0
		return
	}
	q.fast.add(latency)
	if q.work == 0 {
		q.work = work
		return
	}
	q.work += (work - q.work) * workWeight
}

// addLowerBound records the latency of a cancelled call, which is a lower bound of its
// service time. A bound below the estimate carries no information.
func (k *routeTimes) addLowerBound(route string, latency time.Duration) {
	q := k.byRoute[route]
	if q == nil {
		return
	}
	if latency > q.median.get() {
		q.median.add(latency)
	}
	if latency > q.fast.get() {
		q.fast.add(latency)
	}
}

// median returns the median latency of the route, or 0 while it is unknown.
func (k *routeTimes) median(route string) time.Duration {
	if q := k.byRoute[route]; q != nil {
		return q.median.get()
	}
	return 0
}

// serviceTime returns the median latency of the route, or 0 while it is unknown. When
// the backend server reports that it is faster than during the measured calls, the
// median is scaled accordingly, but not below the latency of the fastest calls. A
// report that it is slower does not change the median: it must not make the gate
// refuse a call that the measured times show to be feasible.
func (k *routeTimes) serviceTime(route string, work float64) time.Duration {
	q := k.byRoute[route]
	if q == nil {
		return 0
	}
	measured := q.median.get()
	if work == 0 || q.work == 0 || work >= q.work {
		return measured
	}
	return min(measured, max(q.fast.get(), time.Duration(float64(measured)*work/q.work)))
}
