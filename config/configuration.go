package config

import (
	"sort"

	"go.yaml.in/yaml/v3"
)

// Configuration is everything that operators declare, complete and checked.
// It is immutable once it is loaded. Lists are ordered by name.
type Configuration struct {
	Organisations []Organisation `yaml:"organisations,omitempty"`
	Keys          []Key          `yaml:"keys,omitempty"`
	Services      []Service      `yaml:"services,omitempty"`
	Routes        []Route        `yaml:"routes,omitempty"`
	DataCentres   []DataCentre   `yaml:"data_centres,omitempty"`
	Links         []Link         `yaml:"links,omitempty"`
	Settings      Settings       `yaml:"settings"`
}

// ID returns the link's name: its regions in order.
func (l *Link) ID() string {
	a, b := l.Regions[0], l.Regions[1]
	if a > b {
		a, b = b, a
	}
	return a + "+" + b
}

// Share returns the fraction of the organisation's rate and burst that the
// data centre starts with, from 0 to 1. Over all data centres the fractions
// add up to at most 1.
func (c *Configuration) Share(o *Organisation, dataCentre string) float64 {
	if len(o.Split) > 0 {
		return o.Split[dataCentre] / percent
	}
	for i := range c.DataCentres {
		if c.DataCentres[i].Name == dataCentre {
			return 1 / float64(len(c.DataCentres))
		}
	}
	return 0
}

// IdempotentFor reports whether a request with the method may safely run twice.
func (r *Route) IdempotentFor(method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	switch method {
	case "GET", "HEAD", "PUT", "DELETE", "OPTIONS":
		return true
	}
	return false
}

const percent = 100

// sortLists sorts each list by name. Lookups rely on this order.
func (c *Configuration) sortLists() {
	sort.Slice(c.Organisations, func(i, j int) bool { return c.Organisations[i].Name < c.Organisations[j].Name })
	sort.Slice(c.Keys, func(i, j int) bool { return c.Keys[i].Digest < c.Keys[j].Digest })
	sort.Slice(c.Services, func(i, j int) bool { return c.Services[i].Name < c.Services[j].Name })
	sort.Slice(c.Routes, func(i, j int) bool { return c.Routes[i].Name < c.Routes[j].Name })
	sort.Slice(c.DataCentres, func(i, j int) bool { return c.DataCentres[i].Name < c.DataCentres[j].Name })
	sort.Slice(c.Links, func(i, j int) bool { return c.Links[i].ID() < c.Links[j].ID() })
}

// YAML returns the configuration as one YAML file. LoadDirectory reads an equal
// configuration from that file.
func (c *Configuration) YAML() ([]byte, error) { return yaml.Marshal(c) }
