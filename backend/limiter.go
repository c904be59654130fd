package backend

import (
	"math"
	"time"
)

// Limiter adapts the concurrency limit of one backend server to the latencies
// and sheds of its calls. It is a deterministic state machine.
//
// The knee is the concurrency at which the backend server last shed a call.
// While far below the knee, or before the first shed, the limit grows by one for
// each answered call. At the knee it grows by one for each `limit` answered
// calls, and beyond the knee faster again. It grows only while at least half of
// the limit is in use and no trial is in progress.
type Limiter struct {
	cfg         Config
	limit       float64
	maxLimit    float64   // upper bound of the limit: the ceiling, or less after a confirmed trial
	knee        float64   // concurrency at the last shed; infinite before the first
	lastCut     time.Time // when the limit was last cut for a shed
	windowStart time.Time

	recent       reservoir     // latencies in the current window
	finished     int           // calls in the current window that ended without being shed or cancelled
	limitReached bool          // the limit was reached in the current window
	baseLatency  time.Duration // median latency under light load
	service      median        // median latency of all calls
	lightLoad    reservoir     // latencies under light load, since the last update of baseLatency
	trial        trial
	shedTrial    shedTrial
}

// trial is a cut of the limit because of latency, which the throughput has not
// confirmed yet.
type trial struct {
	active        bool
	previousLimit float64       // limit before the cut
	previousRate  float64       // calls per second before the cut
	settling      bool          // the current window contains calls started before the cut
	pause         time.Duration // pause after the last refuted trial
	notBefore     time.Time     // earliest start of the next trial
}

const (
	shedFactor             = 0.85            // fraction of the knee to which a shed cuts the limit
	slowGrowthFraction     = 0.95            // fraction of the knee from which growth is slow
	probeGain              = 20              // growth added for each multiple of the knee beyond it, relative to the growth at the knee
	trialFactor            = 0.9             // fraction of the limit that a trial leaves
	minTrialFraction       = 0.25            // smallest fraction of the ceiling to which trials cut the limit
	congestionFactor       = 2               // ratio of the latency to baseLatency above which a trial starts
	confirmingRateFraction = 0.97            // fraction of the previous throughput from which a trial is confirmed
	minWindowCalls         = 200             // smallest number of calls in a window that reached the limit, for a usable throughput
	firstTrialPause        = 5 * time.Second // pause after the first refuted trial; doubles with each further one
	maxTrialPause          = 2 * time.Minute
	lightLoadFraction      = 0.5 // fraction of the limit up to which load counts as light
	minWindow              = 100 * time.Millisecond
	minLimit               = 1
)

// NewLimiter returns a limiter that starts at the initial limit of cfg.
func NewLimiter(cfg Config) *Limiter {
	cfg = cfg.withDefaults()
	return &Limiter{cfg: cfg, limit: float64(cfg.InitialLimit), maxLimit: float64(cfg.ceiling()), knee: math.Inf(1)}
}

// Limit returns the number of calls that may run at once, at least 1.
func (l *Limiter) Limit() int { return int(l.limit) }

// ServiceTime returns the median latency, or 0 before the first answer.
func (l *Limiter) ServiceTime() time.Duration { return l.service.get() }

// Finish records a call that has ended. inFlight is the number of running calls,
// this one included.
func (l *Limiter) Finish(now time.Time, inFlight int, started time.Time, r Result) {
	if inFlight >= l.Limit() {
		l.limitReached = true
	}
	if !r.Cancelled {
		l.evaluateShedTrial(now, started, r.Shed)
	}
	switch {
	case r.Shed:
		l.shed(now, inFlight, started)
	case r.Cancelled:
		l.cancelled(r.Latency)
	default:
		l.answered(inFlight, r)
	}
	l.endWindow(now)
}

// shed cuts the limit. Sheds of calls that were started before the last cut are
// ignored, because that cut already accounts for them. So are all sheds after cuts
// have turned out not to reduce them.
func (l *Limiter) shed(now time.Time, inFlight int, started time.Time) {
	if started.Before(l.lastCut) || l.shedTrial.ignores(now) {
		return
	}
	before := l.limit
	l.lastCut = now
	l.knee = min(float64(inFlight), l.limit)
	l.trial.active = false
	l.limit = max(minLimit, shedFactor*l.knee)
	l.shedTrial.cut(now, before, l.limit <= l.shedTrialFloor())
}

// cancelled records the latency of a cancelled call, which is a lower bound of
// its service time.
func (l *Limiter) cancelled(latency time.Duration) {
	if latency > l.service.get() {
		l.service.add(latency)
	}
}

// answered records a call that was neither shed nor cancelled, and grows the limit
// when the call did not fail.
func (l *Limiter) answered(inFlight int, r Result) {
	l.finished++
	if r.Failed {
		return
	}
	l.service.add(r.Latency)
	l.recent.add(r.Latency)
	if float64(inFlight) <= lightLoadFraction*l.limit {
		l.lightLoad.add(r.Latency)
	}
	if l.trial.active || float64(inFlight) < lightLoadFraction*l.limit {
		return
	}
	l.limit = min(l.maxLimit, l.limit+l.growth())
}

// growth returns what one answered call adds to the limit: 1 far below the knee,
// 1/limit at the knee, and more again with the distance beyond it.
func (l *Limiter) growth() float64 {
	if l.limit < slowGrowthFraction*l.knee {
		return 1
	}
	beyond := max(0, l.limit/l.knee-1)
	return min(1, (1+probeGain*beyond)/l.limit)
}

// endWindow evaluates the current window and starts a new one. A window must last
// long enough and, when the limit was reached, hold enough calls.
func (l *Limiter) endWindow(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
		return
	}
	span := now.Sub(l.windowStart)
	if span < max(minWindow, 2*l.service.get()) || l.limitReached && l.finished < minWindowCalls {
		return
	}
	l.updateBase()
	l.evaluateTrial(now, float64(l.finished)/span.Seconds())
	l.recent.reset()
	l.windowStart, l.finished, l.limitReached = now, 0, false
}

// updateBase updates the latency under light load from calls that ran under light
// load. The estimate falls at once and rises by a quarter of the difference.
func (l *Limiter) updateBase() {
	if l.lightLoad.n < reservoirSize {
		return
	}
	m := l.lightLoad.median()
	l.lightLoad.reset()
	if l.baseLatency == 0 || m < l.baseLatency {
		l.baseLatency = m
		return
	}
	l.baseLatency += (m - l.baseLatency) / 4
}

// evaluateTrial starts, confirms or refutes a trial at the end of a window. rate
// is the throughput of the window in calls per second.
func (l *Limiter) evaluateTrial(now time.Time, rate float64) {
	t := &l.trial
	switch {
	case t.active && t.settling:
		t.settling = false
	case t.active && !l.limitReached:
		l.limit, t.active = t.previousLimit, false
	case t.active && rate >= confirmingRateFraction*t.previousRate:
		t.active, t.pause = false, 0
		l.maxLimit = l.limit
	case t.active:
		l.limit, t.active = t.previousLimit, false
		l.raiseMaxLimit()
		t.pause = min(maxTrialPause, max(firstTrialPause, 2*t.pause))
		t.notBefore = now.Add(t.pause)
	case !l.congested():
		l.raiseMaxLimit()
	case l.canStartTrial(now):
		*t = trial{active: true, settling: true, previousLimit: l.limit, previousRate: rate, pause: t.pause}
		l.limit = max(l.floor(), trialFactor*l.limit)
	}
}

// raiseMaxLimit undoes about one trial cut of the bound that confirmed trials have
// put on the limit.
func (l *Limiter) raiseMaxLimit() {
	l.maxLimit = min(float64(l.cfg.ceiling()), l.maxLimit/trialFactor+1)
}

// congested reports whether the latency in the current window is far above the
// latency under light load.
func (l *Limiter) congested() bool {
	return l.baseLatency > 0 && l.recent.median() > congestionFactor*l.baseLatency
}

// canStartTrial reports whether a trial may start.
func (l *Limiter) canStartTrial(now time.Time) bool {
	return l.limitReached && !now.Before(l.trial.notBefore) && l.limit > l.floor()
}

// floor returns the limit below which latency alone never cuts.
func (l *Limiter) floor() float64 {
	return max(minLimit, minTrialFraction*float64(l.cfg.ceiling()))
}

// Resize applies the slots, connections and initial limit of cfg.
func (l *Limiter) Resize(cfg Config) {
	l.cfg = cfg
	l.maxLimit = float64(cfg.ceiling())
	l.limit = max(min(l.limit, l.maxLimit), float64(cfg.InitialLimit))
}

// Restart discards everything learned and starts again from the initial limit,
// because the backend server was replaced.
func (l *Limiter) Restart() { *l = *NewLimiter(l.cfg) }
