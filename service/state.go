package service

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Thresholds of what calls show.
const (
	// maxUnreachable is the number of consecutive failed dials after which an
	// endpoint is passed over for a time.
	maxUnreachable = 2

	// limitless is the limit assumed when neither a report nor the
	// announcement names one.
	limitless = 1
)

// state is what one daemon knows about one endpoint. The atomics are read by
// concurrent picks; mu serialises the observations that write them.
type state struct {
	endpoint Endpoint
	locality Locality

	inFlight atomic.Int64 // attempts from here that have not ended
	begun    atomic.Int64 // attempts begun here since the last report

	mu         sync.Mutex
	failures   int   // consecutive failures
	lost       int   // consecutive failed dials
	ejections  int   // consecutive ejections, for the doubling
	observedAt int64 // time of the last observation, ns

	took       atomicFloat  // smoothed time of answered attempts less network latency, ns
	loss       atomicFloat  // smoothed ratio of failed and refused attempts
	shownAt    atomic.Int64 // time of the last observation, ns
	passUntil  atomic.Int64 // not used before this time, ns
	unreached  atomic.Bool  // passUntil is due to failed dials
	leaving    atomic.Bool  // a gate said that its backend server is draining
	report     atomic.Pointer[Load]
	reportedAt atomic.Int64 // ns
}

// atomicFloat is a float64 that is read and written atomically.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// limit returns the number of calls that the endpoint is believed to run at once.
func (s *state) limit(r *Load) float64 {
	if r != nil && r.Limit > 0 {
		return float64(r.Limit)
	}
	if s.endpoint.Slots > 0 {
		return float64(s.endpoint.Slots)
	}
	return limitless
}

// freshReport returns the last load report if it is younger than ttl.
func (s *state) freshReport(now int64, ttl time.Duration) *Load {
	r := s.report.Load()
	if r == nil || now-s.reportedAt.Load() >= int64(ttl) {
		return nil
	}
	return r
}

// outstanding returns the calls that the endpoint is believed to hold.
func (s *state) outstanding(r *Load) float64 {
	here := float64(s.inFlight.Load())
	if r == nil {
		return here
	}
	reported := float64(r.Queued) + float64(r.InFlight) + float64(s.begun.Load())
	return max(here, reported)
}

// cost returns the expected time until an attempt is answered in ns, latency
// included. typical is the usual time of an attempt at the service.
//
// Endpoints whose calls take about as long as usual are told apart by their
// load alone, because the time of calls that call further services says little
// about the endpoint.
func (s *state) cost(now int64, c *Config, typical float64) float64 {
	fade := s.fade(now, c)
	served := typical
	if took := s.took.load(); took > c.SlowFactor*typical {
		served += (took - typical) * fade
	}
	r := s.freshReport(now, c.ReportTTL)
	wait := served * (1 + s.outstanding(r)/s.limit(r))
	loss := min(s.loss.load()*fade, c.LossCap)
	return float64(c.Latency[s.locality]) + wait/(1-loss)
}

// fade returns the weight of what calls have shown. It falls while the
// endpoint is not used, so that one which was slow or failing is tried again.
// It does not fall while an attempt is on the way: that one is the trial.
func (s *state) fade(now int64, c *Config) float64 {
	if s.inFlight.Load() > 0 {
		return 1
	}
	return decay(now-s.shownAt.Load(), c.Smoothing)
}

// decay returns the weight that remains after an age of ns.
func decay(age int64, constant time.Duration) float64 {
	if age <= 0 || constant <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(constant))
}

// skip returns the ground on which the endpoint cannot be used now.
func (s *state) skip(now int64) Skip {
	if s.endpoint.Draining || s.leaving.Load() {
		return SkipDraining
	}
	if now < s.passUntil.Load() {
		if s.unreached.Load() {
			return SkipUnreachable
		}
		return SkipEjected
	}
	return SkipNone
}
