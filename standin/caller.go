package standin

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"wisteriafold/instance"
)

const (
	latencyMax    = int64(60 * time.Second / time.Microsecond)
	latencyDigits = 3
	callerConns   = 512
	clientTimeout = 10 * time.Second

	// maxWaiting bounds the requests of one kind that wait for an answer. It is
	// several times what a run at full speed needs. In try and in tests, callers
	// share the processor with the daemons: without a bound, thousands of waiting
	// requests on a slow machine starve the daemons' control goroutines.
	maxWaiting = 16
)

// Kind describes one kind of request that callers send.
type Kind struct {
	Name      string
	Method    string
	Path      string
	Chain     string  // further services that are called in turn, separated by commas
	Key       string  // key of the organisation, empty for open routes
	Owner     string  // organisation that owns Key
	Rate      float64 // requests per second of this kind
	Once      bool    // not idempotent: each request carries an order and an idempotency key
	BodyBytes int
	Retries   int // retries by the caller after the outcome not-run
}

// Tally counts the requests of one kind by outcome.
type Tally struct {
	Sent, Completed, NotRun, Unknown, OverRate, Shed, Wrong int64

	Held int64 // requests not sent because too many were waiting for an answer
}

// Callers sends requests of several kinds to a set of entry addresses, at
// exponentially distributed intervals. The load is open loop up to a bound on the
// requests that wait for an answer. Callers is safe for concurrent use.
type Callers struct {
	entries []string
	client  *fasthttp.Client
	seq     atomic.Int64

	mu      sync.Mutex
	tallies map[string]*Tally
	reasons map[string]int64
	latency *hdrhistogram.Histogram // of completed requests, in microseconds
	orders  []order
}

// order is a non-idempotent request that was answered with the outcome not-run.
type order struct{ id string }

// NewCallers returns callers that send to the callers listeners at the given
// addresses.
func NewCallers(entries []string) *Callers {
	return &Callers{
		entries: entries,
		client: &fasthttp.Client{
			MaxConnsPerHost:           callerConns,
			ReadTimeout:               clientTimeout,
			WriteTimeout:              clientTimeout,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
		},
		tallies: make(map[string]*Tally),
		reasons: make(map[string]int64),
		latency: hdrhistogram.New(1, latencyMax, latencyDigits),
	}
}

// Run sends requests of one kind until ctx is done, then waits for the
// outstanding answers.
func (c *Callers) Run(ctx context.Context, k Kind, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, seed))
	var wg sync.WaitGroup
	defer wg.Wait()
	waiting := make(chan struct{}, maxWaiting)
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / k.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		entry := c.entries[rng.IntN(len(c.entries))]
		select {
		case waiting <- struct{}{}:
		default:
			c.record(&k, func(t *Tally) { t.Held++ })
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-waiting }()
			c.request(ctx, &k, entry)
		}()
	}
}

// request sends one request and retries it up to k.Retries times after the
// outcome not-run, with exponential backoff.
func (c *Callers) request(ctx context.Context, k *Kind, entry string) {
	nonce := fmt.Sprintf("n%d", c.seq.Add(1))
	c.record(k, func(t *Tally) { t.Sent++ })
	for try := 0; ; try++ {
		started := time.Now()
		res := c.attempt(k, entry, nonce)
		if res.completed {
			c.record(k, func(t *Tally) { t.Completed++ })
			c.mu.Lock()
			_ = c.latency.RecordValue(min(time.Since(started).Microseconds(), latencyMax))
			c.mu.Unlock()
			return
		}
		if res.outcome == "not-run" && try < k.Retries && ctx.Err() == nil {
			time.Sleep(time.Duration(50<<try) * time.Millisecond)
			continue
		}
		c.recordFailure(k, nonce, res)
		return
	}
}

// result is the result of one attempt. An answer is wrong if it was truncated or
// belongs to another request.
type result struct {
	completed, wrong bool
	outcome, reason  string
}

func (c *Callers) attempt(k *Kind, entry, nonce string) result {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + entry + k.Path)
	req.Header.SetMethod(k.Method)
	req.Header.Set(HeaderNonce, nonce)
	if k.Chain != "" {
		req.Header.Set(HeaderChain, k.Chain)
	}
	if k.Key != "" {
		req.Header.Set(instance.HeaderKey, k.Key)
	}
	if k.Once {
		req.Header.Set(HeaderOrder, nonce)
		req.Header.Set(instance.HeaderIdempotencyKey, nonce)
	}
	if k.BodyBytes > 0 {
		req.SetBody(bytes.Repeat([]byte{'b'}, k.BodyBytes))
	}
	if err := c.client.DoTimeout(req, resp, clientTimeout); err != nil {
		return result{outcome: "unknown", reason: "transport: " + err.Error()}
	}
	return checkAnswer(resp, nonce)
}

// checkAnswer checks that a completed answer is intact and belongs to its request.
func checkAnswer(resp *fasthttp.Response, nonce string) result {
	r := result{
		outcome: string(resp.Header.Peek(instance.HeaderOutcome)),
		reason:  string(resp.Header.Peek(instance.HeaderReason)),
	}
	if r.outcome != "answered" {
		return r
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		r.reason = fmt.Sprintf("status-%d", resp.StatusCode())
		return r
	}
	body := resp.Body()
	intact := bytes.HasPrefix(body, []byte(nonce+"\n")) && bytes.HasSuffix(body, []byte("\n"+nonce))
	r.completed = intact
	r.wrong = !intact
	return r
}

func (c *Callers) recordFailure(k *Kind, nonce string, r result) {
	c.record(k, func(t *Tally) {
		switch {
		case r.wrong:
			t.Wrong++
		case r.outcome == "not-run" && r.reason == "over-rate":
			t.OverRate++
			t.NotRun++
		case r.outcome == "not-run":
			t.Shed++
			t.NotRun++
		default:
			t.Unknown++
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reasons[r.reason]++
	if k.Once && r.outcome == "not-run" {
		c.orders = append(c.orders, order{id: nonce})
	}
}

func (c *Callers) record(k *Kind, f func(*Tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tallies[k.Name]
	if t == nil {
		t = new(Tally)
		c.tallies[k.Name] = t
	}
	f(t)
}

// Tallies returns a copy of the tallies by kind.
func (c *Callers) Tallies() map[string]Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Tally, len(c.tallies))
	for k, t := range c.tallies {
		out[k] = *t
	}
	return out
}

// Reasons returns the number of failed requests by reason.
func (c *Callers) Reasons() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64, len(c.reasons))
	for k, n := range c.reasons {
		out[k] = n
	}
	return out
}

// Latency returns a percentile, 0 to 100, of the latency of completed requests,
// without earlier attempts.
func (c *Callers) Latency(percentile float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// FalseNotRun counts the orders that were answered with the outcome not-run
// although the ledger recorded a start of them at one of the services.
func (c *Callers) FalseNotRun(l *Ledger, services []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, o := range c.orders {
		for _, s := range services {
			if l.Ran(s, o.id) > 0 {
				n++
				break
			}
		}
	}
	return n
}

// Close closes idle connections.
func (c *Callers) Close() { c.client.CloseIdleConnections() }
