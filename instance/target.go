package instance

import (
	"math/rand/v2"
	"sync"

	"wisteriafold/request"
	"wisteriafold/service"
)

const (
	defaultRetryRatio = 0.1 // retries to first attempts, for services without a setting
	retryBurst        = 10  // retries that a daemon may save for one service
)

// target is a service that this daemon calls.
type target struct {
	name   string
	picker *service.Picker
	budget *service.RetryBudget
	rngs   sync.Pool // of *rand.Rand, one goroutine at a time
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
		name:   name,
		picker: service.NewPicker(d.now(), service.DefaultConfig(), d.self, d.random()),
		budget: service.NewRetryBudget(ratio, retryBurst),
	}
	t.rngs.New = func() any { return rand.New(rand.NewPCG(d.random(), d.random())) }
	t.picker.SetLink(d.budgets)
	t.picker.SetEndpoints(d.control.members.Snapshot().Endpoints(name))
	got, loaded := d.targets.LoadOrStore(name, t)
	if !loaded {
		d.post(subscribed{t})
	}
	return got.(*target)
}

// pick chooses an endpoint of the service for the next attempt of a call.
func (d *Daemon) pick(t *target, call *request.Call, tried []string) (service.Endpoint, service.Decision, error) {
	rng := t.rngs.Get().(*rand.Rand)
	defer t.rngs.Put(rng)
	d.stats.attempts.Add(1)
	return t.picker.Pick(d.now(), rng, call, tried)
}
