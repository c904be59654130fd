package config

import (
	"slices"

	"wisteriafold/routing"
)

// Homes returns the regions to which the requests of a route and an organisation are
// restricted, nil for all. owner is empty for a request without a key. ok is false if
// the two have no region in common.
func (s *Snapshot) Homes(m *Match, owner string) (regions []string, ok bool) {
	return routing.Homes(m.HomeRegions, s.homesOf(owner))
}

// Allows reports whether a region may serve the requests of a route, given by name, and
// an organisation. A route that is not in the configuration restricts nothing.
func (s *Snapshot) Allows(region, route, owner string) bool {
	regions, ok := routing.Homes(s.router.homes[route], s.homesOf(owner))
	return ok && (len(regions) == 0 || slices.Contains(regions, region))
}

func (s *Snapshot) homesOf(owner string) []string {
	if o := s.Organisation(owner); o != nil {
		return o.HomeRegions
	}
	return nil
}
