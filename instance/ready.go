package instance

import (
	"context"
	"fmt"
	"time"
)

// readyQuery is the event that asks whether the daemon is ready for traffic.
type readyQuery struct {
	members int
	reply   chan string
}

func (e readyQuery) apply(c *control, now time.Time) { e.reply <- c.missing(now, e.members) }

// Ready returns what the daemon is still missing to serve every route and to
// lend what it holds of every contract, or "" when it is ready. members is the
// number of instances that the rosters of all data centres should list in
// total.
func (d *Daemon) Ready(members int) string {
	asked := readyQuery{members, make(chan string, 1)}
	d.post(asked)
	select {
	case missing := <-asked.reply:
		if missing != "" {
			return missing
		}
		return d.missingTokens()
	case <-time.After(statusTimeout):
		return "an answer from its control goroutine"
	}
}

// missingTokens takes one token of every organisation's contract and gives it
// back. It returns the first contract that has no token available, or "".
func (d *Daemon) missingTokens() string {
	ctx, cancel := context.WithTimeout(d.background, statusTimeout)
	defer cancel()
	for _, o := range d.view.Load().snap.Configuration.Organisations {
		v, err := d.limiter.Wait(ctx, o.Name)
		if err != nil {
			return "tokens for " + o.Name
		}
		d.limiter.GiveBack(v)
	}
	return ""
}

func (c *control) missing(now time.Time, members int) string {
	s := c.spread.Snapshot()
	if s.Generation == 0 {
		return "a configuration"
	}
	known := 0
	for _, r := range c.members.Snapshot().Rosters() {
		known += len(r.Addresses)
	}
	if known < members {
		return fmt.Sprintf("members: %d of %d are on the rosters", known, members)
	}
	for _, svc := range s.Configuration.Services {
		if c.subscribesToAll() && len(c.members.Snapshot().Endpoints(svc.Name)) == 0 {
			return "endpoints of " + svc.Name
		}
	}
	for _, x := range c.shares.Status(now).Shares {
		if x.Holding && !x.Agreed {
			return "agreement on the contract of " + x.Contract
		}
	}
	return ""
}

// Weight returns the weight of an organisation in the configuration in force
// here.
func (d *Daemon) Weight(organisation string) float64 { return d.view.Load().weight(organisation) }
