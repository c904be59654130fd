package instance

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/backend"
	"wisteriafold/httpclient"
)

const (
	// withdrawAfterRefusals is the number of consecutive health checks with a
	// refused connection after which the endpoint is withdrawn, because the backend
	// server is not running.
	withdrawAfterRefusals = 4

	// maxHealthBytes is the largest answer to a health check. A longer one counts as
	// a failed check.
	maxHealthBytes = 64 << 10
)

// health is the result of one health check of the backend server.
type health uint8

const (
	healthOK       health = iota // it answered 2xx
	healthDraining               // it answered 503: it is draining
	healthFailing                // another answer or an error; only a hint for the gate
	healthAbsent                 // the connection was refused
)

// checkHealth requests the backend server's health path every HealthEvery and
// posts the results.
func (d *Daemon) checkHealth(ctx context.Context) {
	t := time.NewTicker(d.set.Backend.HealthEvery)
	defer t.Stop()
	for {
		d.post(healthChecked{d.probeHealth(ctx)})
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (d *Daemon) probeHealth(ctx context.Context) health {
	ctx, cancel := context.WithTimeout(ctx, d.set.Backend.HealthEvery)
	defer cancel()
	resp, err := httpclient.Get(ctx, httpclient.GetRequest{
		Address:  d.set.Backend.Address,
		Path:     d.set.Backend.HealthPath,
		MaxBytes: maxHealthBytes,
	})
	switch {
	case err != nil && isRefused(err):
		return healthAbsent
	case err != nil:
		return healthFailing
	case resp.Header.StatusCode() == fasthttp.StatusServiceUnavailable:
		return healthDraining
	case resp.Header.StatusCode() < 300:
		return healthOK
	default:
		return healthFailing
	}
}

// healthChecked is the event that a health check has finished.
type healthChecked struct{ health health }

func (e healthChecked) apply(c *control, now time.Time) {
	d := c.d
	switch e.health {
	case healthOK:
		c.refusals = 0
		d.gate.SetHealthHint(backend.Hint{})
		c.backendReady(now)
	case healthDraining:
		c.backendDraining(now)
	case healthFailing:
		d.gate.SetHealthHint(backend.Hint{Unhealthy: true})
	case healthAbsent:
		c.refusals++
		if c.refusals >= withdrawAfterRefusals {
			c.backendAbsent(now)
		}
	}
}
