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
	"wisteriafold/httpclient"
	"wisteriafold/ingress"
	"wisteriafold/link"
	"wisteriafold/membership"
	"wisteriafold/request"
	"wisteriafold/routing"
	"wisteriafold/service"
	"wisteriafold/wire"
)

const (
	// backendDialTimeout limits dialing the backend server on the same instance.
	backendDialTimeout = 500 * time.Millisecond

	// backendIdleTimeout is how long an idle connection to the backend server is
	// kept open.
	backendIdleTimeout = 8 * time.Second

	// peerDialTimeout limits dialing another daemon. It is ten times the longest
	// round trip between regions and shorter than callers wait.
	peerDialTimeout = 400 * time.Millisecond

	// initialSlots is the concurrency limit until a heartbeat reports the number
	// of slots.
	initialSlots = 16

	// defaultBackendConnections is the maximum number of connections to the
	// backend server until the configuration sets one.
	defaultBackendConnections = 200

	// keyRevocationMargin is subtracted from the time within which a withdrawn key
	// must stop working: watches of the store may miss changes for a second, and
	// dispatching a request takes some time.
	keyRevocationMargin = 1400 * time.Millisecond

	notConfirmed = math.MinInt64 // value of Daemon.confirmed before the first confirmation
)

// Options holds what a daemon needs in addition to its settings.
type Options struct {
	Log     io.Writer // receives JSON lines; nil discards them
	Dialect Dialect
	Store   Store
}

// Daemon is a running sidecar daemon.
type Daemon struct {
	settings Settings
	dialect  Dialect
	names    fieldNames
	store    Store
	location service.Location
	epoch    time.Time
	log      *log.Logger
	lines    *lineWriter
	metrics  *metricSet

	table           atomic.Pointer[routing.Table]
	confirmed       atomic.Int64               // time since boot at which the configuration was last confirmed as the newest, ns
	evacuation      atomic.Pointer[evacuation] // nil while it is not known
	members         atomic.Pointer[[]*membership.Entry]
	selfEntry       atomic.Pointer[membership.Entry]
	backendSnapshot atomic.Pointer[backendState]
	gate            *backend.Gate
	client          *httpclient.Client
	links           *link.Links
	callers         *ingress.Server
	runs            runs
	services        sync.Map // service -> *endpoints
	routes          sync.Map // route -> *routeState
	tokens          *tokens
	control         *control

	lost          lostConnections // connections to the backend server
	coldServices  coldServices
	explaining    sync.Mutex   // serialises explanations
	inFlight      atomic.Int64 // requests in progress
	begun         atomic.Int64 // requests that have begun since the start
	heldBodyBytes atomic.Int64 // bytes of request bodies held in memory
	answers       answerAccounts
	stopping      atomic.Bool
	stopTimes     atomic.Pointer[stopTimes] // nil while no planned stop is in progress
	rowsRead      atomic.Bool               // the rows of all daemons have been read from the store
	listeners     []net.Listener
	servers       []*fasthttp.Server

	traffic          context.Context // cancelled when requests in progress are aborted
	cancelTraffic    context.CancelFunc
	background       context.Context // cancelled when the daemon stops
	cancelBackground context.CancelFunc
	wg               sync.WaitGroup
	failed           chan error
}

// New returns a daemon that does not serve until Start is called.
func New(settings Settings, opt Options) (*Daemon, error) {
	if opt.Log == nil {
		opt.Log = io.Discard
	}
	d := &Daemon{
		settings: settings,
		dialect:  opt.Dialect,
		names:    newFieldNames(opt.Dialect.HeaderNames()),
		store:    opt.Store,
		location: service.Location{Peer: settings.Listen.Peers, DataCentre: settings.DataCentre, Region: settings.Region},
		epoch:    time.Now(),
		lines:    newLineWriter(opt.Log),
		metrics:  newMetricSet(),
		runs:     runs{byID: make(map[string]*run)},
		failed:   make(chan error, 8),
		answers:  newAnswerAccounts(&settings),
	}
	d.log = newLogger(d.lines, settings.Instance)
	d.confirmed.Store(notConfirmed)
	d.backendSnapshot.Store(&backendState{})
	d.members.Store(&[]*membership.Entry{})
	d.traffic, d.cancelTraffic = context.WithCancel(context.Background())
	d.background, d.cancelBackground = context.WithCancel(context.Background())
	d.gate = backend.NewGate(backend.Config{Slots: initialSlots, MaxConnections: settings.backendConnections()}, d.now)
	d.client = httpclient.New(httpclient.Config{
		Address:        settings.Backend,
		MaxConnections: settings.backendConnections(),
		DialTimeout:    backendDialTimeout,
		IdleTimeout:    backendIdleTimeout,
		MaxAnswerBytes: settings.answerLimit(),
		Answers:        d.answers.gate,
		OnEnded:        d.noteEnded,
	})
	d.configureColdAtStart()
	d.tokens = newTokens(d.sendFleet)
	d.control = newControl(d)
	d.callers = d.newCallerServer()
	cfg := link.Defaults()
	cfg.DialTimeout = peerDialTimeout
	settings.limitLinks(&cfg)
	cfg.Hello = &wire.Hello{
		Instance:    d.location.Peer,
		DataCentre:  d.location.DataCentre,
		Region:      d.location.Region,
		Incarnation: uint64(d.epoch.UnixMilli()),
	}
	var err error
	d.links, err = link.New(cfg, d)
	return d, err
}

// now returns the local time. Only differences between its results are meaningful.
func (d *Daemon) now() time.Time { return time.Now() }

// self returns this daemon's own membership entry.
func (d *Daemon) self() *membership.Entry { return d.selfEntry.Load() }

// configurationAge returns how long ago the configuration in force was last
// confirmed as the newest. A newer one may have been accepted since. It returns
// math.MaxInt64 before the first confirmation.
func (d *Daemon) configurationAge() time.Duration {
	at := d.confirmed.Load()
	if at == notConfirmed {
		return math.MaxInt64
	}
	return sinceBoot() - time.Duration(at)
}

// keysFresh reports whether the configuration is recent enough that a withdrawn
// key would have been noticed.
func (d *Daemon) keysFresh() bool {
	return d.configurationAge() < d.settings.KeyRevocation-keyRevocationMargin
}

// routeState holds what this daemon, as an entry, has observed about a route.
type routeState struct {
	*request.EntryControl
	answerBytes atomic.Int64 // moving average of answer sizes, bytes; 0 before the first answer
}

// answerSizeWeight is the weight of one answer in the moving average of sizes.
const answerSizeWeight = 1.0 / 16

// recordAnswerSize adds the size of an answer, in bytes, to the moving average.
func (r *routeState) recordAnswerSize(n int64) {
	old := r.answerBytes.Load()
	if old == 0 {
		r.answerBytes.Store(n)
		return
	}
	r.answerBytes.Store(old + int64(answerSizeWeight*float64(n-old)))
}

// routeStateOf returns the state of a route, which is created on first use.
func (d *Daemon) routeStateOf(route string) *routeState {
	if r, ok := d.routes.Load(route); ok {
		return r.(*routeState)
	}
	r, _ := d.routes.LoadOrStore(route, &routeState{EntryControl: request.NewEntryControl(request.EntryConfig{})})
	return r.(*routeState)
}

// endpointEntries returns the ready endpoints of a service from the directory.
func (d *Daemon) endpointEntries(name string) []service.Endpoint {
	var eps []service.Endpoint
	share, slowStart := d.coldShare(name), d.coldServices.of(name).Start
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
			Process:     e.Incarnation,
			Evacuated:   d.isEvacuated(e.DataCentre),
			ColdShare:   share,
			SlowStart:   slowStart,
			ColdUntil:   d.coldUntil(e, share),
		})
	}
	return eps
}

// Start opens the listeners and starts serving. Its error names the listener that
// could not be opened.
func (d *Daemon) Start() error {
	for _, x := range []struct {
		name, addr string
		serve      func(net.Listener)
	}{
		{"heartbeats", d.settings.Listen.Heartbeats, func(l net.Listener) { d.serveHTTP("heartbeats", l, d.serveLocalCall) }},
		{"readiness", d.settings.Listen.Readiness, func(l net.Listener) { d.serveHTTP("readiness", l, d.serveReadiness) }},
		{"peers", d.settings.Listen.Peers, func(l net.Listener) {
			d.spawn(func() { d.reportServeError(d.links.Serve(d.protectListener("peers", l, 0))) })
		}},
		{"metrics", d.settings.Listen.Metrics, func(l net.Listener) { d.serveHTTP("metrics", l, d.serveMetricsPages) }},
		{"callers", d.settings.Listen.Callers, d.serveCallers},
	} {
		l, err := net.Listen("tcp", x.addr)
		if err != nil {
			return eris.Wrapf(err, "listen for %s on %s: free the address or configure another one", x.name, x.addr)
		}
		d.listeners = append(d.listeners, l)
		x.serve(l)
	}
	d.spawn(func() { d.control.run(d.background) })
	d.log.Info("start", "service", d.settings.Service, "data_centre", d.settings.DataCentre, "peer", d.location.Peer, "store", d.settings.StoreAddress)
	return nil
}

func (d *Daemon) spawn(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// reportServeError passes an error that ended a listener to Failed, unless the
// daemon is stopping.
func (d *Daemon) reportServeError(err error) {
	if err != nil && !d.stopping.Load() {
		d.failed <- err
	}
}

// Failed returns a channel that delivers errors that stopped a listener.
func (d *Daemon) Failed() <-chan error { return d.failed }

// quietLogger discards the messages of fasthttp about broken connections. Requests
// that reach a handler are logged by the daemon itself.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// ReadyEndpoints returns the number of backend servers in the directory that are
// ready to take requests.
func (d *Daemon) ReadyEndpoints() int {
	n := 0
	for _, e := range *d.members.Load() {
		if !e.Leaving && membership.State(e.State) == membership.Ready {
			n++
		}
	}
	return n
}

// Members returns the number of daemons in the directory, this one included.
func (d *Daemon) Members() int { return len(*d.members.Load()) }

// Generation returns the generation of the configuration in force, 0 when there is
// none.
func (d *Daemon) Generation() uint64 {
	if t := d.table.Load(); t != nil {
		return t.Generation
	}
	return 0
}
