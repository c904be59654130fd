package standin

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"wisteriafold/config"
)

// Excess checks every admission of all daemons against the contracts: over any
// window, no more than rate times window plus burst. Events may be reported in
// any order, as a busy process reports some of them late. It is safe for
// concurrent use.
type Excess struct {
	mu      sync.Mutex
	started time.Time
	of      map[string]*usage
}

// usage is what is known of one organisation.
type usage struct {
	rate, burst float64
	events      []event
}

// event is a token that was taken, or given back.
type event struct {
	at time.Duration // since the start
	n  float64       // 1 or -1
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
	t.events = append(t.events, event{at.Sub(e.started), n})
}

// Overshoot returns the most whole requests beyond a contract, over all
// organisations and windows so far.
func (e *Excess) Overshoot() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	worst := 0.0
	for _, t := range e.of {
		worst = max(worst, t.worst())
	}
	return int(math.Floor(worst))
}

// worst returns the largest use of any window beyond the contract. The
// admissions less rate times time, minus the least value that this ever had, is
// the largest use of any window that ends at an event.
func (t *usage) worst() float64 {
	slices.SortStableFunc(t.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	var net, least, worst float64
	for _, x := range t.events {
		earned := x.at.Seconds() * t.rate
		least = min(least, net-earned)
		net += x.n
		worst = max(worst, net-earned-least-t.burst)
	}
	return worst
}
