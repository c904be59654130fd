package bench

import (
	"time"

	"wisteriafold/backend"
	"wisteriafold/request"
	"wisteriafold/service"
)

// gate lets attempts in to one backend server. It calls start or refuse on
// each attempt that it was offered, at once or later.
type gate interface {
	offer(a *attempt)
	done(a *attempt, r backend.Result)
	cancel(a *attempt) // a waits
	report() service.Load
	level() request.Priority
}

// fifoGate is the naive gate: a fixed limit before a FIFO queue.
type fifoGate struct {
	limit, running int
	queue          []*attempt
}

func (g *fifoGate) offer(a *attempt) {
	switch {
	case g.running < g.limit:
		g.running++
		a.start()
	case len(g.queue) < naiveQueue:
		g.queue = append(g.queue, a)
	default:
		a.refuse(request.NewNotRunError(request.ReasonQueueFull, "ask again later"))
	}
}

func (g *fifoGate) done(*attempt, backend.Result) {
	g.running--
	for g.running < g.limit && len(g.queue) > 0 {
		next := g.queue[0]
		g.queue = g.queue[1:]
		if next.ended {
			continue
		}
		g.running++
		next.start()
	}
}

func (g *fifoGate) cancel(*attempt) {}

func (g *fifoGate) report() service.Load {
	return service.Load{Queued: uint32(len(g.queue)), InFlight: uint32(g.running), Limit: uint32(g.limit)}
}

func (g *fifoGate) level() request.Priority { return request.LevelOpen }

// coreGate drives the real gate.
type coreGate struct {
	w    *world
	core *backend.Core
}

const (
	waitingTick = 5 * time.Millisecond   // while calls wait
	idleTick    = 100 * time.Millisecond // otherwise
)

func newCoreGate(w *world, c backend.Config) *coreGate {
	g := &coreGate{w: w, core: backend.NewCore(c)}
	g.tick()
	return g
}

// tick lets the gate act on time alone.
func (g *coreGate) tick() {
	g.apply(g.core.Tick(g.w.clock.now))
	d := idleTick
	if g.core.Waiting() > 0 {
		d = waitingTick
	}
	g.w.clock.after(d, g.tick)
}

func (g *coreGate) offer(a *attempt) {
	a.ticket.Call = &a.call
	a.ticket.Weight = a.tree.demand.weight
	g.w.waiting[&a.ticket] = a
	g.apply(g.core.Offer(g.w.clock.now, &a.ticket))
}

func (g *coreGate) done(a *attempt, r backend.Result) {
	g.apply(g.core.Finish(g.w.clock.now, &a.ticket, r))
}

func (g *coreGate) cancel(a *attempt) {
	delete(g.w.waiting, &a.ticket)
	g.apply(g.core.Cancel(g.w.clock.now, &a.ticket))
}

// apply starts and refuses what the gate has decided. The slice is copied
// because a started attempt may lead to the next decision.
func (g *coreGate) apply(decided []backend.Event) {
	if len(decided) == 0 {
		return
	}
	for _, e := range append([]backend.Event(nil), decided...) {
		a := g.w.waiting[e.Ticket]
		if a == nil {
			continue
		}
		delete(g.w.waiting, e.Ticket)
		if e.Refusal != nil {
			a.refuse(e.Refusal)
			continue
		}
		a.start()
	}
}

func (g *coreGate) report() service.Load {
	return service.Load{
		Queued:      uint32(g.core.Waiting()),
		InFlight:    uint32(g.core.Running()),
		Limit:       uint32(g.core.Limit()),
		ServiceTime: g.core.ServiceTime(),
		Level:       g.core.Level(),
	}
}

func (g *coreGate) level() request.Priority { return g.core.Level() }
