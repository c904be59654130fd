package backend

import (
	"cmp"
	"slices"

	"wisteriafold/request"
)

// bands is the number of strict priority bands: for each importance class one
// of new trees and, above it, one of trees that work has been spent on.
const bands = 2 * request.Classes

// pruneFlows is the number of idle flows at which a band looks for some to forget.
const pruneFlows = 64

// bandOf returns the band of a call.
func bandOf(c *request.Call) int {
	b := 2 * int(min(c.Importance, request.Classes-1))
	if c.WorkSpent {
		b++
	}
	return b
}

// isNewTrees reports whether the band holds trees without work spent.
func isNewTrees(band int) bool { return band%2 == 0 }

// flow is the backlog of one organisation in one band.
type flow struct {
	organisation string
	weight       float64
	start        float64   // virtual start time of its next call
	finish       float64   // virtual finish time of its last call
	tickets      []*Ticket // in the order of arrival
	pos          int       // index in band.active
}

// band orders the calls of equal importance by start-time fair queueing
// between organisations.
type band struct {
	flows   map[string]*flow
	active  []*flow // those with tickets
	virtual float64 // virtual time: start of the last call that was dispatched
	newest  bool    // newest first inside a flow
}

// queue holds the waiting tickets in strict order of bands.
type queue struct {
	bands [bands]band
	len   int
	seq   uint64
}

// flowOf returns the flow that t belongs to, made when there is none.
func (b *band) flowOf(t *Ticket) *flow {
	f := b.flows[t.Call.Organisation]
	if f == nil {
		if b.flows == nil {
			b.flows = make(map[string]*flow)
		}
		if len(b.flows) > pruneFlows+2*len(b.active) {
			b.prune()
		}
		f = &flow{organisation: t.Call.Organisation}
		b.flows[f.organisation] = f
	}
	f.weight = t.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	return f
}

// prune forgets idle flows that virtual time has passed: a new flow in their
// place would get the same start time.
func (b *band) prune() {
	for name, f := range b.flows {
		if len(f.tickets) == 0 && f.finish <= b.virtual {
			delete(b.flows, name)
		}
	}
}

// charge accounts for a call that is dispatched without waiting.
func (q *queue) charge(t *Ticket) {
	b := &q.bands[t.band]
	f := b.flowOf(t)
	f.start = max(b.virtual, f.finish)
	b.charge(f)
}

// charge moves f and virtual time past one dispatched call.
func (b *band) charge(f *flow) {
	b.virtual = f.start
	f.finish = f.start + 1/f.weight
	f.start = f.finish
}

// push adds t.
func (q *queue) push(t *Ticket) {
	b := &q.bands[t.band]
	f := b.flowOf(t)
	t.flow = f
	t.seq = q.seq
	q.seq++
	if len(f.tickets) == 0 {
		f.start = max(b.virtual, f.finish)
		f.pos = len(b.active)
		b.active = append(b.active, f)
	}
	f.tickets = append(f.tickets, t)
	q.len++
}

// best returns the ticket that is next, nil when none waits.
func (q *queue) best() *Ticket {
	for i := bands - 1; i >= 0; i-- {
		if b := &q.bands[i]; len(b.active) > 0 {
			return b.best()
		}
	}
	return nil
}

// best returns the head of the flow with the least start time, and among equal
// ones of the flow whose head has the higher priority.
func (b *band) best() *Ticket {
	var head *Ticket
	for _, f := range b.active {
		t := b.head(f)
		if head == nil || f.start < head.flow.start || f.start == head.flow.start && t.priority > head.priority {
			head = t
		}
	}
	return head
}

// head returns the ticket of f that is next.
func (b *band) head(f *flow) *Ticket {
	if b.newest {
		return f.tickets[len(f.tickets)-1]
	}
	return f.tickets[0]
}

// setNewestFirst chooses the order of new trees inside a flow.
func (q *queue) setNewestFirst(on bool) {
	for i := range q.bands {
		q.bands[i].newest = on && isNewTrees(i)
	}
}

// worst returns the ticket that goes first when the queue is full: in the
// lowest band, of the organisation with the longest backlog for its weight, the
// tree of the lowest priority. That is the same tree at every gate.
func (q *queue) worst() *Ticket {
	for i := range q.bands {
		if b := &q.bands[i]; len(b.active) > 0 {
			return b.longest().lowest()
		}
	}
	return nil
}

// longest returns the flow with the longest backlog for its weight.
func (b *band) longest() *flow {
	var longest *flow
	var most float64
	for _, f := range b.active {
		backlog := float64(len(f.tickets)) / f.weight
		if longest == nil || backlog > most {
			longest, most = f, backlog
		}
	}
	return longest
}

// lowest returns the ticket of the lowest priority, the newest of several.
func (f *flow) lowest() *Ticket {
	low := f.tickets[0]
	for _, t := range f.tickets {
		if t.priority <= low.priority {
			low = t
		}
	}
	return low
}

// bySeq finds a ticket by its place in the order of arrival.
func bySeq(t *Ticket, seq uint64) int { return cmp.Compare(t.seq, seq) }

// remove takes t out.
func (q *queue) remove(t *Ticket) {
	b := &q.bands[t.band]
	f := t.flow
	i, ok := slices.BinarySearchFunc(f.tickets, t.seq, bySeq)
	if !ok {
		panic("backend: ticket is not in the flow that it names")
	}
	f.tickets = slices.Delete(f.tickets, i, i+1)
	q.len--
	if len(f.tickets) > 0 {
		return
	}
	last := len(b.active) - 1
	b.active[f.pos] = b.active[last]
	b.active[f.pos].pos = f.pos
	b.active[last] = nil
	b.active = b.active[:last]
}

// pop takes out the next ticket and accounts for it as dispatched.
func (q *queue) pop() *Ticket {
	t := q.best()
	if t == nil {
		return nil
	}
	f := t.flow
	q.remove(t)
	q.bands[t.band].charge(f)
	return t
}

// each calls fn for every waiting ticket. fn must not change the queue.
func (q *queue) each(fn func(*Ticket)) {
	for i := range q.bands {
		for _, f := range q.bands[i].active {
			for _, t := range f.tickets {
				fn(t)
			}
		}
	}
}
