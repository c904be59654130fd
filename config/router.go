package config

import (
	"strings"
	"time"

	"wisteriafold/request"
)

// Match is a route with its defaults resolved, ready for traffic. It is
// shared and must not be changed.
type Match struct {
	Route          string // name of the route
	Service        string
	Importance     request.Importance
	Open           bool          // no key is needed, and none is accepted
	Idempotent     bool          // a request with this method may safely run twice
	Deadline       time.Duration // for the whole request
	RetryAllowance uint32        // extra attempts for the whole tree of calls
	MaxBody        int64         // bytes
	StoreDown      StoreDown
	HomeRegions    []string      // the only regions that may serve the requests, empty for all
	RefuseAge      time.Duration // configuration age above which keys are refused, 0 for never
}

// allMethods are the methods that a route without methods takes.
var allMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (r *Route) methods() []string {
	if len(r.Methods) > 0 {
		return r.Methods
	}
	return allMethods
}

// canonicalPrefix removes trailing slashes, so that /a and /a/ are the same
// prefix.
func canonicalPrefix(p string) string { return strings.TrimRight(p, "/") }

// router finds routes. The zero value has none.
type router struct {
	prefixes map[string]map[string]*Match // prefix, then method
	longest  int                          // bytes of the longest prefix
	homes    map[string][]string          // home regions by name of route, of restricted routes only
}

func newRouter(c *Configuration) router {
	services := make(map[string]*Service, len(c.Services))
	for i := range c.Services {
		services[c.Services[i].Name] = &c.Services[i]
	}
	t := router{prefixes: make(map[string]map[string]*Match, len(c.Routes)), homes: make(map[string][]string)}
	for i := range c.Routes {
		r := &c.Routes[i]
		s := services[r.Service]
		if s == nil {
			continue
		}
		if len(r.HomeRegions) > 0 {
			t.homes[r.Name] = r.HomeRegions
		}
		prefix := canonicalPrefix(r.Prefix)
		byMethod := t.prefixes[prefix]
		if byMethod == nil {
			byMethod = make(map[string]*Match)
			t.prefixes[prefix] = byMethod
		}
		for _, m := range r.methods() {
			byMethod[m] = newMatch(r, s, &c.Settings, m)
		}
		t.longest = max(t.longest, len(prefix))
	}
	return t
}

func newMatch(r *Route, s *Service, set *Settings, method string) *Match {
	m := &Match{
		Route:          r.Name,
		Service:        r.Service,
		Importance:     r.Importance.Class(),
		Open:           r.Open,
		Idempotent:     r.IdempotentFor(method),
		Deadline:       r.Deadline,
		RetryAllowance: r.RetryAllowance,
		MaxBody:        int64(r.MaxBody),
		StoreDown:      r.StoreDown,
		HomeRegions:    r.HomeRegions,
	}
	if m.Deadline == 0 {
		m.Deadline = s.Deadline
	}
	if m.MaxBody == 0 {
		m.MaxBody = int64(s.MaxBody)
	}
	choice := r.WhenCutOff
	if choice == "" {
		choice = set.Keys.WhenCutOff
	}
	if choice == CutOffRefuse {
		m.RefuseAge = set.Keys.RefuseAfter
	}
	return m
}

// lookup returns the route with the longest prefix among those that accept the
// method. path is normalised and without query.
func (t *router) lookup(method, path []byte) (*Match, bool) {
	end := len(path)
	for {
		if end <= t.longest {
			if byMethod, found := t.prefixes[string(path[:end])]; found {
				if m, takes := byMethod[string(method)]; takes {
					return m, true
				}
			}
		}
		if end == 0 {
			return nil, false
		}
		end--
		for end > 0 && path[end] != '/' {
			end--
		}
	}
}
