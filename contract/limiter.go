package contract

import (
	"context"
	"sync/atomic"
	"time"

	"wisteriafold/request"
)

const (
	waitPoll   = 5 * time.Millisecond // a waiting request looks again at least this often
	maxWaiters = 1024                 // requests of one organisation that wait at once
	retryLeast = 50 * time.Millisecond
	retryMost  = 5 * time.Second
)

// Verdict is the answer to one Take.
type Verdict struct {
	OK         bool
	RetryAfter time.Duration // when a refused request may find tokens
	part       *part
	units      int64
	at         int64 // nanoseconds since the epoch
}

// gauge is what traffic and control share about one contract: traffic writes
// counters, control publishes views.
type gauge struct {
	id      uint64
	asked   atomic.Int64 // tokens asked for, refused ones included
	waiting atomic.Int64 // tokens that requests wait for now
	waiters atomic.Int64
	taken   atomic.Int64
	refused atomic.Int64
	largest atomic.Int64 // most tokens that one request asked for since control looked
	view    atomic.Pointer[view]
}

// view is an immutable list of loans; changed is closed when another replaces it.
type view struct {
	parts   []*part
	changed chan struct{}
	waiters int64         // requests that may wait at once
	retry   time.Duration // for refused requests
}

// Limiter admits requests from what the daemon has borrowed. All methods can
// be called from any goroutine.
type Limiter struct {
	epoch   time.Time
	maxWait time.Duration
	gauges  atomic.Pointer[map[string]*gauge]
	wake    chan struct{}
}

// Take takes one token of the contract, if there is one at now.
func (l *Limiter) Take(now time.Time, name string) Verdict { return l.TakeN(now, name, 1) }

// TakeN takes n tokens of the contract, all from one loan or none.
func (l *Limiter) TakeN(now time.Time, name string, n int64) Verdict {
	g := (*l.gauges.Load())[name]
	if g == nil {
		return Verdict{RetryAfter: retryMost}
	}
	g.ask(n)
	v := l.take(now, g, n)
	if !v.OK {
		g.refused.Add(n)
	}
	return v
}

// ask tells control what a request wants.
func (g *gauge) ask(n int64) {
	g.asked.Add(n)
	if n > g.largest.Load() {
		g.largest.Store(n)
	}
}

func (l *Limiter) take(now time.Time, g *gauge, n int64) Verdict {
	at, units := int64(now.Sub(l.epoch)), n*micro
	vw := g.view.Load()
	for _, p := range vw.parts {
		if p.take(at, units) {
			g.taken.Add(n)
			return Verdict{OK: true, part: p, units: units, at: at}
		}
	}
	return Verdict{RetryAfter: vw.retry}
}

// TakenAt returns the instant for which the tokens of v were taken.
func (l *Limiter) TakenAt(v Verdict) time.Time { return l.epoch.Add(time.Duration(v.at)) }

// GiveBack returns the tokens of a request that was certainly not run to the
// loan that they came from, while that loan lasts. Some are lost then, so that
// no window that begins between Take and GiveBack exceeds its bound.
func (l *Limiter) GiveBack(v Verdict) { l.GiveBackAt(time.Now(), v) }

// GiveBackAt is GiveBack at a given time.
func (l *Limiter) GiveBackAt(now time.Time, v Verdict) {
	if v.OK && v.part != nil {
		v.part.giveBack(int64(now.Sub(l.epoch)), v.at, v.units)
	}
}

// Waiter is a request that waits for tokens on the way.
type Waiter struct {
	limiter  *Limiter
	gauge    *gauge
	tokens   int64
	deadline time.Time
	queued   bool
}

// Await takes n tokens or registers a request that waits for them until MaxWait
// after now. The caller tries again with Try and ends with Stop.
func (l *Limiter) Await(now time.Time, name string, n int64) (*Waiter, Verdict) {
	w := &Waiter{limiter: l, gauge: (*l.gauges.Load())[name], tokens: n, deadline: now.Add(l.maxWait)}
	if w.gauge == nil {
		return w, Verdict{RetryAfter: retryMost}
	}
	w.gauge.ask(n)
	v := l.take(now, w.gauge, n)
	if v.OK {
		return w, v
	}
	if w.gauge.waiters.Add(1) > w.gauge.view.Load().waiters {
		w.gauge.waiters.Add(-1)
		return w, v
	}
	w.queued = true
	w.gauge.waiting.Add(n)
	l.poke()
	return w, v
}

// Waiting reports whether the request waits for tokens.
func (w *Waiter) Waiting() bool { return w.queued }

// Try takes the tokens if they have come. It reports whether waiting is over.
func (w *Waiter) Try(now time.Time) (v Verdict, over bool) {
	if !w.queued {
		return Verdict{RetryAfter: retryMost}, true
	}
	v = w.limiter.take(now, w.gauge, w.tokens)
	return v, v.OK || !now.Before(w.deadline)
}

// Stop ends the wait and counts a refusal if nothing was taken.
func (w *Waiter) Stop(v Verdict) {
	if w.gauge == nil {
		return
	}
	if w.queued {
		w.queued = false
		w.gauge.waiters.Add(-1)
		w.gauge.waiting.Add(-w.tokens)
	}
	if !v.OK {
		w.gauge.refused.Add(w.tokens)
	}
}

// Wait takes one token and waits for it for a short time when tokens may be on
// the way. It fails with a request.Error (NotRun, over-rate, RetryAfter).
func (l *Limiter) Wait(ctx context.Context, name string) (Verdict, error) {
	return l.WaitN(ctx, name, 1)
}

// WaitN is Wait for n tokens.
func (l *Limiter) WaitN(ctx context.Context, name string, n int64) (Verdict, error) {
	w, v := l.Await(time.Now(), name, n)
	if !v.OK && w.queued {
		v = w.await(ctx)
	}
	w.Stop(v)
	if !v.OK {
		return v, refuse(v)
	}
	return v, nil
}

// await tries again whenever the loans change, until the deadline.
func (w *Waiter) await(ctx context.Context) Verdict {
	poll := time.NewTicker(waitPoll)
	defer poll.Stop()
	for {
		changed := w.gauge.view.Load().changed
		v, over := w.Try(time.Now())
		if over {
			return v
		}
		select {
		case <-changed:
		case <-poll.C:
		case <-ctx.Done():
			return v
		}
	}
}

// poke wakes the control goroutine without blocking.
func (l *Limiter) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func refuse(v Verdict) *request.Error {
	e := request.NewNotRunError(request.ReasonRate, "send less than the contract's rate, or raise it in the configuration")
	e.RetryAfter = v.RetryAfter
	return e
}
