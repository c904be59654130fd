package sidecar

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"wisteriafold/request"
)

// metricSet holds the counters and histograms of one daemon, and the rate limiters
// of its log lines.
type metricSet struct {
	set            *metrics.Set
	series         sync.Map // seriesKey -> *series
	mailboxDropped *metrics.Counter

	configurationsRejected *metrics.Counter // documents that could not be used
	unknownValues          *metrics.Counter // values of adopted documents that this version does not know
	rowsIgnored            *metrics.Counter // rows read that are no entries of daemons
	entriesIgnored         *metrics.Counter // invalid entries in messages of other daemons
	messagesIgnored        *metrics.Counter // control messages with values out of range
	leavingsUnstored       *metrics.Counter // heartbeats of a leaving backend server that were not acknowledged for want of the store
	malformedResponses     *metrics.Counter // responses of the backend server that break the grammar of HTTP
	storeEpochs            *metrics.Counter // times that the store has come back from an earlier copy
	rowsRewritten          *metrics.Counter // writes of the own row because of that
	panics                 *metrics.Counter // panics that ended one request or event

	routine lineLimiter
	trouble lineLimiter
}

func newMetricSet() *metricSet {
	m := &metricSet{set: metrics.NewSet()}
	m.mailboxDropped = m.set.NewCounter("control_events_dropped_total")
	m.configurationsRejected = m.set.NewCounter("configurations_rejected_total")
	m.unknownValues = m.set.NewCounter("configuration_unknown_values_total")
	m.rowsIgnored = m.set.NewCounter("rows_ignored_total")
	m.entriesIgnored = m.set.NewCounter("entries_ignored_total")
	m.messagesIgnored = m.set.NewCounter("messages_ignored_total")
	m.leavingsUnstored = m.set.NewCounter("leavings_unstored_total")
	m.malformedResponses = m.set.NewCounter("malformed_responses_total")
	m.storeEpochs = m.set.NewCounter("store_epoch_changes_total")
	m.rowsRewritten = m.set.NewCounter("rows_rewritten_total")
	m.panics = m.set.NewCounter("panics_total")
	m.routine.limit, m.trouble.limit = routineLinesPerSecond, troubleLinesPerSecond
	return m
}

// series is a counter of events and a histogram of their durations.
type series struct {
	count   *metrics.Counter
	seconds *metrics.Histogram
}

// seriesKey identifies a series, so that its name is not formatted for each event.
type seriesKey struct{ kind, name, reason string }

// seriesOf returns the series of a key, which is created on first use.
func (m *metricSet) seriesOf(k seriesKey) *series {
	if s, ok := m.series.Load(k); ok {
		return s.(*series)
	}
	var s *series
	if k.kind == requestSeries {
		s = &series{
			count:   m.set.GetOrCreateCounter(fmt.Sprintf(`requests_total{outcome=%q,reason=%q}`, k.name, k.reason)),
			seconds: m.set.GetOrCreateHistogram(fmt.Sprintf(`request_seconds{outcome=%q}`, k.name)),
		}
	} else {
		s = &series{
			count:   m.set.GetOrCreateCounter(fmt.Sprintf(`attempts_total{service=%q,result=%q}`, k.name, k.reason)),
			seconds: m.set.GetOrCreateHistogram(fmt.Sprintf(`attempt_seconds{service=%q}`, k.name)),
		}
	}
	actual, _ := m.series.LoadOrStore(k, s)
	return actual.(*series)
}

const (
	requestSeries = "request"
	attemptSeries = "attempt"
)

// request counts the end of a request at its entry.
func (m *metricSet) request(outcome, reason string, took time.Duration) {
	s := m.seriesOf(seriesKey{requestSeries, outcome, reason})
	s.count.Inc()
	s.seconds.Update(took.Seconds())
}

// attempt counts one attempt at an endpoint.
func (m *metricSet) attempt(service string, fail *request.Error, took time.Duration) {
	reason := "answered"
	if fail != nil {
		reason = string(fail.Reason)
	}
	s := m.seriesOf(seriesKey{attemptSeries, service, reason})
	s.count.Inc()
	s.seconds.Update(took.Seconds())
}

// storeCall counts one call to the store.
func (m *metricSet) storeCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`store_calls_total{call=%q,result=%q}`, call, result)).Inc()
}

// serveMetrics writes the metrics in the Prometheus text format.
func (d *Daemon) serveMetrics(hc *fasthttp.RequestCtx) {
	var b bytes.Buffer
	d.metrics.set.WritePrometheus(&b)
	g, modes := d.gate.Report(), d.gate.Modes()
	answers := d.answers.account.Stats()
	for _, x := range []struct {
		name  string
		value any
	}{
		{"gate_running", g.InFlight},
		{"gate_queued", g.Queued},
		{"gate_limit", g.Limit},
		{"gate_level", uint32(g.Level)},
		{"gate_cold", boolMetric(g.Cold > 0)},
		{"gate_paced", boolMetric(d.gate.IsPaced())},
		{"gate_cold_refused_total", d.gate.Counts().Cold},
		{"gate_standing_overload", boolMetric(modes.StandingOverload)},
		{"gate_calls_by_work", boolMetric(modes.CallsByWork)},
		{"gate_sheds_ignored", boolMetric(modes.ShedsIgnored)},
		{"backend_work_percent", g.WorkPercent},
		{"backend_work_age_ms", g.WorkAge.Milliseconds()},
		{"configuration_age_ms", ageMillis(d.configurationAge())},
		{"members", len(*d.members.Load())},
		{"requests_in_flight", d.inFlight.Load()},
		{"request_body_bytes_held", d.heldBodyBytes.Load()},
		{"descriptors_limit", d.settings.MaxDescriptors},
		{"descriptors_reserved", d.settings.reservedDescriptors()}, // for connections other than those of callers
		{"answer_bytes_held", answers.Used},
		{"answer_bytes_limit", answers.Limit},
		{"answer_waits_for_memory", answers.Waiting},
		{"answer_waits_for_memory_total", answers.Waits},
		{"answer_memory_refused_total", answers.Refused},
		{"log_lines_dropped_total", d.lines.dropped.Load()},
		{"log_routine_skipped_total", d.metrics.routine.skipped.Load()},
		{"log_trouble_skipped_total", d.metrics.trouble.skipped.Load()},
	} {
		fmt.Fprintf(&b, "%s %v\n", x.name, x.value)
	}
	d.writeEvacuationMetrics(&b)
	d.writeCallerMetrics(&b)
	hc.SetContentType("text/plain; version=0.0.4")
	hc.SetBody(b.Bytes())
}

// boolMetric returns 1 for true and 0 for false.
func boolMetric(on bool) int {
	if on {
		return 1
	}
	return 0
}
