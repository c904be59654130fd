package instance

import (
	"time"

	"wisteriafold/request"
	"wisteriafold/service"
)

// decide records one decision about a call.
func (d *Daemon) decide(c *request.Call, step, endpoint, why, outcome string) {
	d.decisions.add(Decision{
		At:           d.now(),
		RequestID:    c.ID,
		Instance:     d.set.Instance,
		Step:         step,
		Organisation: c.Organisation,
		Route:        c.Route,
		Service:      c.Service,
		Depth:        c.Depth,
		Endpoint:     endpoint,
		Why:          why,
		Outcome:      outcome,
	})
}

// decideRoute records the choice of an endpoint.
func (d *Daemon) decideRoute(c *request.Call, step string, choice *service.Decision) {
	d.decisions.add(Decision{
		At:           d.now(),
		RequestID:    c.ID,
		Instance:     d.set.Instance,
		Step:         step,
		Organisation: c.Organisation,
		Route:        c.Route,
		Service:      c.Service,
		Depth:        c.Depth,
		choice:       *choice,
	})
}

// finished records what became of a call at the daemon where it started.
func (d *Daemon) finished(c *request.Call, outcome request.Outcome, why string, started time.Time) {
	if c == nil {
		return // refused before it was known what it is
	}
	d.decisions.add(Decision{
		At:           d.now(),
		RequestID:    c.ID,
		Instance:     d.set.Instance,
		Step:         "answer",
		Organisation: c.Organisation,
		Route:        c.Route,
		Service:      c.Service,
		Depth:        c.Depth,
		Why:          why,
		Outcome:      outcome.String(),
		Took:         d.now().Sub(started),
	})
}
