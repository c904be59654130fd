package backend

import (
	"math"
	"time"

	"wisteriafold/request"
)

// level computes the admission level that a gate reports. It is a deterministic
// state machine: the gate records offered, started and refused calls, and the
// level is corrected at the end of each window.
//
// The controller steers the rate of offered calls towards the rate at which the
// gate can start calls while its queue keeps a short target length, so that the
// gate is busy and refuses nothing. Entries admit a fraction of the demand of
// each class, and the demand of a class is spread evenly over its priorities.
// The level therefore multiplies the open fraction of a class (the fraction of
// its priorities that is admitted) instead of moving by fixed steps: the higher
// the demand, the smaller a step has to be.
//
// Corrections are damped, because entries learn the level from answers and so
// follow it with a delay; a large correction is followed by a pause. While the
// gate is far from busy, the open fraction grows by a larger factor in each
// window, so that a level left high by an overload opens within a second or two.
type level struct {
	cfg         Config
	value       float64 // in units of request.Priority
	windowStart time.Time
	holdUntil   time.Time // no correction before this time

	offered     [request.Classes]float64 // work of the calls offered in the window
	compliant   [request.Classes]float64 // work of the offered calls with a priority at or above the level
	started     float64                  // work of the calls started in the window
	shed        float64                  // work of the calls refused in the window after they had waited, or because the queue was full
	shortest    float64                  // least work in the queue in the window
	startLen    float64                  // work in the queue at the start of the window
	waiting     float64                  // work in the queue
	busySeconds float64                  // integral of running / limit over the window, in seconds
	slotSeconds float64                  // integral of limit over the window, in seconds
	meanCall    time.Duration            // service time of a call of work 1 while calls are counted by their work, else 0
	lastLoad    time.Time                // last call of load
	fallFactor  float64                  // largest factor of the next fall
}

const (
	levelGain         = 0.3                   // exponent of the factor by which one window corrects a small error
	halfGainCalls     = 20                    // calls in a window at which levelGain is halved, because few calls measure the error badly
	largeError        = 1.5                   // ratio of demand to capacity from which an error is large and corrected at once
	minRiseFactor     = 0.05                  // smallest fraction of the calls that one rise leaves
	holdWindows       = 2                     // windows without a correction after a large rise
	targetQueueWait   = 40 * time.Millisecond // wait in a queue of the target length
	queueGain         = 0.3                   // fraction of the deviation from the target length that one window corrects
	followingFraction = 0.4                   // fraction of offered calls at or above the level from which entries count as following the level
	minOpenFraction   = 0.002                 // smallest open fraction of a class: a fall starts a class with it, and a rise leaves it so that answers still carry feedback
	firstFallFactor   = 2                     // largest factor of the first fall, and of every fall of a busy gate
	fallSpeedUp       = 1.5                   // growth of the factor from one fall to the next while the gate is far from busy
	maxFallFactor     = 8                     // upper bound of the factor
	idleUtilisation   = 0.7                   // utilisation below which the factor of a fall grows
	minUtilisation    = 0.05                  // lower bound of the measured utilisation
	drainingFraction  = 0.9                   // a queue that is below this fraction of its length at the start of the window is draining
	shedTolerance     = 0.01                  // largest fraction of shed calls that neither causes a rise nor prevents a fall
)

// classWidth is request.ClassWidth as a float64.
const classWidth = float64(request.ClassWidth)

// offer records one offered call with its work.
func (l *level) offer(p request.Priority, work float64) {
	c := min(int(p.Importance()), request.Classes-1)
	l.offered[c] += work
	if float64(p) >= l.value {
		l.compliant[c] += work
	}
}

// load records that since the previous call of load the gate has been running
// `running` of at most `limit` calls, with the work `waiting` in its queue.
func (l *level) load(now time.Time, running, limit int, waiting float64) {
	if dt := now.Sub(l.lastLoad); dt > 0 && !l.lastLoad.IsZero() {
		l.busySeconds += min(1, float64(running)/float64(limit)) * dt.Seconds()
		l.slotSeconds += float64(limit) * dt.Seconds()
	}
	l.lastLoad = now
	l.waiting = waiting
	l.shortest = min(l.shortest, waiting)
}

// advance corrects the level and starts a new window when the current window has
// ended.
func (l *level) advance(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
		return
	}
	span := now.Sub(l.windowStart)
	if span < l.cfg.Window {
		return
	}
	if !now.Before(l.holdUntil) {
		l.correct(now, span)
	}
	l.newWindow(now)
}

func (l *level) newWindow(now time.Time) {
	l.offered, l.compliant = [request.Classes]float64{}, [request.Classes]float64{}
	l.started, l.shed, l.busySeconds, l.slotSeconds = 0, 0, 0, 0
	l.shortest, l.startLen = l.waiting, l.waiting
	l.windowStart = now
}

// correct moves the level at the end of a window of length span.
func (l *level) correct(now time.Time, span time.Duration) {
	total := sum(&l.offered)
	utilisation := max(minUtilisation, min(1, l.busySeconds/span.Seconds()))
	served, capacity := l.started, l.started/utilisation
	if l.meanCall > 0 {
		// The slots are occupied by long calls that were started in earlier windows.
		capacity = l.slotSeconds / l.meanCall.Seconds()
		served = capacity
	}
	target := served * float64(targetQueueWait) / float64(span)
	allowed := capacity + queueGain*(target-l.waiting)
	queueLong := l.shortest > max(target, 1)
	draining := l.waiting < drainingFraction*l.startLen
	overloaded := l.shed > shedTolerance*total || queueLong && !draining
	switch {
	case total > allowed && (overloaded || l.value > 0):
		l.rise(now, total, max(allowed, 0), capacity)
	case total <= allowed && l.value > 0 && l.shed <= shedTolerance*total:
		l.fall(now, total, allowed, utilisation)
	}
}

// damped returns the factor by which one window with this number of calls
// corrects an error of factor errorFactor.
func damped(errorFactor, calls float64) float64 {
	return math.Pow(errorFactor, levelGain*calls/(calls+halfGainCalls))
}

// rise reduces the open fraction. The whole excess is removed at once when the
// demand is far above the capacity or calls were shed. A long queue alone is
// corrected gradually, because it may be the rest of a burst.
func (l *level) rise(now time.Time, total, allowed, capacity float64) {
	calls, kept := &l.compliant, sum(&l.compliant)
	if kept <= allowed {
		if kept < followingFraction*total {
			return // entries do not follow the level yet
		}
		calls, kept = &l.offered, total
	}
	factor := allowed / kept
	if total < largeError*capacity && l.shed <= shedTolerance*total {
		factor = damped(factor, kept)
	}
	factor = max(minRiseFactor, factor)
	if factor <= 1/largeError {
		l.holdUntil = now.Add(holdWindows * l.cfg.Window)
	}
	l.fallFactor = firstFallFactor
	left := factor * kept
	for c := request.Classes - 1; c >= 0; c-- {
		if calls[c] <= left {
			left -= calls[c]
			continue
		}
		l.setOpenFraction(c, max(minOpenFraction, l.openFraction(c)*left/calls[c]))
		return
	}
}

// fall increases the open fraction of the class that the level lies in. The level
// moves on to the class below when that class is fully open.
func (l *level) fall(now time.Time, total, allowed, utilisation float64) {
	c := l.class()
	l.fallFactor = max(l.fallFactor, firstFallFactor)
	factor := l.fallFactor
	if utilisation >= idleUtilisation {
		l.fallFactor = firstFallFactor
		wanted := total*damped(allowed/max(total, 1), total) - (total - l.offered[c])
		factor = min(firstFallFactor, wanted/max(l.offered[c], 1))
	} else {
		l.fallFactor = min(maxFallFactor, l.fallFactor*fallSpeedUp)
	}
	if factor >= largeError {
		l.holdUntil = now.Add(l.cfg.Window)
	}
	open := max(minOpenFraction, l.openFraction(c)) * max(factor, 1)
	if open >= 1 && c > 0 {
		c, open = c-1, minOpenFraction
	}
	l.setOpenFraction(c, open)
}

// restore lowers the level to the value of before an overload that was none, and forgets
// the current window.
func (l *level) restore(value float64) {
	l.value = min(l.value, value)
	l.holdUntil = time.Time{}
	l.newWindow(l.lastLoad)
}

// class returns the class that the level lies in.
func (l *level) class() int {
	return max(0, min(request.Classes, int(math.Ceil(l.value/classWidth)))-1)
}

// openFraction returns the fraction of class c that the level admits.
func (l *level) openFraction(c int) float64 {
	return max(0, min(1, float64(c+1)-l.value/classWidth))
}

// setOpenFraction moves the level so that the fraction `open` of class c is
// admitted.
func (l *level) setOpenFraction(c int, open float64) {
	l.value = classWidth * (float64(c+1) - max(0, min(1, open)))
}

// sum returns the number of calls in all classes.
func sum(calls *[request.Classes]float64) float64 {
	total := 0.0
	for _, n := range calls {
		total += n
	}
	return total
}
