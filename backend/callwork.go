package backend

import (
	"time"

	"wisteriafold/request"
)

// callWork estimates the work of a call from its importance class, in multiples of the
// mean work of all calls, with the service times of the routes. The admission level
// counts calls by their work where classes with long calls share a backend server with
// classes with short ones: a few long calls can fill it while most of the calls are
// short, and refusing many short ones frees little.
type callWork struct {
	mean   average                  // service time of offered calls, ns
	class  [request.Classes]average // the same for each importance class
	uneven float64                  // moving average of the part of the offered work in classes of unusual length
}

const (
	callWorkWeight = 1.0 / 512 // weight of one call in the averages over all calls
	classWeight    = 1.0 / 64  // weight of one call in the average of its class
	unusualWork    = 3         // work, as a multiple or a fraction of the mean, from which the calls of a class are of unusual length
	minUnevenWork  = 0.1       // part of the work in such classes from which calls are counted by their work
	maxWorkOfCall  = 64        // largest work of a call
)

// offered records an offered call whose route has the given service time, 0 when it is
// unknown, and returns the work of the call. It is 1 while no class is of unusual length.
func (w *callWork) offered(i request.Importance, serviceTime time.Duration) float64 {
	if serviceTime <= 0 {
		return 1
	}
	s, class := float64(serviceTime), &w.class[min(i, request.Classes-1)]
	w.mean.add(s, callWorkWeight)
	class.add(s, classWeight)
	work := max(1.0/maxWorkOfCall, min(class.value/w.mean.value, maxWorkOfCall))
	unusual := 0.0
	if work >= unusualWork || work <= 1.0/unusualWork {
		unusual = 1
	}
	w.uneven += (unusual - w.uneven) * min(1, callWorkWeight*work)
	if w.uneven < minUnevenWork {
		return 1
	}
	return work
}

// meanCall returns the service time of a call of work 1, or 0 while calls are not counted
// by their work.
func (w *callWork) meanCall() time.Duration {
	if w.uneven < minUnevenWork {
		return 0
	}
	return time.Duration(w.mean.value)
}
