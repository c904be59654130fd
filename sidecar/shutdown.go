package sidecar

import (
	"context"
	"time"

	"wisteriafold/membership"
)

const (
	// acceptPeriod is how long requests are still accepted after SIGTERM. Callers
	// stop sending after two failed readiness checks in a row, one second apart.
	acceptPeriod = 2500 * time.Millisecond

	// quietPeriod is the time without a request in progress after which no more
	// requests are expected.
	quietPeriod = 200 * time.Millisecond

	// graceMargin is the part of the shutdown grace period that is left for closing
	// connections before the process is killed.
	graceMargin = 400 * time.Millisecond

	// closeTimeout limits the time for closing connections, within graceMargin.
	closeTimeout = 150 * time.Millisecond

	idlePollInterval = 20 * time.Millisecond

	// stopRetryAfter is the Retry-After for requests that arrive after
	// acceptPeriod. A daemon that stops for a restart is back after about this time.
	stopRetryAfter = time.Second
)

// Shutdown stops the daemon gracefully. It reports not ready immediately, announces
// to the other daemons that it is stopping, and accepts requests until callers should
// have stopped sending. It returns when no request is in progress, or shortly before
// the process would be killed. Requests still in progress then are aborted.
func (d *Daemon) Shutdown() {
	start := d.now()
	d.stopping.Store(true)
	d.refuseFrom.Store(start.Add(acceptPeriod).UnixNano())
	d.log.Info("stop", "in_flight", d.inFlight.Load(), "grace_ms", d.settings.ShutdownGrace.Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownGrace-graceMargin)
	defer cancel()
	d.control.post(d.control.announce)
	d.awaitIdle(ctx, start)
	d.log.Info("stopped", "cut", d.inFlight.Load(), "took_ms", d.now().Sub(start).Milliseconds())
	d.Close()
}

// refusesCallers reports whether acceptPeriod has passed since the daemon began to
// stop. Callers may still send requests then, as the platform does not take a daemon
// out of service while most daemons of its data centre are out. Such requests are
// refused because they could not be finished.
func (d *Daemon) refusesCallers(now time.Time) bool {
	at := d.refuseFrom.Load()
	return at != 0 && now.UnixNano() >= at
}

// awaitIdle waits until no request has been in progress for quietPeriod and
// acceptPeriod has passed. It does not wait for acceptPeriod when the backend server
// is gone, and returns when ctx ends.
func (d *Daemon) awaitIdle(ctx context.Context, start time.Time) {
	lastBusy := d.now()
	for ctx.Err() == nil {
		time.Sleep(idlePollInterval)
		now := d.now()
		if d.inFlight.Load() > 0 {
			lastBusy = now
		}
		backendGone := d.backendSnapshot.Load().state == membership.Gone && now.Sub(start) > quietPeriod
		if now.Sub(lastBusy) >= quietPeriod && (now.Sub(start) >= acceptPeriod || backendGone) {
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
	d.log.Info("reload", "file", file, "restart_needed", settings != d.settings)
}
