package sidecar

import (
	"errors"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"wisteriafold/request"
	"wisteriafold/response"
	"wisteriafold/service"
)

const (
	// lineQueueSize is the maximum number of log lines queued for writing. Further
	// lines are dropped and counted, so that no request waits for the log.
	lineQueueSize = 1024

	// batchDelay is how long the first line of a batch waits for more lines. No
	// more lines are added to a batch that has reached batchBytes.
	batchDelay = 20 * time.Millisecond
	batchBytes = 64 << 10

	// typicalLineBytes is the typical size of a line, used as the initial capacity
	// of buffers.
	typicalLineBytes = 320

	// routineLinesPerSecond and troubleLinesPerSecond limit the log lines about
	// requests that succeeded and about those that did not. At a few hundred bytes
	// per line, a daemon logs less than 100 KB per second at any load.
	routineLinesPerSecond = 100
	troubleLinesPerSecond = 300
)

// logBroken logs why the exchange with the backend server over a call broke.
func (d *Daemon) logBroken(c *request.Call, e *request.Error) {
	if e.Reason != request.ReasonBroken {
		return
	}
	var malformed *response.MalformedError
	if errors.As(e, &malformed) {
		d.metrics.malformedResponses.Inc()
	}
	cause := e.Remedy // tells what is wrong where there is no cause
	if e.Cause != nil {
		cause = e.Cause.Error()
	}
	if d.metrics.trouble.allow(d.now()) {
		d.log.Warn("backend server broke its answer", "request", c.ID, "cause", cause)
	}
}

// lineWriter writes log lines in batches on its own goroutine. Write never blocks.
type lineWriter struct {
	out     io.Writer
	queue   chan *[]byte
	done    chan struct{}
	once    sync.Once
	dropped atomic.Uint64
	bufs    sync.Pool
}

func newLineWriter(out io.Writer) *lineWriter {
	w := &lineWriter{out: out, queue: make(chan *[]byte, lineQueueSize), done: make(chan struct{})}
	w.bufs.New = func() any { b := make([]byte, 0, typicalLineBytes); return &b }
	go w.run()
	return w
}

// run writes the queued lines in batches, as a write call for each line would cost
// more than producing the line.
func (w *lineWriter) run() {
	defer close(w.done)
	var batch []byte
	for more := true; more; {
		batch, more = w.nextBatch(batch[:0])
		if len(batch) == 0 {
			continue
		}
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(1) // the log itself has failed, so the error cannot be logged
		}
	}
}

// nextBatch waits for a line and appends it to batch, with the lines that are queued
// after batchDelay. It returns false when the writer has been closed.
func (w *lineWriter) nextBatch(batch []byte) ([]byte, bool) {
	b := <-w.queue
	if b == nil {
		return batch, false
	}
	batch = w.appendLine(batch, b)
	time.Sleep(batchDelay)
	for len(batch) < batchBytes {
		select {
		case b := <-w.queue:
			if b == nil {
				return batch, false
			}
			batch = w.appendLine(batch, b)
		default:
			return batch, true
		}
	}
	return batch, true
}

func (w *lineWriter) appendLine(batch []byte, b *[]byte) []byte {
	batch = append(batch, *b...)
	w.bufs.Put(b)
	return batch
}

// Write implements io.Writer. Each call must pass whole lines.
func (w *lineWriter) Write(p []byte) (int, error) {
	b := w.bufs.Get().(*[]byte)
	*b = append((*b)[:0], p...)
	w.enqueue(b)
	return len(p), nil
}

func (w *lineWriter) enqueue(b *[]byte) {
	select {
	case w.queue <- b:
	default:
		w.dropped.Add(1)
	}
}

// close writes the queued lines and stops the goroutine.
func (w *lineWriter) close() {
	w.once.Do(func() {
		w.queue <- nil
		<-w.done
	})
}

// newLogger returns a logger that writes JSON lines to w.
func newLogger(w io.Writer, instance string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	return l.With("instance", instance)
}

// lineLimiter limits the log lines of one kind per second.
type lineLimiter struct {
	limit   uint32
	second  atomic.Int64
	written atomic.Uint32
	skipped atomic.Uint64
}

// allow reports whether another line may be written at now.
func (l *lineLimiter) allow(now time.Time) bool {
	if s := now.Unix(); l.second.Swap(s) != s {
		l.written.Store(0)
	}
	if l.written.Add(1) > l.limit {
		l.skipped.Add(1)
		return false
	}
	return true
}

// ageMillis returns an age in milliseconds, -1 when the configuration has not been
// confirmed yet.
func ageMillis(age time.Duration) int64 {
	if age == math.MaxInt64 {
		return -1
	}
	return age.Milliseconds()
}

// logDecision logs a decision about a call. Refusals and losses have a higher limit
// on lines per second than admissions.
func (d *Daemon) logDecision(c *request.Call, step, outcome, peer string, took time.Duration) {
	limiter := &d.metrics.trouble
	if outcome == "admitted" {
		limiter = &d.metrics.routine
	}
	now := d.now()
	if !limiter.allow(now) {
		return
	}
	b := d.line(now, step, c)
	b.text("outcome", outcome)
	b.text("endpoint", peer)
	b.number("took_us", took.Microseconds())
	b.number("left_ms", c.Deadline.Sub(now).Milliseconds())
	g := d.gate.Report()
	if step == "gate" {
		b.number("queued", int64(g.Queued))
		b.number("running", int64(g.InFlight))
		b.number("limit", int64(g.Limit))
		if g.WorkPercent > 0 {
			b.number("work_percent", int64(g.WorkPercent))
			b.number("work_age_ms", g.WorkAge.Milliseconds())
		}
		b.text("backend_state", d.backendSnapshot.Load().state.String())
		b.number("age_ms", ageMillis(d.configurationAge()))
	}
	d.lines.enqueue(b.end())
}

// logChoice logs the choice of an endpoint.
func (d *Daemon) logChoice(c *request.Call, x *service.Decision) {
	now := d.now()
	if !d.metrics.routine.allow(now) {
		return
	}
	b := d.line(now, "choice", c)
	b.text("endpoint", x.Peer)
	b.text("why", x.Why.String())
	b.text("locality", x.Locality.String())
	b.number("cost_us", x.Cost.Microseconds())
	b.number("usable", int64(x.Usable))
	b.number("passed_over", int64(len(x.PassedOver())+x.Omitted))
	d.lines.enqueue(b.end())
}

// logEnd logs the end of a request at its entry.
func (d *Daemon) logEnd(e *entry, outcome, reason string, status int, took time.Duration) {
	limiter := &d.metrics.routine
	if reason != "" || status >= 500 {
		limiter = &d.metrics.trouble
	}
	now := d.now()
	if !limiter.allow(now) {
		return
	}
	b := d.line(now, "end", e.call)
	b.text("outcome", outcome)
	b.text("reason", reason)
	b.number("status", int64(status))
	b.number("took_us", took.Microseconds())
	if e.table != nil {
		b.number("generation", int64(e.table.Generation))
	}
	b.number("age_ms", ageMillis(d.configurationAge()))
	b.number("members", int64(len(*d.members.Load())))
	d.lines.enqueue(b.end())
}

// line starts a log line about a call. c may be nil.
func (d *Daemon) line(now time.Time, step string, c *request.Call) *jsonLine {
	b := d.lines.begin()
	b.raw("time", now.UTC().AppendFormat(nil, `"2006-01-02T15:04:05.000Z"`))
	b.text("level", "info")
	b.text("instance", d.settings.Instance)
	b.text("step", step)
	if c != nil {
		b.text("request", c.ID)
		b.text("organisation", c.Organisation)
		b.text("route", c.Route)
		b.text("service", c.Service)
	}
	return b
}
