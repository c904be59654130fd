package sidecar

import (
	"context"
	"reflect"
	"time"

	"wisteriafold/membership"
	"wisteriafold/request"
)

const (
	// acceptPeriod is how long requests are still accepted after SIGTERM, or half of
	// the grace period if that is shorter. Callers stop sending after two failed
	// readiness checks in a row, one second apart.
	acceptPeriod = 2500 * time.Millisecond

	// quietPeriod is the time without a request in progress after which no more
	// requests are expected.
	quietPeriod = 200 * time.Millisecond

	// graceMargin is the part of the shutdown grace period that is left for closing
	// connections before the process is killed.
	graceMargin = 400 * time.Millisecond

	// finalAnswerMargin is the time between the deadline that endpoints get for a
	// request taken during a stop and the time at which it is aborted: their answers
	// have to travel back, and timers fire late on a busy instance. It is smaller when
	// the grace period is short, see finalAnswerFraction.
	finalAnswerMargin = 200 * time.Millisecond

	// finalAnswerFraction is the largest fraction of the grace period that
	// finalAnswerMargin takes.
	finalAnswerFraction = 1.0 / 30

	// closeTimeout limits the time for closing connections, within graceMargin.
	closeTimeout = 150 * time.Millisecond

	idlePollInterval = 20 * time.Millisecond

	// stopRetryAfter is the Retry-After for requests that arrive after
	// acceptPeriod. A daemon that stops for a restart is back after about this time.
	stopRetryAfter = time.Second
)

// stopTimes are the times of a planned stop.
type stopTimes struct {
	start      time.Time
	refuseFrom time.Time // new requests are refused from then on, apart from calls of running ones
	unsureFrom time.Time // requests that cannot be told from such calls are refused, too
	finishBy   time.Time // deadline of the requests that are taken during the stop
	abortAt    time.Time // requests still in progress are aborted
}

func newStopTimes(start time.Time, grace time.Duration) *stopTimes {
	abortAt := start.Add(grace - graceMargin)
	finishBy := abortAt.Add(-min(finalAnswerMargin, time.Duration(finalAnswerFraction*float64(grace))))
	refuseFrom := start.Add(min(acceptPeriod, grace/2))
	return &stopTimes{
		start:      start,
		refuseFrom: refuseFrom,
		unsureFrom: refuseFrom.Add(finishBy.Sub(refuseFrom) / 2),
		finishBy:   finishBy,
		abortAt:    abortAt,
	}
}

// Shutdown stops the daemon gracefully. It reports not ready immediately, announces
// to the other daemons that it is stopping, and accepts requests until callers should
// have stopped sending. It returns when no request is in progress, or shortly before
// the process would be killed. Requests still in progress then are aborted.
func (d *Daemon) Shutdown() {
	times := newStopTimes(d.now(), d.settings.ShutdownGrace)
	d.stopTimes.Store(times)
	d.stopping.Store(true)
	d.log.Info("stop", "in_flight", d.unfinished(), "grace_ms", d.settings.ShutdownGrace.Milliseconds())
	ctx, cancel := context.WithDeadline(context.Background(), times.abortAt)
	defer cancel()
	d.control.post(d.control.announce)
	d.awaitIdle(ctx, times)
	if now := d.now(); now.Before(times.refuseFrom) { // the backend server is gone
		early := *times
		early.refuseFrom = now
		d.stopTimes.Store(&early)
		d.awaitIdle(ctx, &early) // requests that were taken in the meantime
	}
	d.log.Info("stopped", "cut", d.unfinished(), "took_ms", d.now().Sub(times.start).Milliseconds())
	d.Close()
}

// refusesRequests reports whether the daemon has been stopping for so long that it
// refuses new requests, because they might not be finished. Callers may still send
// some then, as the platform does not take a daemon out of service while most daemons
// of its data centre are out, and so may a daemon whose directory is old.
func (d *Daemon) refusesRequests(now time.Time) bool {
	times := d.stopTimes.Load()
	return times != nil && !now.Before(times.refuseFrom)
}

// refuseWhileStopping refuses a request late in a stop. Calls of requests that run on
// the local backend server are not refused, as long as they can be told from requests
// of callers: those of a caller on an open route have no key either.
func (e *entry) refuseWhileStopping(now time.Time) *request.Error {
	d := e.d
	if !d.refusesRequests(now) || e.parent != nil {
		return nil
	}
	unsure := e.call.WorkSpent && d.runs.mayHaveUnnamedCalls()
	if unsure && now.Before(d.stopTimes.Load().unsureFrom) {
		return nil
	}
	return shutdownError()
}

func shutdownError() *request.Error {
	err := request.NewNotRunError(request.ReasonShutdown, "this daemon is stopping, send it again when it is back")
	err.RetryAfter = stopRetryAfter
	return err
}

// finishableDeadline returns the deadline for a request that is taken now. During a
// stop it is not later than the time by which requests have to be finished: gates
// refuse what cannot be finished by then, and endpoints end their work and answer
// instead of being cut off.
func (d *Daemon) finishableDeadline(deadline time.Time) time.Time {
	if times := d.stopTimes.Load(); times != nil && times.finishBy.Before(deadline) {
		return times.finishBy
	}
	return deadline
}

// awaitIdle waits until no request has begun or been in progress, and no answer was being
// written, for quietPeriod and new requests are refused. It does not wait for the latter
// when the backend server is gone, and returns when ctx ends.
func (d *Daemon) awaitIdle(ctx context.Context, times *stopTimes) {
	lastBusy, seen := d.now(), d.begun.Load()
	for ctx.Err() == nil {
		time.Sleep(idlePollInterval)
		now := d.now()
		if begun := d.begun.Load(); begun != seen || d.unfinished() > 0 {
			lastBusy, seen = now, begun
		}
		backendGone := d.backendSnapshot.Load().state == membership.Gone && now.Sub(times.start) > quietPeriod
		if now.Sub(lastBusy) >= quietPeriod && (!now.Before(times.refuseFrom) || backendGone) {
			return
		}
	}
}

// Close stops the daemon immediately. Requests in progress are aborted.
func (d *Daemon) Close() {
	d.stopping.Store(true)
	d.cancelBackground()
	d.cancelTraffic()
	for _, l := range d.listeners {
		_ = l.Close()
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.links.Close(ctx) // ctx has ended, so links close immediately; requests were cancelled above
		d.client.Close()
	}()
	select {
	case <-ended:
	case <-time.After(closeTimeout): // a request that does not end must not keep the process running
	}
	d.callers.Close()
	d.lines.close()
}

// Reload reads the settings again and logs whether they differ from those in force.
// It does not apply them: addresses and the location are fixed for the life of a
// process, and changes take effect at the next start.
func (d *Daemon) Reload(file string, load func() (Settings, error)) {
	settings, err := load()
	if err != nil {
		d.log.Error("reload failed, keeping the settings in force", "file", file, "error", err)
		return
	}
	d.log.Info("reload", "file", file, "restart_needed", !reflect.DeepEqual(settings, d.settings))
}
