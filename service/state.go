package service

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Threshold and default of endpoint states.
const (
	// maxUnreachable is the number of consecutive failed dials after which an
	// endpoint is excluded for a time.
	maxUnreachable = 2

	// defaultLimit is the concurrency limit assumed when neither a load report
	// nor the announcement gives one.
	defaultLimit = 1
)

// state is one daemon's state for one endpoint. Concurrent picks read the atomic
// fields; mu serialises the observations that write them.
type state struct {
	endpoint Endpoint
	locality Locality

	inFlight        atomic.Int64 // unfinished attempts from this daemon
	sentSinceReport atomic.Int64 // attempts sent by this daemon since the last load report

	mu          sync.Mutex
	failures    int   // consecutive failures
	failedDials int   // consecutive failed dials
	ejections   int   // consecutive exclusions; each doubles the duration
	observedAt  int64 // time of the last averaged attempt, ns

	responseTime  atomicFloat  // smoothed response time without network latency, ns
	loss          atomicFloat  // smoothed ratio of failed and refused attempts
	measuredAt    atomic.Int64 // copy of observedAt that is read without mu, ns
	excludedUntil atomic.Int64 // not used before this time, ns
	dialsFailed   atomic.Bool  // the exclusion is due to failed dials
	draining      atomic.Bool  // the endpoint's gate or load report said that its backend server is draining
	report        atomic.Pointer[Load]
	cold          coldShare
	pace          pacing
	reportedAt    atomic.Int64 // time of the last load report, ns
	usual         usual        // what reports with a work percent have in common
	overflow      overflow     // calls that are handed on to farther localities

	evacuatedUntil atomic.Int64 // not used before this time, as a gate of the data centre reported its evacuation, ns
}

// atomicFloat is a float64 that is read and written atomically.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// limit returns the concurrency limit of the endpoint: from the load report if it
// has one, else from the announcement, else defaultLimit.
func (s *state) limit(r *Load) float64 {
	if r != nil && r.Limit > 0 {
		return float64(r.Limit)
	}
	if s.endpoint.Slots > 0 {
		return float64(s.endpoint.Slots)
	}
	return defaultLimit
}

// freshReport returns the last load report if it is younger than ttl, else nil.
func (s *state) freshReport(now int64, ttl time.Duration) *Load {
	r := s.report.Load()
	if r == nil || now-s.reportedAt.Load() >= int64(ttl) {
		return nil
	}
	return r
}

// outstanding returns the estimated number of calls at the endpoint. It is at
// least the number of attempts in flight from this daemon.
func (s *state) outstanding(r *Load) float64 {
	here := float64(s.inFlight.Load())
	if r == nil {
		return here
	}
	reported := float64(r.Queued) + float64(r.InFlight) + float64(s.sentSinceReport.Load())
	return max(here, reported)
}

// cost returns the expected time until an attempt is answered, including network
// latency, in ns. typical is the typical response time of the service, and gateTime the
// average service time that its gates report, both in ns.
//
// Endpoints with about the typical response time are compared by load and loss
// alone: a call may itself call further services, so that small differences in
// response time say little about the endpoint.
func (s *state) cost(now int64, c *Config, typical, gateTime float64) float64 {
	weight := s.measuredWeight(now, c)
	served := typical
	if took := s.responseTime.load(); took > c.SlowFactor*typical {
		served += (took - typical) * weight
	}
	r := s.freshReport(now, c.ReportTTL)
	served = s.scaledByWork(now, r, served, typical, gateTime, c)
	wait := served * (1 + s.outstanding(r)/s.limit(r))
	loss := min(s.loss.load()*weight, c.LossCap)
	return float64(c.Latency[s.locality]) + wait/(1-loss)
}

// measuredWeight returns the weight of the endpoint's measured response time and
// loss. It decays while the endpoint is unused, so that an endpoint that was slow
// or failing is tried again. It is 1 while an attempt is in flight, because that
// attempt is the probe.
func (s *state) measuredWeight(now int64, c *Config) float64 {
	if s.inFlight.Load() > 0 {
		return 1
	}
	return decay(now-s.measuredAt.Load(), c.Smoothing)
}

// decay returns the weight of a measurement of the given age, in ns, under
// exponential decay with the given time constant.
func decay(age int64, constant time.Duration) float64 {
	if age <= 0 || constant <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(constant))
}

// skip returns the reason for which no call can use the endpoint now, or SkipNone.
func (s *state) skip(now int64) Skip {
	if s.evacuated(now) {
		return SkipEvacuated
	}
	if s.endpoint.Draining || s.draining.Load() {
		return SkipDraining
	}
	if now < s.excludedUntil.Load() {
		if s.dialsFailed.Load() {
			return SkipUnreachable
		}
		return SkipEjected
	}
	return SkipNone
}
