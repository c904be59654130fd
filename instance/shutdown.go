package instance

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"wisteriafold/request"
)

const (
	shutdownNotice     = 300 * time.Millisecond  // time in which keep-alive callers learn of the shutdown
	acceptPeriod       = 2500 * time.Millisecond // new outside requests are served so long after the shutdown began, or for half of its time limit if that is shorter
	finalAnswerMargin  = 200 * time.Millisecond  // between the deadline of a request taken during a shutdown and its time limit
	stopRetryAfter     = time.Second             // Retry-After of requests refused during a shutdown
	idlePollInterval   = 20 * time.Millisecond
	quietPeriod        = 200 * time.Millisecond // time without an outside request that is served after which callers are taken to have stopped
	serverCloseTimeout = 5 * time.Second
	leaveTimeout       = 5 * time.Second
)

// stopTimes are the times of a shutdown.
type stopTimes struct {
	refuseFrom time.Time // new outside requests are refused
	finishBy   time.Time // deadline of those taken before; zero for none
}

func newStopTimes(ctx context.Context, start time.Time) *stopTimes {
	limit, ok := ctx.Deadline()
	if !ok {
		return &stopTimes{refuseFrom: start.Add(acceptPeriod)}
	}
	return &stopTimes{
		refuseFrom: start.Add(min(acceptPeriod, limit.Sub(start)/2)),
		finishBy:   limit.Add(-finalAnswerMargin),
	}
}

// refuseWhileStopping refuses a new outside request that might not be finished
// before a shutdown ends. Calls of running calls are not refused.
func (d *Daemon) refuseWhileStopping() *request.Error {
	times := d.stopTimes.Load()
	if times == nil || d.now().Before(times.refuseFrom) {
		return nil
	}
	err := request.NewNotRunError(request.ReasonShutdown, "this daemon is stopping, send it to another one")
	err.RetryAfter = stopRetryAfter
	return err
}

// finishableDeadline returns the deadline of an outside request that is taken now: its
// own, or the time by which a shutdown in progress wants it finished.
func (d *Daemon) finishableDeadline(deadline time.Time) time.Time {
	times := d.stopTimes.Load()
	if times != nil && !times.finishBy.IsZero() && times.finishBy.Before(deadline) {
		return times.finishBy
	}
	return deadline
}

// Shutdown stops the daemon gracefully: the endpoint is withdrawn, the gate
// refuses new work as not run, new outside requests are refused after a while, and
// calls in flight finish. When ctx ends first, the remaining calls are cut off and
// the error says how many there were.
func (d *Daemon) Shutdown(ctx context.Context) error {
	if !d.stopping.CompareAndSwap(false, true) {
		return eris.New("shutdown was already called: wait for it to finish")
	}
	d.stopTimes.Store(newStopTimes(ctx, d.now()))
	d.log.Info("shutting down", "instance", d.set.Instance)
	d.post(shutdownStarted{})
	d.gate.Drain()
	d.links.RefuseStreams()
	d.settle(ctx, shutdownNotice)
	cut := d.awaitIdle(ctx, quietPeriod)
	if cut == nil {
		times := *d.stopTimes.Load()
		times.refuseFrom = d.now() // the servers close next
		d.stopTimes.Store(&times)
		cut = d.awaitIdle(ctx, 0)
	}
	d.closeServers(ctx)
	d.leave(ctx)
	if err := d.links.Close(ctx); err != nil && cut == nil {
		cut = err
	}
	d.stop()
	return cut
}

// settle waits for t, so that callers learn of the shutdown from the header of
// an answer and not from a connection that closes during their next request.
func (d *Daemon) settle(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// awaitIdle waits until no call runs on the backend server and no outside request is in
// progress, and none that is served has begun for the time quiet. Callers that send one
// request after the other leave gaps in which none is in progress.
func (d *Daemon) awaitIdle(ctx context.Context, quiet time.Duration) error {
	t := time.NewTicker(idlePollInterval)
	defer t.Stop()
	lastBusy, seen := d.now(), d.served.Load()
	for {
		n := d.calls.n.Load() + d.inFlight.Load()
		now := d.now()
		if served := d.served.Load(); served != seen {
			lastBusy, seen = now, served
		}
		if n == 0 && now.Sub(lastBusy) >= quiet {
			return nil
		}
		select {
		case <-ctx.Done():
			if n == 0 {
				return nil
			}
			d.cancelTraffic()
			return eris.Errorf("%d calls in flight were cut off: allow more time in limits.shutdown", n)
		case <-t.C:
		}
	}
}

func (d *Daemon) closeServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, serverCloseTimeout)
	defer cancel()
	for _, s := range d.servers[:2] {
		_ = s.ShutdownWithContext(ctx) // stop closes the remaining connections
	}
}

// leave gives back the daemon's shares and takes it off the roster.
func (d *Daemon) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	done := make(chan struct{})
	d.post(leaveRequested{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Kill stops the daemon at once, as a crash would, without notifying anyone.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.cancelTraffic()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.links.Close(ended) // an ended context closes open sessions at once
	for _, l := range []interface{ Close() error }{d.listeners.Callers, d.listeners.Egress} {
		_ = l.Close()
	}
	d.stop()
}

// stop ends all goroutines.
func (d *Daemon) stop() {
	d.cancelTraffic()
	d.cancelBackground()
	ctx, cancel := context.WithTimeout(context.Background(), serverCloseTimeout)
	defer cancel()
	for _, s := range d.servers {
		_ = s.ShutdownWithContext(ctx) // connections that are still open close when their handlers return
	}
	d.client.Close()
	d.wg.Wait()
	d.pool.StopAndWait()
	d.decisions.close()
}
