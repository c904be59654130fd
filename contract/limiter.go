package contract

import (
	"context"
	"sync/atomic"
	"time"

	"wisteriafold/request"
)

const (
	waitPoll      = 5 * time.Millisecond // a waiting request tries again at least this often
	maxWaiters    = 1024                 // most requests of one contract that wait at the same time
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Verdict is the result of taking tokens.
type Verdict struct {
	OK         bool
	RetryAfter time.Duration // time after which a refused request may find tokens
	bucket     *bucket
	units      int64
	at         int64 // nanoseconds since the epoch
}

// gauge is the state of one contract that request goroutines share with the
// control goroutine: requests update the counters, control publishes the views.
type gauge struct {
	id      uint64
	asked   atomic.Int64 // tokens asked for, including refused ones
	waiting atomic.Int64 // tokens that requests are waiting for
	waiters atomic.Int64
	taken   atomic.Int64
	refused atomic.Int64
	largest atomic.Int64 // most tokens that one request asked for since the last sample
	view    atomic.Pointer[view]
}

// view is an immutable list of loans; changed is closed when another view
// replaces it.
type view struct {
	buckets []*bucket
	changed chan struct{}
	waiters int64         // most requests that may wait at the same time
	retry   time.Duration // RetryAfter of refused requests
}

// Limiter admits requests with the tokens that the daemon has borrowed. All
// methods are safe for concurrent use.
type Limiter struct {
	epoch   time.Time
	maxWait time.Duration
	gauges  atomic.Pointer[map[string]*gauge]
	wake    chan struct{}
}

// Take takes one token of the contract if one is available at the time now.
func (l *Limiter) Take(now time.Time, name string) Verdict { return l.TakeN(now, name, 1) }

// TakeN takes n tokens of the contract, all of them from one loan, or none.
func (l *Limiter) TakeN(now time.Time, name string, n int64) Verdict {
	g := (*l.gauges.Load())[name]
	if g == nil {
		return Verdict{RetryAfter: maxRetryAfter}
	}
	g.recordAsk(n)
	v := l.take(now, g, n)
	if !v.OK {
		g.refused.Add(n)
	}
	return v
}

// recordAsk counts the tokens that a request asks for, for the control goroutine.
func (g *gauge) recordAsk(n int64) {
	g.asked.Add(n)
	if n > g.largest.Load() {
		g.largest.Store(n)
	}
}

func (l *Limiter) take(now time.Time, g *gauge, n int64) Verdict {
	at, units := int64(now.Sub(l.epoch)), n*microPerToken
	vw := g.view.Load()
	for _, b := range vw.buckets {
		if b.take(at, units) {
			g.taken.Add(n)
			return Verdict{OK: true, bucket: b, units: units, at: at}
		}
	}
	return Verdict{RetryAfter: vw.retry}
}

// TakenAt returns the time at which the tokens of v were taken.
func (l *Limiter) TakenAt(v Verdict) time.Time { return l.epoch.Add(time.Duration(v.at)) }

// GiveBack returns the tokens of a request that is known not to have run to the
// loan that they came from, if that loan still exists. Some tokens are discarded
// instead, so that no window that begins between Take and GiveBack exceeds its
// bound.
func (l *Limiter) GiveBack(v Verdict) { l.GiveBackAt(time.Now(), v) }

// GiveBackAt is like GiveBack, at the time now.
func (l *Limiter) GiveBackAt(now time.Time, v Verdict) {
	if v.OK && v.bucket != nil {
		v.bucket.giveBack(int64(now.Sub(l.epoch)), v.at, v.units)
	}
}

// Waiter is a request that waits for tokens to be lent.
type Waiter struct {
	limiter  *Limiter
	gauge    *gauge
	tokens   int64
	deadline time.Time
	queued   bool
}

// Await takes n tokens or registers a request that waits for them until MaxWait
// after now. The caller then calls Try until it reports that the wait is over,
// and Stop in the end. No request is registered if too many already wait.
func (l *Limiter) Await(now time.Time, name string, n int64) (*Waiter, Verdict) {
	w := &Waiter{limiter: l, gauge: (*l.gauges.Load())[name], tokens: n, deadline: now.Add(l.maxWait)}
	if w.gauge == nil {
		return w, Verdict{RetryAfter: maxRetryAfter}
	}
	w.gauge.recordAsk(n)
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
	l.notify()
	return w, v
}

// Waiting reports whether the request waits for tokens.
func (w *Waiter) Waiting() bool { return w.queued }

// Try takes the tokens if they are available now. over reports whether the wait
// is over: the tokens were taken or the deadline has passed.
func (w *Waiter) Try(now time.Time) (v Verdict, over bool) {
	if !w.queued {
		return Verdict{RetryAfter: maxRetryAfter}, true
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

// Wait takes one token, waiting up to MaxWait for one to be lent. It fails with a
// request.Error (NotRun, over-rate, RetryAfter).
func (l *Limiter) Wait(ctx context.Context, name string) (Verdict, error) {
	return l.WaitN(ctx, name, 1)
}

// WaitN is like Wait, for n tokens.
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

// await tries again whenever the loans change and at least every waitPoll, until
// the deadline or until ctx is done.
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

// notify wakes the control goroutine; it does not block.
func (l *Limiter) notify() {
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
