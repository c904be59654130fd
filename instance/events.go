package instance

import (
	"time"

	"wisteriafold/request"
	"wisteriafold/service"
)

// decisionOf returns a decision about a call with the fields set that all
// decisions have.
func (d *Daemon) decisionOf(c *request.Call, step string) Decision {
	return Decision{
		At:           d.now(),
		RequestID:    c.ID,
		Instance:     d.set.Instance,
		Step:         step,
		Organisation: c.Organisation,
		Route:        c.Route,
		Service:      c.Service,
		Depth:        c.Depth,
	}
}

// decide records one decision about a call.
func (d *Daemon) decide(c *request.Call, step, endpoint, why, outcome string) {
	x := d.decisionOf(c, step)
	x.Endpoint = endpoint
	x.Why = why
	x.Outcome = outcome
	d.decisions.add(x)
}

// decideRoute records the choice of an endpoint.
func (d *Daemon) decideRoute(c *request.Call, step string, choice *service.Decision) {
	x := d.decisionOf(c, step)
	x.choice = *choice
	d.decisions.add(x)
}

// finished records the outcome of a call at the daemon where it started.
func (d *Daemon) finished(c *request.Call, outcome request.Outcome, why string, started time.Time) {
	if c == nil {
		return // refused before the call was described
	}
	x := d.decisionOf(c, "answer")
	x.Why = why
	x.Outcome = outcome.String()
	x.Took = x.At.Sub(started)
	d.decisions.add(x)
}
