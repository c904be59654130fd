package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"wisteriafold/backend"
	"wisteriafold/claim"
	"wisteriafold/config"
	"wisteriafold/contract"
	"wisteriafold/datacentre"
	"wisteriafold/link"
	"wisteriafold/request"
	"wisteriafold/service"
)

// Paths of the operator listener.
const (
	PathStatus  = "/status"     // Status as JSON
	PathExplain = "/explain"    // ?id=: the latest decisions about one request
	PathVars    = "/debug/vars" // expvar of the process
	PathCounts  = "/counts"     // the daemon's own counters

	// PathConfirmed asks all data centres which generation they have confirmed
	// and returns []config.DataCentreStatus as JSON.
	PathConfirmed = "/confirmed"

	// PathClaim returns the state of an idempotency key as a claim.Explanation.
	// Its query is ?organisation=&route=&key=.
	PathClaim = "/claim"
)

// Status is the state of one daemon and its view of the fleet.
type Status struct {
	Instance   string            `json:"instance"`
	Peer       string            `json:"peer"`
	DataCentre string            `json:"data_centre"`
	Region     string            `json:"region"`
	Uptime     time.Duration     `json:"uptime_ns"`
	Stopping   bool              `json:"stopping"`
	Config     ConfigStatus      `json:"configuration"`
	Gate       backend.Report    `json:"gate"`
	Backend    BackendStatus     `json:"backend"`
	Routes     []RouteStatus     `json:"routes,omitempty"`
	Services   []ServiceStatus   `json:"services,omitempty"`
	Contracts  contract.Status   `json:"contracts"`
	Members    datacentre.Status `json:"members"`
	Claims     claim.Stats       `json:"claims"`
	Links      link.Stats        `json:"links"`
	Decisions  DecisionStatus    `json:"decisions"`
}

// ConfigStatus says which configuration is in force here and how fresh it is.
type ConfigStatus struct {
	config.Status
	Keys int `json:"keys"`
}

// BackendStatus is the state of the daemon's backend server.
type BackendStatus struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Connections int    `json:"open_connections"`
	Running     int64  `json:"running"`
	Announced   bool   `json:"announced"`
}

// RouteStatus is the admission state of one route at this entry.
type RouteStatus struct {
	Route string `json:"route"`
	request.EntryReport
}

// ServiceStatus is a service that this daemon calls.
type ServiceStatus struct {
	Service     string             `json:"service"`
	Endpoints   []service.Endpoint `json:"endpoints"`
	RetriesLeft int64              `json:"retries_left"`
}

// DecisionStatus counts the lines of the decision log.
type DecisionStatus struct {
	Written int64 `json:"written"`
	Dropped int64 `json:"dropped"`
}

// serveOperator handles the operator listener.
func (d *Daemon) serveOperator(hc *fasthttp.RequestCtx) {
	switch string(hc.Path()) {
	case PathStatus:
		st, err := d.Status(statusTimeout)
		if err != nil {
			hc.Error(err.Error(), fasthttp.StatusServiceUnavailable)
			return
		}
		writeJSON(hc, st)
	case PathConfirmed:
		writeJSON(hc, d.Confirmed(confirmWait))
	case PathClaim:
		d.serveClaim(hc)
	case PathExplain:
		writeJSON(hc, d.Explain(string(hc.QueryArgs().Peek("id"))))
	case PathVars:
		expvarhandler.ExpvarHandler(hc)
	case PathCounts:
		hc.SetContentType("application/json")
		hc.SetBodyString(d.stats.vars().String())
	default:
		hc.Error("no such page: use "+PathStatus+", "+PathExplain+"?id=, "+PathVars+" or "+PathCounts, fasthttp.StatusNotFound)
	}
}

// Explain returns the kept decisions about one request, oldest first.
func (d *Daemon) Explain(id string) []Decision { return d.decisions.explain(id) }

func (d *Daemon) serveClaim(hc *fasthttp.RequestCtx) {
	args := hc.QueryArgs()
	ctx, cancel := context.WithTimeout(d.background, statusTimeout)
	defer cancel()
	x, err := d.claims.claims.Explain(ctx, claim.Key{
		Organisation: string(args.Peek("organisation")),
		Route:        string(args.Peek("route")),
		Value:        string(args.Peek("key")),
	})
	if err != nil {
		hc.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	writeJSON(hc, x)
}

func writeJSON(hc *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		hc.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	hc.SetContentType("application/json")
	hc.SetBody(b)
}

// malformed answers a request that fasthttp could not parse.
func (d *Daemon) malformed(hc *fasthttp.RequestCtx, err error) {
	e := request.NewNotRunError(request.ReasonBadRequest, "send a well-formed HTTP/1.1 request")
	status := fasthttp.StatusBadRequest
	if _, small := err.(*fasthttp.ErrSmallBuffer); small { //nolint:errorlint // fasthttp passes it unwrapped
		e.Remedy = "the header fields are over limits.header_bytes, send fewer"
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	e.Cause = err
	d.writeRefusal(hc, "", e)
	hc.SetStatusCode(status)
	hc.SetConnectionClose()
}
