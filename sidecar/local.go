package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/membership"
)

const (
	// probeTimeout limits a health check of the local backend server.
	probeTimeout = time.Second

	// maxHealthBytes limits the bytes that are read of a response to a health check.
	maxHealthBytes = 64 << 10
)

// serveLocalCall handles heartbeats of the local backend server. It never waits for
// the store.
func (d *Daemon) serveLocalCall(hc *fasthttp.RequestCtx) {
	h, err := d.dialect.ParseHeartbeat(string(hc.Path()), hc.PostBody())
	if err != nil {
		d.log.Warn("invalid call from the local backend server", "path", string(hc.Path()), "error", err)
		hc.Error(err.Error()+"\n", fasthttp.StatusBadRequest)
		return
	}
	if !d.control.postAndWait(d.background, func() { d.control.handleHeartbeat(h) }) {
		hc.Error("the daemon is stopping\n", fasthttp.StatusServiceUnavailable)
		return
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
	return !d.stopping.Load() && d.table.Load() != nil && d.confirmed.Load() != notConfirmed && d.directoryComplete()
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
	if t == nil || c.probing || c.local.State() != membership.Unknown || c.d.stopping.Load() {
		return
	}
	s := t.Service(c.d.settings.Service)
	if s == nil {
		return
	}
	c.probing = true
	go func() {
		var id string
		var slots int
		c.d.protect("health check", func() { id, slots = c.d.checkHealth(s.HealthPath) })
		time.Sleep(tickInterval)
		c.post(func() {
			c.probing = false
			if c.local.HandleProbe(id, slots) {
				c.d.log.Info("backend server", "id", id, "state", c.local.State().String(), "by", "health check")
				c.backendChanged()
			}
		})
	}()
}

// checkHealth sends a health check to the backend server on a new connection. It
// returns the backend server's id when it is healthy, and its number of slots when
// the response reports it.
func (d *Daemon) checkHealth(path string) (id string, slots int) {
	ctx, cancel := context.WithTimeout(d.background, probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.settings.Backend)
	if err != nil {
		return "", 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(probeTimeout))
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + d.settings.Service + "\r\nConnection: close\r\n\r\n")); err != nil {
		return "", 0
	}
	var resp fasthttp.Response
	if resp.Read(bufio.NewReader(io.LimitReader(conn, maxHealthBytes))) != nil || resp.StatusCode() != fasthttp.StatusOK {
		return "", 0
	}
	if l, ok := d.dialect.ParseLoad(string(resp.Header.Peek(d.names.Load))); ok {
		slots = l.Slots
		d.gate.SetWorkPercent(l.WorkPercent)
	}
	return string(resp.Header.Peek(d.names.BackendID)), slots
}
