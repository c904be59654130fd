package request

import (
	"math"
	"sync"
	"time"
)

// EntryConfig holds the settings of an EntryControl. Zero fields take their
// defaults.
type EntryConfig struct {
	Smoothing       time.Duration // time constant of the low-pass filter over answers; default 50 ms
	RiseTime        time.Duration // minimum time in which the level rises by one class; consecutive answers with a tighter level divide it by up to maxRiseFactor; default 200 ms
	FallTime        time.Duration // minimum time in which the level falls by one class; default 200 ms
	StaleAfter      time.Duration // age of the newest feedback after which the level decays without feedback; default 500 ms
	DemandSmoothing time.Duration // time constant of the demand average of each organisation; default 1 s
}

// withDefaults returns c with defaults in fields that are zero or less.
func (c EntryConfig) withDefaults() EntryConfig {
	set := func(d *time.Duration, to time.Duration) {
		if *d <= 0 {
			*d = to
		}
	}
	set(&c.Smoothing, 50*time.Millisecond)
	set(&c.RiseTime, 200*time.Millisecond)
	set(&c.FallTime, 200*time.Millisecond)
	set(&c.StaleAfter, 500*time.Millisecond)
	set(&c.DemandSmoothing, time.Second)
	return c
}

// maxRiseFactor is the maximum factor by which the level may rise faster than
// RiseTime. The factor is the number of consecutive answers that were tighter than
// the level, because a single such answer may be an outlier.
const maxRiseFactor = 4

// EntryControl decides which outside requests of one route one daemon admits. Its
// admission level follows the feedback in the answers through a low-pass filter
// with a bounded slope. The gates deep in the call chain thereby determine the
// level, and the entry sheds requests before any work is done for them. The levels
// of several endpoints are averaged, weighted by the traffic that each gets.
// Without feedback the level decays, so that a route that admits nothing is tried
// again.
//
// Importance classes above the level's class are admitted, classes below it are
// not. Within the level's class, the capacity is shared between organisations by
// weight: an organisation whose demand is below its share is not shed because of
// others with more demand. Among the requests of one organisation the tree hash
// decides.
//
// EntryControl is safe for concurrent use. The caller passes the current time.
type EntryControl struct {
	cfg EntryConfig

	mu           sync.Mutex
	level        float64 // in units of Priority
	tighter      int     // consecutive answers that were tighter than the level
	lastFeedback time.Time
	lastUpdate   time.Time
	shares       [Classes]share
	admitted     uint64
	shed         uint64
}

// NewEntryControl returns an EntryControl that admits every request.
func NewEntryControl(cfg EntryConfig) *EntryControl {
	return &EntryControl{cfg: cfg.withDefaults()}
}

// EntryReport is the state of an EntryControl, for status pages.
type EntryReport struct {
	Level    Priority // current admission level
	Admitted uint64   // requests admitted since the start
	Shed     uint64   // requests refused since the start
}

// Report returns the state at now, after any decay of the level.
func (e *EntryControl) Report(now time.Time) EntryReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	return EntryReport{Level: Priority(e.level), Admitted: e.admitted, Shed: e.shed}
}

// Observe updates the level with the feedback of one answer or one refusal by a
// gate.
func (e *EntryControl) Observe(now time.Time, f Feedback) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	dt := now.Sub(e.lastUpdate)
	if e.lastUpdate.IsZero() || dt > e.cfg.StaleAfter {
		dt = e.cfg.Smoothing
	}
	e.lastFeedback, e.lastUpdate = now, now
	gain := float64(dt) / float64(dt+e.cfg.Smoothing)
	if float64(f.Worst()) > e.level {
		e.tighter++
	} else {
		e.tighter = 0
	}
	e.step(gain*(float64(f.Worst())-e.level), dt)
}

// Admit reports whether an outside request of an organisation with the given
// contract weight is admitted, and counts the request as demand in either case.
func (e *EntryControl) Admit(now time.Time, c *Call, weight float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	class := min(c.Importance, Classes-1)
	s := &e.shares[class]
	d := s.count(now, c.Organisation, weight, e.cfg.DemandSmoothing)
	ok := c.Priority() >= e.threshold(class, s, d)
	if ok {
		e.admitted++
	} else {
		e.shed++
	}
	return ok
}

// threshold returns the lowest priority of class that is admitted for the
// organisation with demand d.
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

// step moves the level by delta, limited to the maximum change in dt.
func (e *EntryControl) step(delta float64, dt time.Duration) {
	up := float64(ClassWidth) * float64(dt) / float64(e.cfg.RiseTime)
	up *= float64(max(1, min(e.tighter, maxRiseFactor)))
	down := float64(ClassWidth) * float64(dt) / float64(e.cfg.FallTime)
	e.level += max(-down, min(up, delta))
	e.level = max(0, min(float64(LevelShut), e.level))
}

// minOpenFraction is the fraction of a class that is admitted when decay starts to
// open the class.
const minOpenFraction = 0.002

// decay lowers the level while there is no feedback. The admitted fraction of a
// class grows exponentially, from minOpenFraction to 1 in FallTime, because the
// demand that has built up in a class that was not admitted may be many times the
// capacity.
func (e *EntryControl) decay(now time.Time) {
	if now.Sub(e.lastFeedback) <= e.cfg.StaleAfter || e.level == 0 {
		return
	}
	from := e.lastUpdate
	if quiet := e.lastFeedback.Add(e.cfg.StaleAfter); quiet.After(from) {
		from = quiet
	}
	dt := now.Sub(from)
	if dt <= 0 {
		return
	}
	e.level = decayed(e.level, float64(dt)/float64(e.cfg.FallTime))
	e.lastUpdate = now
}

// decayed returns the level after it has decayed for a time. classes is that time
// in units of the time in which one class opens (FallTime).
func decayed(level, classes float64) float64 {
	growth := math.Log(1 / minOpenFraction)
	for level > 0 {
		width := float64(ClassWidth)
		top := math.Ceil(level / width)
		open := max(minOpenFraction, top-level/width)
		need := math.Log(1/open) / growth
		if need > classes {
			return width * (top - open*math.Exp(growth*classes))
		}
		classes -= need
		level = width * (top - 1)
	}
	return 0
}
