package sidecar

import (
	"context"
	"time"

	"wisteriafold/membership"
)

const (
	// leaveAfter is the time after SIGTERM for which requests are still taken:
	// callers learn from two readiness checks in a row, one second apart.
	leaveAfter = 2500 * time.Millisecond

	// quietFor is the time without a request in progress after which nobody is
	// expected any more.
	quietFor = 200 * time.Millisecond

	// graceMargin is kept of the time until the process is killed.
	graceMargin = 400 * time.Millisecond

	// closeWait bounds the end of connections, within graceMargin.
	closeWait = 150 * time.Millisecond

	idlePoll = 20 * time.Millisecond

	// stopRetryAfter is what callers are told after leaveAfter: a daemon that
	// stops for a restart is back about then.
	stopRetryAfter = time.Second
)

// Shutdown stops the daemon without cutting a request: it is not ready at once,
// tells the other daemons, serves what still comes until callers should have
// left, and ends when nothing is in progress, or shortly before the process would
// be killed.
func (d *Daemon) Shutdown() {
	began := d.now()
	d.stopping.Store(true)
	d.leaveAt.Store(began.Add(leaveAfter).UnixNano())
	d.log.Info("stop", "in_flight", d.inFlight.Load(), "grace_ms", d.set.ShutdownGrace.Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), d.set.ShutdownGrace-graceMargin)
	defer cancel()
	d.control.post(d.control.announce)
	d.awaitQuiet(ctx, began)
	d.log.Info("stopped", "cut", d.inFlight.Load(), "took_ms", d.now().Sub(began).Milliseconds())
	d.Close()
}

// hasLeft reports whether the callers of this daemon should be elsewhere. What
// they send all the same could not be finished: the platform does not take a
// daemon out while most of its data centre's are.
func (d *Daemon) hasLeft(now time.Time) bool {
	at := d.leaveAt.Load()
	return at != 0 && now.UnixNano() >= at
}

// awaitQuiet returns when no request has been in progress for a moment.
func (d *Daemon) awaitQuiet(ctx context.Context, began time.Time) {
	quiet := d.now()
	for ctx.Err() == nil {
		time.Sleep(idlePoll)
		now := d.now()
		if d.inFlight.Load() > 0 {
			quiet = now
		}
		alone := d.backendNow.Load().state == membership.Gone && now.Sub(began) > quietFor
		if now.Sub(quiet) >= quietFor && (now.Sub(began) >= leaveAfter || alone) {
			return
		}
	}
}

// Close ends the daemon at once; requests in progress are cut.
func (d *Daemon) Close() {
	d.stopping.Store(true)
	d.endBack()
	d.cutTraffic()
	for _, l := range d.listeners {
		_ = l.Close()
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.links.Close(ctx) // ended at once: what was in progress has been told above
		d.client.Close()
	}()
	select {
	case <-ended:
	case <-time.After(closeWait): // a request that does not end must not keep the process
	}
	d.lines.close()
}

// Reload reads the settings again. Addresses and places are fixed for the life
// of a process; a change of them is logged and takes effect at the next start.
func (d *Daemon) Reload(file string, load func() (Settings, error)) {
	set, err := load()
	if err != nil {
		d.log.Error("reload failed, the settings in force stay", "file", file, "error", err)
		return
	}
	d.log.Info("reload", "file", file, "restart_needed", set != d.set)
}
