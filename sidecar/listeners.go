package sidecar

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/acceptor"
	"wisteriafold/link"
)

// Limits of the listeners for readiness, heartbeats and metrics.
const (
	localHeadBytes    = 8 << 10          // request line and header fields
	localBodyBytes    = 128 << 10        // heartbeats are a few hundred bytes
	localReadTimeout  = 3 * time.Second  // for a whole request, from its first byte
	localWriteTimeout = 5 * time.Second  // for a whole response
	localIdleTimeout  = 30 * time.Second // heartbeats and checks come every second or two

	maxLocalConnections = 64 // for each listener

	minConnections = 8 // of each kind, whatever the limit on descriptors
)

// Fractions of the descriptors of the process that its connections other than those of
// callers may take.
const (
	localDescriptorFraction   = 32 // for each of the three local listeners
	handshakeDescriptorFrac   = 16
	sessionDescriptorFraction = 4
	backendDescriptorFraction = 8

	// fixedDescriptors are the descriptors for listeners, the store, logs and the
	// runtime. 18 are open in an idle daemon.
	fixedDescriptors = 32
)

// share returns the part of the descriptors of the process that a fraction stands for,
// at least minConnections and at most most. Without a limit on descriptors it is most.
func (s *Settings) share(fraction, most int) int {
	if s.MaxDescriptors <= 0 {
		return most
	}
	return max(minConnections, min(most, s.MaxDescriptors/fraction))
}

// localConnections returns the maximum number of connections of each local listener.
func (s *Settings) localConnections() int {
	return s.share(localDescriptorFraction, maxLocalConnections)
}

// backendConnections returns the maximum number of connections to the backend server.
func (s *Settings) backendConnections() int {
	return s.share(backendDescriptorFraction, defaultBackendConnections)
}

// limitLinks bounds the sessions and handshakes of links by the descriptors.
func (s *Settings) limitLinks(cfg *link.Config) {
	cfg.MaxHandshakes = s.share(handshakeDescriptorFrac, cfg.MaxHandshakes)
	cfg.MaxSessions = s.share(sessionDescriptorFraction, cfg.MaxSessions)
}

// reservedDescriptors returns the number of descriptors that connections other than
// those of callers may take.
func (s *Settings) reservedDescriptors() int {
	const localListeners = 3
	cfg := link.Defaults()
	s.limitLinks(&cfg)
	return fixedDescriptors + localListeners*s.localConnections() + s.backendConnections() + cfg.MaxHandshakes + cfg.MaxSessions
}

// protectListener returns l with failed accepts logged, counted and retried. With a limit, the
// number of its connections is bounded.
func (d *Daemon) protectListener(name string, l net.Listener, maxConnections int) net.Listener {
	failures := d.metrics.set.GetOrCreateCounter(fmt.Sprintf(`accept_failures_total{listener=%q}`, name))
	closed := d.metrics.set.GetOrCreateCounter(fmt.Sprintf(`connections_closed_for_room_total{listener=%q}`, name))
	return acceptor.New(l, acceptor.Config{
		MaxConnections: maxConnections,
		Failed: func(err error) {
			failures.Inc()
			if d.metrics.trouble.allow(d.now()) {
				d.log.Error("accept failed, it is retried: raise maxFds or close connections", "listener", name, "error", err)
			}
		},
		Closed: closed.Inc,
	})
}

// serveHTTP serves HTTP on a listener other than the callers' one, such as
// readiness or metrics.
func (d *Daemon) serveHTTP(name string, l net.Listener, h fasthttp.RequestHandler) {
	s := &fasthttp.Server{
		Handler:                      d.protectHTTP("local HTTP request", h),
		ReadBufferSize:               localHeadBytes,
		MaxRequestBodySize:           localBodyBytes,
		ReadTimeout:                  localReadTimeout,
		WriteTimeout:                 localWriteTimeout,
		IdleTimeout:                  localIdleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		ReduceMemoryUsage:            true,
		Logger:                       quietLogger{},
	}
	d.servers = append(d.servers, s)
	l = d.protectListener(name, l, d.settings.localConnections())
	d.spawn(func() { d.reportServeError(s.Serve(l)) })
}
