package sidecar

import "sync"

// levels holds the admission levels that the answers to the calls of one run have
// reported. Of each service the latest one counts: the gates of a service have different
// levels, and the highest of several calls would hold requests that make several calls
// to a service to a higher level than those that make one.
type levels struct {
	mu        sync.Mutex
	byService []serviceLevel
}

type serviceLevel struct {
	service string
	level   uint32
}

// set records the level that an answer of a service has reported.
func (l *levels) set(service string, level uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.byService {
		if l.byService[i].service == service {
			l.byService[i].level = level
			return
		}
	}
	if level > 0 {
		l.byService = append(l.byService, serviceLevel{service, level})
	}
}

// worst returns the highest level of the services.
func (l *levels) worst() (worst uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.byService {
		worst = max(worst, s.level)
	}
	return worst
}
