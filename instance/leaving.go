package instance

import (
	"math"
	"time"

	"wisteriafold/request"
)

// backendReady announces the endpoint: the backend server answers.
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

// backendLeaving withdraws the endpoint; calls that run go on.
func (c *control) backendLeaving(now time.Time) {
	if c.draining {
		return
	}
	c.draining = true
	c.d.gate.Drain()
	c.withdraw(now, "leaving")
}

// backendAbsent withdraws the endpoint until its backend server answers again,
// and then takes it for a new, cold one.
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

// leaving is the event that a graceful shutdown has begun.
type leaving struct{}

func (leaving) apply(c *control, now time.Time) { c.backendLeaving(now) }

// leaveFleet is the event that all calls have ended and the daemon goes. done is
// closed when its shares are given back and it is off the roster.
type leaveFleet struct{ done chan struct{} }

func (e leaveFleet) apply(c *control, now time.Time) {
	c.left = e.done
	c.shares.Leave(now)
}

// tickLeaving leaves the roster once no share is left behind.
func (c *control) tickLeaving(now time.Time) {
	if c.left == nil || !c.shares.Left(now) {
		return
	}
	c.members.Leave(now)
	if c.members.Left() {
		close(c.left)
		c.left = nil
	}
}

// cutWithdrawn refuses queued requests whose key is no longer in force.
func (d *Daemon) cutWithdrawn(old, fresh *view) {
	if old.keys.Len() == 0 {
		return
	}
	d.gate.Evict(func(c *request.Call) bool {
		return c.Depth == 0 && fresh.withdrawn(c.KeyID, fresh.snap.Generation)
	}, request.ReasonBadKey)
}

// knowledgeAge returns the time since it was last certain that nothing newer
// than the configuration in force existed, the longest time when that was never
// certain.
func (d *Daemon) knowledgeAge() time.Duration {
	at := d.confirmed.Load()
	if at == neverConfirmed {
		return math.MaxInt64
	}
	return d.now().Sub(d.epoch) - time.Duration(at)
}
