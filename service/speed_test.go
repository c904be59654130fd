package service

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// uneven is a deployment without network: many choosers send calls to few servers whose
// speeds differ for good and change several times a second.
type uneven struct {
	choosers, servers, slots int
	work                     time.Duration // mean work of a call at the usual speed
	load                     float64       // demand as a fraction of the capacity
	duration                 time.Duration
	change                   time.Duration // mean time between changes of a server's speed
	silent                   bool          // servers report no work percent
	same, hidden             bool
	config                   Config

	lie    func(now time.Duration) uint32 // figure of the first server, nil for the true one
	chosen func(server int)               // called for each choice, nil for none
}

// unevenServer runs calls in order of arrival. Its speed at the start of a call holds
// for the whole call.
type unevenServer struct {
	running, most int
	queue         []*unevenCall
	usual         float64 // lasting part of the work factor
	factor        float64 // present work factor
	median        float64 // service time as the gate estimates it, ns
	average       float64 // what the gate reports
	averagedAt    time.Duration
}

type unevenCall struct {
	server, chooser int
	began, end      time.Duration
	started         bool
}

type unevenEvents []*unevenCall

func (e unevenEvents) Len() int           { return len(e) }
func (e unevenEvents) Less(i, j int) bool { return e[i].end < e[j].end }
func (e unevenEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *unevenEvents) Push(x any)        { *e = append(*e, x.(*unevenCall)) }
func (e *unevenEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// run returns the 99th percentile and the mean of the time to completion, and the
// largest number of calls that one server held, in multiples of its slots.
func (u uneven) run(seed uint64) (tail, mean time.Duration, worst float64) {
	r := rand.New(rand.NewPCG(seed, 9))
	eps := endpoints("f1", "fukuoka", u.servers)
	peers := map[string]int{}
	servers := make([]*unevenServer, u.servers)
	capacity := 0.0
	for i := range servers {
		eps[i].Slots = uint32(u.slots)
		peers[eps[i].Peer] = i
		servers[i] = &unevenServer{usual: []float64{0.5, 1, 1.5}[i%3]}
		if u.same {
			servers[i].usual = 1
		}
		servers[i].average, servers[i].factor = servers[i].usual, servers[i].usual
		capacity += float64(u.slots) / (u.work.Seconds() * servers[i].usual * 1.1) // 1.1: mean of the changing factor
	}
	pickers := make([]*Picker, u.choosers)
	for i := range pickers {
		pickers[i] = NewPicker(start, u.config, Location{Peer: fmt.Sprint(i), DataCentre: "f1", Region: "fukuoka"}, uint64(i))
		pickers[i].SetEndpoints(eps)
	}
	events := &unevenEvents{}
	var took []time.Duration
	run := func(now time.Duration, c *unevenCall) {
		s := servers[c.server]
		s.running++
		c.started = true
		took := float64(u.work) * s.factor * min(r.ExpFloat64(), 5)
		c.end = now + time.Duration(took)
		if s.median == 0 {
			s.median = took
		}
		s.median *= map[bool]float64{true: 1.05, false: 0.95}[took > s.median]
		heap.Push(events, c)
	}
	heap.Push(events, &unevenCall{server: -1})
	for i := range servers {
		heap.Push(events, &unevenCall{server: i, chooser: -1})
	}
	for events.Len() > 0 {
		e := heap.Pop(events).(*unevenCall)
		now := e.end
		at := start.Add(now)
		switch {
		case e.server < 0: // a call begins
			if now > u.duration {
				continue
			}
			c := &unevenCall{chooser: r.IntN(u.choosers), began: now}
			ep, _, _ := pickers[c.chooser].Pick(at, r, call, nil)
			pickers[c.chooser].Begin(ep.Peer)
			c.server = peers[ep.Peer]
			if u.chosen != nil {
				u.chosen(c.server)
			}
			s := servers[c.server]
			if s.running < u.slots {
				run(now, c)
			} else {
				s.queue = append(s.queue, c)
			}
			if now > u.duration/4 {
				s.most = max(s.most, s.running+len(s.queue))
			}
			e.end += time.Duration(r.ExpFloat64() / (u.load * capacity) * float64(time.Second))
			heap.Push(events, e)
		case e.chooser < 0: // the speed of a server changes
			if now > u.duration {
				continue
			}
			s := servers[e.server]
			s.report(now)
			s.factor = s.usual * []float64{0.6, 1, 1.7}[r.IntN(3)]
			e.end += time.Duration(r.ExpFloat64() * float64(u.change))
			heap.Push(events, e)
		default:
			s := servers[e.server]
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				run(now, next)
			}
			if now > u.duration/4 {
				took = append(took, now-e.began)
			}
			report := &Load{InFlight: uint32(s.running), Queued: uint32(len(s.queue)), Limit: uint32(u.slots), ServiceTime: time.Duration(s.median), WorkPercent: s.report(now)}
			switch {
			case u.silent:
				report.WorkPercent = 0
			case u.lie != nil && e.server == 0:
				report.WorkPercent = u.lie(now)
			case u.hidden:
				report.WorkPercent = uint32(float64(report.WorkPercent) / s.usual)
			}
			pickers[e.chooser].Observe(at, eps[e.server].Peer, Observation{Duration: now - e.began, Report: report})
		}
	}
	for _, s := range servers {
		worst = max(worst, float64(s.most)/float64(u.slots))
	}
	slices.Sort(took)
	for _, t := range took {
		mean += t
	}
	return took[len(took)*99/100], mean / time.Duration(len(took)), worst
}

// report returns the average percent up to now, as the gate's estimate has it.
func (s *unevenServer) report(now time.Duration) uint32 {
	const smoothing = 300 * time.Millisecond
	s.average += (s.factor - s.average) * (1 - math.Exp(-float64(now-s.averagedAt)/float64(smoothing)))
	s.averagedAt = now
	return uint32(100 * s.average)
}

// averages returns the means of run over a few seeds: the tail in ms and the load of the
// worst server.
func (u uneven) averages() (tail, worst float64) {
	const seeds = 2
	for seed := range uint64(seeds) {
		t, _, w := u.run(seed)
		tail += float64(t.Milliseconds()) / seeds
		worst += w / seeds
	}
	return tail, worst
}

// Failure: hundreds of choosers learn the same figure, up to a second old, and all move
// to the server that was fastest then.
func TestWorkPercentShortensTheTailWithoutHerding(t *testing.T) {
	lasting := uneven{choosers: 200, servers: 16, slots: 20, work: 50 * time.Millisecond, load: 0.8, duration: 8 * time.Second, change: 200 * time.Millisecond, config: DefaultConfig()}
	hidden, same := lasting, lasting
	hidden.hidden, same.same = true, true
	// check compares a deployment with the choices without the figure, as multiples of
	// the tail and of the most calls at one server.
	check := func(name string, u uneven, twoTail, twoWorst, leastTail, leastWorst, maxTail, maxWorst float64) {
		tail, worst := u.averages()
		t.Logf("%s: tail %.0f ms, worst %.1f; two random ones without the figure %.0f ms, %.1f; least outstanding %.0f ms, %.1f", name, tail, worst, twoTail, twoWorst, leastTail, leastWorst)
		require.Less(t, tail, min(maxTail*twoTail, leastTail), name)
		require.Less(t, worst, min(maxWorst*twoWorst, leastWorst), name)
	}
	without := func(u uneven) (twoTail, twoWorst, leastTail, leastWorst float64) {
		u.silent = true
		twoTail, twoWorst = u.averages()
		u.config.Choices = u.servers
		leastTail, leastWorst = u.averages()
		return twoTail, twoWorst, leastTail, leastWorst
	}
	a, b, c, d := without(lasting)
	check("lasting differences in the figure", lasting, a, b, c, d, 0.85, 0.9)
	check("lasting differences only in the times", hidden, a, b, c, d, 0.85, 0.9)
	a, b, c, d = without(same)
	check("no lasting differences between servers", same, a, b, c, d, 1.1, 1.25)
}

// Failure: a deployment without the figure is served differently from before.
func TestChoicesWithoutWorkPercentDoNotDependOnIt(t *testing.T) {
	u := uneven{choosers: 20, servers: 8, slots: 5, work: 50 * time.Millisecond, load: 0.8, duration: 4 * time.Second, change: 200 * time.Millisecond, silent: true, config: DefaultConfig()}
	tail, mean, worst := u.run(1)
	u.config.WorkWeight = 0
	tail2, mean2, worst2 := u.run(1)
	require.Equal(t, []any{tail, mean, worst}, []any{tail2, mean2, worst2})
}

// Failure: an endpoint attracts calls by reporting fast work.
func TestFalseWorkPercentDoesNotAttractCalls(t *testing.T) {
	u := uneven{choosers: 50, servers: 8, slots: 20, work: 50 * time.Millisecond, load: 0.8, duration: 12 * time.Second, change: 200 * time.Millisecond, same: true, config: DefaultConfig()}
	honest, _, _ := u.run(1)
	for name, lie := range map[string]func(time.Duration) uint32{
		"always":     func(time.Duration) uint32 { return 10 },
		"by turns":   func(now time.Duration) uint32 { return []uint32{400, 10}[now/(500*time.Millisecond)%2] },
		"from now":   func(now time.Duration) uint32 { return []uint32{100, 10}[min(now/(6*time.Second), 1)] },
		"impossible": func(time.Duration) uint32 { return 1 },
	} {
		u.lie = lie
		tail, worst, share := u.shareOfFirst(1)
		t.Logf("%s: tail %v, worst %.1f, share of the calls %.2f of an even one; tail without false figures %v", name, tail, worst, share, honest)
		require.Less(t, share, 1.15, name)
		require.Less(t, tail, honest*5/4, name)
	}
}

// shareOfFirst returns the tail, the load of the worst server, and the calls of the
// first server as a multiple of an even share.
func (u uneven) shareOfFirst(seed uint64) (tail time.Duration, worst, share float64) {
	first, all := 0, 0
	u.chosen = func(server int) {
		all++
		if server == 0 {
			first++
		}
	}
	tail, _, worst = u.run(seed)
	return tail, worst, float64(first*u.servers) / float64(all)
}

// Failure: calls spill to an endpoint in another region that has become slow, as if it
// had all of its capacity.
func TestSlowEndpointOfAnotherRegionHasLessHeadroom(t *testing.T) {
	p := newPicker(DefaultConfig(), endpoints("f1", "fukuoka", 1), endpoints("k1", "kyoto", 1))
	report := func(percent, inFlight uint32) {
		p.Begin("k1:0")
		p.Observe(start, "k1:0", Observation{Duration: 20 * time.Millisecond, Report: &Load{InFlight: inFlight, Limit: 10, ServiceTime: 20 * time.Millisecond, WorkPercent: percent}})
	}
	headroom := func(inFlight, percent uint32) bool {
		report(percent, inFlight)
		_, d, err := p.Pick(start, rng(), call, nil)
		require.NoError(t, err)
		for _, x := range d.PassedOver() {
			if x.Skip == SkipNoHeadroom {
				return false
			}
		}
		return true
	}
	for range 100 {
		report(100, 0)
	}
	require.True(t, headroom(5, 100))
	require.False(t, headroom(5, 250))
	require.True(t, headroom(1, 250)) // 0.7 of the limit of 10, divided by 2.5
	require.False(t, headroom(8, 10), "fast work is no spare capacity")
}

// Failure: a report of fast work makes an endpoint look faster than it has been
// measured to be, or one of slow work cancels a measurement that it is slower still.
func TestReportedWorkNeverBeatsMeasuredTimes(t *testing.T) {
	cost := func(took time.Duration, percent uint32) time.Duration {
		p := newPicker(DefaultConfig(), endpoints("f1", "fukuoka", 2))
		for i, report := range []uint32{100, 100, 100, 100, percent} {
			p.Begin("f1:1")
			p.Observe(start.Add(time.Duration(i)*time.Second), "f1:1", Observation{Duration: took, Report: &Load{Limit: 10, ServiceTime: 20 * time.Millisecond, WorkPercent: report}})
		}
		s := p.view.Load().byPeer["f1:1"]
		return time.Duration(s.cost(p.since(start.Add(4*time.Second)), &p.config, float64(20*time.Millisecond), p.gateTime.load()))
	}
	require.Equal(t, 20*time.Millisecond, cost(20*time.Millisecond, 100))
	require.Equal(t, 20*time.Millisecond, cost(20*time.Millisecond, 10))
	require.InDelta(t, 15*time.Millisecond, cost(15*time.Millisecond, 10), float64(time.Microsecond))
	require.Greater(t, cost(20*time.Millisecond, 200), 30*time.Millisecond)
	require.GreaterOrEqual(t, cost(100*time.Millisecond, 10), 99*time.Millisecond)
	require.GreaterOrEqual(t, cost(100*time.Millisecond, 150), 99*time.Millisecond)
}
