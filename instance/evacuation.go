package instance

import (
	"slices"

	"wisteriafold/config"
	"wisteriafold/request"
	"wisteriafold/service"
)

func evacuatedError(dataCentre string) *request.Error {
	err := request.NewNotRunError(request.ReasonEvacuated, "data centre "+dataCentre+" is evacuated, end it with wisteriafold evacuate --undo")
	err.RetryAfter = homeRetryAfter
	return err
}

// isEvacuatedHere reports whether this daemon's data centre is evacuated.
func (d *Daemon) isEvacuatedHere() bool {
	dc := d.view.Load().snap.DataCentre(d.self.DataCentre)
	return dc != nil && dc.Evacuated
}

// endpointsOf returns the endpoints of a service, those of evacuated data centres marked.
func (d *Daemon) endpointsOf(name string) []service.Endpoint {
	endpoints := d.control.members.Snapshot().Endpoints(name)
	evacuated := d.view.Load().snap.Configuration.Evacuated()
	if len(evacuated) == 0 {
		return endpoints
	}
	endpoints = slices.Clone(endpoints)
	for i := range endpoints {
		endpoints[i].Evacuated = slices.Contains(evacuated, endpoints[i].DataCentre)
	}
	return endpoints
}

// applyEvacuations puts a changed set of evacuated data centres in force: for the choice
// of endpoints, and for the calls that wait at the gate. New calls are refused by
// checkPlace.
func (c *control) applyEvacuations(old, fresh *config.Snapshot) {
	before, now := old.Configuration.Evacuated(), fresh.Configuration.Evacuated()
	if slices.Equal(before, now) {
		return
	}
	c.d.targets.Range(func(_, v any) bool {
		t := v.(*target)
		t.picker.SetEndpoints(c.d.endpointsOf(t.name))
		return true
	})
	evicted := 0
	if c.d.isEvacuatedHere() {
		evicted = c.d.gate.Evict(func(*request.Call) bool { return true }, request.ReasonEvacuated)
	}
	c.d.log.Info("evacuated data centres", "instance", c.d.set.Instance, "data_centres", now, "generation", fresh.Generation, "here", c.d.isEvacuatedHere(), "evicted", evicted)
}
