package try

import (
	"math"
	"sync"
	"time"

	"wisteriafold/config"
)

// excess checks every admission of all daemons against the contracts: over any
// window, no more than rate times window plus burst. It is safe for concurrent
// use.
type excess struct {
	mu      sync.Mutex
	started time.Time
	of      map[string]*tally
}

// tally is the state for one organisation. The admissions less rate times time,
// minus the least value that this ever had, is the largest use of any window
// that ends now.
type tally struct {
	rate, burst float64
	net         float64
	least       float64
	worst       float64
}

func newExcess(c *config.Configuration) *excess {
	e := &excess{started: time.Now(), of: make(map[string]*tally)}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		e.of[o.Name] = &tally{rate: o.Rate, burst: o.Burst}
	}
	return e
}

func (e *excess) admitted(name string, at time.Time) { e.count(name, at, 1) }

func (e *excess) givenBack(name string, at time.Time) { e.count(name, at, -1) }

func (e *excess) count(name string, at time.Time, n float64) {
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

// overshoot returns the most whole requests beyond a contract, over all
// organisations.
func (e *excess) overshoot() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	worst := 0.0
	for _, t := range e.of {
		worst = max(worst, t.worst)
	}
	return int(math.Floor(worst))
}
