package routing

import (
	"slices"
	"strings"
)

// Homes returns the regions that bind a request of a route and an organisation,
// given the regions of each. An empty list is no restriction; the result is nil if
// neither restricts the request. If both do, the intersection binds; ok is false if
// it is empty, and no region may serve the request.
func Homes(route, organisation []string) (regions []string, ok bool) {
	switch {
	case len(route) == 0 && len(organisation) == 0:
		return nil, true
	case len(route) == 0:
		return organisation, true
	case len(organisation) == 0:
		return route, true
	}
	for _, r := range route {
		if slices.Contains(organisation, r) {
			regions = append(regions, r)
		}
	}
	return regions, len(regions) > 0
}

// LockOutUndeclared locks out the routes and organisations that name a region outside
// declared, and adds a notice for each of them. Their other regions are not used: a
// misspelt name could stand for any region, so none of them is known to be what the
// operator meant. It must be called before NewTable. Without declared regions nothing
// can be checked, which is a notice too if there is anything to check.
func (c *Configuration) LockOutUndeclared(declared []string) {
	for i := range c.Routes {
		r := &c.Routes[i]
		r.LockedOut = c.undeclared("allowed regions of route "+r.Name, r.Regions, declared)
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		o.LockedOut = c.undeclared("allowed regions of organisation "+o.Name, o.Regions, declared)
	}
}

// undeclared reports whether regions contains a region outside declared, and adds a
// notice if it does.
func (c *Configuration) undeclared(field string, regions, declared []string) bool {
	if len(regions) == 0 {
		return false
	}
	if len(declared) == 0 {
		c.Notices = append(c.Notices, Notice{
			Field: field, Value: strings.Join(regions, " "),
			Remedy: "the settings declare no data centres, so the names are not checked; declare them",
		})
		return false
	}
	for _, r := range regions {
		if slices.Contains(declared, r) {
			continue
		}
		c.Notices = append(c.Notices, Notice{
			Field: field, Value: r,
			Remedy: "its requests are refused; name a declared region: " + strings.Join(declared, ", "),
		})
		return true
	}
	return false
}

// Homes returns the regions to which a request of a route and an organisation is
// restricted, nil if it is not. organisation is nil for a request without a key. ok is
// false if no region may serve the request.
func (t *Table) Homes(route *Route, organisation *Organisation) (regions []string, ok bool) {
	if !t.restricted {
		return nil, true
	}
	if route.LockedOut || organisation != nil && organisation.LockedOut {
		return nil, false
	}
	if organisation == nil {
		return Homes(route.Regions, nil)
	}
	return Homes(route.Regions, organisation.Regions)
}

// Allows reports whether a region may serve the requests of a route, given by name, and
// an organisation, nil for a request without a key. A route that is not in the table
// restricts nothing. Several routes of one name allow what any of them allows.
func (t *Table) Allows(region, route string, organisation *Organisation) bool {
	if !t.restricted {
		return true
	}
	routes := t.byName[route]
	for _, r := range routes {
		if t.allows(region, r, organisation) {
			return true
		}
	}
	return len(routes) == 0 && t.allows(region, &Route{}, organisation)
}

func (t *Table) allows(region string, r *Route, o *Organisation) bool {
	regions, ok := t.Homes(r, o)
	return ok && (len(regions) == 0 || slices.Contains(regions, region))
}

// restricts reports whether any route or organisation has regions.
func (c *Configuration) restricts() bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return len(r.Regions) > 0 }) ||
		slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return len(o.Regions) > 0 })
}
