package request

import (
	"maps"
	"time"
)

// EntryOutlook is what an EntryControl would decide about a request.
type EntryOutlook struct {
	Level    Priority // current admission level
	Admitted float64  // fraction of the request trees that is admitted, from 0 to 1
}

// Outlook returns what Admit would decide about a request of an organisation with the
// given contract weight and importance. It works on a copy and changes nothing.
func (e *EntryControl) Outlook(now time.Time, i Importance, organisation string, weight float64) EntryOutlook {
	class := min(i, Classes-1)
	e.mu.Lock()
	c := EntryControl{cfg: e.cfg, level: e.level, lastFeedback: e.lastFeedback, lastUpdate: e.lastUpdate}
	s := e.shares[class]
	s.demands = maps.Clone(s.demands)
	for name, d := range s.demands {
		own := *d
		s.demands[name] = &own
	}
	e.mu.Unlock()
	c.decay(now)
	d := s.count(now, organisation, weight, c.cfg.DemandSmoothing)
	o := EntryOutlook{Level: Priority(c.level)}
	floor := Priority(class) * ClassWidth
	switch least := c.threshold(class, &s, d); {
	case least <= floor:
		o.Admitted = 1
	case least < floor+ClassWidth:
		o.Admitted = float64(floor+ClassWidth-least) / float64(ClassWidth)
	}
	return o
}
