package backend

import (
	"fmt"
	"testing"
	"time"

	"wisteriafold/request"
)

// decisionBound is the maximum mean duration of one gate decision.
const decisionBound = 2 * time.Microsecond

// checkBound reports the mean duration of a decision and its bound, and fails the
// benchmark when the bound is exceeded over more than 1000 iterations.
func checkBound(b *testing.B, decisions int) {
	each := b.Elapsed() / time.Duration(max(1, b.N*decisions))
	b.ReportMetric(float64(each.Nanoseconds()), "ns/decision")
	b.ReportMetric(float64(decisionBound.Nanoseconds()), "ns/bound")
	if b.N > 1000 && each > decisionBound {
		b.Errorf("measure=gate-decision value=%v bound=%v verdict=red", each, decisionBound)
	}
}

// BenchmarkDecisionSaturated measures one arrival and one end of a call at a gate
// whose queue is full of calls of 64 organisations in all classes.
func BenchmarkDecisionSaturated(b *testing.B) {
	c := NewCore(Config{Slots: 250, MaxConnections: 1700, InitialLimit: 250})
	now := epoch
	tickets := make([]*Ticket, 1024)
	for i := range tickets {
		tickets[i] = &Ticket{Weight: float64(1 + i%3), Call: &request.Call{
			Organisation: fmt.Sprintf("organisation-%d", i%64),
			Importance:   request.Importance(i % request.Classes),
			Tree:         request.Tree(uint64(i) * 0x9e3779b97f4a7c15),
			WorkSpent:    i%5 == 0,
			Deadline:     now.Add(time.Hour),
		}}
	}
	free := append([]*Ticket(nil), tickets...)
	run := make([]*Ticket, 0, len(tickets))
	take := func(events []Event) {
		for _, e := range events {
			if e.Refusal == nil {
				run = append(run, e.Ticket)
			} else {
				free = append(free, e.Ticket)
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Microsecond)
		t := free[len(free)-1]
		free = free[:len(free)-1]
		t.Reset(t.Call, t.Weight)
		take(c.Offer(now, t))
		if c.Waiting() < c.cfg.MaxQueue {
			continue
		}
		last := run[len(run)-1]
		run = run[:len(run)-1]
		take(c.Finish(now, last, Result{Latency: 10 * time.Millisecond}))
		free = append(free, last)
	}
	checkBound(b, 2)
}

// BenchmarkGate measures one call through an uncontended gate, including the lock.
func BenchmarkGate(b *testing.B) {
	g := NewGate(Config{Slots: 50, MaxConnections: 400}, time.Now)
	call := &request.Call{Organisation: "o", Deadline: time.Now().Add(time.Hour)}
	ctx := b.Context()
	b.ReportAllocs()
	for b.Loop() {
		p, err := g.Enter(ctx, call, 1)
		if err != nil {
			b.Fatal(err)
		}
		p.Done(Result{Latency: 10 * time.Millisecond})
	}
	checkBound(b, 2)
}
