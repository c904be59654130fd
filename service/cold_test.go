package service

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wisteriafold/backend"
	"wisteriafold/request"
)

const (
	coldRate      = 14
	coldOvershoot = 1.5
	coldSlack     = 8
)

// coldWorld is one backend server that is cold from time to time, its gate, and the
// daemons that choose between it and a warm one.
type coldWorld struct {
	now      time.Time
	rng      *rand.Rand
	core     *backend.Core
	pickers  []*Picker
	running  []*backend.Ticket
	calls    map[*backend.Ticket]int // picker
	sentAt   map[*backend.Ticket]time.Time
	answers  map[*backend.Ticket]*said // written, and not arrived
	sends    []time.Time               // calls sent to the backend server
	worst    int                       // calls in the busiest second while it was cold and had told so
	until    time.Time                 // true end of the coldness
	told     bool                      // the present coldness has been told
	underway *said                     // heartbeat that was sent and has not arrived
}

// said is a word of the backend server on its way: how much longer it is cold, and the
// coldness that this is about.
type said struct{ left, until time.Duration }

func (w *coldWorld) say() *said { return &said{left: w.left(), until: w.until.Sub(start)} }

// hear notes that a word about the present coldness has arrived.
func (w *coldWorld) hear(s *said) {
	w.told = w.told || w.cold() && s.until == w.until.Sub(start) && s.left > 0
}

const coldPeer = "f1:0"

func newColdWorld(seed uint64, choosers int) *coldWorld {
	w := &coldWorld{now: start, rng: rand.New(rand.NewPCG(seed, 1)), calls: map[*backend.Ticket]int{}, sentAt: map[*backend.Ticket]time.Time{}, answers: map[*backend.Ticket]*said{}}
	w.restartDaemon()
	for range choosers {
		eps := endpoints("f1", "fukuoka", 2)
		for i := range eps {
			eps[i].ColdShare = coldRate / float64(choosers)
		}
		p := NewPicker(start, DefaultConfig(), here, w.rng.Uint64())
		p.SetEndpoints(eps)
		w.pickers = append(w.pickers, p)
	}
	return w
}

func (w *coldWorld) cold() bool { return w.now.Before(w.until) }

// left returns how much longer the backend server is cold.
func (w *coldWorld) left() time.Duration { return max(0, w.until.Sub(w.now)) }

// restartDaemon replaces the daemon of the backend server. Its running calls go on.
func (w *coldWorld) restartDaemon() {
	w.core = backend.NewCore(backend.Config{Slots: 64, InitialLimit: 64})
	w.core.ConfigureCold(w.now, backend.ColdConfig{Rate: coldRate})
	w.running, w.underway = nil, nil
	w.told = true // it takes the backend server for cold until it hears otherwise
}

func (w *coldWorld) deliver(events []backend.Event) {
	for _, e := range events {
		p := w.pickers[w.calls[e.Ticket]]
		r := &Load{InFlight: uint32(w.core.Running()), Limit: 64, Cold: w.core.ColdState(w.now).Remaining}
		if e.Refusal != nil {
			delete(w.calls, e.Ticket)
			result := Refused
			if e.Refusal.Reason == request.ReasonCold {
				result = RefusedCold
			}
			p.Observe(w.now, coldPeer, Observation{Result: result, Report: r, Draw: w.rng.Float64()})
			continue
		}
		w.running = append(w.running, e.Ticket)
		w.sends, w.sentAt[e.Ticket] = append(w.sends, w.now), w.now
		if w.cold() && w.told {
			w.count()
		}
	}
}

// count updates worst with the second that ends now.
func (w *coldWorld) count() {
	n := 0
	for i := len(w.sends) - 1; i >= 0 && w.now.Sub(w.sends[i]) <= time.Second; i-- {
		n++
	}
	w.worst = max(w.worst, n)
}

// offer lets a chooser send a call, wherever it goes.
func (w *coldWorld) offer(i int) {
	ep, _, err := w.pickers[i].Pick(w.now, w.rng, call, nil)
	if err != nil {
		return
	}
	w.pickers[i].Begin(ep.Peer)
	if ep.Peer != coldPeer {
		w.pickers[i].Observe(w.now, ep.Peer, Observation{Result: Succeeded, Duration: 20 * time.Millisecond, Report: &Load{Limit: 64}})
		return
	}
	w.toGate(i)
}

// toGate sends a call to the gate.
func (w *coldWorld) toGate(i int) {
	c := *call
	c.Deadline = w.now.Add(time.Second)
	t := &backend.Ticket{Call: &c, Weight: 1}
	w.calls[t] = i
	w.deliver(w.core.Offer(w.now, t))
}

// write writes the answer of a call, which carries the coldness.
func (w *coldWorld) write(k int) {
	if t := w.running[k]; w.answers[t] == nil {
		w.answers[t] = w.say()
	}
}

// arrive ends a call, whose answer was written now or earlier.
func (w *coldWorld) arrive(k int) {
	w.write(k)
	t := w.running[k]
	s := w.answers[t]
	w.running = append(w.running[:k:k], w.running[k+1:]...)
	w.deliver(w.core.HearCold(w.now, backend.ColdWord{Source: backend.ColdAnswer, Remaining: s.left, AskedAt: w.sentAt[t]}))
	w.hear(s)
	w.deliver(w.core.Finish(w.now, t, backend.Result{Latency: time.Millisecond}))
	if i, ok := w.calls[t]; ok {
		w.pickers[i].Observe(w.now, coldPeer, Observation{Result: Succeeded, Duration: time.Millisecond, Report: &Load{Limit: 64, Cold: w.core.ColdState(w.now).Remaining}})
		delete(w.calls, t)
	}
}

// heartbeat delivers the heartbeat that is under way and sends another.
func (w *coldWorld) heartbeat() {
	if w.underway != nil {
		w.deliver(w.core.HearCold(w.now, backend.ColdWord{Source: backend.ColdHeartbeat, Remaining: w.underway.left}))
		w.hear(w.underway)
	}
	w.underway = w.say()
}

// chill makes the backend server cold, unknown to its daemon unless the connections
// were refused meanwhile.
func (w *coldWorld) chill(restarted bool) {
	w.until, w.told = w.now.Add(3*time.Second), false
	if restarted {
		w.running = nil
		w.deliver(w.core.SuspectCold(w.now, backend.ColdRefused))
		w.told = true
	}
}

// The bound is broken if a coldness is ended by a late word, if a daemon that starts
// sends at once, or if the second is counted on a grid.
func TestColdBackendServerIsNeverSentMoreThanItsRate(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newColdWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "choosers"))
		index := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
		step := func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			w.deliver(w.core.Tick(w.now))
		}
		burst := func(t *rapid.T) {
			for range rapid.IntRange(1, 60).Draw(t, "n") {
				w.offer(w.rng.IntN(len(w.pickers)))
			}
		}
		flood := func(t *rapid.T) { // of choosers that do not know
			for range rapid.IntRange(1, 60).Draw(t, "n") {
				w.toGate(w.rng.IntN(len(w.pickers)))
			}
		}
		withRunning := func(f func(int)) func(*rapid.T) {
			return func(t *rapid.T) {
				for range min(rapid.IntRange(1, 32).Draw(t, "n"), len(w.running)) {
					f(index(len(w.running)))
				}
			}
		}
		actions := []func(*rapid.T){
			burst, flood, flood, flood, step, step, step, step,
			withRunning(w.write), withRunning(w.arrive), withRunning(w.arrive),
			func(*rapid.T) { w.heartbeat() },
			func(t *rapid.T) {
				switch rapid.IntRange(0, 5).Draw(t, "rare") {
				case 0:
					w.restartDaemon()
				case 1:
					w.chill(true)
				default:
					w.chill(false)
				}
			},
		}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")(t)
		}
		total += w.worst
		require.LessOrEqual(t, w.worst, coldRate, "the gate alone keeps the rate")
		require.LessOrEqual(t, w.worst, int(coldRate*coldOvershoot+coldSlack))
	})
	require.Positive(t, total, "no run sent anything to a cold backend server")
}

// Without shares the daemons together would offer far more than the gate admits; with
// shares that start at the same time, all first calls would arrive in one burst.
func TestChoosersTogetherOfferColdEndpointAboutItsRate(t *testing.T) {
	const choosers = 50
	w := newColdWorld(1, choosers)
	for _, p := range w.pickers {
		eps := endpoints("f1", "fukuoka", 4)
		for i := range eps {
			eps[i].ColdShare = coldRate / float64(choosers)
		}
		eps[0].ColdUntil = start.Add(10 * time.Second)
		p.SetEndpoints(eps)
	}
	offered := make([]int, 10)
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		p := w.pickers[ms%choosers]
		ep, _, err := p.Pick(now, w.rng, call, nil)
		require.NoError(t, err)
		if ep.Peer == coldPeer {
			offered[ms/1000]++
		}
	}
	for _, n := range offered {
		require.LessOrEqual(t, n, coldRate*3/2, "flooded: %v", offered)
	}
	sum := 0
	for _, n := range offered {
		sum += n
	}
	require.Greater(t, sum, 10*coldRate/2, "left idle: %v", offered)
}

func TestOnlyColdEndpointsAreUsedBeyondTheShare(t *testing.T) {
	p, r := NewPicker(start, DefaultConfig(), here, 1), rng()
	eps := endpoints("f1", "fukuoka", 2)
	for i := range eps {
		eps[i].ColdShare, eps[i].ColdUntil = 0.01, start.Add(3*time.Second)
	}
	p.SetEndpoints(eps)
	for i := range 2 {
		ep, _, err := p.Pick(start, r, call, nil)
		require.NoError(t, err, "left idle although its gate may have room")
		p.Begin(ep.Peer)
		p.SetEndpoints(eps) // an update of the directory
		require.Equal(t, int64(1), p.view.Load().byPeer[ep.Peer].inFlight.Load(), "calls in flight are forgotten")
		p.Observe(start, ep.Peer, Observation{Result: RefusedCold, Draw: 0.9, Report: &Load{Cold: 3 * time.Second}})
		require.Zero(t, p.view.Load().byPeer[ep.Peer].loss.load(), fmt.Sprint("refusal ", i, " counts against the endpoint"))
	}
	_, _, err := p.Pick(start, r, call, nil)
	require.Equal(t, request.ReasonCold, request.AsError(err).Reason)
	require.Positive(t, request.AsError(err).RetryAfter)
	_, _, err = p.Pick(start.Add(time.Second), r, call, nil)
	require.NoError(t, err)
}

// The answers of a cold endpoint contain the wait at its gate, up to half a second.
func TestEndpointIsNotLeftIdleAfterItsColdness(t *testing.T) {
	p, r := NewPicker(start, DefaultConfig(), here, 1), rng()
	eps := endpoints("f1", "fukuoka", 2)
	for i := range eps {
		eps[i].ColdShare = 5
	}
	p.SetEndpoints(eps)
	toCold := 0
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		ep, _, err := p.Pick(now, r, call, nil)
		require.NoError(t, err)
		p.Begin(ep.Peer)
		o := Observation{Result: Succeeded, Duration: 5 * time.Millisecond, Report: &Load{Limit: 10}}
		if ep.Peer == coldPeer && ms < 3000 {
			o.Duration, o.Report.Cold = 500*time.Millisecond, time.Duration(3000-ms)*time.Millisecond
		} else if ep.Peer == coldPeer {
			toCold++
		}
		p.Observe(now, ep.Peer, o)
	}
	require.Greater(t, toCold, 250, "got less than half of an even share of 1000 calls")
}
