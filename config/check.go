package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

const (
	digestPrefix   = "sha256:"
	digestBytes    = 32
	shareTolerance = 1e-9 // tolerance for rounding in sums of percentages
	maxPrefix      = 1024 // bytes of a route's prefix
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

func validName(s string) bool { return namePattern.MatchString(s) }

func validDigest(s string) bool {
	rest, found := strings.CutPrefix(s, digestPrefix)
	raw, err := hex.DecodeString(rest)
	return found && err == nil && len(raw) == digestBytes && rest == strings.ToLower(rest)
}

func validPrefix(s string) bool {
	return len(s) <= maxPrefix && strings.HasPrefix(s, "/") && !strings.Contains(s, "//") && !strings.ContainsAny(s, "?# \t")
}

// build checks the objects against each other and returns the configuration.
func (l *loader) build() *Configuration {
	dataCentres := collectNames(l.dataCentres, "data centre", func(d *DataCentre) string { return d.Name })
	organisations := collectNames(l.organisations, "organisation", func(o *Organisation) string { return o.Name })
	services := collectNames(l.services, "service", func(s *Service) string { return s.Name })
	collectNames(l.routes, "route", func(r *Route) string { return r.Name })
	collectNames(l.keys, "key", func(k *Key) string { return k.Digest })
	l.checkOrganisations(dataCentres)
	l.checkKeys(organisations)
	l.checkRoutes(services)
	l.checkLinks()
	l.checkRegions()
	if len(l.dataCentres) == 0 && len(l.problems.list) == 0 {
		l.problems.add(l.anyFile(), 0, "no data centre is declared", "add a data_centres section")
	}
	c := &Configuration{
		Organisations: objectsOf(l.organisations),
		Keys:          objectsOf(l.keys),
		Services:      objectsOf(l.services),
		Routes:        objectsOf(l.routes),
		DataCentres:   objectsOf(l.dataCentres),
		Links:         objectsOf(l.links),
		Settings:      l.singleSettings(),
	}
	if len(l.problems.list) == 0 {
		c.sortLists()
	}
	return c
}

// anyFile returns a file under which a fault of the whole directory is reported.
func (l *loader) anyFile() string {
	for _, s := range l.services {
		return s.at.file
	}
	return "configuration"
}

func objectsOf[T any](entries []entry[T]) []T {
	out := make([]T, len(entries))
	for i := range entries {
		out[i] = entries[i].obj
	}
	return out
}

// collectNames returns the names of all entries with their origins, and
// reports names that are given twice.
func collectNames[T any](entries []entry[T], kind string, name func(*T) string) map[string]*origin {
	seen := make(map[string]*origin, len(entries))
	for i := range entries {
		e := &entries[i]
		n := name(&e.obj)
		if n == "" {
			continue
		}
		if first := seen[n]; first != nil {
			e.at.problem("", fmt.Sprintf("%s %s is given twice", kind, n), fmt.Sprintf("remove this one or the one at %s:%d", first.file, first.line))
			continue
		}
		seen[n] = e.at
	}
	return seen
}

// listNames returns the first ten names in order, for the text of a remedy.
func listNames(set map[string]*origin) string {
	if len(set) == 0 {
		return "there are none yet"
	}
	const most = 10
	list := make([]string, 0, len(set))
	for n := range set {
		list = append(list, n)
	}
	slices.Sort(list)
	if len(list) > most {
		list = append(list[:most], "...")
	}
	return strings.Join(list, ", ")
}

func (l *loader) checkOrganisations(dataCentres map[string]*origin) {
	for i := range l.organisations {
		o, at := &l.organisations[i].obj, l.organisations[i].at
		if !at.has("burst") {
			o.Burst = math.Max(1, o.Rate)
		}
		sum := 0.0
		for name, share := range o.Split {
			sum += share
			if dataCentres[name] == nil {
				at.problem("split", fmt.Sprintf("data centre %q in split of organisation %s is not declared", name, o.Name), "declare it under data_centres or use one of: "+listNames(dataCentres))
			}
		}
		if sum > percent+shareTolerance {
			at.problem("split", fmt.Sprintf("shares of organisation %s add up to %g%%", o.Name, sum), "lower them to 100 or less in total")
		}
		if len(o.Split) > 0 && sum == 0 {
			at.problem("split", fmt.Sprintf("all shares of organisation %s are 0", o.Name), "give a data centre more than 0, or remove split")
		}
	}
}

func (l *loader) checkKeys(organisations map[string]*origin) {
	for i := range l.keys {
		k, at := &l.keys[i].obj, l.keys[i].at
		if k.Organisation != "" && organisations[k.Organisation] == nil {
			at.problem("organisation", fmt.Sprintf("organisation %q of a key is not declared", k.Organisation), "declare it under organisations or use one of: "+listNames(organisations))
		}
	}
}

func (l *loader) checkRoutes(services map[string]*origin) {
	type slot struct{ prefix, method string }
	seen := map[slot]*entry[Route]{}
	for i := range l.routes {
		e := &l.routes[i]
		r := &e.obj
		if r.Service != "" && services[r.Service] == nil {
			e.at.problem("service", fmt.Sprintf("service %q of route %s is not declared", r.Service, r.Name), "declare it under services or use one of: "+listNames(services))
		}
		for _, m := range r.methods() {
			s := slot{canonicalPrefix(r.Prefix), m}
			if first := seen[s]; first != nil {
				e.at.problem("prefix", fmt.Sprintf("routes %s and %s both take %s %s", first.obj.Name, r.Name, m, r.Prefix), fmt.Sprintf("change the prefix or the methods of one; the other is at %s:%d", first.at.file, first.at.line))
				break
			}
			seen[s] = e
		}
	}
}

// regions returns the regions of the declared data centres.
func (l *loader) regions() map[string]*origin {
	regions := map[string]*origin{}
	for i := range l.dataCentres {
		regions[l.dataCentres[i].obj.Region] = l.dataCentres[i].at
	}
	return regions
}

// checkRegions reports home regions without a data centre.
func (l *loader) checkRegions() {
	regions := l.regions()
	check := func(at *origin, of string, homes []string) {
		for _, r := range homes {
			if r != "" && regions[r] == nil {
				at.problem("home_regions", fmt.Sprintf("region %q of %s has no data centre", r, of), "use a region of data_centres: "+listNames(regions))
			}
		}
	}
	for i := range l.routes {
		r := &l.routes[i].obj
		check(l.routes[i].at, "route "+r.Name, r.HomeRegions)
	}
	for i := range l.organisations {
		o := &l.organisations[i].obj
		check(l.organisations[i].at, "organisation "+o.Name, o.HomeRegions)
	}
}

func (l *loader) checkLinks() {
	regions := l.regions()
	seen := map[string]*origin{}
	for i := range l.links {
		k, at := &l.links[i].obj, l.links[i].at
		if len(k.Regions) != 2 {
			continue
		}
		for _, r := range k.Regions {
			if regions[r] == nil {
				at.problem("regions", fmt.Sprintf("region %q of a link has no data centre", r), "use a region of data_centres: "+listNames(regions))
			}
		}
		if k.Regions[0] == k.Regions[1] {
			at.problem("regions", "a link joins a region with itself", "give two different regions")
		}
		if first := seen[k.ID()]; first != nil {
			at.problem("regions", fmt.Sprintf("link %s is given twice", k.ID()), fmt.Sprintf("remove this one or the one at %s:%d", first.file, first.line))
		}
		seen[k.ID()] = at
	}
}

// singleSettings returns the settings object, or the defaults when none is given.
func (l *loader) singleSettings() Settings {
	if len(l.settings) == 0 {
		return newSettings()
	}
	for _, duplicate := range l.settings[1:] {
		first := l.settings[0].at
		duplicate.at.problem("", "settings are given twice", fmt.Sprintf("merge them into the ones at %s:%d", first.file, first.line))
	}
	return l.settings[0].obj
}
