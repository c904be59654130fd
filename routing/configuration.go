package routing

import (
	"fmt"
	"strings"
	"time"
)

// NoRank is the Rank of an organisation that does not override the route's rank.
const NoRank = -1

// Configuration is the complete configuration declared by the operator.
type Configuration struct {
	Generation     uint64 // increases with each document
	Routes         []Route
	Services       []Service
	Organisations  []Organisation
	Authenticates  bool // requests on routes that are not open must carry a key
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // time for the head of a request, 0 if not given
	IdleTimeout    time.Duration // time for which callers use idle connections again, 0 if not given

	// Notices are the values of the document that this version does not know. The
	// document is valid nevertheless.
	Notices []Notice
}

// Notice is a value of a document that this version does not know, and how the
// daemon treats it.
type Notice struct {
	Field  string // what the value belongs to
	Value  string
	Remedy string
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // whole path segments; begins and ends with a slash
	Idempotent  bool
	Open        bool          // requests need no key
	Timeout     time.Duration // time within which the caller receives an answer
	Objective   time.Duration // target latency
	Rank        int           // 0 is the most important
	MaxAttempts int           // maximum number of backend servers that one request may be sent to
	Parts       []Part        // services among which the requests are split by weight
	Regions     []string      // the only regions that may serve the requests; empty for no restriction
	LockedOut   bool          // no region may, see LockOutUndeclared
}

// Part is one service of a route and its weight in the split.
type Part struct {
	Service string
	Weight  float64
}

// Service is a kind of backend server.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // maximum that one backend server accepts from all callers together

	ColdStart time.Duration // how long a backend server is slow after its start; 0 when not given
	ColdRate  float64       // calls a second that a backend server tolerates meanwhile; 0 for no bound
}

// Organisation owns API keys and has a rate limit across all daemons.
type Organisation struct {
	Name  string
	Keys  []string
	Rate  float64 // requests per second, 0 for no limit
	Burst float64 // requests
	Rank  int     // overrides the route's rank; NoRank if not given

	Regions   []string // the only regions that may serve its requests; empty for no restriction
	LockedOut bool     // no region may, see LockOutUndeclared
}

// ConfigurationError is the error for a rejected configuration document.
type ConfigurationError struct {
	What   string
	Remedy string
}

// Error returns what is wrong and the remedy.
func (e *ConfigurationError) Error() string {
	return "configuration rejected: " + e.What + ": " + e.Remedy
}

func errorf(remedy, format string, args ...any) error {
	return &ConfigurationError{What: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Prepare validates the whole document. Its errors are of type
// *ConfigurationError.
func (c *Configuration) Prepare() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" {
			return errorf("name every service", "a service has no name")
		}
		services[s.Name] = true
	}
	for i := range c.Routes {
		if err := c.Routes[i].check(services); err != nil {
			return err
		}
	}
	for _, o := range c.Organisations {
		if o.Name == "" || o.Rate < 0 || o.Burst < 0 {
			return errorf("name every organisation and give rates and bursts of 0 or more",
				"organisation %q has no name, a negative rate or a negative burst", o.Name)
		}
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errorf("give the route a host", "route %s has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errorf("begin and end the prefix with a slash", "route %s has an invalid prefix %q", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return errorf("give the route a timeout of more than 0", "route %s has no timeout", r.Name)
	}
	total := 0.0
	for _, p := range r.Parts {
		if !services[p.Service] {
			return errorf("name a service that the document declares", "route %s names an unknown service %q", r.Name, p.Service)
		}
		if p.Weight < 0 {
			return errorf("give weights of 0 or more", "route %s has a negative weight for service %s", r.Name, p.Service)
		}
		total += p.Weight
	}
	if total <= 0 {
		return errorf("give at least one service of the route a weight above 0", "route %s has no weight", r.Name)
	}
	return nil
}
