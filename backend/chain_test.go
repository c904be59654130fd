package backend_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/backend"
	"wisteriafold/request"
	"wisteriafold/service"
)

// chain is a deployment without network, in virtual time. Trees of an important route
// enter at S1, which calls S2, which calls S3, which calls S4 several times in sequence.
// The least important route goes to S4 directly, with long work. Only S4 is short of
// room. Daemons decide with the code that is in use: gates, choice of endpoint, entry
// control and retry budgets.
type chain struct {
	trees, direct float64 // arrivals per second
	calls         int     // to S4 by each tree
	burst         float64 // factor of the direct arrivals in the burst
	shed          float64 // part of the calls that S4 sheds after the burst
	ranked        bool    // organisations have a rank, which overrides that of the routes
	skew          bool    // the rank of the routes orders trees within the class

	now     time.Time
	start   time.Time
	seq     int
	events  chainEvents
	r       *rand.Rand
	gates   []*chainGate
	daemons []*chainDaemon
	stats   map[string]*chainStats
	retries int         // sent to backend servers of S4
	first   int         // first attempts for S4
	slices  [500][2]int // first attempts and retries in each 100 ms
}

// chainStats counts the requests of one route that began in one phase.
type chainStats struct{ sent, refused, done, failed int }

const (
	calmUntil     = 10 * time.Second
	burstUntil    = 17 * time.Second
	shedUntil     = 25500 * time.Millisecond
	chainUntil    = 30 * time.Second
	gatesOfS4     = 16
	slotsOfS4     = 49
	callersOfS4   = 16 // daemons beside S3
	chainEntries  = 64
	shortWork     = 55 * time.Millisecond
	longWork      = 880 * time.Millisecond
	workAbove     = 40 * time.Millisecond // of S1, S2 and S3 each
	hop           = time.Millisecond
	callTimeout   = 700 * time.Millisecond
	treeTimeout   = 2 * time.Second
	directTimeout = 2500 * time.Millisecond
	retryRatio    = 0.2
	retrySlack    = 20.0
	retryWindow   = 10 * time.Second
)

type chainEvent struct {
	at  time.Time
	seq int
	do  func()
}

type chainEvents []chainEvent

func (e chainEvents) Len() int { return len(e) }
func (e chainEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e chainEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *chainEvents) Push(x any)   { *e = append(*e, x.(chainEvent)) }
func (e *chainEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1].do = nil
	*e = old[:len(old)-1]
	return x
}

func (c *chain) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, chainEvent{c.now.Add(d), c.seq, do})
}

func (c *chain) elapsed() time.Duration { return c.now.Sub(c.start) }

// chainDaemon is a daemon that sends calls to S4, or an entry.
type chainDaemon struct {
	picker *service.Picker
	budget *service.WindowBudget
	entry  map[string]*request.EntryControl
}

// chainGate is one gate of S4.
type chainGate struct {
	c       *chain
	core    *backend.Core
	waiting map[*backend.Ticket]func(*request.Error)
}

func (g *chainGate) apply(events []backend.Event) {
	for _, e := range append([]backend.Event(nil), events...) {
		f := g.waiting[e.Ticket]
		delete(g.waiting, e.Ticket)
		f(e.Refusal)
	}
}

func (g *chainGate) tick() {
	g.apply(g.core.Tick(g.c.now))
	d := 100 * time.Millisecond
	if g.core.Waiting() > 0 {
		d = 5 * time.Millisecond
	}
	if g.c.elapsed() < chainUntil {
		g.c.after(d, g.tick)
	}
}

// enter runs a call. done gets nil when it was answered.
func (g *chainGate) enter(call *request.Call, work time.Duration, arrived func(), done func(*request.Error)) {
	t := &backend.Ticket{Call: call, Weight: 1}
	g.waiting[t] = func(refused *request.Error) {
		if refused != nil {
			done(refused)
			return
		}
		arrived()
		if g.c.inShed() && g.c.r.Float64() < g.c.shed {
			g.c.after(0, func() {
				g.apply(g.core.Finish(g.c.now, t, backend.Result{Shed: true}))
				done(request.NewNotRunError(request.ReasonBackendShed, "shed"))
			})
			return
		}
		took := time.Duration(float64(work) * (0.7 + 0.6*g.c.r.Float64()))
		late := false
		if left := call.Deadline.Sub(g.c.now); took > left {
			took, late = max(left, 0), true
		}
		g.c.after(took, func() {
			g.apply(g.core.Finish(g.c.now, t, backend.Result{Cancelled: late}))
			if late {
				done(request.NewUnknownError(request.ReasonDeadline, "late", nil))
				return
			}
			done(nil)
		})
	}
	g.apply(g.core.Offer(g.c.now, t))
}

// until returns the time after which no request begins.
func (c *chain) until() time.Duration {
	if c.shed == 0 {
		return burstUntil + time.Second
	}
	return chainUntil
}

func (c *chain) inShed() bool { return c.elapsed() >= burstUntil && c.elapsed() < shedUntil }

func (c *chain) phase() string {
	switch t := c.elapsed(); {
	case t < calmUntil/2:
		return "warm-up"
	case t < calmUntil:
		return "calm"
	case t < burstUntil:
		return "burst"
	case t < shedUntil:
		return "shed"
	default:
		return "after"
	}
}

// forward sends a call to S4 as a daemon does, with retries.
func (c *chain) forward(d *chainDaemon, call *request.Call, work time.Duration, progress int32, observe func(request.Priority), done func(*request.Error)) {
	c.first++
	c.slices[c.elapsed()/(100*time.Millisecond)][0]++
	d.budget.Attempt(c.elapsed())
	var tried []string
	sent, refusedForTime := 0, false
	var attempt func()
	attempt = func() {
		ep, _, err := d.picker.Pick(c.now, c.r, call, tried)
		if err != nil {
			done(request.AsError(err))
			return
		}
		d.picker.Begin(ep.Peer)
		began := c.now
		var i int
		_, _ = fmt.Sscanf(ep.Peer, "s4-%d", &i)
		g := c.gates[i]
		c.after(hop, func() {
			g.enter(call, work, func() {
				if sent > 0 {
					c.retries++
					c.slices[c.elapsed()/(100*time.Millisecond)][1]++
				}
			}, func(fail *request.Error) {
				report := &service.Load{Queued: uint32(g.core.Waiting()), InFlight: uint32(g.core.Running()), Limit: uint32(g.core.Limit()), Level: g.core.Level()}
				c.after(hop, func() {
					observe(report.Level)
					o := service.Observation{Result: service.Succeeded, Duration: c.now.Sub(began), Report: report}
					switch {
					case fail != nil && fail.Reason == request.ReasonDeadline && fail.Outcome != request.NotRun:
						o.Result = service.Expired
					case fail != nil:
						o.Result = service.Refused
					}
					d.picker.Observe(c.now, ep.Peer, o)
					if fail == nil {
						done(nil)
						return
					}
					tried = append(tried, ep.Peer)
					if fail.Outcome != request.NotRun || fail.Reason == request.ReasonBackendShed {
						sent++
					}
					if !c.now.Before(call.Deadline) || sent >= 2 || len(tried) > 3 || !c.mayRetry(d, fail, progress, &refusedForTime) {
						done(fail)
						return
					}
					attempt()
				})
			})
		})
	}
	attempt()
}

func (c *chain) mayRetry(d *chainDaemon, fail *request.Error, progress int32, refusedForTime *bool) bool {
	switch {
	case fail.Outcome != request.NotRun:
		return false
	case fail.Reason == request.ReasonDeadline:
		again := !*refusedForTime
		*refusedForTime = true
		return again
	case fail.Reason != request.ReasonBackendShed:
		return true
	}
	return d.budget.WithdrawWithReserve(c.elapsed(), []float64{0.9, 0.5, 0}[min(progress, 2)]) // as in package sidecar
}

func (c *chain) importance(route string) request.Importance {
	switch {
	case c.ranked:
		return request.Normal
	case route == "page":
		return request.High
	default:
		return request.Sheddable
	}
}

// request begins an outside request of a route.
func (c *chain) request(route string) {
	d := c.daemons[c.r.IntN(chainEntries)]
	s := c.stats[c.phase()+" "+route]
	if s == nil {
		s = &chainStats{}
		c.stats[c.phase()+" "+route] = s
	}
	s.sent++
	e := d.entry[route]
	call := request.Call{Tree: request.Tree(c.r.Uint64()), Organisation: fmt.Sprint("o", c.r.IntN(4)), Route: route, Importance: c.importance(route), Idempotent: true}
	if c.skew {
		call.Tree = call.Tree.WithRouteImportance(map[string]request.Importance{"page": request.High, "direct": request.Sheddable}[route], call.Importance)
	}
	if !e.Admit(c.now, &call, 1) {
		s.refused++
		return
	}
	observe := func(level request.Priority) { e.Observe(c.now, request.Feedback{Gate: level}) }
	if route == "direct" {
		call.Deadline = c.now.Add(directTimeout)
		c.forward(d, &call, longWork, 0, observe, s.end)
		return
	}
	deadline := c.now.Add(treeTimeout)
	call.Organisation, call.WorkSpent, call.Route = "", true, "lookup"
	c.after(3*(workAbove+hop), func() { c.tree(d, call, deadline, 0, request.LevelOpen, s, observe) })
}

// end counts the end of an admitted request.
func (s *chainStats) end(fail *request.Error) {
	if fail != nil {
		s.failed++
		return
	}
	s.done++
}

// tree makes the next call of a tree whose run at S3 has had `progress` calls answered.
func (c *chain) tree(_ *chainDaemon, call request.Call, deadline time.Time, progress int32, worst request.Priority, s *chainStats, observe func(request.Priority)) {
	if int(progress) == c.calls {
		observe(worst)
		s.end(nil)
		return
	}
	d := c.daemons[chainEntries+int(uint64(call.Tree)%callersOfS4)]
	next := call
	next.Deadline = c.now.Add(callTimeout)
	if deadline.Before(next.Deadline) {
		next.Deadline = deadline
	}
	c.forward(d, &next, shortWork, progress, func(l request.Priority) { worst = l }, func(fail *request.Error) {
		if fail != nil {
			observe(worst)
			s.end(fail)
			return
		}
		c.tree(d, call, deadline, progress+1, worst, s, observe)
	})
}

func (c *chain) arrivals(route string, rate func() float64) {
	var next func()
	next = func() {
		if c.elapsed() >= c.until() {
			return
		}
		c.request(route)
		c.after(time.Duration(c.r.ExpFloat64()/rate()*float64(time.Second)), next)
	}
	c.after(0, next)
}

func (c *chain) run(seed uint64) {
	c.r = rand.New(rand.NewPCG(seed, 77))
	c.start = time.Unix(1_000_000, 0)
	c.now = c.start
	c.stats = map[string]*chainStats{}
	var eps []service.Endpoint
	for i := range gatesOfS4 {
		g := &chainGate{c: c, core: backend.NewCore(backend.Config{Slots: slotsOfS4, MaxConnections: 200, InitialLimit: slotsOfS4}), waiting: map[*backend.Ticket]func(*request.Error){}}
		c.gates = append(c.gates, g)
		eps = append(eps, service.Endpoint{Peer: fmt.Sprintf("s4-%d", i), DataCentre: "a", Region: "r", Slots: slotsOfS4})
		g.tick()
	}
	saved := max(int(0.6*retrySlack)/(chainEntries+callersOfS4), 2)
	for i := range chainEntries + callersOfS4 {
		d := &chainDaemon{entry: map[string]*request.EntryControl{"page": request.NewEntryControl(request.EntryConfig{}), "direct": request.NewEntryControl(request.EntryConfig{})}}
		d.picker = service.NewPicker(c.start, service.DefaultConfig(), service.Location{Peer: fmt.Sprint("d", i), DataCentre: "a", Region: "r"}, uint64(i))
		d.picker.SetEndpoints(eps)
		d.budget = service.NewWindowBudget(0.68*retryRatio, retryWindow, saved)
		c.daemons = append(c.daemons, d)
	}
	c.arrivals("page", func() float64 { return c.trees })
	c.arrivals("direct", func() float64 {
		if c.elapsed() >= calmUntil && c.elapsed() < burstUntil {
			return c.direct * c.burst
		}
		return c.direct
	})
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(chainEvent)
		c.now = e.at
		e.do()
	}
}

func (c *chain) String() string {
	out := ""
	for _, p := range []string{"calm", "burst", "shed", "after"} {
		for _, r := range []string{"page", "direct"} {
			s := c.stats[p+" "+r]
			if s == nil {
				continue
			}
			out += fmt.Sprintf("  %s %s: %d done %.3f refused %.3f failed %.3f;", p, r, s.sent, float64(s.done)/float64(s.sent), float64(s.refused)/float64(s.sent), float64(s.failed)/float64(s.sent))
		}
		out += "\n"
	}
	return out + fmt.Sprintf("  worst window %.3f retries %d of %d first", c.worstWindow(), c.retries, c.first)
}

// worstWindow returns the most retries, less the slack, in a window as a part of its
// first attempts.
func (c *chain) worstWindow() (worst float64) {
	for i := 100; i < len(c.slices); i++ {
		f, r := 0.0, 0.0
		for _, x := range c.slices[i-100 : i] {
			f += float64(x[0])
			r += float64(x[1])
		}
		worst = max(worst, (r-retrySlack)/max(f, 1))
	}
	return worst
}

func newChain() *chain {
	return &chain{trees: 1500, direct: 250, calls: 4, burst: 2.6, shed: 0.55}
}

// part returns the part of the requests of a route that began in a phase that were done,
// refused or failed.
func (c *chain) part(phase, route string) (done, refused, failed float64) {
	s := c.stats[phase+" "+route]
	n := float64(s.sent)
	return float64(s.done) / n, float64(s.refused) / n, float64(s.failed) / n
}

func runChain(t *testing.T, c *chain) *chain {
	t.Helper()
	c.run(1)
	t.Logf("\n%v", c)
	return c
}

// Pattern: a burst of long calls of the least important route meets the short calls of
// important trees at a narrow service. Most of the calls are short, but most of the work
// is in the long ones. An admission level that counts calls refuses important trees, and
// swings between too much and far too little load.
func TestBurstOfLongUnimportantCallsLeavesImportantTreesAlone(t *testing.T) {
	for _, burst := range []float64{2.3, 2.6} {
		c := newChain()
		c.burst, c.shed = burst, 0
		runChain(t, c)
		page, _, _ := c.part("burst", "page")
		direct, _, _ := c.part("burst", "direct")
		room := slotsOfS4*gatesOfS4 - c.trees*float64(c.calls)*shortWork.Seconds()
		fits := min(1, room/(c.direct*burst*longWork.Seconds()))
		require.Greater(t, page, 0.99, "burst %v", burst)
		require.Greater(t, direct, 0.85*fits, "burst %v: %.2f of the calls fit beside the trees", burst, fits)
	}
}

// Pattern: all backend servers of a deep service shed a large part of their calls for
// several seconds, whatever their load. While the gates find out that a lower limit does
// not help, their admission level rises, and the entries refuse requests that would have
// had a chance.
func TestShedsAtAnyLoadDoNotShutTheEntries(t *testing.T) {
	c := newChain()
	c.burst = 1
	runChain(t, c)
	_, pages, _ := c.part("shed", "page")
	_, directs, _ := c.part("shed", "direct")
	require.Less(t, pages, 0.13)
	require.Less(t, directs, 0.25)
	require.Less(t, c.worstWindow(), retryRatio)
}

// Pattern: important trees that call a narrow service several times are in one class with
// a burst of single calls to it. Held to the tightest of the gates that they meet, they
// are refused twice as often.
func TestTreesAreRefusedNoMoreThanSingleCallsOfTheirClass(t *testing.T) {
	c := newChain()
	c.ranked, c.shed = true, 0
	runChain(t, c)
	_, page, _ := c.part("burst", "page")
	_, direct, _ := c.part("burst", "direct")
	require.Less(t, page, 1.2*direct)
}

// Pattern: organisations have ranks, so that important trees and a burst of the least
// important route are in one class. A tree needs room four times, and the burst is served
// better than the trees.
func TestRankOfRouteProtectsTreesWithinTheClassOfTheirOrganisation(t *testing.T) {
	c := newChain()
	c.ranked, c.skew, c.shed = true, true, 0
	runChain(t, c)
	page, _, _ := c.part("burst", "page")
	direct, _, _ := c.part("burst", "direct")
	require.Greater(t, page, 0.88)
	require.Greater(t, direct, 0.25*page, "no kind of request is shut out")
}
