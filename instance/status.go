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

// confirmWait is the time for the relays of all data centres to answer
// Confirmed.
const confirmWait = 250 * time.Millisecond

// confirmedQuery is the event that asks which generation each data centre has
// confirmed. Without reply it sends the question to the relays; with reply it
// returns the answers received so far.
type confirmedQuery struct {
	reply chan []config.DataCentreStatus
}

func (e confirmedQuery) apply(c *control, now time.Time) {
	if e.reply != nil {
		e.reply <- c.spread.Confirmed()
		return
	}
	c.spread.AskConfirmed(now)
}

// Confirmed asks the relays of all data centres which generation they have
// confirmed, waits for their answers and returns them by data centre.
func (d *Daemon) Confirmed(wait time.Duration) []config.DataCentreStatus {
	d.post(confirmedQuery{})
	time.Sleep(wait)
	asked := confirmedQuery{make(chan []config.DataCentreStatus, 1)}
	d.post(asked)
	select {
	case out := <-asked.reply:
		return out
	case <-time.After(statusTimeout):
		return nil
	}
}

// statusQuery is the event that asks for the control goroutine's state.
type statusQuery struct{ reply chan controlStatus }

// controlStatus is the control goroutine's part of a Status.
type controlStatus struct {
	contracts contract.Status
	members   datacentre.Status
	spread    config.Status
}

func (e statusQuery) apply(c *control, now time.Time) {
	e.reply <- controlStatus{contracts: c.shares.Status(now), members: c.members.Status(now), spread: c.spread.Status(now)}
}

// Status returns the state of the daemon and its view of the fleet. It fails
// when the control goroutine does not answer within timeout.
func (d *Daemon) Status(timeout time.Duration) (*Status, error) {
	asked := statusQuery{make(chan controlStatus, 1)}
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
	s.Gate.Evacuated = d.isEvacuatedHere()
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

// ControlCost is the cost of the control goroutine and of the links since the
// daemon started.
type ControlCost struct {
	Busy time.Duration // time that the control goroutine was busy
	Sent uint64        // bytes written to links, including calls to other daemons
}

// ControlCost returns the totals so far.
func (d *Daemon) ControlCost() ControlCost {
	return ControlCost{
		Busy: time.Duration(d.stats.controlBusy.Value()),
		Sent: d.links.Stats().BytesOut,
	}
}
