package sidecar

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/httpclient"
	"wisteriafold/membership"
)

const (
	// probeTimeout limits a health check of the local backend server.
	probeTimeout = time.Second

	// maxHealthBytes limits the bytes that are read of a response to a health check.
	maxHealthBytes = 64 << 10

	// leavingStoreWait limits how long a heartbeat that says that the backend server is
	// leaving waits for the store. Backend servers wait one second for the
	// acknowledgement and then send the heartbeat again.
	leavingStoreWait = 850 * time.Millisecond
)

// serveLocalCall handles heartbeats of the local backend server. Only the one that says
// that the backend server is leaving waits for the store.
func (d *Daemon) serveLocalCall(hc *fasthttp.RequestCtx) {
	h, err := d.dialect.ParseHeartbeat(string(hc.Path()), hc.PostBody())
	if err != nil {
		d.log.Warn("invalid call from the local backend server", "path", string(hc.Path()), "error", err)
		hc.Error(err.Error()+"\n", fasthttp.StatusBadRequest)
		return
	}
	h.Received = time.Now().UnixMilli()
	deadline := time.NewTimer(leavingStoreWait)
	defer deadline.Stop()
	taken, stored := false, (<-chan struct{})(nil)
	if !d.control.postAndWait(d.background, func() { taken, stored = d.control.handleHeartbeat(h) }) {
		hc.Error("the daemon is stopping\n", fasthttp.StatusServiceUnavailable)
		return
	}
	if !taken {
		d.log.Warn("heartbeat not acknowledged: it was taken for an earlier one", "id", h.ID, "born", h.StartMs, "sequence", h.Sequence, "state", h.State.String())
		hc.Error("the heartbeat is not newer than an earlier one: send it with the start time and a higher sequence\n", fasthttp.StatusServiceUnavailable)
		return
	}
	if stored != nil {
		select {
		case <-stored:
		case <-deadline.C:
			d.metrics.leavingsUnstored.Inc()
			d.log.Warn("leaving not acknowledged: the store has not confirmed it", "id", h.ID, "born", h.StartMs, "sequence", h.Sequence, "state", h.State.String())
			hc.Error("the store has not confirmed the leaving yet, no new requests are sent meanwhile: send the heartbeat again\n", fasthttp.StatusServiceUnavailable)
			return
		case <-d.background.Done():
			hc.Error("the daemon is stopping\n", fasthttp.StatusServiceUnavailable)
			return
		}
	}
	hc.SetContentType("application/json")
	hc.SetBody(d.dialect.HeartbeatResponse())
}

// serveReadiness answers readiness checks: status 200 when callers may be sent to
// this daemon, 503 otherwise.
func (d *Daemon) serveReadiness(hc *fasthttp.RequestCtx) {
	if !d.dialect.IsReadinessPath(string(hc.Path())) {
		hc.Error("not found\n", fasthttp.StatusNotFound)
		return
	}
	if !d.isReady() {
		hc.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// directoryWait is the time after the start of the daemon after which the entries
// received from other daemons count as the complete directory when the store cannot
// be read. It is long enough for an announcement, and for an exchange of directories
// with a daemon that has already exchanged its own.
const directoryWait = 1500 * time.Millisecond

// isReady reports whether this daemon can route requests. The age of a configuration
// that a peer has pushed is unknown until it is confirmed. Until then requests with a
// key would be refused, so the daemon is not ready.
func (d *Daemon) isReady() bool {
	return !d.stopping.Load() && d.table.Load() != nil && d.confirmed.Load() != notConfirmed && d.evacuationsKnown() && d.directoryComplete()
}

// directoryComplete reports whether the directory can be assumed to contain all
// daemons. Until then a directory of a few daemons cannot be told from a small
// deployment.
func (d *Daemon) directoryComplete() bool {
	return d.rowsRead.Load() || len(*d.members.Load()) > 1 && d.now().Sub(d.epoch) >= directoryWait
}

// probe starts a health check to learn the id of the backend server while no
// heartbeat has been received: after a restart of the daemon the next heartbeat may
// take a while.
func (c *control) probe() {
	t := c.d.table.Load()
	unknown := c.local.State() == membership.Unknown
	if t == nil || c.probing || !unknown && !c.mustAskColdness() || c.d.stopping.Load() {
		return
	}
	s := t.Service(c.d.settings.Service)
	if s == nil {
		return
	}
	c.probing = true
	go func() {
		var h health
		askedAt := c.d.now()
		c.d.protect("health check", func() { h = c.d.checkHealth(s.HealthPath) })
		c.post(func() { c.hearHealth(h, askedAt) })
		time.Sleep(tickInterval)
		c.post(func() {
			c.probing = false
			if unknown && c.local.HandleProbe(h.id, h.slots) {
				c.d.log.Info("backend server", "id", h.id, "state", c.local.State().String(), "by", "health check")
				c.backendChanged()
			}
		})
	}()
}

// health is what a health check has found. It is empty unless the backend server is
// healthy.
type health struct {
	id       string
	slots    int // 0 when the response does not report it
	cold     time.Duration
	coldTold bool // the response reports cold
}

// checkHealth sends a health check to the backend server on a new connection.
func (d *Daemon) checkHealth(path string) (h health) {
	ctx, cancel := context.WithTimeout(d.background, probeTimeout)
	defer cancel()
	resp, err := httpclient.Get(ctx, httpclient.GetRequest{
		Address:  d.settings.Backend,
		Host:     d.settings.Service,
		Path:     path,
		MaxBytes: maxHealthBytes,
	})
	if err != nil || resp.Header.StatusCode() != fasthttp.StatusOK {
		return health{}
	}
	if l, ok := d.dialect.ParseLoad(string(resp.Header.Peek(d.names.Load))); ok {
		h.slots = l.Slots
		d.gate.SetWorkPercent(l.WorkPercent)
	}
	h.id = string(resp.Header.Peek(d.names.BackendID))
	h.cold, h.coldTold = parseCold(resp.Header.Peek(d.names.ColdRemaining))
	return h
}
