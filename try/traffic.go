package try

import (
	"context"
	"sync"

	"wisteriafold/config"
	"wisteriafold/standin"
)

const (
	readFraction = 0.4  // fraction of an organisation's rate that it sends as reads through the whole chain
	onceRate     = 3.0  // non-idempotent requests per second of an organisation
	openRate     = 20.0 // requests per second on open routes
	uploadRate   = 1.0  // uploads per second
	uploadBytes  = 1 << 20
	heavyFactor  = 5.0 // multiple of its rate that the heavy organisation sends
	retries      = 3   // of callers after the outcome not-run
	chainDepth   = 3   // number of services in the chain of one request
)

// kinds returns the kinds of requests for a deployment: each organisation sends
// reads through a chain of three services and non-idempotent requests. The last
// organisation sends heavyFactor times its rate.
func kinds(conf *config.Configuration, keys map[string]string) []standin.Kind {
	var out []standin.Kind
	read, once, open, upload := pickRoutes(conf)
	for i := range conf.Organisations {
		o := &conf.Organisations[i]
		reads, orders := "read", "once"
		rate := o.Rate * readFraction
		if i == len(conf.Organisations)-1 {
			reads, orders = heavyKind, heavyKind
			rate = o.Rate * heavyFactor
		}
		out = append(out, standin.Kind{
			Name: reads, Method: "GET", Path: read.Prefix + "/1", Chain: chainFrom(conf, read.Service),
			Key: keys[o.Name], Owner: o.Name, Rate: rate, Retries: retries,
		}, standin.Kind{
			Name: orders, Method: "POST", Path: once.Prefix, Chain: chainFrom(conf, once.Service),
			Key: keys[o.Name], Owner: o.Name, Rate: onceRate, Once: true, Retries: retries,
		})
	}
	first := conf.Organisations[0].Name
	return append(out,
		standin.Kind{Name: "open", Method: "GET", Path: open.Prefix, Rate: openRate, Retries: retries},
		standin.Kind{Name: "upload", Method: "POST", Path: upload.Prefix, Key: keys[first], Owner: first, Rate: uploadRate, BodyBytes: uploadBytes},
	)
}

// heavyKind is the kind of the requests of the organisation that exceeds its rate.
const heavyKind = "over-rate"

// pickRoutes returns a route for each kind of request: reads, non-idempotent
// requests, requests without a key, and uploads.
func pickRoutes(conf *config.Configuration) (read, once, open, upload *config.Route) {
	for i := range conf.Routes {
		r := &conf.Routes[i]
		switch {
		case r.Open:
			open = r
		case r.MaxBody > uploadBytes:
			upload = r
		case r.Idempotent != nil && !*r.Idempotent && once == nil:
			once = r
		case r.IdempotentFor("GET") && len(r.Methods) > 0 && r.Methods[0] == "GET" && read == nil:
			read = r
		}
	}
	return read, once, open, upload
}

// chainFrom returns the services that a request calls after the first one,
// separated by commas.
func chainFrom(conf *config.Configuration, first string) string {
	out := ""
	n := 1
	for i := range conf.Services {
		if name := conf.Services[i].Name; name != first && n < chainDepth {
			if out != "" {
				out += ","
			}
			out += name
			n++
		}
	}
	return out
}

// traffic holds the running callers of all kinds.
type traffic struct {
	callers *standin.Callers
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func startTraffic(entries []string, ks []standin.Kind, seed uint64) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{callers: standin.NewCallers(entries), cancel: cancel}
	for i, k := range ks {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			t.callers.Run(ctx, k, seed+uint64(i))
		}()
	}
	return t
}

// stop stops the callers and waits for the outstanding answers.
func (t *traffic) stop() {
	t.cancel()
	t.wg.Wait()
	t.callers.Close()
}
