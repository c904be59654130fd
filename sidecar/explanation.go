package sidecar

import (
	"time"

	"wisteriafold/loadreport"
	"wisteriafold/request"
	"wisteriafold/service"
)

// Explanation is the answer of PathExplain: what would become of a request now at the
// daemon that is asked.
type Explanation struct {
	Instance      string                 `json:"instance"`
	DataCentre    string                 `json:"data_centre"`
	Region        string                 `json:"region"`
	Configuration ExplainedConfiguration `json:"configuration"`
	Route         *ExplainedRoute        `json:"route,omitempty"` // absent if none matches
	Organisation  string                 `json:"organisation,omitempty"`
	Importance    string                 `json:"importance,omitempty"`
	Homes         []string               `json:"home_regions,omitempty"`   // absent if the request is not restricted
	NoHome        bool                   `json:"no_home_region,omitempty"` // no region may serve the request
	Evacuation    *ExplainedEvacuation   `json:"evacuation,omitempty"`     // absent if the settings do not ask for it
	Admission     ExplainedAdmission     `json:"admission"`
	Services      []ExplainedService     `json:"services,omitempty"` // the parts of the route
}

// ExplainedConfiguration is the configuration in force.
type ExplainedConfiguration struct {
	Generation uint64 `json:"generation"`
	AgeMs      int64  `json:"age_ms"` // since it was last confirmed as the newest, -1 if never
}

// ExplainedRoute is the route of the request.
type ExplainedRoute struct {
	Name        string  `json:"name"`
	Prefix      string  `json:"prefix"`
	Idempotent  bool    `json:"idempotent"`
	Open        bool    `json:"open"` // needs no key
	TimeoutMs   float64 `json:"timeout_ms"`
	MaxAttempts int     `json:"max_attempts"`
}

// ExplainedEvacuation is the set of evacuated data centres.
type ExplainedEvacuation struct {
	Known       bool     `json:"known"`
	Here        bool     `json:"here"` // the daemon's own data centre is evacuated, or may be
	DataCentres []string `json:"data_centres,omitempty"`
	Version     uint64   `json:"version"`
}

// Values of ExplainedAdmission.Token.
const (
	TokenNotNeeded = "not-needed"
	TokenUnlimited = "unlimited"
	TokenHere      = "here"         // this daemon has one
	TokenAsked     = "asks-holders" // other daemons would be asked, which decides
	TokenNone      = "none"
)

// ExplainedAdmission is the admission at the entry.
type ExplainedAdmission struct {
	Refused       string  `json:"refused,omitempty"` // reason of the refusal that comes first
	Remedy        string  `json:"remedy,omitempty"`
	EntryLevel    uint32  `json:"entry_level"`    // of the route; 0 admits every request
	AdmittedTrees float64 `json:"admitted_trees"` // fraction of the requests of this importance and organisation that the level admits
	Token         string  `json:"token,omitempty"`
	Tokens        int     `json:"tokens"`        // whole tokens of the organisation at this daemon
	RateShare     float64 `json:"rate_share"`    // fraction of the rate that this daemon earns
	Holders       int     `json:"token_holders"` // other daemons that may be asked for tokens
}

// refuse records a refusal unless an earlier check has refused the request.
func (a *ExplainedAdmission) refuse(err *request.Error) {
	if err != nil && a.Refused == "" {
		a.Refused, a.Remedy = string(err.Reason), err.Remedy
	}
}

// ExplainedService is a service that may get the request.
type ExplainedService struct {
	Service string          `json:"service"`
	Share   float64         `json:"share"` // of the requests of the route
	Used    bool            `json:"used"`  // this daemon has sent requests to it; otherwise the subset of endpoints is not fixed yet
	Choice  ExplainedChoice `json:"choice"`
	Retry   ExplainedRetry  `json:"retry"`
}

// ExplainedRetry is what a retry would do after a failure of the most likely endpoint.
// Retries after a refusal by a gate need no budget.
type ExplainedRetry struct {
	MaxAttempts int              `json:"max_attempts"` // backend servers that the request may reach
	MaxRetries  int              `json:"max_retries"`  // with refusals by gates
	Idempotent  bool             `json:"idempotent"`   // otherwise only what has not run is retried
	NotRunLeft  float64          `json:"not_run_left"` // retries left after a backend server shed the request
	MayRunLeft  float64          `json:"may_run_left"` // retries left after attempts that may have run
	Excluded    []string         `json:"excluded,omitempty"`
	Choice      *ExplainedChoice `json:"choice,omitempty"`
}

// ExplainedChoice is the choice of an endpoint. Probabilities are estimated from draws.
type ExplainedChoice struct {
	Draws       int                 `json:"draws"`
	Refused     float64             `json:"refused"` // probability that no endpoint is chosen
	Reason      string              `json:"reason,omitempty"`
	TypicalMs   float64             `json:"typical_ms"`
	GateTimeMs  float64             `json:"gate_time_ms"`
	AnswerBytes int64               `json:"answer_bytes"`
	Endpoints   []ExplainedEndpoint `json:"endpoints"`
}

// ExplainedEndpoint is a candidate with its cost and what it is made of. Fields with an
// age are -1 without a measurement or report.
type ExplainedEndpoint struct {
	Peer            string             `json:"peer"`
	DataCentre      string             `json:"data_centre"`
	Region          string             `json:"region"`
	Locality        string             `json:"locality"`
	Probability     float64            `json:"probability"`
	Why             map[string]float64 `json:"why,omitempty"`
	PassedOver      map[string]float64 `json:"passed_over,omitempty"`
	CostMs          float64            `json:"cost_ms"`
	LatencyMs       float64            `json:"latency_ms"`
	BytesMs         float64            `json:"bytes_ms"`
	ResponseMs      float64            `json:"response_ms"`
	MeasuredAgeMs   float64            `json:"measured_age_ms"`
	Loss            float64            `json:"loss"`
	Outstanding     float64            `json:"outstanding"`
	InFlight        int64              `json:"in_flight_from_here"`
	Limit           float64            `json:"limit"`
	ReportAgeMs     float64            `json:"report_age_ms"`
	ReportFresh     bool               `json:"report_fresh"`
	ReportServiceMs float64            `json:"report_service_ms"`
	ReportLevel     uint32             `json:"report_level"`
	WorkPercent     uint32             `json:"work_percent"`
	WorkAgeMs       float64            `json:"work_age_ms"`
	Cold            bool               `json:"cold"`
	PaceShare       float64            `json:"pace_share"`
	OverflowShare   float64            `json:"overflow_share"`
	ExcludedForMs   float64            `json:"excluded_for_ms"`
}

// mostLikely returns the peer of the endpoint with the highest probability, empty if
// none can be chosen.
func (c *ExplainedChoice) mostLikely() string {
	peer, most := "", 0.0
	for i := range c.Endpoints {
		if e := &c.Endpoints[i]; e.Probability > most {
			peer, most = e.Peer, e.Probability
		}
	}
	return peer
}

func explainedChoice(x service.Explanation) ExplainedChoice {
	c := ExplainedChoice{
		Draws: x.Draws, Refused: x.Refused, Reason: x.Reason,
		TypicalMs: millis(x.Typical), GateTimeMs: millis(x.GateTime), AnswerBytes: x.AnswerBytes,
		Endpoints: make([]ExplainedEndpoint, 0, len(x.Endpoints)),
	}
	for i := range x.Endpoints {
		c.Endpoints = append(c.Endpoints, explainedEndpoint(&x.Endpoints[i]))
	}
	return c
}

func explainedEndpoint(e *service.Explained) ExplainedEndpoint {
	r := e.Report
	if r == nil {
		r = &loadreport.Report{}
	}
	return ExplainedEndpoint{
		Peer: e.Endpoint.Peer, DataCentre: e.Endpoint.DataCentre, Region: e.Endpoint.Region, Locality: e.Locality.String(),
		Probability: e.Probability, Why: e.Why, PassedOver: e.PassedOver,
		CostMs: millis(e.Cost), LatencyMs: millis(e.Latency), BytesMs: millis(e.ByteCost),
		ResponseMs: millis(e.ResponseTime), MeasuredAgeMs: millis(e.MeasuredAge), Loss: e.Loss,
		Outstanding: e.Outstanding, InFlight: e.InFlight, Limit: e.Limit,
		ReportAgeMs: millis(e.ReportAge), ReportFresh: e.ReportFresh,
		ReportServiceMs: millis(r.ServiceTime), ReportLevel: uint32(r.Level),
		WorkPercent: r.WorkPercent, WorkAgeMs: millis(r.WorkAge),
		Cold: e.Cold, PaceShare: e.PaceWeight, OverflowShare: e.Overflow, ExcludedForMs: millis(e.ExcludedFor),
	}
}

// millis returns a time in ms; -1 stands for an unknown age.
func millis(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return float64(d) / float64(time.Millisecond)
}
