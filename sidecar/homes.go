package sidecar

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"wisteriafold/request"
	"wisteriafold/routing"
	"wisteriafold/wire"
)

// placeRetryAfter is the Retry-After for requests that are refused because of the place
// where they would run. A change of the configuration or the end of an evacuation is in
// force on all daemons within about this time.
const placeRetryAfter = time.Second

// declaredRegions returns the regions of the deployment, in order. It returns nil if
// the settings do not declare the data centres.
func (s *Settings) declaredRegions() []string {
	if len(s.Regions) == 0 {
		return nil
	}
	return slices.Compact(slices.Sorted(maps.Values(s.Regions)))
}

// homeRegionError returns a refusal with reason home-region.
func homeRegionError(remedy string) *request.Error {
	err := request.NewNotRunError(request.ReasonHomeRegion, remedy)
	err.RetryAfter = placeRetryAfter
	return err
}

// checkRegions determines the regions that may serve the request. It refuses a request
// that none may.
func (e *entry) checkRegions() *request.Error {
	regions, ok := e.table.Homes(e.match.Route, e.organisation)
	if !ok {
		return homeRegionError("no region may serve the route for this organisation, correct the allowed regions of the two")
	}
	e.call.Regions = regions
	return nil
}

// recheckRegions applies the regions of a configuration that has come into force since
// the request was admitted. Its body must not go to a region that is no longer allowed,
// whether the request is sent for the first time or again.
func (e *entry) recheckRegions(out *outgoing) *request.Error {
	t := e.d.table.Load()
	if t == e.table {
		return nil
	}
	h := &e.http.Header
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	match, found := t.Match(string(h.Host()), string(path))
	if !found {
		return nil // the gate serves it as before, a withdrawn route restricts nothing
	}
	var o *routing.Organisation
	if e.organisation != nil {
		o = t.Owner(routing.KeyDigest([]byte(e.call.KeyID)))
	}
	now, ok := t.Homes(match.Route, o)
	if ok {
		now, ok = routing.Homes(e.call.Regions, now)
	}
	if !ok {
		return homeRegionError("no region may serve the request in the configuration that has just come into force, try again")
	}
	out.call.Regions, out.head.Regions = now, now
	return nil
}

// checkPlace refuses a call that must not run in this region or data centre.
func (d *Daemon) checkPlace(h *wire.CallHead) *request.Error {
	if err := d.checkEvacuated(); err != nil {
		return err
	}
	if len(h.Regions) > 0 && !slices.Contains(h.Regions, d.location.Region) {
		return homeRegionError("the request is restricted to other regions than " + d.location.Region + ", run the same version on all daemons")
	}
	t := d.table.Load()
	if t == nil || h.Generation > t.Generation {
		return nil // the entry has determined the regions by a newer configuration
	}
	var o *routing.Organisation
	if len(h.KeyId) == len(routing.KeyDigest{}) {
		o = t.Owner(routing.KeyDigest(h.KeyId))
	}
	if !t.Allows(d.location.Region, h.Route, o) {
		return homeRegionError("the configuration in force restricts the request to other regions than " + d.location.Region + ", try again")
	}
	return nil
}

// enableHomes prepares the picker of a service for calls that are restricted to
// regions.
func (d *Daemon) enableHomes(name string, e *endpoints) {
	e.homes.Do(func() {
		e.picker.EnableHomes()
		d.refreshEndpoints(name, e)
	})
}

// refreshEndpoints gives the endpoints of a service to its picker. The directory is read
// under the lock, so that of two concurrent calls the later one does not set older
// endpoints.
func (d *Daemon) refreshEndpoints(name string, e *endpoints) {
	e.set.Lock()
	defer e.set.Unlock()
	e.picker.SetEndpoints(d.endpointEntries(name))
}

// refreshAllEndpoints gives the endpoints of each service to its picker.
func (d *Daemon) refreshAllEndpoints() {
	d.services.Range(func(k, v any) bool {
		d.refreshEndpoints(k.(string), v.(*endpoints))
		return true
	})
}
