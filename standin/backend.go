package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"wisteriafold/httpclient"
	"wisteriafold/instance"
)

// Header fields that the stand-ins send to each other.
const (
	HeaderNonce = "Standin-Nonce" // echoed in the answer, to match an answer with its request
	HeaderOrder = "Standin-Order" // ID of a non-idempotent order, whose runs the ledger counts
	HeaderChain = "Standin-Chain" // services still to be called, separated by commas
	HeaderIdle  = "Standin-Idle"  // set to skip the service time
)

// BackendConfig configures a backend server stand-in.
type BackendConfig struct {
	Service     string        // name of its service, part of each answer
	Slots       int           // concurrent calls that it runs; further calls are shed
	Connections int           // concurrent connections that it accepts
	ServiceTime time.Duration // mean service time of one call, exponentially distributed
	ColdFor     time.Duration // time after the start during which calls take ColdFactor times as long
	ColdFactor  float64       // factor on the service time while cold
	ReportLag   time.Duration // interval at which the load endpoint takes a new count, at least 100 ms
	Egress      string        // egress listener of its daemon, empty if it makes no calls
	Seed        uint64        // seed of the service times
}

const (
	workSlice       = 5 * time.Millisecond // interval at which a call checks that its caller is still connected
	nextCallTimeout = 30 * time.Second
	padBytes        = 64
)

// Backend is a backend server stand-in. It honours deadlines and cancellation,
// sheds calls while all slots are busy, is slow after its start, drains, and
// reports its load with a delay.
type Backend struct {
	cfg     BackendConfig
	ledger  *Ledger
	started time.Time
	slots   chan struct{}
	client  *fasthttp.Client
	srv     *fasthttp.Server

	slow     atomic.Int64 // factor on the service time, in percent
	draining atomic.Bool
	served   atomic.Int64
	report   atomic.Int64 // busy slots at the last tick of ReportLag
	stop     chan struct{}
	wg       sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
}

// NewBackend returns a backend server stand-in that is not yet serving.
func NewBackend(cfg BackendConfig, ledger *Ledger) *Backend {
	b := &Backend{
		cfg:    cfg,
		ledger: ledger,
		slots:  make(chan struct{}, cfg.Slots),
		client: &fasthttp.Client{ReadTimeout: nextCallTimeout, WriteTimeout: nextCallTimeout, MaxConnsPerHost: 4 * cfg.Slots, MaxIdemponentCallAttempts: 1},
		rng:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		stop:   make(chan struct{}),
	}
	b.slow.Store(100)
	b.srv = &fasthttp.Server{
		Handler:            b.handle,
		Concurrency:        cfg.Connections,
		StreamRequestBody:  true,
		MaxRequestBodySize: 1 << 20,
		Name:               "standin",
		CloseOnShutdown:    true,
		Logger:             discardLogger{},
	}
	return b
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections until Close.
func (b *Backend) Serve(l net.Listener) error {
	b.started = time.Now()
	b.wg.Add(1)
	go b.refreshReport()
	return b.srv.Serve(l)
}

// Slow sets the factor on the service time of later calls; 1 is normal.
func (b *Backend) Slow(factor float64) { b.slow.Store(int64(factor * 100)) }

// Drain makes the health endpoint answer 503, which tells the daemon that the
// server is leaving.
func (b *Backend) Drain() { b.draining.Store(true) }

// Served returns the number of calls that the server has started.
func (b *Backend) Served() int64 { return b.served.Load() }

// Close stops accepting calls and returns after the calls in progress have ended.
func (b *Backend) Close() error {
	close(b.stop)
	err := b.srv.Shutdown()
	b.wg.Wait()
	b.client.CloseIdleConnections()
	return err
}

func (b *Backend) refreshReport() {
	defer b.wg.Done()
	t := time.NewTicker(max(b.cfg.ReportLag, 100*time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-t.C:
			b.report.Store(int64(len(b.slots)))
		}
	}
}

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		b.health(ctx)
		return
	case "/loadz":
		fmt.Fprintf(ctx, `{"busy":%d,"slots":%d}`, b.report.Load(), b.cfg.Slots)
		return
	}
	b.recordKey(ctx)
	select {
	case b.slots <- struct{}{}:
	default:
		shed(ctx, "all slots are busy")
		return
	}
	defer func() { <-b.slots }()
	b.serve(ctx)
}

func (b *Backend) health(ctx *fasthttp.RequestCtx) {
	if b.draining.Load() {
		ctx.Error("draining", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok")
}

// recordKey records a request with a key or an Authorization header: daemons must
// remove both.
func (b *Backend) recordKey(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	if len(h.Peek(instance.HeaderKey)) > 0 || len(h.Peek(fasthttp.HeaderAuthorization)) > 0 {
		b.ledger.KeySeen()
	}
}

func shed(ctx *fasthttp.RequestCtx, why string) {
	ctx.Error(why, fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(instance.HeaderOutcome, "not-run")
}

func (b *Backend) serve(ctx *fasthttp.RequestCtx) {
	work := b.workTime()
	if len(ctx.Request.Header.Peek(HeaderIdle)) > 0 {
		work = 0
	}
	if left := deadlineOf(ctx); left > 0 && work > left {
		shed(ctx, "the deadline leaves too little time")
		return
	}
	b.served.Add(1)
	b.ledger.Run(b.cfg.Service, string(ctx.Request.Header.Peek(HeaderOrder)))
	if !b.sleepUnlessCancelled(ctx, work) {
		ctx.Error("cancelled", fasthttp.StatusServiceUnavailable)
		return
	}
	size, err := readBody(ctx)
	if err != nil {
		ctx.Error("body cut short", fasthttp.StatusBadRequest)
		return
	}
	if !b.callNext(ctx) {
		return
	}
	b.answer(ctx, size)
}

// answer writes the nonce at both ends of the body, so that the caller detects a
// truncated answer and one that mixes two requests.
func (b *Backend) answer(ctx *fasthttp.RequestCtx, size int64) {
	nonce := string(ctx.Request.Header.Peek(HeaderNonce))
	pad := make([]byte, padBytes)
	for i := range pad {
		pad[i] = 'x'
	}
	ctx.SetBodyString(nonce + "\n" + b.cfg.Service + "\n" + strconv.FormatInt(size, 10) + "\n" + string(pad) + "\n" + nonce)
}

func (b *Backend) workTime() time.Duration {
	b.mu.Lock()
	x := b.rng.ExpFloat64()
	b.mu.Unlock()
	f := float64(b.slow.Load()) / 100
	if time.Since(b.started) < b.cfg.ColdFor {
		f *= b.cfg.ColdFactor
	}
	return time.Duration(x * f * float64(b.cfg.ServiceTime))
}

// sleepUnlessCancelled sleeps for d and reports false if the caller closed the
// connection before d was over.
func (b *Backend) sleepUnlessCancelled(ctx *fasthttp.RequestCtx, d time.Duration) bool {
	for d > 0 {
		s := min(d, workSlice)
		time.Sleep(s)
		d -= s
		if d > 0 && !httpclient.Alive(ctx.Conn()) {
			return false
		}
	}
	return true
}

func deadlineOf(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(instance.HeaderDeadline)), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func readBody(ctx *fasthttp.RequestCtx) (int64, error) {
	r := ctx.RequestBodyStream()
	if r == nil {
		return int64(len(ctx.PostBody())), nil
	}
	buf := make([]byte, 32<<10)
	var n int64
	for {
		k, err := r.Read(buf)
		n += int64(k)
		if eris.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
}
