package backend

import (
	"math"
	"time"

	"wisteriafold/request"
)

// level computes the admission level that a gate reports. It is a pure state
// machine, driven by offers and refusals, and advanced once in each window.
//
// It steers the offered calls towards what the gate can start while its queue
// keeps a short target length, so that the gate is busy and refuses nothing.
// Calls that entries let in are a part of the demand of each class, and the
// demand of a class is spread evenly over its priorities. The level therefore
// moves by factors of the open part of a class, never by fixed steps: the
// higher the demand, the smaller a step has to be.
//
// Corrections are damped, because entries follow only after the time that
// answers take; a large one is followed by a pause. While the gate is far from
// busy, the open part grows faster from window to window, so that a level that
// was left high by an overload opens within a second or two.
type level struct {
	cfg      Config
	value    float64 // in units of request.Priority
	at       time.Time
	holdTill time.Time

	offered   [request.Classes]float64 // calls offered in the window
	compliant [request.Classes]float64 // those of them at or above the level
	started   float64                  // calls that the gate started in the window
	shed      float64                  // calls refused in the window for lack of room
	least     int                      // shortest queue in the window
	first     int                      // queue at the start of the window
	waiting   int                      // queue now
	busy      float64                  // integral of running / limit over the window, in seconds
	seenAt    time.Time
	most      float64 // largest factor of the next fall
}

const (
	levelGain   = 0.3                   // part of a small error that one window corrects
	noisyCalls  = 20                    // calls in a window at which the gain is halved
	largeError  = 1.5                   // factor from which an error is corrected at once
	riseMost    = 0.05                  // least part of the calls that one rise leaves
	holdWindows = 2                     // windows for which the level holds after a large correction
	queueWait   = 40 * time.Millisecond // wait that corresponds to the target length of the queue
	queueGain   = 0.3                   // part of the queue's error that one window corrects
	following   = 0.4                   // part of compliant calls from which entries count as following
	openLeast   = 0.002                 // open part that a class starts with, and that a rise leaves for feedback
	openMost    = 2                     // largest factor of a first fall
	openSpeedUp = 1.5                   // growth of that factor while the gate is far from busy
	openLimit   = 8                     // its bound
	idleEnough  = 0.7                   // utilisation under which falls speed up
	busyLeast   = 0.05                  // utilisation that is assumed at least
	drainPart   = 0.9                   // part of its length to which a queue falls that drains by itself
	shedNoise   = 0.01                  // part of the calls that may be shed without a rise
)

// classWidth is the width of a class as a float.
const classWidth = float64(request.ClassWidth)

// offer counts one call.
func (l *level) offer(p request.Priority) {
	c := min(int(p.Importance()), request.Classes-1)
	l.offered[c]++
	if float64(p) >= l.value {
		l.compliant[c]++
	}
}

// load accounts for the time since the last call of load, during which the
// gate ran `running` of `limit` calls and had `waiting` in its queue.
func (l *level) load(now time.Time, running, limit, waiting int) {
	if dt := now.Sub(l.seenAt); dt > 0 && !l.seenAt.IsZero() {
		l.busy += min(1, float64(running)/float64(limit)) * dt.Seconds()
	}
	l.seenAt = now
	l.waiting = waiting
	l.least = min(l.least, waiting)
}

// advance closes the window that has ended by now.
func (l *level) advance(now time.Time) {
	if l.at.IsZero() {
		l.at = now
		return
	}
	span := now.Sub(l.at)
	if span < l.cfg.Window {
		return
	}
	if !now.Before(l.holdTill) {
		l.correct(now, span)
	}
	l.offered, l.compliant = [request.Classes]float64{}, [request.Classes]float64{}
	l.started, l.shed, l.busy = 0, 0, 0
	l.least, l.first = l.waiting, l.waiting
	l.at = now
}

// correct moves the level once at the end of a window.
func (l *level) correct(now time.Time, span time.Duration) {
	total := sum(&l.offered)
	target := l.started * float64(queueWait) / float64(span)
	utilisation := max(busyLeast, min(1, l.busy/span.Seconds()))
	carried := l.started / utilisation
	room := carried + queueGain*(target-float64(l.waiting))
	long := float64(l.least) > max(target, 1)
	drains := float64(l.waiting) < drainPart*float64(l.first)
	pressed := l.shed > shedNoise*total || long && !drains
	switch {
	case total > room && (pressed || l.value > 0):
		l.rise(now, total, max(room, 0), carried)
	case total <= room && l.value > 0 && l.shed <= shedNoise*total:
		l.fall(now, total, room, utilisation)
	}
}

// damped returns the factor by which one window corrects the factor e.
func damped(e, calls float64) float64 {
	return math.Pow(e, levelGain*calls/(calls+noisyCalls))
}

// rise closes a part of what is open. More calls than the gate carries are
// corrected at once when they are many or were shed; a long queue alone is not,
// because it may be what is left of a burst.
func (l *level) rise(now time.Time, total, room, carried float64) {
	calls, kept := &l.compliant, sum(&l.compliant)
	if kept <= room {
		if kept < following*total {
			return // entries do not follow yet
		}
		calls, kept = &l.offered, total
	}
	factor := room / kept
	if total < largeError*carried && l.shed <= shedNoise*total {
		factor = damped(factor, kept)
	}
	factor = max(riseMost, factor)
	if factor <= 1/largeError {
		l.holdTill = now.Add(holdWindows * l.cfg.Window)
	}
	l.most = openMost
	left := factor * kept
	for c := request.Classes - 1; c >= 0; c-- {
		if calls[c] <= left {
			left -= calls[c]
			continue
		}
		l.set(c, max(openLeast, l.open(c)*left/calls[c]))
		return
	}
}

// fall opens more of the class that the level lies in.
func (l *level) fall(now time.Time, total, room, utilisation float64) {
	c := l.class()
	l.most = max(l.most, openMost)
	factor := l.most
	if utilisation >= idleEnough {
		l.most = openMost
		wanted := total*damped(room/max(total, 1), total) - (total - l.offered[c])
		factor = min(openMost, wanted/max(l.offered[c], 1))
	} else {
		l.most = min(openLimit, l.most*openSpeedUp)
	}
	if factor >= largeError {
		l.holdTill = now.Add(l.cfg.Window)
	}
	open := max(openLeast, l.open(c)) * max(factor, 1)
	if open >= 1 && c > 0 {
		c, open = c-1, openLeast
	}
	l.set(c, open)
}

// class returns the class that the level lies in, with a part of it open.
func (l *level) class() int {
	return max(0, min(request.Classes, int(math.Ceil(l.value/classWidth)))-1)
}

// open returns the part of class c that the level lets in.
func (l *level) open(c int) float64 {
	return max(0, min(1, float64(c+1)-l.value/classWidth))
}

// set moves the level to where the part open of class c is let in.
func (l *level) set(c int, open float64) {
	l.value = classWidth * (float64(c+1) - max(0, min(1, open)))
}

// sum returns the calls of all classes.
func sum(calls *[request.Classes]float64) float64 {
	total := 0.0
	for _, n := range calls {
		total += n
	}
	return total
}
