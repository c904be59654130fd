package datacentre

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"wisteriafold/platform"
	"wisteriafold/service"
	"wisteriafold/wire"
)

const (
	worldTick    = 50 * time.Millisecond
	worldStep    = 10 * time.Millisecond
	frameBytes   = 28 // yamux header, frame length and oneof tags of one control message
	nearLatency  = time.Millisecond
	storeLatency = 20 * time.Millisecond
)

// world runs directories in virtual time over a network that loses messages
// and over one store.
type world struct {
	now       time.Time
	rng       *rand.Rand
	nodes     map[string]*node
	order     []string
	loss      float64
	cut       func(from, to string) bool // reports whether messages between these are lost
	queue     []delivery
	store     *rosterTable
	storeDown bool // the store is unreachable
	sent      map[string]int
	bytes     map[string]int
}

type delivery struct {
	at       time.Time
	from, to string
	m        *wire.Member
	result   *Result
}

type node struct {
	w       *world
	dir     *Directory
	address string
	dc      string
	paused  bool
	nextAt  time.Time
}

func (n *node) Send(to string, m *wire.Member) {
	w := n.w
	w.sent[n.address]++
	w.bytes[n.address] += proto.Size(m) + frameBytes
	if w.rng.Float64() < w.loss || (w.cut != nil && w.cut(n.address, to)) {
		return
	}
	delay := time.Duration((0.5 + w.rng.Float64()) * float64(nearLatency))
	if t := w.nodes[to]; t != nil && t.dc != n.dc {
		delay *= 20
	}
	w.queue = append(w.queue, delivery{at: w.now.Add(delay), from: n.address, to: to, m: m})
}

func (n *node) Submit(j Job) {
	res := Run(context.Background(), n.w.store, j)
	n.w.queue = append(n.w.queue, delivery{at: n.w.now.Add(storeLatency), to: n.address, result: &res})
}

func newWorld(seed uint64) *world {
	w := &world{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*node), sent: make(map[string]int), bytes: make(map[string]int),
	}
	w.store = &rosterTable{w: w, rows: make(map[string]platform.Row)}
	return w
}

func address(dc, i int) string { return fmt.Sprintf("10.%d.%d.%d:7000", dc, i/250, i%250) }

// start starts daemon i of a data centre.
func (w *world) start(dc, i int, change func(*Config)) *node {
	cfg := Defaults()
	cfg.Self = address(dc, i)
	cfg.DataCentre = fmt.Sprintf("dc%d", dc)
	cfg.Region = fmt.Sprintf("r%d", dc/2)
	cfg.Seeds = []string{address(dc, 0), address(dc, 1), address(dc, 2)}
	cfg.FarSeeds = []string{address((dc+1)%2, 0)}
	if change != nil {
		change(&cfg)
	}
	n := &node{w: w, address: cfg.Self, dc: cfg.DataCentre}
	n.nextAt = w.now.Add(time.Duration(w.rng.Float64() * float64(worldTick)))
	n.dir = NewDirectory(w.now, cfg, n, n, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	if !slices.Contains(w.order, n.address) {
		w.order = append(w.order, n.address)
	}
	w.nodes[n.address] = n
	return n
}

func (w *world) crash(address string) { delete(w.nodes, address) }

// run advances virtual time by d, and calls each, unless nil, after every step.
func (w *world) run(d time.Duration, each func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(worldStep)
		w.deliver()
		for _, a := range w.order {
			if n := w.nodes[a]; n != nil && !n.paused && !w.now.Before(n.nextAt) {
				n.nextAt = w.now.Add(worldTick)
				n.dir.Tick(w.now)
			}
		}
		if each != nil {
			each()
		}
	}
}

func (w *world) deliver() {
	var later []delivery
	due := w.queue
	w.queue = nil
	for _, m := range due {
		if m.at.After(w.now) {
			later = append(later, m)
			continue
		}
		n := w.nodes[m.to]
		switch {
		case n == nil:
		case n.paused:
			later = append(later, m)
		case m.result != nil:
			n.dir.Finish(w.now, *m.result)
		default:
			n.dir.Receive(w.now, m.from, m.m)
		}
	}
	w.queue = append(later, w.queue...)
}

// until advances time until ok returns true, and returns how long that took. It
// fails the test after limit.
func (w *world) until(t testing.TB, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	from := w.now
	for !ok() {
		require.Less(t, w.now.Sub(from), limit, "timed out waiting for: %s", what)
		w.run(worldTick, nil)
	}
	return w.now.Sub(from)
}

func (w *world) all(ok func(n *node) bool) bool {
	for _, a := range w.order {
		if n := w.nodes[a]; n != nil && !n.paused && !ok(n) {
			return false
		}
	}
	return true
}

func (n *node) announce(name string, incarnation uint64) {
	n.dir.Announce(n.w.now, service.Endpoint{Service: name, Slots: 50, Connections: 400, Incarnation: incarnation})
}

func (n *node) sees(name, peer string) bool {
	return slices.ContainsFunc(n.dir.Snapshot().Endpoints(name), func(e service.Endpoint) bool { return e.Peer == peer })
}

func (n *node) endpoints(name string) int { return len(n.dir.Snapshot().Endpoints(name)) }

// rosterTable is a linearizable table with commit sequence numbers. Answers to
// commits can be lost.
type rosterTable struct {
	w         *world
	rows      map[string]platform.Row
	sequence  uint64
	commits   int
	conflicts int
	reads     int
	lose      float64 // probability that the answer to a commit is lost
}

func (s *rosterTable) Get(_ context.Context, _ string, keys ...string) ([]platform.Row, error) {
	s.reads++
	if s.w.storeDown {
		return nil, &platform.UnavailableError{Op: "get"}
	}
	var out []platform.Row
	for _, k := range keys {
		if r, ok := s.rows[k]; ok {
			out = append(out, r)
		}
	}
	return out, nil
}

func (s *rosterTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	panic("unexpected Scan of the roster table")
}

func (s *rosterTable) Changes(_ context.Context, _ string, since uint64, limit int) ([]platform.Row, uint64, error) {
	s.reads++
	if s.w.storeDown {
		return nil, 0, &platform.UnavailableError{Op: "changes"}
	}
	var out []platform.Row
	for _, r := range s.rows {
		if r.Version > since {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b platform.Row) int { return int(a.Version) - int(b.Version) })
	return out[:min(len(out), limit)], s.sequence, nil
}

func (s *rosterTable) Commit(_ context.Context, tx platform.Tx) (uint64, error) {
	if s.w.storeDown {
		return 0, &platform.UnavailableError{Op: "commit"}
	}
	for _, c := range tx.Conditions {
		if have := s.rows[c.Key].Version; have != c.Version {
			s.conflicts++
			return 0, &platform.ConflictError{Table: c.Table, Key: c.Key, Want: c.Version, Have: have}
		}
	}
	s.sequence++
	s.commits++
	for _, wr := range tx.Writes {
		s.rows[wr.Key] = platform.Row{Key: wr.Key, Value: wr.Value, Version: s.sequence}
	}
	if s.w.rng.Float64() < s.lose {
		return 0, &platform.AmbiguousError{Op: "commit"}
	}
	return s.sequence, nil
}
