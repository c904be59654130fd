package instance

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/backend"
)

// refusedToWithdraw is the number of refused connections in a row after which
// the endpoint is no longer announced: the backend server is not there.
const refusedToWithdraw = 4

// health is what one check of the backend server showed.
type health uint8

const (
	healthGood    health = iota // it answered 2xx
	healthLeaving               // it answered 503: it drains
	healthBad                   // it answered something else or too late: a hint only
	healthAbsent                // nothing listens at its address
)

// checkHealth asks the backend server every HealthEvery and posts what it says.
func (d *Daemon) checkHealth(ctx context.Context) {
	c := &fasthttp.HostClient{
		Addr:                d.set.Backend.Address,
		ReadTimeout:         d.set.Backend.HealthEvery,
		WriteTimeout:        d.set.Backend.HealthEvery,
		MaxConns:            1,
		MaxIdleConnDuration: 10 * d.set.Backend.HealthEvery,
	}
	defer c.CloseIdleConnections()
	t := time.NewTicker(d.set.Backend.HealthEvery)
	defer t.Stop()
	for {
		d.post(healthChecked{d.askHealth(c)})
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (d *Daemon) askHealth(c *fasthttp.HostClient) health {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + d.set.Backend.Address + d.set.Backend.HealthPath)
	err := c.DoTimeout(req, resp, d.set.Backend.HealthEvery)
	switch {
	case err != nil && isRefused(err):
		return healthAbsent
	case err != nil:
		return healthBad
	case resp.StatusCode() == fasthttp.StatusServiceUnavailable:
		return healthLeaving
	case resp.StatusCode() < 300:
		return healthGood
	default:
		return healthBad
	}
}

// healthChecked is the event that a health check ended.
type healthChecked struct{ health health }

func (e healthChecked) apply(c *control, now time.Time) {
	d := c.d
	switch e.health {
	case healthGood:
		c.absent = 0
		d.gate.SetHealthHint(backend.Hint{})
		c.backendReady(now)
	case healthLeaving:
		c.backendLeaving(now)
	case healthBad:
		d.gate.SetHealthHint(backend.Hint{Unhealthy: true})
	case healthAbsent:
		c.absent++
		if c.absent >= refusedToWithdraw {
			c.backendAbsent(now)
		}
	}
}
