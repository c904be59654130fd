package backend

import (
	"cmp"
	"slices"

	"wisteriafold/request"
)

// bands is the number of strict priority bands: each importance class has one
// for new trees and, above it, one for trees on which a backend server has
// already worked.
const bands = 2 * request.Classes

// pruneFlows is the number of flows, beyond two for each active one, above which a
// band deletes idle flows.
const pruneFlows = 64

// bandOf returns the band of a call.
func bandOf(c *request.Call) int {
	b := 2 * int(min(c.Importance, request.Classes-1))
	if c.WorkSpent {
		b++
	}
	return b
}

// isNewTrees reports whether the band holds trees on which no backend server has
// worked yet.
func isNewTrees(band int) bool { return band%2 == 0 }

// flow is the backlog of one organisation in one band.
type flow struct {
	organisation string
	weight       float64
	start        float64   // virtual start time of its next call
	finish       float64   // virtual finish time of its last dispatched call
	tickets      []*Ticket // in order of arrival
	pos          int       // index in band.active
}

// band orders the calls of one priority band by start-time fair queueing between
// organisations.
type band struct {
	flows   map[string]*flow
	active  []*flow // flows with waiting tickets
	virtual float64 // virtual time: virtual start time of the last dispatched call
	newest  bool    // the newest ticket of a flow is next, instead of the oldest

	byPriority bool // the ticket of highest priority of a flow is next, instead of the oldest
}

// queue holds the waiting tickets. Bands have strict priority.
type queue struct {
	bands [bands]band
	len   int
	work  float64 // of the waiting tickets
	seq   uint64
}

// flowOf returns the flow of the organisation of t, and creates it if needed.
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

// prune deletes idle flows whose finish time is not after the virtual time: a new
// flow in their place would get the same start time.
func (b *band) prune() {
	for name, f := range b.flows {
		if len(f.tickets) == 0 && f.finish <= b.virtual {
			delete(b.flows, name)
		}
	}
}

// charge accounts for a call that is dispatched without entering the queue.
func (q *queue) charge(t *Ticket) {
	b := &q.bands[t.band]
	f := b.flowOf(t)
	f.start = max(b.virtual, f.finish)
	b.charge(f)
}

// charge advances f and the virtual time of b by one dispatched call.
func (b *band) charge(f *flow) {
	b.virtual = f.start
	f.finish = f.start + 1/f.weight
	f.start = f.finish
}

// push adds t to the queue.
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
	q.work += t.work
}

// best returns the next ticket to dispatch, or nil when none waits.
func (q *queue) best() *Ticket {
	for i := bands - 1; i >= 0; i-- {
		if b := &q.bands[i]; len(b.active) > 0 {
			return b.best()
		}
	}
	return nil
}

// best returns the next ticket of the flow with the earliest virtual start time.
// Among flows with equal start times it returns the ticket of highest priority.
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

// head returns the next ticket of f.
func (b *band) head(f *flow) *Ticket {
	switch {
	case b.newest:
		return f.tickets[len(f.tickets)-1]
	case b.byPriority:
		return f.highest()
	}
	return f.tickets[0]
}

// setStandingOverload sets the order within a flow. Under standing overload, new trees
// are dispatched newest first, and calls of running trees by the priority of the tree:
// in order of arrival each of them would wait about as long as its deadline allows, and
// trees that make several calls in sequence would all end before their last one.
func (q *queue) setStandingOverload(on bool) {
	for i := range q.bands {
		q.bands[i].newest = on && isNewTrees(i)
		q.bands[i].byPriority = on && !isNewTrees(i)
	}
}

// worst returns the ticket to evict when the queue is full, or nil when none
// waits: in the lowest occupied band, the ticket of lowest priority of the
// organisation with the longest backlog relative to its weight. Priorities of
// trees are the same at every gate, so that full gates evict the same trees.
func (q *queue) worst() *Ticket {
	for i := range q.bands {
		if b := &q.bands[i]; len(b.active) > 0 {
			return b.longest().lowest()
		}
	}
	return nil
}

// longest returns the flow with the longest backlog relative to its weight.
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

// lowest returns the ticket of the lowest priority; among equal ones the newest.
func (f *flow) lowest() *Ticket {
	low := f.tickets[0]
	for _, t := range f.tickets {
		if t.priority <= low.priority {
			low = t
		}
	}
	return low
}

// highest returns the ticket of the highest priority; among equal ones the oldest.
func (f *flow) highest() *Ticket {
	high := f.tickets[0]
	for _, t := range f.tickets {
		if t.priority > high.priority {
			high = t
		}
	}
	return high
}

// bySeq compares a ticket with a sequence number, for binary search.
func bySeq(t *Ticket, seq uint64) int { return cmp.Compare(t.seq, seq) }

// remove removes t from the queue.
func (q *queue) remove(t *Ticket) {
	b := &q.bands[t.band]
	f := t.flow
	i, ok := slices.BinarySearchFunc(f.tickets, t.seq, bySeq)
	if !ok {
		panic("backend: ticket to remove is not in its flow")
	}
	f.tickets = slices.Delete(f.tickets, i, i+1)
	q.len--
	q.work -= t.work
	if q.len == 0 {
		q.work = 0 // without rounding errors
	}
	if len(f.tickets) > 0 {
		return
	}
	last := len(b.active) - 1
	b.active[f.pos] = b.active[last]
	b.active[f.pos].pos = f.pos
	b.active[last] = nil
	b.active = b.active[:last]
}

// pop removes the next ticket, accounts for it as dispatched and returns it, or
// returns nil when none waits.
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

// each calls fn for every waiting ticket. fn must not modify the queue.
func (q *queue) each(fn func(*Ticket)) {
	for i := range q.bands {
		for _, f := range q.bands[i].active {
			for _, t := range f.tickets {
				fn(t)
			}
		}
	}
}
