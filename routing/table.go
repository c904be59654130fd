package routing

import (
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// KeyDigest stands for a key in memory, logs and messages. Two keys of one
// document never share a digest in practice; the key itself is not kept.
type KeyDigest uint64

// DigestOf returns the digest of a key.
func DigestOf(key []byte) KeyDigest { return KeyDigest(xxhash.Sum64(key)) }

// Table finds routes and organisations of one configuration. It is safe for
// concurrent use.
type Table struct {
	*Configuration
	prefixes map[string]map[string]*target
	keys     map[KeyDigest]*Organisation
	services map[string]*Service
}

// target is a route with the state of its split.
type target struct {
	route *Route

	mu     sync.Mutex
	credit []float64 // of each part, for the smooth weighted order
}

// splitPhases is the number of places, in requests, at which the order of a
// split may begin: as many as a part of under half a percent needs to come up.
const splitPhases = 256

// NewTable indexes a checked configuration. rng draws where the order of each
// split begins: daemons that all began with the largest part would keep the
// small ones short after every change, as each sees only a few requests.
func NewTable(c *Configuration, rng *rand.Rand) *Table {
	t := &Table{
		Configuration: c,
		prefixes:      make(map[string]map[string]*target),
		keys:          make(map[KeyDigest]*Organisation),
		services:      make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.prefixes[host] == nil {
			t.prefixes[host] = make(map[string]*target)
		}
		x := &target{route: r, credit: make([]float64, len(r.Parts))}
		if len(r.Parts) > 1 {
			for range rng.IntN(splitPhases) {
				x.next()
			}
		}
		t.prefixes[host][r.Prefix] = x
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, k := range o.Keys {
			t.keys[DigestOf([]byte(k))] = o
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match is a route chosen for one request.
type Match struct {
	*Route
	target *target
}

// Match returns the route of host whose prefix begins path and is the longest.
// path is the request's path without its query, as it was sent.
func (t *Table) Match(host, path string) (Match, bool) {
	byPrefix := t.prefixes[strings.ToLower(host)]
	if byPrefix == nil {
		host, _, found := strings.Cut(host, ":")
		if !found {
			return Match{}, false
		}
		byPrefix = t.prefixes[strings.ToLower(host)]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if x := byPrefix[path[:end+1]]; x != nil {
			return Match{Route: x.route, target: x}, true
		}
	}
	return Match{}, false
}

// Service returns the service of the next request on the route. Each part gets
// its share in any run of requests, to within one request.
func (m Match) Service() string {
	if len(m.Parts) == 1 {
		return m.Parts[0].Service
	}
	m.target.mu.Lock()
	defer m.target.mu.Unlock()
	return m.target.next()
}

// next takes one step in the smooth weighted order.
func (x *target) next() string {
	parts, credit := x.route.Parts, x.credit
	total, best := 0.0, 0
	for i := range parts {
		credit[i] += parts[i].Weight
		total += parts[i].Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return parts[best].Service
}

// Owner returns the organisation of a key, nil when the key is not in force.
func (t *Table) Owner(k KeyDigest) *Organisation { return t.keys[k] }

// Service returns a service by name, nil when the configuration has none.
func (t *Table) Service(name string) *Service { return t.services[name] }
