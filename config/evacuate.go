package config

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"wisteriafold/platform"
)

// Evacuate evacuates a data centre of the base configuration, or ends that. Its results
// are those of Apply, and an error for a data centre that is not declared.
func Evacuate(ctx context.Context, table platform.Table, base *Stored, dataCentre string, evacuated bool, id string) (Result, error) {
	next := *base.Snapshot.Configuration
	next.DataCentres = slices.Clone(next.DataCentres)
	at := slices.IndexFunc(next.DataCentres, func(d DataCentre) bool { return d.Name == dataCentre })
	if at < 0 {
		return Result{}, eris.Errorf("data centre %q is not declared, use one of: %v", dataCentre, dataCentreNames(&next))
	}
	next.DataCentres[at].Evacuated = evacuated
	return commit(ctx, table, base, &next, id)
}

// Evacuated returns the evacuated data centres, in order.
func (c *Configuration) Evacuated() []string {
	var out []string
	for i := range c.DataCentres {
		if c.DataCentres[i].Evacuated {
			out = append(out, c.DataCentres[i].Name)
		}
	}
	slices.Sort(out)
	return out
}

// keepEvacuations returns next with the evacuations of before: applying files must not
// end an evacuation, of which they do not tell.
func keepEvacuations(before, next *Configuration) *Configuration {
	evacuated := before.Evacuated()
	if len(evacuated) == 0 {
		return next
	}
	out := *next
	out.DataCentres = slices.Clone(next.DataCentres)
	for i := range out.DataCentres {
		d := &out.DataCentres[i]
		d.Evacuated = slices.Contains(evacuated, d.Name)
	}
	return &out
}
