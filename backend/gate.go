package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wisteriafold/loadreport"
	"wisteriafold/request"
)

// Gate wraps a Core for concurrent callers, which block until their call may run.
// Its lock is held for one decision at a time; Report takes no lock.
type Gate struct {
	now     func() time.Time
	cfg     Config
	tickets sync.Pool

	mu         sync.Mutex
	core       *Core
	idle       chan struct{}
	isIdle     bool
	timer      *time.Timer
	timerArmed bool
	inFlight   atomic.Int64
	waiting    atomic.Int64
	limit      atomic.Int64
	service    atomic.Int64
	level      atomic.Uint32
	draining   atomic.Bool
	coldUntil  atomic.Int64 // end of the coldness, ns after epoch; 0 when not cold, coldWithoutEnd until told otherwise
	coldOn     atomic.Bool
	coldStart  atomic.Int64 // usual length of the cold phase, ns
	epoch      time.Time

	workPercent atomic.Uint32
	workAt      atomic.Int64 // time of the newest figure in workPercent, Unix ns
}

// Report is the state of a gate and its backend server.
type Report = loadreport.Report

// Permit is the permission to send one call to the backend server. Done must be
// called exactly once.
type Permit struct {
	gate    *Gate
	ticket  *Ticket
	Waited  time.Duration // time in the queue
	Started time.Time
}

// NewGate returns a gate with the initial limit of cfg. The times that now returns
// must not go backwards.
func NewGate(cfg Config, now func() time.Time) *Gate {
	cfg = cfg.withDefaults()
	g := &Gate{now: now, cfg: cfg, core: NewCore(cfg), idle: make(chan struct{}), epoch: now()}
	g.tickets.New = func() any {
		return &Ticket{ready: make(chan *request.Error, 1)}
	}
	g.publish()
	return g
}

// Enter blocks until the call may run. Its error is always a *request.Error
// with outcome NotRun: the backend server has not received the call. When ctx
// ends while the call waits, the call is removed from the queue.
func (g *Gate) Enter(ctx context.Context, call *request.Call, weight float64) (*Permit, error) {
	if ctx.Err() != nil {
		return nil, errCancelled
	}
	t := g.tickets.Get().(*Ticket)
	t.Reset(call, weight)
	g.mu.Lock()
	g.deliver(g.core.Offer(g.now(), t))
	g.mu.Unlock()
	var refused *request.Error
	select {
	case refused = <-t.ready:
	case <-ctx.Done():
		refused = g.cancel(t)
	}
	if refused != nil {
		t.Reset(nil, 0)
		g.tickets.Put(t)
		return nil, refused
	}
	return &Permit{gate: g, ticket: t, Waited: t.wait(), Started: t.started}, nil
}

// cancel ends a call whose context ended before Enter returned, and returns its
// refusal. The call may have been started meanwhile.
func (g *Gate) cancel(t *Ticket) *request.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Cancel(g.now(), t))
	if refused := <-t.ready; refused != nil {
		return refused
	}
	return errCancelled
}

// Done reports to the gate that the call has ended and no longer uses its
// connection.
func (p *Permit) Done(r Result) {
	g, t := p.gate, p.ticket
	p.ticket = nil
	g.mu.Lock()
	g.deliver(g.core.Finish(g.now(), t, r))
	g.mu.Unlock()
	t.Reset(nil, 0)
	g.tickets.Put(t)
}

// Report returns the current state without taking a lock.
func (g *Gate) Report() Report {
	r := Report{
		InFlight:    uint32(g.inFlight.Load()),
		Queued:      uint32(g.waiting.Load()),
		Limit:       uint32(g.limit.Load()),
		ServiceTime: time.Duration(g.service.Load()),
		Level:       request.Priority(g.level.Load()),
		Draining:    g.draining.Load(),
		Cold:        g.coldRemaining(),
	}
	if p := g.workPercent.Load(); p > 0 {
		if age := time.Duration(g.now().UnixNano() - g.workAt.Load()); age < maxSpeedAge {
			r.WorkPercent, r.WorkAge = p, max(age, 0)
		}
	}
	return r
}

// Counts returns the cumulative counters.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Counts()
}

// Tick updates the admission level while no calls arrive. Daemons call it a few
// times per second.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Tick(g.now()))
}

// Drain makes the gate refuse new calls. Waiting and running calls go on.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Drain()
	g.publish()
}

// Resume ends a drain: the gate accepts new calls again.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Resume()
	if g.isIdle {
		g.isIdle = false
		g.idle = make(chan struct{})
	}
	g.publish()
}

// Drained returns a channel that is closed when the last call of the current drain,
// or of the next one, has ended.
func (g *Gate) Drained() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// Evict refuses the waiting calls for which match returns true, with outcome
// NotRun and the given reason, and returns their number.
func (g *Gate) Evict(match func(*request.Call) bool, reason request.Reason) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	events := g.core.Evict(g.now(), match, request.NewNotRunError(reason, "the call was taken out of the queue before it ran"))
	n := 0
	for _, e := range events {
		if e.Refusal != nil && e.Refusal.Reason == reason {
			n++
		}
	}
	g.deliver(events)
	return n
}

// SetHealthHint records what the backend server reports about itself, with the
// current time.
func (g *Gate) SetHealthHint(h Hint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h.At = g.now()
	g.core.SetHint(h)
}

// SetWorkPercent records a work percent that the backend server reported outside the
// answer to a call, with the current time.
func (g *Gate) SetWorkPercent(percent uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetWorkPercent(g.now(), percent)
	g.publish()
}

// Resize applies the slots and connections that the backend server reports. The
// observed service times are kept.
func (g *Gate) Resize(cfg Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Resize(cfg)
	g.deliver(g.core.Tick(g.now()))
}

// Restart resets the limit and discards the observed service times, because the
// backend server was replaced.
func (g *Gate) Restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Restart()
	g.publish()
}

// deliver sends decisions to the callers that wait for them. A ticket gets one
// event, and its channel has a buffer for it, so that the send never blocks.
func (g *Gate) deliver(events []Event) {
	for _, e := range events {
		e.Ticket.ready <- e.Refusal
	}
	g.publish()
	g.arm()
}

// publish copies the state for Report, and closes idle when a drain is complete.
func (g *Gate) publish() {
	c := g.core
	g.inFlight.Store(int64(c.Running()))
	g.waiting.Store(int64(c.Waiting()))
	g.limit.Store(int64(c.Limit()))
	g.service.Store(int64(c.ServiceTime()))
	g.level.Store(uint32(c.Level()))
	g.draining.Store(c.IsDraining())
	g.publishCold()
	g.workPercent.Store(uint32(c.speed.percent))
	if c.speed.percent > 0 {
		g.workAt.Store(c.speed.at.UnixNano())
	}
	if !g.isIdle && c.IsDraining() && c.Running() == 0 && c.Waiting() == 0 {
		g.isIdle = true
		close(g.idle)
	}
}

// arm starts the timer that expires waiting calls, unless it runs already or no
// call waits.
func (g *Gate) arm() {
	if g.timerArmed || g.core.Waiting() == 0 {
		return
	}
	g.timerArmed = true
	if g.timer == nil {
		g.timer = time.AfterFunc(sweepInterval, g.expire)
		return
	}
	g.timer.Reset(sweepInterval)
}

// expire refuses expired calls when the timer fires.
func (g *Gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerArmed = false
	g.deliver(g.core.Tick(g.now()))
}
