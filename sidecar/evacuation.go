package sidecar

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"

	"wisteriafold/fleet"
	"wisteriafold/platform"
	"wisteriafold/request"
	"wisteriafold/wire"
)

// evacuation is the set of data centres that the operator evacuates, as of a version of
// the store. It is never changed.
type evacuation struct {
	dataCentres []string // in order
	version     uint64
}

// Metrics of refusals because of the place where a call would run.
const (
	homeRefusals      = `gate_place_refusals_total{reason="home-region"}`
	evacuatedRefusals = `gate_place_refusals_total{reason="evacuated"}`
)

// tracksEvacuations reports whether the settings ask for evacuations.
func (d *Daemon) tracksEvacuations() bool { return d.settings.Evacuation > 0 }

// evacuationsKnown reports whether this daemon has read or been told which data centres
// are evacuated, or need not know.
func (d *Daemon) evacuationsKnown() bool {
	return !d.tracksEvacuations() || d.evacuation.Load() != nil
}

// isEvacuated reports whether a data centre is known to be evacuated.
func (d *Daemon) isEvacuated(dataCentre string) bool {
	e := d.evacuation.Load()
	return e != nil && slices.Contains(e.dataCentres, dataCentre)
}

// isEvacuatedHere reports whether this daemon's data centre is evacuated, or may be for
// all that is known.
func (d *Daemon) isEvacuatedHere() bool {
	return !d.evacuationsKnown() || d.isEvacuated(d.location.DataCentre)
}

// checkEvacuated refuses a call while this data centre is evacuated or may be.
func (d *Daemon) checkEvacuated() *request.Error {
	if !d.isEvacuatedHere() {
		return nil
	}
	err := request.NewNotRunError(request.ReasonEvacuated, "data centre "+d.location.DataCentre+" is evacuated, end its evacuation")
	if !d.evacuationsKnown() {
		err.Remedy = "the evacuated data centres are not known here yet, restore the way to the store or to another daemon"
	}
	err.RetryAfter = placeRetryAfter
	return err
}

// withRetryAfter adds a Retry-After to the refusal of a call that an evacuation took out
// of the gate's queue.
func withRetryAfter(err *request.Error) *request.Error {
	if err.Reason != request.ReasonEvacuated {
		return err
	}
	e := *err
	e.RetryAfter = placeRetryAfter
	return &e
}

// countPlaceRefusal counts a refusal of checkPlace.
func (d *Daemon) countPlaceRefusal(err *request.Error) {
	name := homeRefusals
	if err.Reason == request.ReasonEvacuated {
		name = evacuatedRefusals
	}
	d.metrics.set.GetOrCreateCounter(name).Inc()
}

// readOperatorRows reads the configuration, and the evacuated data centres if the
// settings ask for evacuations.
func (d *Daemon) readOperatorRows(ctx context.Context) (r fleet.Reading, err error) {
	if d.tracksEvacuations() {
		return d.store.OperatorRows(ctx)
	}
	r.Document, r.Version, err = d.store.Configuration(ctx)
	return r, err
}

// publishEvacuations puts the set of evacuated data centres in force if it has changed:
// for the choice of endpoints, for the gate and for the calls that wait there.
func (c *control) publishEvacuations() {
	dataCentres, version := c.fleet.Evacuated()
	if version == 0 {
		return
	}
	old := c.d.evacuation.Load()
	if old != nil && old.version == version && slices.Equal(old.dataCentres, dataCentres) {
		return
	}
	c.d.evacuation.Store(&evacuation{dataCentres, version})
	if old != nil && slices.Equal(old.dataCentres, dataCentres) {
		return
	}
	c.d.refreshAllEndpoints()
	evicted := 0
	if c.d.isEvacuatedHere() {
		evicted = c.d.gate.Evict(func(*request.Call) bool { return true }, request.ReasonEvacuated)
		c.d.metrics.set.GetOrCreateCounter(evacuatedRefusals).Add(evicted)
	}
	c.d.log.Info("evacuated data centres", "data_centres", append([]string{}, dataCentres...), "version", version, "here", c.d.isEvacuatedHere(), "evicted", evicted, "age_ms", ageMillis(c.d.configurationAge()))
	for _, name := range dataCentres {
		if _, declared := c.d.settings.Regions[name]; !declared && len(c.d.settings.Regions) > 0 {
			c.d.log.Warn("evacuated data centre is not declared, nothing is evacuated by it: correct the name", "data_centre", name)
		}
	}
}

// writeEvacuationMetrics writes the set of evacuated data centres in the Prometheus text
// format, if the settings ask for evacuations.
func (d *Daemon) writeEvacuationMetrics(w io.Writer) {
	if !d.tracksEvacuations() {
		return
	}
	e := d.evacuation.Load()
	if e == nil {
		e = &evacuation{}
	}
	here := 0
	if d.isEvacuatedHere() {
		here = 1
	}
	_, _ = fmt.Fprintf(w, "evacuated_data_centres %d\nevacuated_here %d\noperator_version %d\n", len(e.dataCentres), here, e.version)
	for _, name := range e.dataCentres {
		_, _ = fmt.Fprintf(w, "evacuated{data_centre=%q} 1\n", name)
	}
}

// checkEvacuatedNames returns an error if the set in a message is not one that daemons
// send. A version out of range could never be replaced.
func checkEvacuatedNames(m *wire.Freshness) error {
	if m.OperatorVersion > math.MaxInt64 {
		return &invalidMessageError{"operator_version", m.OperatorVersion}
	}
	if m.StoreEpochs > platform.MaxEpoch+1 {
		return &invalidMessageError{"store_epochs", m.StoreEpochs}
	}
	size := 0
	for _, name := range m.Evacuated {
		size += len(name)
		if name == "" || size > fleet.MaxEvacuatedBytes {
			return &invalidMessageError{"evacuated", fmt.Sprintf("%d names", len(m.Evacuated))}
		}
	}
	return nil
}
