package backend

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"wisteriafold/request"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// coreMachine drives a core with random events and checks that every ticket gets
// exactly one decision and that no bound is exceeded.
type coreMachine struct {
	core      *Core
	cfg       Config
	now       time.Time
	running   []*Ticket
	decisions map[*Ticket]string // "", "ran", "refused"
	drained   bool
}

func (m *coreMachine) record(t *rapid.T, events []Event) {
	for _, e := range events {
		require.Empty(t, m.decisions[e.Ticket], "a ticket got a second decision")
		if e.Refusal != nil {
			require.Equal(t, request.NotRun, e.Refusal.Outcome)
			m.decisions[e.Ticket] = "refused"
			continue
		}
		m.decisions[e.Ticket] = "ran"
		m.running = append(m.running, e.Ticket)
	}
}

func (m *coreMachine) offer(t *rapid.T) {
	k := &Ticket{Weight: rapid.Float64Range(0, 10).Draw(t, "weight"), Call: &request.Call{
		Organisation: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "org"),
		Importance:   request.Importance(rapid.IntRange(0, request.Classes-1).Draw(t, "class")),
		Tree:         request.Tree(rapid.Uint64().Draw(t, "tree")),
		WorkSpent:    rapid.Bool().Draw(t, "spent"),
		Deadline:     m.now.Add(time.Duration(rapid.IntRange(-1, 500).Draw(t, "due")) * time.Millisecond),
	}}
	m.decisions[k] = ""
	m.record(t, m.core.Offer(m.now, k))
	if m.drained {
		require.Equal(t, "refused", m.decisions[k])
	}
}

func (m *coreMachine) finish(t *rapid.T, cancel bool) {
	if len(m.running) == 0 {
		t.Skip("no call is running")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	k := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	if cancel {
		m.record(t, m.core.Cancel(m.now, k))
		return
	}
	m.record(t, m.core.Finish(m.now, k, Result{
		Shed:      rapid.IntRange(0, 4).Draw(t, "shed") == 0,
		Failed:    rapid.Bool().Draw(t, "failed"),
		Cancelled: rapid.Bool().Draw(t, "cancelled"),
	}))
}

func (m *coreMachine) check(t *rapid.T) {
	require.Equal(t, len(m.running), m.core.Running())
	require.LessOrEqual(t, m.core.Running(), min(m.cfg.Slots, m.cfg.MaxConnections))
	require.GreaterOrEqual(t, m.core.Limit(), 1)
	require.LessOrEqual(t, m.core.Waiting(), m.cfg.MaxQueue)
	waiting := 0
	for _, f := range m.decisions {
		if f == "" {
			waiting++
		}
	}
	require.Equal(t, waiting, m.core.Waiting())
	if waiting > 0 {
		require.GreaterOrEqual(t, m.core.Running(), m.core.Limit(), "a call waits although fewer calls run than the limit allows")
	}
}

func TestEveryTicketGetsOneDecisionAndNoBoundIsExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Slots:          rapid.IntRange(1, 12).Draw(t, "slots"),
			MaxConnections: rapid.IntRange(1, 12).Draw(t, "connections"),
			MaxQueue:       rapid.IntRange(1, 10).Draw(t, "queue"),
		}
		m := &coreMachine{core: NewCore(cfg), cfg: cfg, now: epoch, decisions: map[*Ticket]string{}}
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"offer":  m.offer,
			"burst":  func(t *rapid.T) { m.offer(t); m.offer(t); m.offer(t) },
			"finish": func(t *rapid.T) { m.finish(t, false) },
			"cancel": func(t *rapid.T) { m.finish(t, true) },
			"leave": func(t *rapid.T) {
				for k, f := range m.decisions {
					if f == "" {
						m.record(t, m.core.Cancel(m.now, k))
						require.Equal(t, "refused", m.decisions[k])
						return
					}
				}
			},
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				m.record(t, m.core.Tick(m.now))
			},
			"evict": func(t *rapid.T) {
				m.record(t, m.core.Evict(m.now, func(c *request.Call) bool { return c.Organisation == "a" }, errDraining))
			},
			"hint": func(t *rapid.T) { m.core.SetHint(Hint{Unhealthy: true, At: m.now}); m.record(t, m.core.Tick(m.now)) },
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
					m.core.Drain()
					m.drained = true
				}
			},
		})
		for len(m.running) > 0 {
			k := m.running[0]
			m.running = m.running[1:]
			m.record(t, m.core.Finish(m.now, k, Result{Latency: time.Millisecond}))
		}
		for _, f := range m.decisions {
			require.NotEmpty(t, f, "a ticket got no decision")
		}
	})
}

func TestNoOrganisationStarvesInItsClass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		orgs := rapid.IntRange(2, 6).Draw(t, "organisations")
		weights := make([]float64, orgs)
		total, least := 0.0, 10.0
		for i := range weights {
			weights[i] = float64(rapid.IntRange(1, 8).Draw(t, "weight"))
			total += weights[i]
			least = min(least, weights[i])
		}
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		q := new(queue)
		push := func(i int) {
			q.push(&Ticket{Weight: weights[i], priority: request.Priority(r.Uint32N(1 << 16)), Call: &request.Call{Organisation: fmt.Sprint(i)}})
		}
		for i := range orgs {
			push(i)
			push(i)
		}
		got := make([]float64, orgs)
		const turns = 400
		for range turns {
			k := q.pop()
			var i int
			_, err := fmt.Sscan(k.Call.Organisation, &i)
			require.NoError(t, err)
			got[i]++
			push(i)
		}
		for i, n := range got {
			require.InDelta(t, turns*weights[i]/total, n, 1+weights[i]/least, "organisation %d of weights %v", i, weights)
		}
	})
}

func TestFullGatesEvictTheSameTreesInAnyArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trees := rapid.SliceOfNDistinct(rapid.Uint64Range(0, 1<<16-1), 30, 30, rapid.ID).Draw(t, "trees")
		survivors := func(order []uint64) []uint64 {
			c := NewCore(Config{Slots: 1, InitialLimit: 1, MaxQueue: 10})
			alive := map[uint64]bool{}
			c.Offer(epoch, &Ticket{Call: &request.Call{Importance: request.Critical, Deadline: epoch.Add(time.Minute)}})
			for _, h := range order {
				alive[h] = true
				for _, e := range c.Offer(epoch, &Ticket{Call: &request.Call{
					Tree: request.Tree(h << 48), WorkSpent: true, Deadline: epoch.Add(time.Minute),
				}}) {
					delete(alive, uint64(e.Ticket.Call.Tree)>>48)
				}
			}
			var out []uint64
			for h := range alive {
				out = append(out, h)
			}
			slices.Sort(out)
			return out
		}
		other := rapid.Permutation(trees).Draw(t, "other order")
		best := slices.Clone(trees)
		slices.Sort(best)
		require.Equal(t, best[20:], survivors(trees))
		require.Equal(t, best[20:], survivors(other))
	})
}
