package instance

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"wisteriafold/backend"
	"wisteriafold/caller"
	"wisteriafold/contract"
	"wisteriafold/httpclient"
	"wisteriafold/link"
	"wisteriafold/platform"
	"wisteriafold/service"
	"wisteriafold/wire"
)

const (
	backendDialTimeout = time.Second
	backendIdleTimeout = 30 * time.Second
	watchInterval      = 50 * time.Millisecond // between two checks for callers that have disconnected
	workers            = 8                     // goroutines for store operations and health checks
	workQueue          = 256
	requestIDBytes     = 8
	neverConfirmed     = math.MinInt64 // Daemon.confirmed before the first confirmation
)

// Options holds what a daemon needs besides its settings. A nil Log discards
// all log lines.
type Options struct {
	Log     io.Writer // receives JSON lines
	Table   platform.Table
	Objects platform.Objects
	Hooks   Hooks

	// Listeners replaces the listeners that the settings name. It is meant for
	// tests.
	Listeners *Listeners
}

// Hooks lets invariant checkers observe the taking of contract tokens. at is
// the time for which a token was taken or returned; a busy process may call the
// hook later.
type Hooks struct {
	Admitted  func(organisation string, at time.Time) // a token was taken
	GivenBack func(organisation string, at time.Time) // the token was returned because the request was not run
}

// Listeners are the four open listeners of a daemon.
type Listeners struct{ Callers, Egress, Peers, Operator net.Listener }

// Daemon is one running instance of the system.
type Daemon struct {
	set         Settings
	self        service.Location
	incarnation uint64
	epoch       time.Time
	log         *log.Logger
	decisions   *decisionLog
	hooks       Hooks
	stats       *stats

	view      atomic.Pointer[view]
	confirmed atomic.Int64 // nanoseconds from epoch to when the configuration was last confirmed
	gate      *backend.Gate
	client    *httpclient.Client
	links     *link.Links
	calls     registry
	watch     *caller.Watcher
	targets   sync.Map // service -> *target
	entries   sync.Map // route -> *request.EntryControl
	limiter   *contract.Limiter
	budgets   *linkBudgets
	claims    *claimRunner
	pool      pond.Pool
	control   *control

	listeners *Listeners
	servers   [3]*fasthttp.Server
	table     platform.Table
	objects   platform.Objects
	stopping  atomic.Bool
	stopTimes atomic.Pointer[stopTimes] // nil while no shutdown is in progress
	announced atomic.Bool
	inFlight  atomic.Int64 // outside requests in progress, including their streaming answers
	served    atomic.Int64 // outside requests that were not refused because of a shutdown

	traffic          context.Context // cancelled to cut off the calls in flight
	cancelTraffic    context.CancelFunc
	background       context.Context // cancelled when the daemon stops
	cancelBackground context.CancelFunc
	wg               sync.WaitGroup
	serveErrors      chan error
}

// New returns a daemon that is not yet serving. It fails when the log level is
// unknown or the TLS files cannot be loaded.
func New(set Settings, opt Options) (*Daemon, error) {
	if opt.Log == nil {
		opt.Log = io.Discard
	}
	level, err := log.ParseLevel(set.LogLevel)
	if err != nil {
		return nil, eris.Wrapf(err, "log_level %q: use debug, info, warn or error", set.LogLevel)
	}
	d := &Daemon{
		set:         set,
		self:        service.Location{Peer: set.Listen.Peers, DataCentre: set.DataCentre, Region: set.Region},
		epoch:       time.Now(),
		log:         newLogger(opt.Log, level),
		hooks:       opt.Hooks,
		stats:       newStats(),
		watch:       caller.NewWatcher(watchInterval),
		listeners:   opt.Listeners,
		table:       opt.Table,
		objects:     opt.Objects,
		serveErrors: make(chan error, 4),
	}
	d.incarnation = d.random()
	d.confirmed.Store(neverConfirmed)
	d.traffic, d.cancelTraffic = context.WithCancel(context.Background())
	d.background, d.cancelBackground = context.WithCancel(context.Background())
	d.gate = backend.NewGate(backend.Config{Slots: set.Backend.Slots, MaxConnections: set.Backend.Connections}, d.now)
	d.client = httpclient.New(httpclient.Config{
		Address:        set.Backend.Address,
		MaxConnections: set.Backend.Connections,
		DialTimeout:    backendDialTimeout,
		IdleTimeout:    backendIdleTimeout,
	})
	return d, d.wire()
}

// wire creates the components that need a reference to the daemon.
func (d *Daemon) wire() error {
	cfg := link.Defaults()
	cfg.MaxStreams = d.set.Limits.PeerCalls
	cfg.Hello = &wire.Hello{
		Instance:    d.self.Peer,
		DataCentre:  d.self.DataCentre,
		Region:      d.self.Region,
		Incarnation: d.incarnation,
	}
	tlsConfig, err := d.set.TLS.load()
	if err != nil {
		return err
	}
	cfg.TLS = tlsConfig
	d.links, err = link.New(cfg, d)
	if err != nil {
		return err
	}
	d.control = newControl(d)
	d.limiter = d.control.shares.Limiter()
	d.budgets = &linkBudgets{d: d}
	d.claims = newClaimRunner(d)
	return nil
}

// now returns the local time. Only differences between its results are used.
func (d *Daemon) now() time.Time { return time.Now() }

// random returns 64 random bits.
func (d *Daemon) random() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the process instead
	return binary.LittleEndian.Uint64(b[:])
}

func (d *Daemon) newRequestID() string {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Peer returns the peer address, which identifies the daemon in the fleet.
func (d *Daemon) Peer() string { return d.self.Peer }

// Start opens the listeners and starts serving. It returns when the daemon can
// be reached. An error names the listener that could not be opened.
func (d *Daemon) Start() error {
	if err := d.listen(); err != nil {
		return err
	}
	d.decisions = newDecisionLog(d.log)
	d.pool = pond.NewPool(workers, pond.WithQueueSize(workQueue), pond.WithNonBlocking(true))
	publish(d.stats)
	d.spawn(func() { d.watch.Run(d.background) })
	d.spawn(func() { d.control.run(d.background) })
	d.spawn(func() { d.checkHealth(d.background) })
	d.spawn(func() { d.maintainClaims(d.background) })
	d.spawn(func() { d.reportError(d.links.Serve(d.listeners.Peers)) })
	d.serve(0, d.listeners.Callers, d.serveCaller)
	d.serve(1, d.listeners.Egress, d.serveEgress)
	d.serve(2, d.listeners.Operator, d.serveOperator)
	d.log.Info("serving", "instance", d.set.Instance, "peer", d.self.Peer, "service", d.set.Backend.Service)
	return nil
}

func (d *Daemon) spawn(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// reportError sends an error that ended a listener to Failed, except during
// shutdown.
func (d *Daemon) reportError(err error) {
	if err != nil && !d.stopping.Load() {
		d.serveErrors <- err
	}
}

// Failed returns the channel of errors that ended a listener.
func (d *Daemon) Failed() <-chan error { return d.serveErrors }

func (d *Daemon) serve(i int, l net.Listener, h fasthttp.RequestHandler) {
	lim := d.set.Limits
	s := &fasthttp.Server{
		Handler:               h,
		Name:                  "wisteriafold",
		Concurrency:           lim.Callers,
		ReadBufferSize:        lim.HeaderBytes,
		ReadTimeout:           lim.HeaderTime,
		WriteTimeout:          lim.BodyTime,
		IdleTimeout:           lim.IdleTime,
		StreamRequestBody:     true,
		MaxRequestBodySize:    wire.ChunkBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
		ErrorHandler:          d.malformed,
		HeaderReceived: func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
			return fasthttp.RequestConfig{ReadTimeout: lim.BodyTime}
		},
	}
	d.servers[i] = s
	d.spawn(func() { d.reportError(s.Serve(l)) })
}

// discardLogger drops fasthttp's messages about broken connections, because
// every request that reached a handler has its own decision line.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func (d *Daemon) listen() error {
	if d.listeners != nil {
		return nil
	}
	l := &Listeners{}
	for _, x := range []struct {
		name string
		addr string
		into *net.Listener
	}{
		{"callers", d.set.Listen.Callers, &l.Callers},
		{"egress", d.set.Listen.Egress, &l.Egress},
		{"peers", d.set.Listen.Peers, &l.Peers},
		{"operator", d.set.Listen.Operator, &l.Operator},
	} {
		ln, err := net.Listen("tcp", x.addr)
		if err != nil {
			return eris.Wrapf(err, "listen.%s %s: free the address or use another", x.name, x.addr)
		}
		*x.into = ln
	}
	d.listeners = l
	return nil
}
