package backend

import (
	"math"
	"time"
)

// coldWithoutEnd is the value of Gate.coldUntil while the backend server is cold until
// it says otherwise.
const coldWithoutEnd = math.MaxInt64

// ConfigureCold applies what the configuration says about cold backend servers.
func (g *Gate) ConfigureCold(cfg ColdConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.ConfigureCold(g.now(), cfg))
}

// HearCold records what the backend server says about its coldness. It takes no lock
// when the word changes nothing.
func (g *Gate) HearCold(w ColdWord) {
	if !g.coldOn.Load() || w.Source == ColdAnswer && w.Remaining <= 0 && g.coldUntil.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.HearCold(g.now(), w))
}

// SuspectCold takes the backend server for cold until it says otherwise, because of a
// sign that it may have restarted. It reports whether that is news.
func (g *Gate) SuspectCold(by ColdSource) bool {
	if !g.coldOn.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.core.cold.state(g.now())
	g.deliver(g.core.SuspectCold(g.now(), by))
	return !before.UntilTold
}

// BeginPace makes the concurrency limit start low, because the backend server has just
// started.
func (g *Gate) BeginPace() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.BeginPace(g.now()))
}

// IsPaced reports whether the limit is held below the usual one after a start or
// recovery.
func (g *Gate) IsPaced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.IsPaced()
}

// ColdOn reports whether the configuration bounds the calls to a cold backend server.
func (g *Gate) ColdOn() bool { return g.coldOn.Load() }

// ColdState returns the coldness of the backend server.
func (g *Gate) ColdState() ColdState {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.core.cold.advance(now)
	g.publishCold()
	return g.core.ColdState(now)
}

// publishCold copies the coldness for Report.
func (g *Gate) publishCold() {
	c := &g.core.cold
	until := int64(0)
	switch {
	case c.isCold && c.until.IsZero():
		until = coldWithoutEnd
	case c.isCold:
		until = int64(c.until.Sub(g.epoch))
	}
	g.coldUntil.Store(until)
	g.coldOn.Store(c.on())
	g.coldStart.Store(int64(c.cfg.Start))
}

// coldRemaining returns how much longer the backend server is cold, without taking a
// lock.
func (g *Gate) coldRemaining() time.Duration {
	switch until := g.coldUntil.Load(); until {
	case 0:
		return 0
	case coldWithoutEnd:
		return time.Duration(g.coldStart.Load())
	default:
		return max(0, time.Duration(until)-g.now().Sub(g.epoch))
	}
}
