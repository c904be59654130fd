package bench

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with a queue of events.
type clock struct {
	now    time.Time
	events events
	seq    uint64
}

// event runs do at a time. Events of one time run in the order of their making.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// epoch is the start of every experiment.
var epoch = time.Unix(0, 0)

func newClock() *clock { return &clock{now: epoch} }

// after runs do when d has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), seq: c.seq, do: do})
}

// elapsed returns the time since the start.
func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }

// run runs events until d after the start.
func (c *clock) run(d time.Duration) {
	end := epoch.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}
