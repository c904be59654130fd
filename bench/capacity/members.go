package capacity

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriafold/datacentre"
	"wisteriafold/platform/memory"
	"wisteriafold/service"
	"wisteriafold/wire"
)

const (
	memberTick    = 50 * time.Millisecond
	memberWay     = time.Millisecond
	memberStore   = 20 * time.Millisecond
	memberFraming = 28 // bytes of frame, control message and yamux header
)

// members runs real directories of one data centre in virtual time.
type members struct {
	now   time.Time
	queue events
	seq   int
	of    map[string]*member
	store *memory.Store
	rng   *rand.Rand
	bytes int
}

type member struct {
	m    *members
	peer string
	dir  *datacentre.Directory
}

type timedEvent struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap by time.
type events []timedEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(timedEvent)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func (m *members) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.queue, timedEvent{m.now.Add(d), m.seq, run})
}

func (m *members) runFor(d time.Duration) {
	end := m.now.Add(d)
	for len(m.queue) > 0 && m.queue[0].at.Before(end) {
		e := heap.Pop(&m.queue).(timedEvent)
		m.now = e.at
		e.run()
	}
	m.now = end
}

// newMembers starts daemons, of which each calls some services.
func newMembers(daemons, kinds, called int) *members {
	m := &members{now: time.Unix(1, 0), of: make(map[string]*member), store: memory.New(), rng: rand.New(rand.NewPCG(seed, 3))}
	peer := func(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }
	for i := range daemons {
		cfg := datacentre.Defaults()
		cfg.Self, cfg.DataCentre, cfg.Region = peer(i), "dc0", "r0"
		cfg.Seeds = []string{peer(0), peer(1), peer(2)}
		x := &member{m: m, peer: cfg.Self}
		x.dir = datacentre.NewDirectory(m.now, cfg, x, x, rand.New(rand.NewPCG(seed, uint64(i))))
		x.dir.Announce(m.now, service.Endpoint{Service: fmt.Sprint("s", i%kinds), Slots: 50, Connections: 400, Incarnation: uint64(i) + 1})
		for k := range called {
			x.dir.Subscribe(m.now, fmt.Sprint("s", (i+k+1)%kinds))
		}
		m.of[x.peer] = x
		m.after(time.Duration(m.rng.Int64N(int64(memberTick))), x.tick)
	}
	return m
}

func (x *member) tick() {
	x.dir.Tick(x.m.now)
	x.m.after(memberTick, x.tick)
}

// Send implements datacentre.Outbox.
func (x *member) Send(to string, msg *wire.Member) {
	x.m.bytes += proto.Size(msg) + memberFraming
	target := x.m.of[to]
	if target == nil {
		return
	}
	sent := proto.Clone(msg).(*wire.Member)
	x.m.after(memberWay, func() { target.dir.Receive(x.m.now, x.peer, sent) })
}

// Submit implements datacentre.Jobs.
func (x *member) Submit(j datacentre.Job) {
	res := datacentre.Run(context.Background(), x.m.store, j)
	x.m.after(memberStore, func() { x.dir.Finish(x.m.now, res) })
}

// sent returns the bytes that one daemon sends in a second once all is steady.
func (m *members) sent() float64 {
	m.runFor(settle)
	m.bytes = 0
	m.runFor(span)
	return float64(m.bytes) / span.Seconds() / float64(len(m.of))
}

func memberDaemons() ([]Point, error) {
	return each([]float64{32, 64, 128, 256}, func(x float64) float64 { return newMembers(int(x), 4, 2).sent() })
}

func memberServices() ([]Point, error) {
	return each([]float64{1, 2, 4, 8}, func(x float64) float64 { return newMembers(96, 48, int(x)).sent() })
}
