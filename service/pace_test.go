package service

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/backend"
)

const (
	paceSlots    = 16
	paceWork     = 50 * time.Millisecond
	paceColdFor  = 3 * time.Second
	paceFactor   = 5.0 // of the service time right after a start
	paceDeadline = time.Second
	paceChoosers = 16
	paceWindow   = 250 * time.Millisecond // of the figures
)

// paceServer is a backend server that is slow after its start. Beyond its capacity,
// which is lower meanwhile, it sheds; beyond twice its capacity it crashes.
type paceServer struct {
	core    *backend.Core
	started time.Time
	downTo  time.Time
	running map[*backend.Ticket]time.Time // end
	slow    float64                       // further factor on the service time, of a slow callee

	sheds, crashes int
	perWindow      []float64 // calls sent to it in each window
	share          []float64 // calls that were its share
}

func (s *paceServer) factor(now time.Time) float64 {
	left := 1 - float64(now.Sub(s.started))/float64(paceColdFor)
	return 1 + (paceFactor-1)*max(0, left)
}

func (s *paceServer) capacity(now time.Time) float64 { return paceSlots / s.factor(now) }

type paceWorld struct {
	now      time.Time
	rng      *rand.Rand
	servers  []*paceServer
	pickers  []*Picker
	at       map[*backend.Ticket]paceCall
	paced    bool
	perTick  float64
	answered int
	began    time.Time
	seq      int
	watched  int // server that is measured
	failed   int
}

type paceCall struct {
	chooser, server int
	seq             int
	sent, deadline  time.Time
	tried           []string
}

// newPaceWorld returns a world of n endpoints that have been warm for long, and load for
// the given part of their capacity.
func newPaceWorld(seed uint64, n int, load float64, paced bool) *paceWorld {
	w := &paceWorld{now: start, rng: rand.New(rand.NewPCG(seed, 7)), at: map[*backend.Ticket]paceCall{}, paced: paced}
	w.perTick = load * float64(n) * paceSlots / float64(paceWork/time.Millisecond)
	for range paceChoosers {
		w.pickers = append(w.pickers, NewPicker(start, DefaultConfig(), here, w.rng.Uint64()))
	}
	for range n {
		w.add(start.Add(-time.Hour))
	}
	w.announce()
	return w
}

func (w *paceWorld) add(started time.Time) *paceServer {
	s := &paceServer{started: started, running: map[*backend.Ticket]time.Time{}, slow: 1}
	s.core = backend.NewCore(backend.Config{Slots: paceSlots, InitialLimit: paceSlots})
	if w.paced {
		s.core.ConfigureCold(w.now, backend.ColdConfig{Pace: paceColdFor})
		if started.Equal(w.now) {
			s.core.BeginPace(w.now)
		}
	}
	w.servers = append(w.servers, s)
	return s
}

func (w *paceWorld) announce() {
	eps := endpoints("f1", "fukuoka", len(w.servers))
	for i := range eps {
		eps[i].Slots = paceSlots
		eps[i].Incarnation = uint64(w.servers[i].started.UnixMilli())
		if w.paced {
			eps[i].SlowStart = paceColdFor
		}
	}
	for _, p := range w.pickers {
		p.SetEndpoints(eps)
	}
}

// restart starts the backend server anew. Its gate and the choosers hear of it by the
// heartbeat.
func (w *paceWorld) restart(i int) {
	s := w.servers[i]
	w.endAll(s, Succeeded, backend.Result{}) // it has drained
	s.started = w.now
	s.core.BeginPace(w.now)
	s.core.Restart()
	w.announce()
}

func (w *paceWorld) crash(i int) {
	s := w.servers[i]
	s.crashes++
	s.downTo = w.now.Add(time.Second)
	w.endAll(s, Failed, backend.Result{Failed: true})
}

// endAll ends the running calls of a server.
func (w *paceWorld) endAll(s *paceServer, r Result, res backend.Result) {
	for _, t := range w.sort(slices.Collect(maps.Keys(s.running))) {
		delete(s.running, t)
		w.end(t, r, res)
	}
}

// sort puts tickets in the order in which they were sent.
func (w *paceWorld) sort(all []*backend.Ticket) []*backend.Ticket {
	slices.SortFunc(all, func(a, b *backend.Ticket) int { return w.at[a].seq - w.at[b].seq })
	return all
}

func (w *paceWorld) end(t *backend.Ticket, r Result, res backend.Result) {
	c := w.at[t]
	s := w.servers[c.server]
	w.deliver(c.server, s.core.Finish(w.now, t, res))
	w.observe(t, r)
	switch {
	case r == Succeeded && !w.now.After(c.deadline):
		w.answered++
	default:
		w.failed++
	}
}

func (w *paceWorld) observe(t *backend.Ticket, r Result) {
	c := w.at[t]
	delete(w.at, t)
	core := w.servers[c.server].core
	rep := &Load{InFlight: uint32(core.Running()), Queued: uint32(core.Waiting()), Limit: uint32(core.Limit()), ServiceTime: core.ServiceTime()}
	w.pickers[c.chooser].Observe(w.now, fmt.Sprintf("f1:%d", c.server), Observation{Result: r, Duration: w.now.Sub(c.sent), Report: rep})
}

func (w *paceWorld) deliver(i int, events []backend.Event) {
	s := w.servers[i]
	for _, e := range append([]backend.Event(nil), events...) {
		if e.Refusal != nil {
			c := w.at[e.Ticket]
			w.observe(e.Ticket, Refused)
			w.send(c.chooser, c.deadline, append(c.tried, fmt.Sprintf("f1:%d", i)))
			continue
		}
		if len(s.perWindow) > 0 {
			s.perWindow[len(s.perWindow)-1]++
		}
		if w.now.Before(s.downTo) {
			s.running[e.Ticket] = w.now // refused connection
			continue
		}
		if n := float64(len(s.running)); n >= 2*s.capacity(w.now) {
			s.running[e.Ticket] = w.now.Add(time.Hour)
			w.crash(i)
			continue
		} else if n >= s.capacity(w.now) {
			s.sheds++
			s.running[e.Ticket] = time.Time{} // shed at the next tick
			continue
		}
		work := float64(paceWork) * s.factor(w.now) * s.slow * (0.7 + 0.6*w.rng.Float64())
		s.running[e.Ticket] = w.now.Add(time.Duration(work))
	}
}

func (w *paceWorld) send(chooser int, deadline time.Time, tried []string) {
	if len(tried) > 3 {
		w.failed++
		return
	}
	ep, _, err := w.pickers[chooser].Pick(w.now, w.rng, call, tried)
	if err != nil {
		w.failed++
		return
	}
	w.pickers[chooser].Begin(ep.Peer)
	var i int
	_, _ = fmt.Sscanf(ep.Peer, "f1:%d", &i)
	c := *call
	c.Deadline = deadline
	t := &backend.Ticket{Call: &c, Weight: 1}
	w.seq++
	w.at[t] = paceCall{chooser, i, w.seq, w.now, deadline, tried}
	w.deliver(i, w.servers[i].core.Offer(w.now, t))
}

// run plays the load for some time.
func (w *paceWorld) run(d time.Duration) {
	for ms := range int(d / time.Millisecond) {
		w.now = w.now.Add(time.Millisecond)
		for i, s := range w.servers {
			if ms%int(paceWindow/time.Millisecond) == 0 {
				s.perWindow, s.share = append(s.perWindow, 0), append(s.share, 0)
			}
			w.tick(i, s)
		}
		n := int(w.perTick)
		if w.rng.Float64() < w.perTick-float64(n) {
			n++
		}
		for range n {
			w.send(w.rng.IntN(paceChoosers), w.now.Add(paceDeadline), nil)
		}
	}
}

func (w *paceWorld) tick(i int, s *paceServer) {
	w.deliver(i, s.core.Tick(w.now))
	if !s.downTo.IsZero() && !w.now.Before(s.downTo) {
		w.endAll(s, Failed, backend.Result{Failed: true}) // refused connections
		s.downTo = time.Time{}
		w.restart(i)
	}
	var ended []*backend.Ticket
	for t, at := range s.running {
		if !w.now.Before(at) {
			ended = append(ended, t)
		}
	}
	w.sort(ended)
	for _, t := range ended {
		at, ok := s.running[t]
		if !ok {
			continue // the server has crashed meanwhile
		}
		delete(s.running, t)
		switch {
		case at.IsZero():
			c := w.at[t]
			w.deliver(i, s.core.Finish(w.now, t, backend.Result{Shed: true, Latency: time.Millisecond}))
			w.observe(t, Refused)
			w.send(c.chooser, c.deadline, append(c.tried, fmt.Sprintf("f1:%d", i)))
		case !s.downTo.IsZero():
			w.end(t, Failed, backend.Result{Failed: true})
		default:
			w.end(t, Succeeded, backend.Result{})
		}
	}
	if w.now.Before(s.downTo) || len(s.share) == 0 {
		return
	}
	// Its calls take f times as long, and it takes an f-th of the usual concurrency. Its
	// share is the f*f-th part of an even one.
	f := s.factor(w.now)
	s.share[len(s.share)-1] += w.perTick / float64(len(w.servers)) / (f * f)
}

// paceResult is what a scenario did to the watched backend server.
type paceResult struct {
	flooded     float64 // calls that it shed, and crashes
	crashes     float64 // among them
	idleCold    float64 // part of its share that it did not get while it was slow
	idleWarm    float64 // the same, from half a second after that
	oscillation float64 // mean change of the calls from one window to the next as a part of the mean, while warm
	noise       float64 // the same of calls that arrive at random at the same rate
	failed      float64 // part of all requests of all callers
}

func (w *paceWorld) result() paceResult {
	s := w.servers[w.watched]
	cold := int(s.started.Add(paceColdFor).Sub(w.began) / paceWindow)
	cold = max(cold, 1)
	r := paceResult{flooded: float64(s.sheds + s.crashes), crashes: float64(s.crashes), failed: float64(w.failed) / float64(w.failed+w.answered)}
	r.idleCold = 1 - sumOf(s.perWindow[:cold])/sumOf(s.share[:cold])
	warm := s.perWindow[cold+2:]
	r.idleWarm = 1 - sumOf(warm)/sumOf(s.share[cold+2:])
	r.noise = 2 / math.Sqrt(math.Pi*sumOf(warm)/float64(len(warm)))
	for i, n := range warm[1:] {
		r.oscillation += max(n-warm[i], warm[i]-n) / sumOf(warm)
	}
	return r
}

func sumOf(all []float64) (sum float64) {
	for _, x := range all {
		sum += x
	}
	return sum
}

func (w *paceWorld) forget() {
	w.answered, w.failed, w.began = 0, 0, w.now
	for _, s := range w.servers {
		s.sheds, s.crashes, s.perWindow, s.share = 0, 0, nil, nil
	}
}

// wholeService is the case without a warm backend server: some requests fail in any case.
const wholeService = "whole service starts"

var paceScenarios = map[string]func(w *paceWorld){
	"1 of 4 starts": func(w *paceWorld) { w.restart(0); w.run(8 * time.Second) },
	wholeService: func(w *paceWorld) {
		for i := range w.servers {
			w.restart(i)
		}
		w.run(8 * time.Second)
	},
	"crash": func(w *paceWorld) { w.crash(0); w.run(8 * time.Second) },
	"4 added": func(w *paceWorld) {
		for range 4 {
			w.add(w.now)
		}
		w.watched = 4
		w.announce()
		w.run(8 * time.Second)
	},
	"slow callee": func(w *paceWorld) {
		for _, s := range w.servers {
			s.slow = 1.5
		}
		w.run(8 * time.Second)
	},
	"start while callee is slow": func(w *paceWorld) {
		for _, s := range w.servers {
			s.slow = 1.5
		}
		w.run(3 * time.Second)
		w.forget()
		w.restart(0)
		w.run(8 * time.Second)
	},
	"start and slow callee": func(w *paceWorld) {
		for _, s := range w.servers {
			s.slow = 1.5
		}
		w.restart(0)
		w.run(8 * time.Second)
	},
}

// Without a pace, the backend server that starts sheds calls beyond what it can take while
// it is slow. With a low limit alone, choosers that judge it by its long answers and old
// reports leave it idle when it is warm again.
func TestStartingBackendIsNeitherFloodedNorLeftIdleNorOscillates(t *testing.T) {
	for name := range paceScenarios {
		t.Run(name, func(t *testing.T) {
			before, r := playPace(name, false), playPace(name, true)
			t.Logf("without pace: %+v", before)
			t.Logf("with pace:    %+v", r)
			require.Less(t, r.flooded-r.crashes, 1.0, "flooded: it shed a call and more per start")
			require.LessOrEqual(t, r.crashes, before.crashes, "flooded: it crashed")
			require.Less(t, r.idleCold, 0.5, "left idle while it is slow: less than half of its share")
			require.Less(t, r.idleWarm, 0.1, "left idle although it is warm")
			require.Less(t, r.oscillation, 1.5*r.noise, "oscillating")
			require.Greater(t, 1-r.failed, 0.9*(1-before.failed), "requests of callers fail instead: a whole service is held back")
			if name != wholeService {
				require.Less(t, r.failed, before.failed+0.01, "requests of callers fail instead")
			}
			if name == "slow callee" {
				require.Equal(t, before, r, "a slow callee looks like a cold backend server")
			}
		})
	}
}

// playPace returns the mean result of a scenario over several seeds.
func playPace(name string, paced bool) (mean paceResult) {
	const seeds = 4
	for seed := range uint64(seeds) {
		w := newPaceWorld(seed, 4, 0.5, paced)
		w.run(3 * time.Second)
		w.forget()
		paceScenarios[name](w)
		r := w.result()
		mean.flooded += r.flooded / seeds
		mean.crashes += r.crashes / seeds
		mean.idleCold += r.idleCold / seeds
		mean.idleWarm += r.idleWarm / seeds
		mean.oscillation += r.oscillation / seeds
		mean.noise += r.noise / seeds
		mean.failed += r.failed / seeds
	}
	return mean
}
