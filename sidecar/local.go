package sidecar

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/membership"
)

// probeTimeout bounds a health check of the local backend server.
const probeTimeout = time.Second

// serveLocalCall takes heartbeats of the local backend server. The answer never
// waits for the store.
func (d *Daemon) serveLocalCall(hc *fasthttp.RequestCtx) {
	h, err := d.dialect.ParseLocalCall(string(hc.Path()), hc.PostBody())
	if err != nil {
		d.log.Warn("call of the local backend server ignored", "path", string(hc.Path()), "error", err)
		hc.Error(err.Error()+"\n", fasthttp.StatusBadRequest)
		return
	}
	if !d.control.await(d.background, func() { d.control.heard(h) }) {
		hc.Error("the daemon is stopping\n", fasthttp.StatusServiceUnavailable)
		return
	}
	hc.SetContentType("application/json")
	hc.SetBody(d.dialect.Acknowledgement())
}

// serveReadiness tells whether callers may be sent here.
func (d *Daemon) serveReadiness(hc *fasthttp.RequestCtx) {
	if !d.dialect.IsReadinessPath(string(hc.Path())) {
		hc.Error("not found\n", fasthttp.StatusNotFound)
		return
	}
	if !d.isReady() {
		hc.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// directoryWait is the time after which what other daemons have told counts as
// the whole directory while the store cannot be read: an announcement, and a
// comparison of directories with a daemon that has compared its own.
const directoryWait = 1500 * time.Millisecond

// isReady reports whether this daemon can route requests. A configuration that a
// peer has pushed does not tell how old it is: until that is known, requests with
// a key would be refused.
func (d *Daemon) isReady() bool {
	return !d.stopping.Load() && d.table.Load() != nil && d.confirmed.Load() != notConfirmed && d.directoryWhole()
}

// directoryWhole reports whether all daemons are known, as far as they can be.
// Until then the few that are known look like all there are.
func (d *Daemon) directoryWhole() bool {
	return d.rowsRead.Load() || len(*d.members.Load()) > 1 && d.now().Sub(d.epoch) >= directoryWait
}

// probe asks the backend server for its id while nothing has been heard from
// it: after a restart of the daemon the next heartbeat may be a while away.
func (c *control) probe() {
	t := c.d.table.Load()
	if t == nil || c.probing || c.local.State() != membership.Unknown || c.d.stopping.Load() {
		return
	}
	s := t.Service(c.d.set.Service)
	if s == nil {
		return
	}
	c.probing = true
	go func() {
		id, slots := c.d.checkHealth(s.HealthPath)
		time.Sleep(tickEvery)
		c.post(func() {
			c.probing = false
			if c.local.Probed(id, slots) {
				c.d.log.Info("backend server", "id", id, "state", c.local.State().String(), "by", "health check")
				c.backendChanged()
			}
		})
	}()
}

// checkHealth asks the backend server for its health on a connection of its
// own. It returns its id when it is healthy, and its slots when it tells them.
func (d *Daemon) checkHealth(path string) (id string, slots int) {
	ctx, cancel := context.WithTimeout(d.background, probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.set.Backend)
	if err != nil {
		return "", 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(probeTimeout))
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + d.set.Service + "\r\nConnection: close\r\n\r\n")); err != nil {
		return "", 0
	}
	var resp fasthttp.Response
	if resp.Read(bufio.NewReader(conn)) != nil || resp.StatusCode() != fasthttp.StatusOK {
		return "", 0
	}
	if l, ok := d.dialect.ParseLoad(string(resp.Header.Peek(d.names.Load))); ok {
		slots = l.Slots
	}
	return string(resp.Header.Peek(d.names.BackendID)), slots
}
