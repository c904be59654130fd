package config

// Snapshot is one generation of the configuration, immutable and complete.
// Traffic reads it without locks.
type Snapshot struct {
	Generation    uint64 // grows with each accepted apply, 0 before the first
	Version       uint64 // commit sequence number of the generation in the store
	Digest        uint64 // over the content of all objects
	Configuration *Configuration

	router        router
	organisations map[string]*Organisation
	services      map[string]*Service
	dataCentres   map[string]*DataCentre
}

// NewSnapshot prepares a configuration for lookups.
func NewSnapshot(generation, version, digest uint64, c *Configuration) *Snapshot {
	s := &Snapshot{Generation: generation, Version: version, Digest: digest, Configuration: c}
	s.router = newRouter(c)
	s.organisations = byName(c.Organisations, func(o *Organisation) string { return o.Name })
	s.services = byName(c.Services, func(v *Service) string { return v.Name })
	s.dataCentres = byName(c.DataCentres, func(d *DataCentre) string { return d.Name })
	return s
}

// derive returns the snapshot of the next generation. Lookup tables of kinds that
// are not touched are shared with s.
func (s *Snapshot) derive(h Head, version uint64, c *Configuration, touched map[Kind]bool) *Snapshot {
	next := *s
	next.Generation, next.Version, next.Digest, next.Configuration = h.Generation, version, h.Digest, c
	if touched[KindRoute] || touched[KindService] || touched[KindSettings] {
		next.router = newRouter(c)
	}
	if touched[KindOrganisation] {
		next.organisations = byName(c.Organisations, func(o *Organisation) string { return o.Name })
	}
	if touched[KindService] {
		next.services = byName(c.Services, func(v *Service) string { return v.Name })
	}
	if touched[KindDataCentre] {
		next.dataCentres = byName(c.DataCentres, func(d *DataCentre) string { return d.Name })
	}
	return &next
}

func byName[T any](list []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[name(&list[i])] = &list[i]
	}
	return m
}

// EmptySnapshot returns the snapshot that is in force before the first apply.
func EmptySnapshot() *Snapshot {
	return NewSnapshot(0, 0, 0, &Configuration{Settings: newSettings()})
}

// Route returns the route that takes the method and has the longest prefix of
// path, whole segments only. path has no query. It does not allocate.
func (s *Snapshot) Route(method, path []byte) (*Match, bool) { return s.router.lookup(method, path) }

// Organisation returns the organisation of that name, or nil.
func (s *Snapshot) Organisation(name string) *Organisation { return s.organisations[name] }

// Service returns the service of that name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// DataCentre returns the data centre of that name, or nil.
func (s *Snapshot) DataCentre(name string) *DataCentre { return s.dataCentres[name] }

// Link returns the link between two regions, or nil.
func (s *Snapshot) Link(a, b string) *Link {
	for i := range s.Configuration.Links {
		l := &s.Configuration.Links[i]
		if (l.Regions[0] == a && l.Regions[1] == b) || (l.Regions[0] == b && l.Regions[1] == a) {
			return l
		}
	}
	return nil
}
