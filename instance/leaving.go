package instance

import (
	"math"
	"time"

	"wisteriafold/request"
)

// backendReady announces the endpoint after a successful health check.
func (c *control) backendReady(now time.Time) {
	if c.announced || c.d.stopping.Load() {
		return
	}
	if c.draining {
		c.draining = false
		c.d.gate.Resume()
	}
	c.announced = true
	c.members.Announce(now, c.endpoint())
	c.d.announced.Store(true)
	c.d.log.Info("placement", "instance", c.d.set.Instance, "service", c.d.set.Backend.Service, "state", "announced")
}

// backendDraining withdraws the endpoint and drains the gate; running calls
// continue.
func (c *control) backendDraining(now time.Time) {
	if c.draining {
		return
	}
	c.draining = true
	c.d.gate.Drain()
	c.withdraw(now, "leaving")
}

// backendAbsent withdraws the endpoint until its backend server answers again.
// It resets the gate, which treats that backend server as a new, cold one.
func (c *control) backendAbsent(now time.Time) {
	if !c.announced {
		return
	}
	c.d.gate.Restart()
	c.withdraw(now, "absent")
}

func (c *control) withdraw(now time.Time, why string) {
	c.announced = false
	c.members.Withdraw(now)
	c.d.announced.Store(false)
	c.d.log.Info("placement", "instance", c.d.set.Instance, "service", c.d.set.Backend.Service, "state", why)
}

// shutdownStarted is the event that a graceful shutdown has begun.
type shutdownStarted struct{}

func (shutdownStarted) apply(c *control, now time.Time) { c.backendDraining(now) }

// leaveRequested is the event that all calls have ended and the daemon leaves
// the fleet. done is closed when its shares are given back and it is off the
// roster.
type leaveRequested struct{ done chan struct{} }

func (e leaveRequested) apply(c *control, now time.Time) {
	c.leaveDone = e.done
	c.shares.Leave(now)
}

// tickLeaving takes the daemon off the roster once all of its shares and loans
// are given back.
func (c *control) tickLeaving(now time.Time) {
	if c.leaveDone == nil || !c.shares.Left(now) {
		return
	}
	c.members.Leave(now)
	if c.members.Left() {
		close(c.leaveDone)
		c.leaveDone = nil
	}
}

// evictWithdrawn refuses queued requests whose key is no longer in force.
func (d *Daemon) evictWithdrawn(old, fresh *view) {
	if old.keys.Len() == 0 {
		return
	}
	d.gate.Evict(func(c *request.Call) bool {
		return c.Depth == 0 && fresh.withdrawn(c.KeyID, fresh.snap.Generation)
	}, request.ReasonBadKey)
}

// configurationAge returns the time since the configuration in force was last
// confirmed to be the newest, or the longest possible time when it never was.
func (d *Daemon) configurationAge() time.Duration {
	at := d.confirmed.Load()
	if at == neverConfirmed {
		return math.MaxInt64
	}
	return d.now().Sub(d.epoch) - time.Duration(at)
}
