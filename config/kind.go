package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Kind is the type of an object.
type Kind string

// Kinds of objects.
const (
	KindOrganisation Kind = "organisation"
	KindKey          Kind = "key"
	KindService      Kind = "service"
	KindRoute        Kind = "route"
	KindDataCentre   Kind = "data-centre"
	KindLink         Kind = "link"
	KindSettings     Kind = "settings"
)

// settingsName is the name of the only settings object.
const settingsName = "fleet"

// rowKey returns the key of an object's row.
func rowKey(kind Kind, name string) string { return string(kind) + "/" + name }

// splitKey returns kind and name of a row's key.
func splitKey(key string) (Kind, string) {
	kind, name, _ := strings.Cut(key, "/")
	return Kind(kind), name
}

// kindOps are the operations on the objects of one kind in a configuration.
type kindOps struct {
	cloneList func(c *Configuration)                              // copy the list, which may be shared, before a change
	put       func(c *Configuration, name string, v []byte) error // add or replace from JSON
	remove    func(c *Configuration, name string)
	each      func(c *Configuration, visit func(name string, obj any))
}

var kinds = map[Kind]kindOps{
	KindOrganisation: listOps(func(c *Configuration) *[]Organisation { return &c.Organisations }, func(o *Organisation) string { return o.Name }),
	KindKey:          listOps(func(c *Configuration) *[]Key { return &c.Keys }, func(k *Key) string { return k.Digest }),
	KindService:      listOps(func(c *Configuration) *[]Service { return &c.Services }, func(s *Service) string { return s.Name }),
	KindRoute:        listOps(func(c *Configuration) *[]Route { return &c.Routes }, func(r *Route) string { return r.Name }),
	KindDataCentre:   listOps(func(c *Configuration) *[]DataCentre { return &c.DataCentres }, func(d *DataCentre) string { return d.Name }),
	KindLink:         listOps(func(c *Configuration) *[]Link { return &c.Links }, (*Link).ID),
	KindSettings: {
		cloneList: func(*Configuration) {},
		put: func(c *Configuration, _ string, v []byte) error {
			s := newSettings()
			if err := json.Unmarshal(v, &s); err != nil {
				return err
			}
			c.Settings = s
			return nil
		},
		remove: func(c *Configuration, _ string) { c.Settings = newSettings() },
		each:   func(c *Configuration, visit func(string, any)) { visit(settingsName, &c.Settings) },
	},
}

// listOps returns the operations on a list that is sorted by name.
func listOps[T any](list func(*Configuration) *[]T, name func(*T) string) kindOps {
	find := func(l []T, n string) (int, bool) {
		return slices.BinarySearchFunc(l, n, func(e T, n string) int { return strings.Compare(name(&e), n) })
	}
	return kindOps{
		cloneList: func(c *Configuration) { l := list(c); *l = slices.Clone(*l) },
		put: func(c *Configuration, n string, v []byte) error {
			var obj T
			if err := json.Unmarshal(v, &obj); err != nil {
				return err
			}
			if k, isLink := any(&obj).(*Link); isLink && len(k.Regions) != 2 {
				return fmt.Errorf("link %s has %d regions, not 2", n, len(k.Regions))
			}
			if name(&obj) != n {
				return fmt.Errorf("its value is that of %s", name(&obj))
			}
			l := list(c)
			at, found := find(*l, n)
			if found {
				(*l)[at] = obj
			} else {
				*l = slices.Insert(*l, at, obj)
			}
			return nil
		},
		remove: func(c *Configuration, n string) {
			l := list(c)
			if at, found := find(*l, n); found {
				*l = slices.Delete(*l, at, at+1)
			}
		},
		each: func(c *Configuration, visit func(string, any)) {
			l := *list(c)
			for i := range l {
				visit(name(&l[i]), &l[i])
			}
		},
	}
}

// rows returns the value of each object's row by key.
func (c *Configuration) rows() (map[string][]byte, error) {
	out := map[string][]byte{}
	var failed error
	for kind, ops := range kinds {
		ops.each(c, func(name string, obj any) {
			v, err := json.Marshal(obj)
			if err != nil {
				failed = err
			}
			out[rowKey(kind, name)] = v
		})
	}
	return out, failed
}
