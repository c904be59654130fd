package instance

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"wisteriafold/service"
)

const (
	decisionQueueLen = 4096 // decisions waiting to be written
	explainHistory   = 8192 // latest decisions, which explain can look up
)

// Decision is one routing or placement decision. Its fields are the fields of
// the log line.
type Decision struct {
	At           time.Time     `json:"at"`
	RequestID    string        `json:"request_id"`
	Instance     string        `json:"instance"`
	Step         string        `json:"step"` // entry, egress, gate, claim or answer
	Organisation string        `json:"organisation,omitempty"`
	Route        string        `json:"route,omitempty"`
	Service      string        `json:"service,omitempty"`
	Depth        uint32        `json:"depth"`
	Endpoint     string        `json:"endpoint,omitempty"`
	Why          string        `json:"why"`
	PassedOver   string        `json:"passed_over,omitempty"`
	Outcome      string        `json:"outcome,omitempty"`
	Took         time.Duration `json:"took_ns,omitempty"`

	choice service.Decision // formatted by the writer goroutine, off the request path
}

// format sets Endpoint, Why and PassedOver from the endpoint choice.
func (x *Decision) format() {
	if x.choice.Peer == "" {
		return
	}
	x.Endpoint = x.choice.Peer
	x.Why = x.choice.Why.String() + "/" + x.choice.Locality.String()
	var b strings.Builder
	for _, p := range x.choice.PassedOver() {
		fmt.Fprintf(&b, "%s:%s:%s ", p.Peer, p.Skip, p.Cost)
	}
	x.PassedOver = strings.TrimSuffix(b.String(), " ")
}

// decisionLog writes decisions as JSON lines and keeps the latest ones for
// explain. Requests never wait for it: when the queue is full, the decision is
// dropped and counted.
type decisionLog struct {
	log     *log.Logger
	queue   chan Decision
	stopped chan struct{}
	dropped atomic.Int64
	written atomic.Int64

	mu   sync.Mutex // guards ring and next; locked by the writer and by explain, never on the request path
	ring []Decision
	next int
}

// newLogger returns a logger that writes JSON lines.
func newLogger(w io.Writer, level log.Level) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Level:           level,
	})
}

func newDecisionLog(l *log.Logger) *decisionLog {
	d := &decisionLog{
		log:     l,
		queue:   make(chan Decision, decisionQueueLen),
		stopped: make(chan struct{}),
	}
	go d.run()
	return d
}

// add records one decision without blocking.
func (d *decisionLog) add(x Decision) {
	select {
	case d.queue <- x:
	default:
		d.dropped.Add(1)
	}
}

// close writes the queued decisions and stops the writer. add must not be
// called after close.
func (d *decisionLog) close() {
	close(d.queue)
	<-d.stopped
}

func (d *decisionLog) run() {
	defer close(d.stopped)
	for x := range d.queue {
		x.format()
		d.keep(x)
		d.write(x)
		d.written.Add(1)
	}
}

func (d *decisionLog) keep(x Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.ring) < explainHistory {
		d.ring = append(d.ring, x)
		return
	}
	d.ring[d.next] = x
	d.next = (d.next + 1) % explainHistory
}

func (d *decisionLog) write(x Decision) {
	d.log.Info("decision",
		"request_id", x.RequestID,
		"instance", x.Instance,
		"step", x.Step,
		"organisation", x.Organisation,
		"route", x.Route,
		"service", x.Service,
		"depth", x.Depth,
		"endpoint", x.Endpoint,
		"why", x.Why,
		"passed_over", x.PassedOver,
		"outcome", x.Outcome,
		"took_us", x.Took.Microseconds(),
	)
}

// explain returns the kept decisions of one request, oldest first.
func (d *decisionLog) explain(id string) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Decision
	for i := range d.ring {
		x := d.ring[(d.next+i)%len(d.ring)]
		if x.RequestID == id {
			out = append(out, x)
		}
	}
	return out
}

// DecisionWriter returns a function that writes one decision line to w, for
// measuring the cost of a line.
func DecisionWriter(w io.Writer) func(i int) {
	d := &decisionLog{log: newLogger(w, log.InfoLevel)}
	x := Decision{
		RequestID: "0123456789abcdef", Instance: "instance", Step: "entry", Organisation: "museum",
		Route: "read", Service: "archive", Endpoint: "10.0.0.1:7000", Why: "lower-cost/same-data-centre",
	}
	return func(int) { d.write(x) }
}
