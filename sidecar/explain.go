package sidecar

import (
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/request"
	"wisteriafold/routing"
)

const (
	// PathExplain is the page of the metrics listener that explains where a request
	// would go.
	PathExplain = "/explain"

	// explainDraws is the number of decisions from which probabilities are estimated.
	// The standard error of a probability is at most 0.011.
	explainDraws = 2000

	// digestDigits is the number of hexadecimal digits of a key's digest. A whole
	// SHA-256 hash is accepted too.
	digestDigits       = 2 * len(routing.KeyDigest{})
	hashDigits         = 2 * digestDigits
	explainContentType = "application/json"
)

// question is a request that is to be explained and is never sent.
type question struct {
	host, path   string
	organisation string
	digest       *routing.KeyDigest
	size         int64
	importance   *request.Importance
}

// serveMetricsPages serves the pages of the metrics listener.
func (d *Daemon) serveMetricsPages(hc *fasthttp.RequestCtx) {
	if string(hc.Path()) == PathExplain {
		d.serveExplain(hc)
		return
	}
	d.serveMetrics(hc)
}

// serveExplain answers where a request would go, in JSON. It answers wrong parameters
// with status 400 and a remedy that contains no value of a parameter, which could be a
// key.
func (d *Daemon) serveExplain(hc *fasthttp.RequestCtx) {
	q, remedy := questionOf(hc.QueryArgs())
	if remedy != "" {
		hc.Error(remedy, fasthttp.StatusBadRequest)
		return
	}
	d.explaining.Lock() // one at a time, so that it takes at most one processor from the traffic
	x, fail := d.explain(q)
	d.explaining.Unlock()
	if fail != nil {
		hc.Error(fail.Remedy, fasthttp.StatusServiceUnavailable)
		return
	}
	b, err := json.Marshal(x)
	if err != nil {
		d.log.Error("explanation cannot be encoded, report it", "error", err)
		hc.Error("the explanation cannot be encoded, look up the daemon's log", fasthttp.StatusInternalServerError)
		return
	}
	hc.SetContentType(explainContentType)
	hc.SetBody(b)
}

// questionOf reads the parameters of a question. remedy is not empty if they are wrong.
func questionOf(args *fasthttp.Args) (q question, remedy string) {
	for name, value := range args.All() {
		v := string(value)
		switch string(name) {
		case "host":
			q.host = v
		case "path":
			q.path, _, _ = strings.Cut(v, "?")
		case "organisation":
			q.organisation = v
		case "key-digest":
			var x routing.KeyDigest
			b, err := hex.DecodeString(v)
			if err != nil || len(v) != digestDigits && len(v) != hashDigits {
				return q, "key-digest: give the SHA-256 hash of the key, or its first half, in hexadecimal digits"
			}
			copy(x[:], b)
			q.digest = &x
		case "size":
			n, err := strconv.ParseInt(v, 10, 64)
			if err != nil || n < 0 {
				return q, "size: give the number of bytes of the body"
			}
			q.size = n
		case "importance":
			i, err := request.ParseImportance(v)
			if err != nil {
				return q, "importance: use sheddable, normal, high or critical"
			}
			q.importance = &i
		case "key":
			return q, "a key is never taken: name the organisation or give the key's digest"
		default:
			return q, "unknown parameter: use host, path, organisation, key-digest, size and importance"
		}
	}
	if q.host == "" || len(q.path) == 0 || q.path[0] != '/' {
		return q, "give host, and path beginning with a slash"
	}
	if q.organisation != "" && q.digest != nil {
		return q, "give organisation or key-digest, not both"
	}
	return q, ""
}

// explain explains what would become of a request now. It sends nothing and changes no
// state that a decision uses. The error says that nothing can be explained yet.
func (d *Daemon) explain(q question) (*Explanation, *request.Error) {
	t := d.table.Load()
	if t == nil {
		return nil, notReady("no configuration has been read yet, wait for the store")
	}
	now := d.now()
	x := &Explanation{
		Instance: d.settings.Instance, DataCentre: d.location.DataCentre, Region: d.location.Region,
		Configuration: ExplainedConfiguration{Generation: t.Generation, AgeMs: ageMillis(d.configurationAge())},
		Evacuation:    d.explainEvacuation(),
	}
	e := &entry{d: d, table: t, call: &request.Call{BodyBytes: q.size}}
	var found bool
	if e.match, found = t.Match(q.host, q.path); !found {
		x.Admission.refuse(e.notFound(request.ReasonNoRoute, "no route matches, correct host or path"))
		return x, nil
	}
	x.Route = &ExplainedRoute{
		Name: e.match.Name, Prefix: e.match.Prefix, Idempotent: e.match.Idempotent, Open: e.match.Open,
		TimeoutMs: millis(e.match.Timeout), MaxAttempts: e.match.MaxAttempts,
	}
	e.call.Route, e.call.Idempotent = e.match.Name, e.match.Idempotent
	e.call.Importance = importanceOf(e.match.Rank)
	x.Admission.refuse(e.refuseBefore())
	x.Admission.refuse(e.identify(q))
	if q.importance != nil {
		e.call.Importance = *q.importance
	}
	x.Admission.refuse(e.checkRegions())
	e.call.WorkSpent = e.call.Organisation == "" && t.Authenticates
	x.Organisation, x.Importance, x.Homes = e.call.Organisation, e.call.Importance.String(), e.call.Regions
	x.Admission.refuse(e.refuseWhileStopping(now))
	d.explainEntry(now, e, &x.Admission)
	if _, ok := t.Homes(e.match.Route, e.organisation); !ok {
		x.NoHome = true
		return x, nil // no region may serve it, so that no endpoint is looked for
	}
	total := 0.0
	for _, p := range e.match.Parts {
		total += p.Weight
	}
	for _, p := range e.match.Parts {
		call := *e.call
		call.Service = p.Service
		x.Services = append(x.Services, d.explainService(now, &call, p.Weight/total, e.match.MaxAttempts))
	}
	return x, nil
}

// refuseBefore returns the refusal of a request that does not depend on who sends it.
func (e *entry) refuseBefore() *request.Error {
	if !e.d.evacuationsKnown() {
		return notReady("the evacuated data centres are not known yet, wait for the store")
	}
	if e.d.callers.Full() {
		return answersHeldError()
	}
	return nil
}

// identify sets the organisation of the call as authenticate does for a key.
func (e *entry) identify(q question) *request.Error {
	if e.match.Open || !e.table.Authenticates {
		return nil
	}
	switch {
	case q.digest != nil:
		e.organisation = e.table.Owner(*q.digest)
		if e.organisation == nil {
			return e.notFound(request.ReasonBadKey, "the key is not in force, use one that is")
		}
	case q.organisation != "":
		i := slices.IndexFunc(e.table.Organisations, func(o routing.Organisation) bool { return o.Name == q.organisation })
		if i < 0 {
			return e.notFound(request.ReasonBadKey, "the configuration has no such organisation, correct its name")
		}
		e.organisation = &e.table.Organisations[i]
	default:
		return request.NewNotRunError(request.ReasonNoKey, "the route needs a key, name an organisation or a key's digest")
	}
	e.call.Organisation = e.organisation.Name
	if e.organisation.Rank != routing.NoRank {
		e.call.Importance = importanceOf(e.organisation.Rank)
	}
	if !e.d.keysFresh() {
		return notReady("keys cannot be confirmed here, restore the way to the store")
	}
	return nil
}

// explainEvacuation returns the evacuated data centres, nil if the settings do not ask
// for evacuations.
func (d *Daemon) explainEvacuation() *ExplainedEvacuation {
	if !d.tracksEvacuations() {
		return nil
	}
	x := &ExplainedEvacuation{Known: d.evacuationsKnown(), Here: d.isEvacuatedHere()}
	if e := d.evacuation.Load(); e != nil {
		x.DataCentres, x.Version = e.dataCentres, e.version
	}
	return x
}

// explainEntry explains the admission by the route's entry level and the organisation's
// rate.
func (d *Daemon) explainEntry(now time.Time, e *entry, a *ExplainedAdmission) {
	a.AdmittedTrees = 1
	if r, ok := d.routes.Load(e.match.Name); ok {
		state := r.(*routeState)
		e.call.AnswerBytes = state.answerBytes.Load()
		o := state.Outlook(now, e.call.Importance, e.call.Organisation, 1)
		a.EntryLevel = uint32(o.Level)
		if !e.call.WorkSpent { // calls of backend servers are not shed here
			a.AdmittedTrees = o.Admitted
		}
	}
	if a.AdmittedTrees == 0 {
		a.refuse(request.NewNotRunError(request.ReasonShedEntry, "a service on this route is overloaded, try again later"))
	}
	if e.call.Organisation == "" {
		a.Token = TokenNotNeeded
		return
	}
	t := d.tokens.outlook(e.call.Organisation)
	a.Tokens, a.RateShare, a.Holders = t.tokens, t.share, t.holders
	switch {
	case t.unlimited:
		a.Token = TokenUnlimited
	case t.tokens > 0:
		a.Token = TokenHere
	case t.holders > 0:
		a.Token = TokenAsked
	default:
		a.Token = TokenNone
		a.refuse(request.NewNotRunError(request.ReasonRate, "the organisation's rate is used up, send less or raise it"))
	}
}

// explainService explains the choice of an endpoint of one service, and of another one
// after a failure of the endpoint that is most likely.
func (d *Daemon) explainService(now time.Time, call *request.Call, share float64, maxAttempts int) ExplainedService {
	x := ExplainedService{Service: call.Service, Share: share}
	eps := d.newEndpoints()
	if used, ok := d.services.Load(call.Service); ok {
		x.Used = true
		eps = used.(*endpoints)
	}
	x.Retry.NotRunLeft, x.Retry.MayRunLeft = eps.notRun.Left(sinceBoot()), float64(eps.mayRun.Left())
	p := eps.picker.Clone()
	if !x.Used || call.Regions != nil {
		if call.Regions != nil {
			p.EnableHomes()
		}
		p.SetEndpoints(d.endpointEntries(call.Service))
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	x.Choice = explainedChoice(p.Explain(now, rng, call, nil, explainDraws))
	first := x.Choice.mostLikely()
	x.Retry.MaxAttempts, x.Retry.MaxRetries, x.Retry.Idempotent = maxAttempts, maxRetries, call.Idempotent
	if first != "" {
		x.Retry.Excluded = []string{first}
		again := explainedChoice(p.Explain(now, rng, call, x.Retry.Excluded, explainDraws))
		x.Retry.Choice = &again
	}
	return x
}
