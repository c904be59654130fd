package standin

import (
	"math"
	"sync"
	"time"

	"wisteriafold/config"
)

// Excess checks every admission of all daemons against the contracts: over any
// window, no more than rate times window plus burst. It is safe for concurrent
// use.
type Excess struct {
	mu      sync.Mutex
	started time.Time
	of      map[string]*usage
}

// usage is the state for one organisation. The admissions less rate times time,
// minus the least value that this ever had, is the largest use of any window
// that ends now.
type usage struct {
	rate, burst float64
	net         float64
	least       float64
	worst       float64
}

// NewExcess returns a checker for the contracts of a configuration.
func NewExcess(c *config.Configuration) *Excess {
	e := &Excess{started: time.Now(), of: make(map[string]*usage)}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		e.of[o.Name] = &usage{rate: o.Rate, burst: o.Burst}
	}
	return e
}

// Admitted records that a token of an organisation was taken.
func (e *Excess) Admitted(name string, at time.Time) { e.count(name, at, 1) }

// GivenBack records that a token was returned: its request was not run.
func (e *Excess) GivenBack(name string, at time.Time) { e.count(name, at, -1) }

func (e *Excess) count(name string, at time.Time, n float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.of[name]
	if t == nil {
		return
	}
	now := at.Sub(e.started).Seconds() * t.rate
	t.least = min(t.least, t.net-now)
	t.net += n
	t.worst = max(t.worst, t.net-now-t.least-t.burst)
}

// Overshoot returns the most whole requests beyond a contract, over all
// organisations.
func (e *Excess) Overshoot() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	worst := 0.0
	for _, t := range e.of {
		worst = max(worst, t.worst)
	}
	return int(math.Floor(worst))
}
