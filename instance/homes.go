package instance

import (
	"slices"
	"time"

	"wisteriafold/request"
)

// homeRetryAfter is the Retry-After for requests that the regions to which they are
// restricted cannot serve. A new configuration is in force everywhere by then.
const homeRetryAfter = 2 * time.Second

func homeRegionError(remedy string) *request.Error {
	err := request.NewNotRunError(request.ReasonHomeRegion, remedy)
	err.RetryAfter = homeRetryAfter
	return err
}

// restrict sets the regions that may serve the request. It refuses a request that none
// may.
func (e *entry) restrict() *request.Error {
	regions, ok := e.view.snap.Homes(e.match, e.call.Organisation)
	if !ok {
		return homeRegionError("route " + e.match.Route + " and the organisation have no home region in common, correct home_regions of one of them")
	}
	e.call.Regions = regions
	return nil
}

// checkPlace refuses a call that must not run in this data centre, because it is
// evacuated, or in this region, by the regions that came with the call or by this
// daemon's configuration, unless that is older than the sender's.
func (d *Daemon) checkPlace(in *incoming) *request.Error {
	h := in.head
	if d.isEvacuatedHere() {
		return evacuatedError(d.self.DataCentre)
	}
	if len(h.Regions) > 0 && !slices.Contains(h.Regions, d.self.Region) {
		return homeRegionError("the request is restricted to other regions than " + d.self.Region + ", run the same version on all daemons")
	}
	if snap := d.view.Load().snap; h.Generation <= snap.Generation && !snap.Allows(d.self.Region, h.Route, h.Organisation) {
		return homeRegionError("the configuration in force restricts the request to other regions than " + d.self.Region + ", try again")
	}
	return nil
}

// enableHomes prepares the picker of a service for calls that are restricted to regions.
func (d *Daemon) enableHomes(t *target) {
	t.homes.Do(func() {
		t.picker.EnableHomes()
		t.picker.SetEndpoints(d.endpointsOf(t.name))
		d.post(subscribed{t}) // the endpoints may have changed meanwhile
	})
}
