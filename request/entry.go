package request

import (
	"math"
	"sync"
	"time"
)

// EntryConfig tunes EntryControl. Zero fields take their defaults.
type EntryConfig struct {
	Smoothing time.Duration // time constant of the average over answers; default 50 ms
	RiseIn    time.Duration // time in which the level crosses one class upwards; a run of tight answers divides it by up to fastestRise; default 200 ms
	FallIn    time.Duration // least time in which the level crosses one class downwards; default 200 ms
	StaleIn   time.Duration // age of the newest feedback after which the level falls by itself; default 500 ms
	Demand    time.Duration // time constant of the demand measured for each organisation; default 1 s
}

// withDefaults fills the zero fields.
func (c EntryConfig) withDefaults() EntryConfig {
	set := func(d *time.Duration, to time.Duration) {
		if *d <= 0 {
			*d = to
		}
	}
	set(&c.Smoothing, 50*time.Millisecond)
	set(&c.RiseIn, 200*time.Millisecond)
	set(&c.FallIn, 200*time.Millisecond)
	set(&c.StaleIn, 500*time.Millisecond)
	set(&c.Demand, time.Second)
	return c
}

// fastestRise is how many times faster than RiseIn the level may rise when
// that many answers in a row were tight. A single one is a stray.
const fastestRise = 4

// EntryControl decides, for one route at one entry, which outside requests are
// let in. Its level follows the folded feedback of the answers as a low-pass
// filter with bounded slope: the gates deep in the chain decide how tight the
// route is, and the entry sheds there before any work is done. Several
// endpoints with different levels are thereby averaged by the traffic they
// get. Without feedback the level falls by itself, so that a route that was
// shut is tried again.
//
// Classes above the level's class pass, classes below it do not. Inside the
// level's class the room is shared between organisations by weight: one that
// asks for less than its share is not shed because of others that ask for
// more, and among the requests of one organisation the tree hash decides.
//
// It is safe for concurrent use; the caller passes the time.
type EntryControl struct {
	cfg EntryConfig

	mu       sync.Mutex
	level    float64 // in units of Priority
	tight    int     // answers in a row that were tighter than the level
	heard    time.Time
	moved    time.Time
	shares   [Classes]share
	admitted uint64
	shed     uint64
}

// NewEntryControl returns the control of one route with its level open.
func NewEntryControl(cfg EntryConfig) *EntryControl {
	return &EntryControl{cfg: cfg.withDefaults()}
}

// EntryReport is the state of an EntryControl, for status pages.
type EntryReport struct {
	Level    Priority // admission level in force
	Admitted uint64   // requests let in since the start
	Shed     uint64   // requests refused since the start
}

// Report returns the state at now.
func (e *EntryControl) Report(now time.Time) EntryReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relax(now)
	return EntryReport{Level: Priority(e.level), Admitted: e.admitted, Shed: e.shed}
}

// Observe takes in the feedback of one answer or of one refusal by a gate.
func (e *EntryControl) Observe(now time.Time, f Feedback) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relax(now)
	dt := now.Sub(e.moved)
	if e.moved.IsZero() || dt > e.cfg.StaleIn {
		dt = e.cfg.Smoothing
	}
	e.heard, e.moved = now, now
	gain := float64(dt) / float64(dt+e.cfg.Smoothing)
	if float64(f.Worst()) > e.level {
		e.tight++
	} else {
		e.tight = 0
	}
	e.step(gain*(float64(f.Worst())-e.level), dt)
}

// Admit decides about one outside request of an organisation with the given
// contract weight, and counts it as demand. Refused requests were not run.
func (e *EntryControl) Admit(now time.Time, c *Call, weight float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relax(now)
	class := min(c.Importance, Classes-1)
	s := &e.shares[class]
	d := s.count(now, c.Organisation, weight, e.cfg.Demand)
	ok := c.Priority() >= e.threshold(class, s, d)
	if ok {
		e.admitted++
	} else {
		e.shed++
	}
	return ok
}

// threshold returns the lowest priority of class that is let in for d.
func (e *EntryControl) threshold(class Importance, s *share, d *demand) Priority {
	floor := Priority(class) * ClassWidth
	level := Priority(e.level)
	switch {
	case level <= floor:
		return LevelOpen
	case level >= floor+ClassWidth:
		return LevelShut
	}
	open := float64(floor+ClassWidth-level) / float64(ClassWidth)
	cut := 1 - s.fraction(d, open)
	return floor + Priority(cut*float64(ClassWidth))
}

// step moves the level by delta, bounded by the slope over dt.
func (e *EntryControl) step(delta float64, dt time.Duration) {
	up := float64(ClassWidth) * float64(dt) / float64(e.cfg.RiseIn)
	up *= float64(max(1, min(e.tight, fastestRise)))
	down := float64(ClassWidth) * float64(dt) / float64(e.cfg.FallIn)
	e.level += max(-down, min(up, delta))
	e.level = max(0, min(float64(LevelShut), e.level))
}

// openLeast is the open part of a class with which relax starts to open it.
const openLeast = 0.002

// relax lets the level fall while no feedback comes. The open part of a class
// grows by a factor, from little to all in FallIn, because the demand that has
// gathered behind a shut class may be many times the capacity.
func (e *EntryControl) relax(now time.Time) {
	if now.Sub(e.heard) <= e.cfg.StaleIn || e.level == 0 {
		return
	}
	from := e.moved
	if quiet := e.heard.Add(e.cfg.StaleIn); quiet.After(from) {
		from = quiet
	}
	dt := now.Sub(from)
	if dt <= 0 {
		return
	}
	e.level = opened(e.level, float64(dt)/float64(e.cfg.FallIn))
	e.moved = now
}

// opened returns the level after its class has opened for a time, in units of
// the time that one class takes.
func opened(level, classes float64) float64 {
	growth := math.Log(1 / openLeast)
	for level > 0 {
		width := float64(ClassWidth)
		top := math.Ceil(level / width)
		open := max(openLeast, top-level/width)
		need := math.Log(1/open) / growth
		if need > classes {
			return width * (top - open*math.Exp(growth*classes))
		}
		classes -= need
		level = width * (top - 1)
	}
	return 0
}
