package config

import (
	"time"

	"wisteriafold/request"
)

// Organisation is a customer with a contract that applies to the whole fleet.
type Organisation struct {
	// Name identifies the organisation.
	Name string `yaml:"name" json:"name" validate:"required,name"`

	// Rate is the number of requests per second over all instances together.
	Rate float64 `yaml:"rate" json:"rate" validate:"gt=0,lte=1e9"`

	// Burst is the number of requests that may arrive at once after an idle
	// period. The default is one second's rate, at least 1.
	Burst float64 `yaml:"burst,omitempty" json:"burst,omitempty" validate:"gte=1,lte=1e9"`

	// Weight is the organisation's share of an overloaded backend server,
	// relative to other organisations. The default is 1.
	Weight float64 `yaml:"weight" json:"weight" validate:"gt=0,lte=1e6"`

	// Split is the percentage of rate and burst that each data centre starts
	// with; data centres lend to each other by demand. The sum must not exceed
	// 100. Data centres that are left out start with 0. The default is an even
	// split.
	Split map[string]float64 `yaml:"split,omitempty" json:"split,omitempty" validate:"dive,gte=0,lte=100"`

	// HomeRegions are the only regions whose backend servers may serve the
	// organisation's requests. The default is all. Together with those of a route,
	// the regions that both allow count.
	HomeRegions []string `yaml:"home_regions,omitempty" json:"home_regions,omitempty" validate:"unique,dive,required"`

	// Since is the generation in which rate, burst or split last changed. Apply
	// sets it; files cannot.
	Since uint64 `yaml:"-" json:"since,omitempty"`
}

// Key is the digest of a key that an organisation's callers present. The key
// itself is never stored.
type Key struct {
	// Digest is sha256: followed by 64 hexadecimal digits, as key new prints it.
	Digest string `yaml:"digest" json:"digest" validate:"required,digest"`

	// Organisation is the owner.
	Organisation string `yaml:"organisation" json:"organisation" validate:"required"`

	// Note tells operators what the key is for. It has no effect.
	Note string `yaml:"note,omitempty" json:"note,omitempty" validate:"max=200"`
}

// Service is a kind of backend server. Its endpoints announce themselves.
type Service struct {
	// Name identifies the service.
	Name string `yaml:"name" json:"name" validate:"required,name"`

	// Deadline is the time limit of a whole request, where the route sets none.
	Deadline time.Duration `yaml:"deadline" json:"deadline" validate:"gte=1ms,lte=1h"`

	// RetryBudget is the number of retries that a daemon may send to the
	// service, as a fraction of its first attempts. The default is 0.1.
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget" validate:"gte=0,lte=1"`

	// MaxBody is the largest request body in bytes, where the route sets
	// none. The default is 1 MiB.
	MaxBody Bytes `yaml:"max_body" json:"max_body" validate:"gt=0"`
}

// Route assigns a service, an importance and the rules for admission and retries
// to requests by path and method.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string `yaml:"name" json:"name" validate:"required,name"`

	// Prefix is matched by whole path segments; the longest prefix wins.
	Prefix string `yaml:"prefix" json:"prefix" validate:"required,prefix"`

	// Methods are the HTTP methods that the route takes. The default is all.
	Methods []string `yaml:"methods,omitempty" json:"methods,omitempty" validate:"max=7,unique,dive,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`

	// Service is the name of the service that answers.
	Service string `yaml:"service" json:"service" validate:"required"`

	// Importance is sheddable, normal, high or critical. The default is normal.
	Importance Importance `yaml:"importance" json:"importance"`

	// Open admits requests without a key. The default is false.
	Open bool `yaml:"open,omitempty" json:"open,omitempty"`

	// Idempotent says whether a request may safely run twice. The default
	// depends on the method: GET, HEAD, PUT, DELETE and OPTIONS are idempotent.
	Idempotent *bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`

	// Deadline is the time limit of the whole request. The default is the
	// service's.
	Deadline time.Duration `yaml:"deadline,omitempty" json:"deadline,omitempty" validate:"omitempty,gte=1ms,lte=1h"`

	// RetryAllowance is the number of extra attempts for the whole tree of one
	// request. The default is 2.
	RetryAllowance uint32 `yaml:"retry_allowance" json:"retry_allowance" validate:"lte=100"`

	// MaxBody is the largest request body in bytes. The default is the service's.
	MaxBody Bytes `yaml:"max_body,omitempty" json:"max_body,omitempty"`

	// StoreDown says what happens to a request with an idempotency key whose
	// claim can't be written: refuse or run. The default is refuse.
	StoreDown StoreDown `yaml:"store_down" json:"store_down" validate:"oneof=refuse run"`

	// WhenCutOff is serve or refuse. The default is keys.when_cut_off of the
	// settings.
	WhenCutOff CutOff `yaml:"when_cut_off,omitempty" json:"when_cut_off,omitempty" validate:"omitempty,oneof=serve refuse"`

	// HomeRegions are the only regions whose backend servers may serve the
	// requests, and the calls made for them. The default is all.
	HomeRegions []string `yaml:"home_regions,omitempty" json:"home_regions,omitempty" validate:"unique,dive,required"`
}

// DataCentre is a zone with its own instances.
type DataCentre struct {
	// Name identifies the data centre.
	Name string `yaml:"name" json:"name" validate:"required,name"`

	// Region groups data centres that are near each other.
	Region string `yaml:"region" json:"region" validate:"required,name"`

	// Evacuated says that no backend server of the data centre may receive
	// requests. Only Evacuate sets it; files cannot, and Apply keeps it.
	Evacuated bool `yaml:"-" json:"evacuated,omitempty"`
}

// Link is the connection between two regions.
type Link struct {
	// Regions are the names of the two regions.
	Regions []string `yaml:"regions" json:"regions" validate:"len=2"`

	// BytesPerSecond is the capacity each way, for all traffic together.
	BytesPerSecond Bytes `yaml:"bytes_per_second" json:"bytes_per_second" validate:"gt=0"`

	// Since is the generation in which the capacity last changed. Apply sets it;
	// files cannot.
	Since uint64 `yaml:"-" json:"since,omitempty"`
}

// Settings are choices for the whole fleet.
type Settings struct {
	// Keys are the rules for keys at daemons that are cut off.
	Keys KeySettings `yaml:"keys" json:"keys"`

	// Claims are the rules for requests with an idempotency key.
	Claims ClaimSettings `yaml:"claims" json:"claims"`

	// DataCentresSince is the generation in which a data centre was last added
	// or removed. Apply sets it; files cannot.
	DataCentresSince uint64 `yaml:"-" json:"data_centres_since,omitempty"`
}

// KeySettings decide whether keys are honoured while nothing can confirm that
// they have not been withdrawn.
type KeySettings struct {
	// WhenCutOff is serve or refuse. The default is serve.
	WhenCutOff CutOff `yaml:"when_cut_off" json:"when_cut_off" validate:"oneof=serve refuse"`

	// RefuseAfter is the configuration age above which keys are refused, where
	// refuse was chosen. It must be higher than the age that occurs in a large
	// data centre without a fault. The default is 5m.
	RefuseAfter time.Duration `yaml:"refuse_after" json:"refuse_after" validate:"gte=30s,lte=168h"`
}

// ClaimSettings are about the records of requests with an idempotency key.
type ClaimSettings struct {
	// Retention is how long a recorded answer is kept. The default is 24h.
	Retention time.Duration `yaml:"retention" json:"retention" validate:"gte=1m,lte=720h"`
}

// Defaults.
const (
	defaultWeight         = 1
	defaultDeadline       = 2 * time.Second
	defaultRetryBudget    = 0.1
	defaultMaxBody        = 1 << 20
	defaultRetryAllowance = 2
	defaultRefuseAfter    = 5 * time.Minute
	defaultRetention      = 24 * time.Hour
)

func newOrganisation() Organisation { return Organisation{Weight: defaultWeight} }

func newService() Service {
	return Service{Deadline: defaultDeadline, RetryBudget: defaultRetryBudget, MaxBody: defaultMaxBody}
}

func newRoute() Route {
	return Route{Importance: Importance(request.Normal), RetryAllowance: defaultRetryAllowance, StoreDown: StoreDownRefuse}
}

func newSettings() Settings {
	return Settings{
		Keys:   KeySettings{WhenCutOff: CutOffServe, RefuseAfter: defaultRefuseAfter},
		Claims: ClaimSettings{Retention: defaultRetention},
	}
}
