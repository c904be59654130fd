package instance

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const (
	lastAnswers  = 300 * time.Millisecond // kept-alive callers learn in this time that the daemon leaves
	idleLook     = 20 * time.Millisecond
	serverClose  = 5 * time.Second
	leaveTimeout = 5 * time.Second
)

// Shutdown stops the daemon without cutting a request: the endpoint is
// withdrawn, the gate refuses new work as not run, and calls in flight end.
// When ctx ends first, what is left is cut and an error says how much.
func (d *Daemon) Shutdown(ctx context.Context) error {
	if !d.stopping.CompareAndSwap(false, true) {
		return eris.New("shutdown has been called before: wait for it")
	}
	d.log.Info("shutting down", "instance", d.set.Instance)
	d.post(leaving{})
	d.gate.Drain()
	d.links.RefuseStreams()
	d.settle(ctx, lastAnswers)
	cut := d.awaitIdle(ctx)
	d.closeServers(ctx)
	d.leave(ctx)
	if err := d.links.Close(ctx); err != nil && cut == nil {
		cut = err
	}
	d.stop()
	return cut
}

// settle waits a fixed time, so that callers hear of the shutdown on an answer
// and not by a connection that closes under their next request.
func (d *Daemon) settle(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// awaitIdle waits until no call runs on the backend server and no outside
// request is in progress.
func (d *Daemon) awaitIdle(ctx context.Context) error {
	t := time.NewTicker(idleLook)
	defer t.Stop()
	for {
		n := d.calls.n.Load() + d.inFlight.Load()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			d.cutTraffic()
			return eris.Errorf("%d calls in flight were cut: allow more time in limits.shutdown", n)
		case <-t.C:
		}
	}
}

func (d *Daemon) closeServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, serverClose)
	defer cancel()
	for _, s := range d.servers[:2] {
		_ = s.ShutdownWithContext(ctx) // what is left is closed by stop
	}
}

// leave gives back shares and takes the daemon off the roster.
func (d *Daemon) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	done := make(chan struct{})
	d.post(leaveFleet{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Kill stops the daemon at once, as a crash would: nothing is told to anyone.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.cutTraffic()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.links.Close(ended) // an ended context cuts what is open
	for _, l := range []interface{ Close() error }{d.listeners.Callers, d.listeners.Egress} {
		_ = l.Close()
	}
	d.stop()
}

// stop ends all goroutines.
func (d *Daemon) stop() {
	d.cutTraffic()
	d.endBack()
	ctx, cancel := context.WithTimeout(context.Background(), serverClose)
	defer cancel()
	for _, s := range d.servers {
		_ = s.ShutdownWithContext(ctx) // connections that stay open end with their handlers
	}
	d.client.Close()
	d.wg.Wait()
	d.pool.StopAndWait()
	d.decisions.close()
}
