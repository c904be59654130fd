package sidecar

import (
	"context"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"wisteriafold/backend"
	"wisteriafold/caller"
	"wisteriafold/link"
	"wisteriafold/membership"
	"wisteriafold/request"
	"wisteriafold/routing"
	"wisteriafold/service"
	"wisteriafold/wire"
)

const (
	// backendDialTimeout bounds opening a connection to the backend server on
	// the same instance.
	backendDialTimeout = 500 * time.Millisecond

	// backendIdle is how long an unused connection to it is kept.
	backendIdle = 8 * time.Second

	// peerDialTimeout bounds opening a connection to another daemon: ten times
	// the longest round trip between regions, under a caller's patience.
	peerDialTimeout = 400 * time.Millisecond

	// callerIdle is how long an unused connection of a caller is kept; it is
	// above the idle time that configurations promise to callers.
	callerIdle = 90 * time.Second

	// callerRead bounds the time in which a caller sends a whole request.
	callerRead = 30 * time.Second

	// callerWrite bounds the time in which a caller takes an answer.
	callerWrite = 15 * time.Second

	// watchEvery is the time between two looks at the connections of callers:
	// work for a caller who left has to stop within half a second.
	watchEvery = 150 * time.Millisecond

	// startSlots is the concurrency limit until a heartbeat tells the slots.
	startSlots = 16

	// backendConnections is the number of connections to the backend server
	// until the configuration tells its limit.
	backendConnections = 200

	// keyMargin is taken off the time in which a withdrawn key must stop: the
	// store's watches may be deaf for a second, and a dispatch takes a moment.
	keyMargin = 1400 * time.Millisecond

	notConfirmed = math.MinInt64 // in Daemon.confirmed
)

// Options is what a daemon needs besides its settings.
type Options struct {
	Log     io.Writer // receives JSON lines
	Dialect Dialect
	Store   Store
}

// Daemon is one running instance of the system.
type Daemon struct {
	set     Settings
	dialect Dialect
	names   fieldNames
	store   Store
	place   service.Location
	epoch   time.Time
	log     *log.Logger
	lines   *lineWriter
	metrics *metricSet

	table      atomic.Pointer[routing.Table]
	confirmed  atomic.Int64 // time since boot at which the configuration was the newest, ns
	members    atomic.Pointer[[]*membership.Entry]
	entrySelf  atomic.Pointer[membership.Entry]
	backendNow atomic.Pointer[backendState]
	gate       *backend.Gate
	client     *backend.Client
	links      *link.Links
	watch      *caller.Watch
	runs       runs
	services   sync.Map // service -> *endpoints
	routes     sync.Map // route -> *routeState
	tokens     *tokens
	control    *control

	inFlight  atomic.Int64 // requests in progress
	held      atomic.Int64 // bytes of request bodies
	stopping  atomic.Bool
	leaveAt   atomic.Int64 // callers are refused from then on, Unix ns; 0 while not stopping
	rowsRead  atomic.Bool  // the rows of all daemons have been read
	listeners []net.Listener
	servers   []*fasthttp.Server

	traffic    context.Context // ends when requests are cut
	cutTraffic context.CancelFunc
	background context.Context // ends when the daemon stops
	endBack    context.CancelFunc
	wg         sync.WaitGroup
	failed     chan error
}

// New returns a daemon that is not yet serving.
func New(set Settings, opt Options) (*Daemon, error) {
	if opt.Log == nil {
		opt.Log = io.Discard
	}
	d := &Daemon{
		set:     set,
		dialect: opt.Dialect,
		names:   newFieldNames(opt.Dialect.HeaderNames()),
		store:   opt.Store,
		place:   service.Location{Peer: set.Listen.Peers, DataCentre: set.DataCentre, Region: set.Region},
		epoch:   time.Now(),
		lines:   newLineWriter(opt.Log),
		metrics: newMetricSet(),
		watch:   caller.NewWatch(watchEvery),
		runs:    runs{byID: make(map[string]*run)},
		failed:  make(chan error, 8),
	}
	d.log = newLogger(d.lines, set.Instance)
	d.confirmed.Store(notConfirmed)
	d.backendNow.Store(&backendState{})
	d.members.Store(&[]*membership.Entry{})
	d.traffic, d.cutTraffic = context.WithCancel(context.Background())
	d.background, d.endBack = context.WithCancel(context.Background())
	d.gate = backend.NewGate(backend.Config{Slots: startSlots, Connections: backendConnections}, d.now)
	d.client = backend.NewClient(backend.ClientConfig{
		Address:     set.Backend,
		Connections: backendConnections,
		DialTimeout: backendDialTimeout,
		IdleTimeout: backendIdle,
	})
	d.tokens = newTokens(d.sendFleet)
	d.control = newControl(d)
	cfg := link.Defaults()
	cfg.DialTimeout = peerDialTimeout
	cfg.Hello = &wire.Hello{
		Instance:    d.place.Peer,
		DataCentre:  d.place.DataCentre,
		Region:      d.place.Region,
		Incarnation: uint64(d.epoch.UnixMilli()),
	}
	var err error
	d.links, err = link.New(cfg, d)
	return d, err
}

// now returns the local time; only differences are used.
func (d *Daemon) now() time.Time { return time.Now() }

// self returns this daemon's own entry.
func (d *Daemon) self() *membership.Entry { return d.entrySelf.Load() }

// age returns the time since which a newer configuration may have been accepted.
func (d *Daemon) age() time.Duration {
	at := d.confirmed.Load()
	if at == notConfirmed {
		return math.MaxInt64
	}
	return sinceBoot() - time.Duration(at)
}

// keysFresh reports whether a withdrawn key would have been noticed.
func (d *Daemon) keysFresh() bool { return d.age() < d.set.KeyRevocation-keyMargin }

// routeState is what this entry has learned about a route.
type routeState struct {
	*request.EntryControl
	answerBytes atomic.Int64 // smoothed size of an answer, 0 before the first
}

// answerWeight is the part by which one answer moves the smoothed size.
const answerWeight = 1.0 / 16

// sized takes in the size of an answer.
func (r *routeState) sized(n int64) {
	old := r.answerBytes.Load()
	if old == 0 {
		r.answerBytes.Store(n)
		return
	}
	r.answerBytes.Store(old + int64(answerWeight*float64(n-old)))
}

// routeOf returns what this entry has learned about a route.
func (d *Daemon) routeOf(route string) *routeState {
	if r, ok := d.routes.Load(route); ok {
		return r.(*routeState)
	}
	r, _ := d.routes.LoadOrStore(route, &routeState{EntryControl: request.NewEntryControl(request.EntryConfig{})})
	return r.(*routeState)
}

// endpointEntries returns the endpoints of a service from the directory.
func (d *Daemon) endpointEntries(name string) []service.Endpoint {
	var eps []service.Endpoint
	for _, e := range *d.members.Load() {
		if e.Service != name || e.Leaving || membership.State(e.State) != membership.Ready {
			continue
		}
		eps = append(eps, service.Endpoint{
			Peer:        e.Peer,
			Service:     e.Service,
			DataCentre:  e.DataCentre,
			Region:      e.Region,
			Slots:       e.Slots,
			Connections: e.Slots,
			Incarnation: uint64(e.Born),
		})
	}
	return eps
}

// Start opens the listeners and begins to serve. Errors name the listener.
func (d *Daemon) Start() error {
	for _, x := range []struct {
		name, addr string
		serve      func(net.Listener)
	}{
		{"heartbeats", d.set.Listen.Heartbeats, func(l net.Listener) { d.serveHTTP(l, d.serveLocalCall) }},
		{"readiness", d.set.Listen.Readiness, func(l net.Listener) { d.serveHTTP(l, d.serveReadiness) }},
		{"peers", d.set.Listen.Peers, func(l net.Listener) { d.goes(func() { d.endedWith(d.links.Serve(l)) }) }},
		{"metrics", d.set.Listen.Metrics, func(l net.Listener) { d.serveHTTP(l, d.serveMetrics) }},
		{"callers", d.set.Listen.Callers, d.serveCallers},
	} {
		l, err := net.Listen("tcp", x.addr)
		if err != nil {
			return eris.Wrapf(err, "listener for %s at %s: free the address or name another", x.name, x.addr)
		}
		d.listeners = append(d.listeners, l)
		x.serve(l)
	}
	d.goes(func() { d.watch.Run(d.background) })
	d.goes(func() { d.control.run(d.background) })
	d.log.Info("start", "service", d.set.Service, "data_centre", d.set.DataCentre, "peer", d.place.Peer, "store", d.set.StoreAddress)
	return nil
}

func (d *Daemon) goes(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// endedWith passes on an error that ended a listener.
func (d *Daemon) endedWith(err error) {
	if err != nil && !d.stopping.Load() {
		d.failed <- err
	}
}

// Failed delivers an error that keeps a listener from serving.
func (d *Daemon) Failed() <-chan error { return d.failed }

// serveHTTP serves one of the small listeners.
func (d *Daemon) serveHTTP(l net.Listener, h fasthttp.RequestHandler) {
	s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, NoDefaultDate: true, IdleTimeout: callerIdle, Logger: quietLogger{}}
	d.servers = append(d.servers, s)
	d.goes(func() { d.endedWith(s.Serve(l)) })
}

// quietLogger drops what fasthttp says about broken connections: every request
// that reached a handler has its own line.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// headerBytes bounds the request line and header fields of a caller; it is
// above what configurations allow.
const headerBytes = 20 << 10

func (d *Daemon) serveCallers(l net.Listener) {
	s := &fasthttp.Server{
		Handler:                      d.serveCaller,
		ReadBufferSize:               headerBytes,
		ReadTimeout:                  callerRead,
		WriteTimeout:                 callerWrite,
		IdleTimeout:                  callerIdle,
		StreamRequestBody:            true,
		MaxRequestBodySize:           prefetchBytes,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		ReduceMemoryUsage:            true,
		Logger:                       quietLogger{},
	}
	d.servers = append(d.servers, s)
	d.goes(func() { d.endedWith(s.Serve(l)) })
}

// ReadyEndpoints returns the number of backend servers that are known to take
// work.
func (d *Daemon) ReadyEndpoints() int {
	n := 0
	for _, e := range *d.members.Load() {
		if !e.Leaving && membership.State(e.State) == membership.Ready {
			n++
		}
	}
	return n
}

// Generation returns the configuration in force, 0 when there is none.
func (d *Daemon) Generation() uint64 {
	if t := d.table.Load(); t != nil {
		return t.Generation
	}
	return 0
}
