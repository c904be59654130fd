package instance

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wisteriafold/request"
	"wisteriafold/service"
)

const (
	defaultRetryRatio = 0.1 // retries per first attempt, for services that are not configured
	retryBurst        = 10  // unused retries that a daemon may accumulate for one service

	// eagerServices is the number of configured services up to which a daemon
	// subscribes to all of them; above it, to those that it calls.
	eagerServices = 32

	firstEndpointWait    = 500 * time.Millisecond // time from a service's first call in which calls wait for its endpoints
	endpointPollInterval = 10 * time.Millisecond
	targetIdleTimeout    = 10 * time.Minute // time without calls after which the subscription ends
)

// target is a service that this daemon calls.
type target struct {
	name    string
	created time.Time
	used    atomic.Int64 // nanoseconds from the daemon's epoch to the last call
	picker  *service.Picker
	budget  *service.RetryBudget
	rngs    sync.Pool // *rand.Rand, each used by one goroutine at a time
	homes   sync.Once // the first call that is restricted to regions
}

// target returns the service of that name, subscribing to its endpoints on the
// first call.
func (d *Daemon) target(name string) *target {
	if t, ok := d.targets.Load(name); ok {
		return t.(*target)
	}
	ratio := defaultRetryRatio
	if s := d.view.Load().snap.Service(name); s != nil {
		ratio = s.RetryBudget
	}
	t := &target{
		name:    name,
		created: d.now(),
		picker:  service.NewPicker(d.now(), service.DefaultConfig(), d.self, d.random()),
		budget:  service.NewRetryBudget(ratio, retryBurst),
	}
	t.rngs.New = func() any { return rand.New(rand.NewPCG(d.random(), d.random())) }
	t.picker.SetLinkBudget(d.budgets)
	t.picker.SetEndpoints(d.endpointsOf(name))
	got, loaded := d.targets.LoadOrStore(name, t)
	if !loaded {
		d.post(subscribed{t})
	}
	return got.(*target)
}

// pick chooses an endpoint of the service for the next attempt of a call.
// During the first firstEndpointWait of a service, a call's first attempt waits
// for endpoints.
func (d *Daemon) pick(ctx context.Context, t *target, call *request.Call, tried []string) (service.Endpoint, service.Decision, error) {
	rng := t.rngs.Get().(*rand.Rand)
	defer t.rngs.Put(rng)
	d.stats.attempts.Add(1)
	if call.Regions != nil {
		d.enableHomes(t)
	}
	for {
		now := d.now()
		t.used.Store(int64(now.Sub(d.epoch)))
		ep, dec, err := t.picker.Pick(now, rng, call, tried)
		if err == nil || len(tried) > 0 || now.Sub(t.created) > firstEndpointWait {
			return ep, dec, err
		}
		select {
		case <-ctx.Done():
			return ep, dec, err
		case <-time.After(endpointPollInterval):
		}
	}
}

// dropIdleTargets ends the subscriptions to services that are no longer called.
func (c *control) dropIdleTargets(now time.Time) {
	if now.Before(c.nextIdleCheck) {
		return
	}
	c.nextIdleCheck = now.Add(targetIdleTimeout / 10)
	since := int64(now.Sub(c.d.epoch) - targetIdleTimeout)
	c.d.targets.Range(func(name, v any) bool {
		if t := v.(*target); t.used.Load() < since {
			c.d.targets.Delete(name)
			if !c.subscribesToAll() {
				c.members.Unsubscribe(now, t.name)
			}
		}
		return true
	})
}

// subscribesToAll reports whether the daemon keeps the endpoints of every
// configured service.
func (c *control) subscribesToAll() bool {
	return len(c.spread.Snapshot().Configuration.Services) <= eagerServices
}
