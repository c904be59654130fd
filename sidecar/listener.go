package sidecar

import (
	"bytes"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/ingress"
)

const (
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout are in force until
	// the configuration sets its own. They are above what configurations promise to
	// callers.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 30 * time.Second
	defaultIdleTimeout   = 90 * time.Second

	// maxHeaderBytes is the largest limit of a configuration that is in force. Each
	// connection whose head is being read has a buffer of that size.
	maxHeaderBytes = 1 << 20

	// idleMargin is added to the configuration's idle time, so that a caller that uses
	// a connection within it does not meet the end of the connection.
	idleMargin = time.Second

	// minCallerConnectionFraction is the least fraction of the descriptors that the
	// connections of callers may take, however many others are reserved.
	minCallerConnectionFraction = 0.25

	// callerMemoryFraction is the fraction of the memory limit of the process that
	// heads and answers of callers may take. It is less than heldAnswerFraction, so that
	// callers that take no bytes are cut before answers wait for memory.
	callerMemoryFraction = 3.0 / 16

	// defaultCallerMemory is the limit, in bytes, of a daemon without a memory limit.
	defaultCallerMemory = 64 << 20
)

// callerLimits returns the limits in force for the connections of callers.
func (d *Daemon) callerLimits() ingress.Limits {
	l := ingress.Limits{
		HeaderBytes:   defaultHeaderBytes,
		HeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:   defaultIdleTimeout,
		Connections:   d.settings.callerConnections(),
		HeldBytes:     d.settings.callerMemory(),
	}
	t := d.table.Load()
	if t == nil || t.Configuration == nil {
		return l
	}
	if t.MaxHeaderBytes > 0 {
		l.HeaderBytes = min(t.MaxHeaderBytes, maxHeaderBytes)
	}
	if t.HeaderTimeout > 0 {
		l.HeaderTimeout = t.HeaderTimeout
	}
	if t.IdleTimeout > 0 {
		l.IdleTimeout = t.IdleTimeout + idleMargin
	}
	return l
}

// callerConnections returns the maximum number of connections of callers, 0 for no
// limit.
func (s *Settings) callerConnections() int {
	if s.MaxDescriptors <= 0 {
		return 0
	}
	return max(s.MaxDescriptors-s.reservedDescriptors(), int(minCallerConnectionFraction*float64(s.MaxDescriptors)))
}

// callerMemory returns the maximum number of bytes of heads and answers that are held
// for callers.
func (s *Settings) callerMemory() int64 {
	if s.MemoryBytes <= 0 {
		return defaultCallerMemory
	}
	return int64(callerMemoryFraction * float64(s.MemoryBytes))
}

// newCallerServer returns the server of the callers' listener.
func (d *Daemon) newCallerServer() *ingress.Server {
	return ingress.New(ingress.Options{
		Handler:  d.serveCaller,
		Overlaps: d.mayOverlap,
		Limits:   d.callerLimits,
		Wanted:   d.answers.account.Wanted,
		Context:  d.traffic,
		Log:      func(msg string, keyvals ...any) { d.log.Warn(msg, keyvals...) },
	})
}

func (d *Daemon) serveCallers(l net.Listener) {
	d.spawn(func() { d.reportServeError(d.callers.Serve(l)) })
}

// beginRequest counts a request that has been taken.
func (d *Daemon) beginRequest() {
	d.begun.Add(1)
	d.inFlight.Add(1)
}

// unfinished returns the number of requests in progress, with those of callers whose
// answer has not left completely.
func (d *Daemon) unfinished() int64 { return d.inFlight.Load() + d.callers.Waiting() }

// mayOverlap reports whether a request may run beside others of its connection: its
// route is known and idempotent.
func (d *Daemon) mayOverlap(h *fasthttp.RequestHeader) bool {
	t := d.table.Load()
	if t == nil {
		return false
	}
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	m, found := t.Match(string(h.Host()), string(path))
	return found && m.Idempotent
}

// writeCallerMetrics writes the metrics of the callers' listener.
func (d *Daemon) writeCallerMetrics(b *bytes.Buffer) {
	s := d.callers.Stats()
	for _, x := range []struct {
		name  string
		value any
	}{
		{"caller_connections_open", s.Open},
		{"caller_connections_refused_total", s.Refused},
		{"caller_connections_evicted_total", s.Evicted},
		{"caller_accept_errors_total", s.AcceptErrors},
		{"caller_heads_rejected_total", s.HeadsRejected},
		{"caller_readers_cut_total", s.ReadersCut},
		{"caller_bytes_held", s.HeldBytes},
		{"caller_requests_read_ahead_total", s.ReadAhead},
		{"caller_requests_waiting", d.callers.Waiting()},
	} {
		fmt.Fprintf(b, "%s %v\n", x.name, x.value)
	}
}
