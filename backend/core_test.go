package backend

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/request"
)

// epoch is the start of the virtual time of tests.
var epoch = time.Unix(1_000_000, 0)

// script drives a core with a virtual clock and records its decisions.
type script struct {
	t       *testing.T
	core    *Core
	now     time.Time
	tickets map[string]*Ticket
	started []string
	refused map[string]request.Reason
}

func newScript(t *testing.T, cfg Config) *script {
	return &script{
		t: t, core: NewCore(cfg), now: epoch,
		tickets: map[string]*Ticket{}, refused: map[string]request.Reason{},
	}
}

func (s *script) record(events []Event) {
	for _, e := range events {
		id := e.Ticket.Call.ID
		if e.Refusal != nil {
			require.Equal(s.t, request.NotRun, e.Refusal.Outcome)
			s.refused[id] = e.Refusal.Reason
			continue
		}
		s.started = append(s.started, id)
	}
}

func (s *script) offer(id string, options ...func(*Ticket)) {
	t := &Ticket{Weight: 1, Call: &request.Call{
		ID: id, Organisation: "o", Importance: request.Normal, Deadline: s.now.Add(10 * time.Second),
	}}
	for _, c := range options {
		c(t)
	}
	s.tickets[id] = t
	s.record(s.core.Offer(s.now, t))
}

func (s *script) finish(id string, r Result) { s.record(s.core.Finish(s.now, s.tickets[id], r)) }
func (s *script) advance(d time.Duration)    { s.now = s.now.Add(d); s.record(s.core.Tick(s.now)) }

func withImportance(i request.Importance) func(*Ticket) {
	return func(t *Ticket) { t.Call.Importance = i }
}

func ofOrganisation(organisation string, weight float64) func(*Ticket) {
	return func(t *Ticket) { t.Call.Organisation, t.Weight = organisation, weight }
}

func withTree(h uint64) func(*Ticket) {
	return func(t *Ticket) { t.Call.Tree = request.Tree(h << 48) }
}

func withWorkSpent(t *Ticket) { t.Call.WorkSpent = true }

func withDeadline(d time.Duration) func(*Ticket) {
	return func(t *Ticket) { t.Call.Deadline = epoch.Add(d) }
}

var oneSlot = Config{Slots: 1, InitialLimit: 1, MaxQueue: 3}

func TestOrderIsImportanceThenWorkSpentThenArrival(t *testing.T) {
	s := newScript(t, Config{Slots: 1, InitialLimit: 1, MaxQueue: 10})
	s.offer("running")
	s.offer("low-tree", withTree(1))
	s.offer("high-tree", withTree(9))
	s.offer("spent", withWorkSpent)
	s.offer("critical", withImportance(request.Critical))
	s.offer("sheddable", withImportance(request.Sheddable), withWorkSpent)
	for i := 0; i < 5; i++ {
		s.finish(s.started[i], Result{})
	}
	require.Equal(t, []string{"running", "critical", "spent", "low-tree", "high-tree", "sheddable"}, s.started)
}

func TestFullQueueEvictsTheLeastImportantCall(t *testing.T) {
	s := newScript(t, oneSlot)
	s.offer("running")
	s.offer("normal")
	s.offer("sheddable", withImportance(request.Sheddable))
	s.offer("high", withImportance(request.High))
	s.offer("critical", withImportance(request.Critical))
	s.offer("late-sheddable", withImportance(request.Sheddable))
	require.Equal(t, map[string]request.Reason{
		"sheddable": request.ReasonQueueFull, "late-sheddable": request.ReasonQueueFull,
	}, s.refused)
}

func TestOrganisationsShareTheGateByWeight(t *testing.T) {
	s := newScript(t, Config{Slots: 1, InitialLimit: 1, MaxQueue: 100})
	s.offer("running", ofOrganisation("z", 1))
	for i := range 12 {
		s.offer("a"+string(rune('a'+i)), ofOrganisation("a", 1), withTree(1000))
		s.offer("b"+string(rune('a'+i)), ofOrganisation("b", 3), withTree(1))
	}
	for i := range 16 {
		s.finish(s.started[i], Result{Latency: time.Millisecond})
	}
	heavy := 0
	for _, id := range s.started[1:] {
		if id[0] == 'b' {
			heavy++
		}
	}
	require.Equal(t, 12, heavy, "the organisation of weight 3 starts 3 of 4 calls: %v", s.started)
}

func TestCallThatCannotMeetItsDeadlineIsNotRun(t *testing.T) {
	s := newScript(t, Config{Slots: 2, InitialLimit: 2, MaxQueue: 10})
	s.offer("first")
	s.now = s.now.Add(100 * time.Millisecond)
	s.finish("first", Result{})
	s.offer("a", withDeadline(10*time.Second))
	s.offer("b", withDeadline(10*time.Second))
	s.offer("waits", withDeadline(350*time.Millisecond))
	s.offer("hopeless", withDeadline(150*time.Millisecond))
	require.Equal(t, request.ReasonDeadline, s.refused["hopeless"])
	s.advance(200 * time.Millisecond)
	require.Equal(t, request.ReasonDeadline, s.refused["waits"], "refused while waiting, once it can no longer meet its deadline")
}

func TestWrongServiceTimeEstimateIsCorrected(t *testing.T) {
	s := newScript(t, Config{Slots: 2, InitialLimit: 2})
	s.offer("slow")
	s.now = s.now.Add(5 * time.Second)
	s.finish("slow", Result{})
	s.offer("probe", withDeadline(5*time.Second+20*time.Millisecond))
	require.Contains(t, s.started, "probe", "an idle backend server gets a call whatever the estimate")
}

func TestReportedHealthIsIgnoredAfterTheFirstAnswer(t *testing.T) {
	s := newScript(t, Config{Slots: 8, InitialLimit: 4})
	bad := Hint{Unhealthy: true, Load: 5, At: s.now}
	s.core.SetHint(bad)
	s.advance(time.Millisecond)
	require.Equal(t, 1, s.core.Limit(), "a cold backend server that reports itself unhealthy runs one call at a time")
	s.offer("first")
	s.finish("first", Result{Latency: time.Millisecond})
	s.core.SetHint(bad)
	require.GreaterOrEqual(t, s.core.Limit(), 4, "an answered call overrides the report")
}

// overloadFor offers three times the capacity of two slots for the duration d, in equal
// parts of three classes, and returns the average admission level over the second
// half, in units of classes.
func (s *script) overloadFor(d time.Duration) float64 {
	var sum, n float64
	var unfinished []*Ticket
	from := s.now
	for i := 0; s.now.Sub(from) < d; i++ {
		id := fmt.Sprint("press", i)
		s.offer(id, withImportance(request.Importance(i%3)), withTree(uint64(i*7919%65536)))
		unfinished = append(unfinished, s.tickets[id])
		s.advance(time.Millisecond)
		for _, k := range unfinished {
			if k.state == running && s.now.Sub(k.started) >= 6*time.Millisecond {
				s.finish(k.Call.ID, Result{})
			}
		}
		unfinished = slices.DeleteFunc(unfinished, func(k *Ticket) bool { return k.state == ended })
		if s.now.Sub(from) > d/2 {
			sum, n = sum+float64(s.core.Level()), n+1
		}
	}
	for s.core.Running() > 0 {
		i := slices.IndexFunc(unfinished, func(k *Ticket) bool { return k.state == running })
		s.finish(unfinished[i].Call.ID, Result{})
	}
	return sum / n / float64(request.ClassWidth)
}

func TestLevelRisesToTheCapacityOfTheGateAndFallsAfterOverload(t *testing.T) {
	s := newScript(t, Config{Slots: 2, InitialLimit: 2})
	require.InDelta(t, 2, s.overloadFor(6*time.Second), 0.5,
		"at three times the capacity, only the highest of three equal classes fits")
	for range 20 {
		s.advance(100 * time.Millisecond)
	}
	require.Equal(t, request.LevelOpen, s.core.Level())
}

func TestStandingOverloadRunsTheNewestTreeFirst(t *testing.T) {
	s := newScript(t, Config{Slots: 1, InitialLimit: 1, MaxQueue: 50, MaxWait: time.Minute})
	s.offer("a", withTree(9))
	s.finish("a", Result{Latency: 20 * time.Millisecond})
	s.offer("b")
	s.offer("old", withTree(9))
	s.advance(160 * time.Millisecond)
	s.advance(160 * time.Millisecond)
	require.True(t, s.core.InStandingOverload())
	s.offer("new", withTree(1))
	s.finish("b", Result{Latency: 20 * time.Millisecond})
	require.Equal(t, []string{"a", "b", "new"}, s.started)
	require.Equal(t, request.ReasonQueueTimeout, s.refused["old"])
}

// One backend server runs many long calls and few short ones, as a ledger does
// with deposits and balance checks. The short calls have deadlines below the
// median over all calls, and must not be refused because of it.
func TestServiceTimeIsEstimatedPerRoute(t *testing.T) {
	c := NewCore(Config{Slots: 20, InitialLimit: 20})
	now := time.Unix(0, 0)
	run := func(route string, takes, deadline time.Duration) bool {
		var tickets []*Ticket
		for range 5 {
			ticket := &Ticket{Call: &request.Call{Route: route, Deadline: now.Add(deadline)}}
			for _, e := range c.Offer(now, ticket) {
				if e.Refusal != nil {
					return false
				}
			}
			tickets = append(tickets, ticket)
		}
		now = now.Add(takes)
		for _, ticket := range tickets {
			c.Finish(now, ticket, Result{Latency: takes})
		}
		return true
	}
	require.True(t, run("check", 55*time.Millisecond, 700*time.Millisecond))
	for range 20 {
		require.True(t, run("deposit", 880*time.Millisecond, 5*time.Second))
	}
	require.True(t, run("check", 55*time.Millisecond, 700*time.Millisecond))
	require.False(t, run("deposit", 880*time.Millisecond, 400*time.Millisecond), "a call that cannot meet its deadline is still refused")
}
