package backend

import (
	"time"

	"wisteriafold/request"
)

// level computes the admission level that a gate reports. It is a pure state
// machine, driven by offers and refusals, and advanced once in each window.
//
// The demand of the window is kept as a histogram over priorities, in which
// calls below the level in force count as lying at it. When calls were shed,
// the level rises to where the demand above it is what the gate has started in
// the window. When the gate had room, the level falls in proportion to that
// room. After a rise it holds still until the entries have had time to follow.
type level struct {
	cfg      Config
	value    float64 // in units of request.Priority
	at       time.Time
	holdTill time.Time

	demand  [buckets]float64
	started float64 // calls that the gate started in the window
	shed    float64 // calls refused in the window for lack of room
	short   bool    // the queue was empty at some time in the window
	busy    float64 // integral of running / limit over the window, in seconds
	seenAt  time.Time
	most    float64 // largest fall in the next window, in classes
}

const (
	bucketsPerClass = 64
	buckets         = request.Classes * bucketsPerClass
	bucketWidth     = float64(request.ClassWidth) / bucketsPerClass

	keepLeast   = 0.5  // part of the demand that one rise leaves at least
	holdWindows = 2    // windows for which the level holds after a rise
	roomTarget  = 0.97 // utilisation at which the level no longer falls
	roomGain    = 0.5  // part of the room that one fall gives away
	fallMost    = 0.15 // largest fall in one window after one without a fall, in classes
	fallLeast   = 0.01 // smallest fall in one window, in classes
	fallSpeedUp = 1.5  // growth of the largest fall from one window to the next
	fallLimit   = 0.75 // bound of the largest fall, in classes
	idleEnough  = 0.7  // utilisation under which falls speed up
	shedNoise   = 0.01 // part of the demand that may be shed without a rise
)

// bucketOf returns the histogram bucket of a priority.
func bucketOf(p float64) int {
	return max(0, min(buckets-1, int(p/bucketWidth)))
}

// offer counts the demand of one call.
func (l *level) offer(p request.Priority) {
	l.demand[bucketOf(max(float64(p), l.value))]++
}

// load accounts for the time since the last call of load, during which the
// gate ran `running` of `limit` calls and had `waiting` in its queue.
func (l *level) load(now time.Time, running, limit, waiting int) {
	if dt := now.Sub(l.seenAt); dt > 0 && !l.seenAt.IsZero() {
		l.busy += min(1, float64(running)/float64(limit)) * dt.Seconds()
	}
	l.seenAt = now
	if waiting == 0 {
		l.short = true
	}
}

// advance closes the window when it has ended by now.
func (l *level) advance(now time.Time) {
	if l.at.IsZero() {
		l.at = now
		return
	}
	span := now.Sub(l.at)
	if span < l.cfg.Window {
		return
	}
	var total float64
	for _, n := range l.demand {
		total += n
	}
	utilisation := min(1, l.busy/span.Seconds())
	switch {
	case l.shed > shedNoise*total:
		l.rise(now, total)
	case l.short && l.value > 0 && !now.Before(l.holdTill):
		l.fall(utilisation, span)
	}
	l.demand = [buckets]float64{}
	l.started, l.shed, l.short, l.busy = 0, 0, false, 0
	l.at = now
}

// rise moves the level to where the demand above it is what was started.
func (l *level) rise(now time.Time, total float64) {
	if now.Before(l.holdTill) || total == 0 {
		return
	}
	keep := max(keepLeast, min(1, l.started/total)) * total
	l.holdTill = now.Add(holdWindows * l.cfg.Window)
	l.most = fallMost
	above := 0.0
	for i := buckets - 1; i >= 0; i-- {
		n := l.demand[i]
		if above+n <= keep {
			above += n
			continue
		}
		inside := (keep - above) / n
		top := float64(i+1) * bucketWidth
		low := max(float64(i)*bucketWidth, l.value)
		l.value = max(l.value, top-inside*(top-low))
		return
	}
}

// fall lowers the level in proportion to the room that was left. The bound of
// one step grows from window to window while much room is left, so that the
// level opens within a second or two after an overload has ended, and starts
// small, so that a single quiet window does not let a surge in.
func (l *level) fall(utilisation float64, span time.Duration) {
	width := float64(request.ClassWidth)
	windows := float64(span) / float64(l.cfg.Window)
	l.most = max(l.most, fallMost)
	step := l.most
	if utilisation > 0 {
		open := (float64(request.LevelShut) - l.value) / width
		step = roomGain * open * (roomTarget/utilisation - 1)
	}
	step = max(fallLeast, min(l.most, step))
	l.value = max(0, l.value-step*windows*width)
	if utilisation < idleEnough {
		l.most = min(fallLimit, l.most*fallSpeedUp)
	} else {
		l.most = fallMost
	}
}
