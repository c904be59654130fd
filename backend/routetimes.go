package backend

import "time"

// routeTimes estimates the service time of each route. The service times of the
// routes of one backend server may differ by an order of magnitude, so that a
// median over all calls predicts none of them.
type routeTimes struct{ byRoute map[string]*median }

// maxRoutes is the maximum number of routes with an estimate. The service time of
// further routes stays unknown: calls to them are refused for their deadline only
// once it has passed.
const maxRoutes = 1024

// add records the latency of a call that was answered.
func (k *routeTimes) add(route string, latency time.Duration) {
	q := k.byRoute[route]
	if q == nil {
		if len(k.byRoute) >= maxRoutes {
			return
		}
		if k.byRoute == nil {
			k.byRoute = make(map[string]*median)
		}
		q = &median{}
		k.byRoute[route] = q
	}
	q.add(latency)
}

// addLowerBound records the latency of a cancelled call, which is a lower bound of its
// service time. A bound below the estimate carries no information.
func (k *routeTimes) addLowerBound(route string, latency time.Duration) {
	if q := k.byRoute[route]; q != nil && latency > q.get() {
		q.add(latency)
	}
}

// serviceTime returns the median latency of the route, or 0 while it is unknown.
func (k *routeTimes) serviceTime(route string) time.Duration {
	if q := k.byRoute[route]; q != nil {
		return q.get()
	}
	return 0
}
