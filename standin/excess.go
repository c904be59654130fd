package standin

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"wisteriafold/config"
)

// Excess checks the admissions of all daemons against the contracts: in any time
// window, an organisation may be admitted at most rate times window plus burst
// requests. Events may be recorded in any order, because a busy process records
// some of them late. Excess is safe for concurrent use.
type Excess struct {
	mu      sync.Mutex
	started time.Time
	usages  map[string]*usage
}

// usage holds the contract of one organisation and its events.
type usage struct {
	rate, burst float64
	events      []event
}

// event records that a token was taken or given back.
type event struct {
	at time.Duration // since Excess.started
	n  float64       // 1 if taken, -1 if given back
}

// NewExcess returns an Excess for the contracts of a configuration.
func NewExcess(c *config.Configuration) *Excess {
	e := &Excess{started: time.Now(), usages: make(map[string]*usage)}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		e.usages[o.Name] = &usage{rate: o.Rate, burst: o.Burst}
	}
	return e
}

// Admitted records that a token of an organisation was taken.
func (e *Excess) Admitted(name string, at time.Time) { e.count(name, at, 1) }

// GivenBack records that a token was given back because its request was not run.
func (e *Excess) GivenBack(name string, at time.Time) { e.count(name, at, -1) }

func (e *Excess) count(name string, at time.Time, n float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.usages[name]
	if t == nil {
		return
	}
	t.events = append(t.events, event{at.Sub(e.started), n})
}

// Overshoot returns the largest number of requests beyond the contract, rounded
// down, over all organisations and all windows so far.
func (e *Excess) Overshoot() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	worst := 0.0
	for _, t := range e.usages {
		worst = max(worst, t.largestOvershoot())
	}
	return int(math.Floor(worst))
}

// largestOvershoot returns the largest number of requests beyond rate times window
// plus burst, over all windows. At each event it subtracts rate times time from
// the admissions so far; that difference minus its lowest earlier value is the
// largest excess over the rate of any window that ends at the event.
func (t *usage) largestOvershoot() float64 {
	slices.SortStableFunc(t.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	var net, lowest, overshoot float64
	for _, x := range t.events {
		earned := x.at.Seconds() * t.rate
		lowest = min(lowest, net-earned)
		net += x.n
		overshoot = max(overshoot, net-earned-lowest-t.burst)
	}
	return overshoot
}
