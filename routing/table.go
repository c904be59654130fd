package routing

import (
	"crypto/sha256"
	"math/rand/v2"
	"strings"
	"sync"
)

// keyDigestBytes is the length of a KeyDigest. Half of a SHA-256 hash keeps calls
// between daemons small and leaves 64 bits of security against collisions.
const keyDigestBytes = sha256.Size / 2

// KeyDigest is a truncated SHA-256 hash that identifies an API key in memory, logs
// and messages, so that these do not contain the key itself. It is the only proof of
// a key, so it must not be possible to construct another key with the same digest.
type KeyDigest [keyDigestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key []byte) KeyDigest {
	sum := sha256.Sum256(key)
	return KeyDigest(sum[:keyDigestBytes])
}

// Table looks up the routes, services and organisations of one configuration. It
// is safe for concurrent use.
type Table struct {
	*Configuration
	prefixes map[string]map[string]*target
	keys     map[KeyDigest]*Organisation
	services map[string]*Service

	restricted bool                // a route or an organisation has regions
	byName     map[string][]*Route // of a restricted table
}

// target is a route with the state of its traffic split.
type target struct {
	route *Route

	mu     sync.Mutex
	credit []float64 // of each part, for smooth weighted round robin
}

// splitPhases is the number of positions, in requests, at which the weighted
// order of a split may start. It is large enough to reach a part with a share of
// less than half a percent.
const splitPhases = 256

// NewTable indexes a configuration that Prepare has accepted. rng chooses the
// start position of each split. If all daemons started with the largest part,
// small parts would get less than their share after every configuration change,
// because each daemon sees only a few requests.
func NewTable(c *Configuration, rng *rand.Rand) *Table {
	t := &Table{
		Configuration: c,
		prefixes:      make(map[string]map[string]*target),
		keys:          make(map[KeyDigest]*Organisation),
		services:      make(map[string]*Service, len(c.Services)),
		byName:        make(map[string][]*Route),
		restricted:    c.restricts(),
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
		if t.restricted {
			t.byName[r.Name] = append(t.byName[r.Name], r)
		}
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

// Match is the route that matches one request.
type Match struct {
	*Route
	target *target
}

// Match returns the route of host with the longest prefix of path. Prefixes match
// whole path segments. host may carry a port. path is the request's path as sent,
// without the query.
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

// Service returns the service for the next request on the route, in smooth
// weighted round robin: over any number of consecutive requests, the count of
// each part differs from its exact share by no more than the number of parts.
func (m Match) Service() string {
	if len(m.Parts) == 1 {
		return m.Parts[0].Service
	}
	m.target.mu.Lock()
	defer m.target.mu.Unlock()
	return m.target.next()
}

// next returns the next service in smooth weighted round robin.
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

// Owner returns the organisation that owns a key, or nil if the configuration
// does not contain the key.
func (t *Table) Owner(k KeyDigest) *Organisation { return t.keys[k] }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ColdServices returns the services whose backend servers are slow or tolerate only few
// calls after a start.
func (t *Table) ColdServices() []*Service {
	var all []*Service
	for _, s := range t.services {
		if s.ColdRate > 0 || s.ColdStart > 0 {
			all = append(all, s)
		}
	}
	return all
}
