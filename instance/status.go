package instance

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"wisteriafold/config"
	"wisteriafold/contract"
	"wisteriafold/datacentre"
	"wisteriafold/request"
)

// statusTimeout bounds the wait for the control goroutine.
const statusTimeout = 2 * time.Second

// confirmWait is the time that relays have to say how far they are.
const confirmWait = 250 * time.Millisecond

// confirmedAsked is the event that somebody wants to know how far all data
// centres are. With reply it returns what is known by now.
type confirmedAsked struct {
	reply chan []config.DataCentreStatus
}

func (e confirmedAsked) apply(c *control, now time.Time) {
	if e.reply != nil {
		e.reply <- c.spread.Confirmed()
		return
	}
	c.spread.AskConfirmed(now)
}

// Confirmed asks the relays of all data centres which generation they have
// confirmed, waits for their answers and returns them by data centre.
func (d *Daemon) Confirmed(wait time.Duration) []config.DataCentreStatus {
	d.post(confirmedAsked{})
	time.Sleep(wait)
	asked := confirmedAsked{make(chan []config.DataCentreStatus, 1)}
	d.post(asked)
	select {
	case out := <-asked.reply:
		return out
	case <-time.After(statusTimeout):
		return nil
	}
}

// statusAsked is the event that somebody wants the control state.
type statusAsked struct{ reply chan controlStatus }

// controlStatus is the control goroutine's part of a Status.
type controlStatus struct {
	contracts contract.Status
	members   datacentre.Status
	spread    config.Status
}

func (e statusAsked) apply(c *control, now time.Time) {
	e.reply <- controlStatus{contracts: c.shares.Status(now), members: c.members.Status(now), spread: c.spread.Status(now)}
}

// Status returns what the daemon knows about itself and its surroundings. It
// fails when the control goroutine does not answer within timeout.
func (d *Daemon) Status(timeout time.Duration) (*Status, error) {
	asked := statusAsked{make(chan controlStatus, 1)}
	d.post(asked)
	select {
	case c := <-asked.reply:
		return d.status(&c), nil
	case <-time.After(timeout):
		return nil, eris.Errorf("the control goroutine did not answer within %s: look for a full mailbox in %s", timeout, PathCounts)
	}
}

func (d *Daemon) status(c *controlStatus) *Status {
	v := d.view.Load()
	s := &Status{
		Instance:   d.set.Instance,
		Peer:       d.self.Peer,
		DataCentre: d.self.DataCentre,
		Region:     d.self.Region,
		Uptime:     d.now().Sub(d.epoch),
		Stopping:   d.stopping.Load(),
		Config:     ConfigStatus{Status: c.spread, Keys: v.keys.Len()},
		Gate:       d.gate.Report(),
		Backend: BackendStatus{
			Service:     d.set.Backend.Service,
			Address:     d.set.Backend.Address,
			Connections: d.client.OpenConnections(),
			Running:     d.calls.n.Load(),
			Announced:   d.announced.Load(),
		},
		Contracts: c.contracts,
		Members:   c.members,
		Claims:    d.claims.claims.Stats(),
		Links:     d.links.Stats(),
		Decisions: DecisionStatus{Written: d.decisions.written.Load(), Dropped: d.decisions.dropped.Load()},
	}
	d.entries.Range(func(k, e any) bool {
		s.Routes = append(s.Routes, RouteStatus{k.(string), e.(*request.EntryControl).Report(d.now())})
		return true
	})
	slices.SortFunc(s.Routes, func(a, b RouteStatus) int { return cmp.Compare(a.Route, b.Route) })
	members := d.control.members.Snapshot()
	d.targets.Range(func(k, t any) bool {
		s.Services = append(s.Services, ServiceStatus{k.(string), members.Endpoints(k.(string)), t.(*target).budget.Left()})
		return true
	})
	slices.SortFunc(s.Services, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	return s
}

// ControlCost is what control has cost since the daemon started.
type ControlCost struct {
	Busy time.Duration // the control goroutine worked
	Sent uint64        // bytes written to links; calls to other daemons are in it
}

// ControlCost returns the totals so far.
func (d *Daemon) ControlCost() ControlCost {
	return ControlCost{
		Busy: time.Duration(d.stats.control.Value()),
		Sent: d.links.Stats().BytesOut,
	}
}
