package config

import (
	"reflect"
	"slices"
	"strings"
)

// ContractVersion returns the generation in which the organisation's contract,
// or the set of data centres that share it, last changed. It is the same on all
// daemons that have the configuration.
func (c *Configuration) ContractVersion(o *Organisation) uint64 {
	return max(o.Since, c.Settings.DataCentresSince)
}

// LinkVersion returns the generation in which the capacity of a link, or the set
// of data centres that share it, last changed.
func (c *Configuration) LinkVersion(l *Link) uint64 {
	return max(l.Since, c.Settings.DataCentresSince)
}

// stampSince returns a copy of next in which each Since field holds the
// generation of the last change: the value from before when nothing has changed,
// and generation otherwise.
func stampSince(before, next *Configuration, generation uint64) *Configuration {
	out := *next
	out.Organisations = slices.Clone(next.Organisations)
	for i := range out.Organisations {
		o := &out.Organisations[i]
		o.Since = generation
		if old := findOrganisation(before, o.Name); old != nil && sameContract(old, o) {
			o.Since = old.Since
		}
	}
	out.Links = slices.Clone(next.Links)
	for i := range out.Links {
		l := &out.Links[i]
		l.Since = generation
		if old := findLink(before, l.ID()); old != nil && old.BytesPerSecond == l.BytesPerSecond {
			l.Since = old.Since
		}
	}
	out.Settings.DataCentresSince = generation
	if slices.Equal(dataCentreNames(before), dataCentreNames(next)) {
		out.Settings.DataCentresSince = before.Settings.DataCentresSince
	}
	return &out
}

// sameContract reports whether rate, burst and split are the same.
func sameContract(a, b *Organisation) bool {
	return a.Rate == b.Rate && a.Burst == b.Burst && len(a.Split) == len(b.Split) &&
		(len(a.Split) == 0 || reflect.DeepEqual(a.Split, b.Split))
}

// findOrganisation returns the organisation of that name, or nil. The list must
// be sorted by name.
func findOrganisation(c *Configuration, name string) *Organisation {
	at, found := slices.BinarySearchFunc(c.Organisations, name, func(o Organisation, n string) int { return strings.Compare(o.Name, n) })
	if !found {
		return nil
	}
	return &c.Organisations[at]
}

func findLink(c *Configuration, id string) *Link {
	for i := range c.Links {
		if c.Links[i].ID() == id {
			return &c.Links[i]
		}
	}
	return nil
}

func dataCentreNames(c *Configuration) []string {
	var out []string
	for i := range c.DataCentres {
		out = append(out, c.DataCentres[i].Name)
	}
	slices.Sort(out)
	return out
}
