package backend

import (
	"time"

	"wisteriafold/request"
)

// ConfigureCold applies what the configuration says about cold backend servers.
func (c *Core) ConfigureCold(now time.Time, cfg ColdConfig) []Event {
	c.begin(now)
	c.cold.configure(now, cfg)
	c.pace.duration = cfg.Pace
	if cfg.Pace <= 0 {
		c.pace.active = false
	}
	c.trimCold()
	c.dispatch(now)
	return c.events
}

// HearCold records what the backend server says about its coldness.
func (c *Core) HearCold(now time.Time, w ColdWord) []Event {
	c.begin(now)
	was := c.cold.isCold
	c.cold.hear(now, w)
	if c.cold.isCold && !was {
		c.beginPace(now)
	}
	c.trimCold()
	c.dispatch(now)
	return c.events
}

// SuspectCold takes the backend server for cold until it says otherwise, because of a
// sign that it may have restarted.
func (c *Core) SuspectCold(now time.Time, by ColdSource) []Event {
	c.begin(now)
	c.cold.suspect(now, by)
	c.beginPace(now)
	c.trimCold()
	return c.events
}

// BeginPace makes the concurrency limit start low, because the backend server has just
// started.
func (c *Core) BeginPace(now time.Time) []Event {
	c.begin(now)
	c.beginPace(now)
	return c.events
}

func (c *Core) beginPace(now time.Time) {
	c.pace.begin(now, c.cfg.ceiling())
}

// IsPaced reports whether the limit is held below the usual one after a start or
// recovery.
func (c *Core) IsPaced() bool { return c.pace.active }

// ColdState returns the coldness of the backend server.
func (c *Core) ColdState(now time.Time) ColdState { return c.cold.state(now) }

// coldQueue returns how many calls may wait: those that the rate of a cold backend
// server admits within a second, or the configured maximum.
func (c *Core) coldQueue() int {
	if c.cold.isCold {
		return min(c.cfg.MaxQueue, len(c.cold.starts))
	}
	return c.cfg.MaxQueue
}

// trimCold refuses the least important waiting calls beyond coldQueue.
func (c *Core) trimCold() {
	for c.cold.isCold && c.queue.len > c.coldQueue() {
		worst := c.queue.worst()
		c.queue.remove(worst)
		c.refuseCold(worst)
	}
}

// waitsInVain reports whether t, which has not been queued, would get no allowance of
// a cold backend server within coldMaxWait and its deadline. The calls of its band and
// of the bands above go first.
func (c *Core) waitsInVain(now time.Time, t *Ticket) bool {
	if !c.cold.isCold {
		return false
	}
	ahead := 0
	for i := t.band; i < bands; i++ {
		for _, f := range c.queue.bands[i].active {
			ahead += len(f.tickets)
		}
	}
	at, ok := c.cold.allowanceAt(ahead)
	if !ok || at.Sub(now) >= coldMaxWait {
		return true
	}
	return at.After(now) && !t.Call.Deadline.After(at.Add(c.routeTimes.serviceTime(t.Call.Route, c.speed.get(now))))
}

// refuseCold refuses t for want of an allowance. The admission level does not count
// it: other endpoints are likely to have room.
func (c *Core) refuseCold(t *Ticket) {
	c.counts.Cold++
	c.refuse(t, errCold)
}

// errCold refuses a call that finds no allowance of a cold backend server.
var errCold = refusal(request.ReasonCold, coldMaxWait,
	"try another endpoint, or later: the backend server has just started and tolerates only few calls a second")
