package backend

import (
	"time"

	"wisteriafold/request"
)

// Core decides for one backend server which calls run, which wait and which are
// refused. It is deterministic: the caller passes the time, which must not go
// backwards, and receives the decisions as events. It is not safe for concurrent
// use.
//
// Every offered ticket gets exactly one event, which either refuses or starts
// it. The caller ends a started ticket with Finish, or with Cancel when the call
// was not sent to the backend server.
type Core struct {
	cfg        Config
	limiter    *Limiter
	routeTimes routeTimes
	speed      speed
	queue      queue
	overload   overload
	level      level
	cold       cold
	pace       pace
	callWork   callWork

	levelBeforeTrial float64 // admission level when the limiter began to cut its limit for sheds

	running   int
	draining  bool
	hint      Hint
	lastSweep time.Time
	counts    Counts
	events    []Event
}

// Counts holds the cumulative counters of a gate.
type Counts struct {
	Offered      uint64
	Started      uint64
	Finished     uint64
	QueueFull    uint64 // refused or evicted for lack of room
	QueueTimeout uint64 // refused because they waited too long
	Deadline     uint64 // refused because they could not be answered before their deadline
	Draining     uint64
	Evicted      uint64 // refused by Evict
	Cancelled    uint64 // ended by Cancel because their caller went away
	BackendShed  uint64 // started, but shed by the backend server
	Cold         uint64 // refused because the backend server is cold
}

// Hint is what the backend server reports about itself. It may be late or wrong.
type Hint struct {
	Unhealthy bool
	Load      float64 // fraction of its capacity in use, above 1 when overloaded
	At        time.Time
}

const (
	sweepInterval = 5 * time.Millisecond // minimum time between two checks of the waiting calls for expiry
	maxHintAge    = 2 * time.Second      // age from which a hint is ignored
	minProbes     = 1                    // calls that run although the observed service time exceeds their remaining time
	probeDivisor  = 16                   // plus one such call for each so many of the limit
)

// NewCore returns the core of a gate whose backend server has not answered any
// call yet.
func NewCore(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{
		cfg:      cfg,
		limiter:  NewLimiter(cfg),
		overload: overload{cfg: cfg},
		level:    level{cfg: cfg},
	}
}

// Offer starts, queues or refuses a new call. The returned events may also
// concern other tickets, such as one that is evicted to make room for this one.
// They are valid until the next call of a method.
func (c *Core) Offer(now time.Time, t *Ticket) []Event {
	c.begin(now)
	c.counts.Offered++
	t.state, t.offered = queued, now
	t.band, t.priority = bandOf(t.Call), t.Call.Priority()
	if c.draining {
		c.counts.Draining++
		c.refuse(t, errDraining)
		return c.events
	}
	t.work = c.callWork.offered(t.priority.Importance(), c.routeTimes.median(t.Call.Route))
	c.level.meanCall = c.callWork.meanCall()
	c.level.offer(t.priority, t.work)
	if c.cannotMeet(now, t) {
		c.counts.Deadline++
		c.refuse(t, errDeadline)
		return c.events
	}
	if c.waitsInVain(now, t) {
		c.refuseCold(t)
		return c.events
	}
	if c.queue.len == 0 && c.running < c.Limit() && c.cold.allows(now) {
		c.queue.charge(t)
		c.start(now, t)
		return c.events
	}
	c.enqueue(now, t)
	return c.events
}

// enqueue adds t to the queue, and refuses the least important waiting call when
// the queue exceeds its bound.
func (c *Core) enqueue(now time.Time, t *Ticket) {
	c.queue.push(t)
	c.dispatch(now)
	c.trimCold()
	if c.queue.len > c.cfg.MaxQueue {
		worst := c.queue.worst()
		c.queue.remove(worst)
		c.refuseQueueFull(worst, errQueueFull)
	}
}

// Finish records the result of a call that was started.
func (c *Core) Finish(now time.Time, t *Ticket, r Result) []Event {
	c.begin(now)
	if t.state != running {
		panic("backend: Finish called for a ticket that is not running")
	}
	if r.Latency <= 0 {
		r.Latency = now.Sub(t.started)
	}
	if r.Shed {
		c.counts.BackendShed++
	}
	c.finishAtLimiter(now, t.started, r)
	c.pace.finish(now, t.started, r, r.Failed && !r.Below, c.cfg.ceiling())
	c.speed.observe(now, r.WorkPercent)
	switch {
	case r.Cancelled:
		c.routeTimes.addLowerBound(t.Call.Route, r.Latency)
	case !r.Shed && !r.Failed:
		c.routeTimes.add(t.Call.Route, r.Latency, c.speed.get(now))
	}
	t.state = ended
	c.running--
	c.counts.Finished++
	c.dispatch(now)
	return c.events
}

// finishAtLimiter records the result of a call with the limiter. When the limiter finds
// that cuts of its limit did not reduce the sheds and restores the limit, the admission
// level returns to its value before the cuts.
func (c *Core) finishAtLimiter(now, started time.Time, r Result) {
	trial := &c.limiter.shedTrial
	wasActive, refutations := trial.active, trial.refutations
	c.limiter.Finish(now, c.running, started, r)
	if trial.active && !wasActive {
		c.levelBeforeTrial = c.level.value
	}
	if trial.refutations > refutations {
		c.level.restore(c.levelBeforeTrial)
	}
}

// Cancel ends a call whose caller went away before the call was sent to the
// backend server. A waiting call is refused. For a call that has been started,
// Cancel replaces Finish, and nothing is learned about the backend server.
func (c *Core) Cancel(now time.Time, t *Ticket) []Event {
	c.begin(now)
	switch t.state {
	case queued:
		c.queue.remove(t)
		c.counts.Cancelled++
		c.refuse(t, errCancelled)
	case running:
		t.state = ended
		c.running--
		c.counts.Cancelled++
		c.counts.Finished++
		c.dispatch(now)
	}
	return c.events
}

// Evict refuses the waiting calls for which match returns true.
func (c *Core) Evict(now time.Time, match func(*request.Call) bool, reason *request.Error) []Event {
	c.begin(now)
	var hit []*Ticket
	c.queue.each(func(t *Ticket) {
		if match(t.Call) {
			hit = append(hit, t)
		}
	})
	for _, t := range hit {
		c.queue.remove(t)
		c.counts.Evicted++
		c.refuse(t, reason)
	}
	return c.events
}

// Tick refuses expired calls, starts waiting calls and updates the admission
// level. Callers must call it every few milliseconds while calls wait.
func (c *Core) Tick(now time.Time) []Event {
	c.begin(now)
	c.dispatch(now)
	return c.events
}

// Drain makes the gate refuse new calls. Waiting and running calls go on.
func (c *Core) Drain() { c.draining = true }

// Resume ends a drain: the gate accepts new calls again.
func (c *Core) Resume() { c.draining = false }

// Resize changes the slots, connections and initial limit of the backend server. The
// queue gets the default size for the new number of slots.
func (c *Core) Resize(cfg Config) {
	if cfg.Slots == c.cfg.Slots && cfg.MaxConnections == c.cfg.MaxConnections {
		return
	}
	next := c.cfg
	next.Slots, next.MaxConnections, next.MaxQueue, next.InitialLimit = cfg.Slots, cfg.MaxConnections, 0, cfg.InitialLimit
	next = next.withDefaults()
	c.cfg, c.level.cfg, c.overload.cfg = next, next, next
	c.limiter.Resize(next)
	c.pace.resize(next.ceiling())
}

// SetWorkPercent records a work percent that the backend server reported outside the
// answer to a call.
func (c *Core) SetWorkPercent(now time.Time, percent uint32) { c.speed.observe(now, percent) }

// Restart resets the limit and discards the observed service times, because the
// backend server was replaced.
func (c *Core) Restart() {
	c.limiter.Restart()
	c.routeTimes = routeTimes{}
	c.speed = speed{}
}

// SetHint records what the backend server reports about itself. A bad report only
// limits a backend server whose service time has not been observed yet; after
// that the results of calls decide.
func (c *Core) SetHint(h Hint) { c.hint = h }

// Limit returns the number of calls that may run at once.
func (c *Core) Limit() int {
	if c.limiter.service.n == 0 && c.hintsAtTrouble() {
		return minLimit
	}
	return c.pace.bound(c.limiter.Limit())
}

// hintsAtTrouble reports whether a recent hint says that the backend server is
// unhealthy or overloaded.
func (c *Core) hintsAtTrouble() bool {
	fresh := !c.hint.At.IsZero() && c.level.lastLoad.Sub(c.hint.At) < maxHintAge
	return fresh && (c.hint.Unhealthy || c.hint.Load >= 1)
}

// Running returns the number of calls that are running.
func (c *Core) Running() int { return c.running }

// Waiting returns the number of waiting calls.
func (c *Core) Waiting() int { return c.queue.len }

// IsDraining reports whether new calls are refused.
func (c *Core) IsDraining() bool { return c.draining }

// ServiceTime returns the median latency over all routes, or 0 while it is unknown.
func (c *Core) ServiceTime() time.Duration { return c.limiter.ServiceTime() }

// Level returns the admission level.
func (c *Core) Level() request.Priority { return request.Priority(c.level.value) }

// InStandingOverload reports whether the gate is in standing overload.
func (c *Core) InStandingOverload() bool { return c.overload.standing }

// Counts returns the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// begin clears the events, brings overload detection and the admission level up to
// now, and refuses expired calls.
func (c *Core) begin(now time.Time) {
	c.events = c.events[:0]
	c.cold.advance(now)
	c.pace.advance(now)
	if c.cold.isCold || c.pace.active {
		// The level would close the entries of a route for one endpoint of many.
		c.level.holdUntil = now.Add(c.cfg.Window)
	}
	c.level.load(now, c.running, c.Limit(), c.queue.work)
	c.overload.advance(now, c.queue.len)
	c.queue.setStandingOverload(c.overload.standing)
	c.level.advance(now)
	if c.queue.len > 0 && now.Sub(c.lastSweep) >= sweepInterval {
		c.lastSweep = now
		c.sweep(now)
	}
}

// sweep refuses the calls that have waited too long or can no longer be answered
// before their deadline.
func (c *Core) sweep(now time.Time) {
	var late []*Ticket
	c.queue.each(func(t *Ticket) {
		if now.Sub(t.offered) > c.maxWaitOf(t) || c.cannotMeet(now, t) {
			late = append(late, t)
		}
	})
	for _, t := range late {
		c.queue.remove(t)
		c.expire(now, t)
	}
}

// expire refuses a call that was removed from the queue because it waited too long
// or can no longer be answered before its deadline.
func (c *Core) expire(now time.Time, t *Ticket) {
	if c.cannotMeet(now, t) {
		c.counts.Deadline++
		c.level.shed += t.work
		c.refuse(t, errDeadline)
		return
	}
	if c.cold.isCold {
		c.refuseCold(t)
		return
	}
	c.counts.QueueTimeout++
	c.level.shed += t.work
	c.refuse(t, errQueueTimeout)
}

// maxWaitOf returns the maximum wait of t. Under standing overload a new tree waits
// at most Interval plus about the service time.
func (c *Core) maxWaitOf(t *Ticket) time.Duration {
	if c.cold.isCold {
		return min(c.cfg.MaxWait, coldMaxWait)
	}
	if c.overload.standing && isNewTrees(t.band) {
		return c.cfg.Interval + c.overload.target(c.limiter.ServiceTime())
	}
	return c.cfg.MaxWait
}

// cannotMeet reports whether t would be answered after its deadline. While only a
// few calls run, calls pass regardless of the observed service time, so that an
// outdated estimate is corrected.
func (c *Core) cannotMeet(now time.Time, t *Ticket) bool {
	remaining := t.Call.Deadline.Sub(now)
	if remaining <= 0 {
		return true
	}
	if c.running < minProbes+c.Limit()/probeDivisor {
		return false
	}
	return remaining < c.routeTimes.serviceTime(t.Call.Route, c.speed.get(now))
}

// dispatch starts waiting calls while fewer calls run than the limit allows, and the
// rate of a cold backend server permits it.
func (c *Core) dispatch(now time.Time) {
	for c.running < c.Limit() && c.cold.allows(now) {
		t := c.queue.pop()
		if t == nil {
			return
		}
		if now.Sub(t.offered) > c.maxWaitOf(t) || c.cannotMeet(now, t) {
			c.expire(now, t)
			continue
		}
		c.start(now, t)
	}
}

// start marks t as running and emits its event.
func (c *Core) start(now time.Time, t *Ticket) {
	t.state, t.started, t.flow = running, now, nil
	c.running++
	c.cold.record(now)
	c.counts.Started++
	c.level.started += t.work
	c.events = append(c.events, Event{Ticket: t})
}

// refuseQueueFull refuses t because the queue is full.
func (c *Core) refuseQueueFull(t *Ticket, e *request.Error) {
	c.counts.QueueFull++
	c.level.shed += t.work
	c.refuse(t, e)
}

// refuse ends t without running it.
func (c *Core) refuse(t *Ticket, e *request.Error) {
	t.state, t.flow = ended, nil
	c.events = append(c.events, Event{Ticket: t, Refusal: e})
}
