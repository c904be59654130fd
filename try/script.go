package try

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"wisteriafold/config"
	"wisteriafold/instance"
	"wisteriafold/platform/memory"
)

// Options configures a run.
type Options struct {
	Deployment string        // kurume or linie
	Duration   time.Duration // duration of the traffic, at least MinDuration
	Seed       uint64        // seed of the intervals between requests
	Progress   io.Writer     // one line for each step
	Log        io.Writer     // decision logs of all daemons, JSON lines
}

const (
	// MinDuration is the shortest duration of the traffic that leaves enough time
	// for every step.
	MinDuration = 4 * time.Second

	// noticeFailsafe is the target for a configuration to be in force everywhere.
	// It is the only bound of a run on the time until a withdrawn key, a drained
	// endpoint or a configuration takes effect: in real time that depends on the
	// load of the machine, and the result of a run must not. Package bench checks
	// the bound of 2 s on a change of configuration, a withdrawn key included, in
	// virtual time (config-in-force).
	noticeFailsafe = 12 * time.Second

	drainSettle  = 500 * time.Millisecond // minimum time after the drain before a call counts as late
	probeEvery   = 50 * time.Millisecond
	probeTimeout = 3 * time.Second
)

// script holds the state of one run.
type script struct {
	opt     Options
	d       *deployment
	t       *traffic
	sum     Summary
	started time.Time
}

// Run starts the deployment, runs the script and returns its summary. An error
// means that the run was not completed; broken invariants are in the summary.
func Run(opt Options) (*Summary, error) {
	opt.Duration = max(opt.Duration, MinDuration)
	s := &script{opt: opt, started: time.Now()}
	d, err := start(opt.Deployment, opt.Log)
	if err != nil {
		return nil, err
	}
	s.d = d
	s.progressf("%d daemons and %d backend servers started", len(d.nodes), len(d.nodes))
	if err := d.ready(); err != nil {
		_ = d.stop()
		return nil, err
	}
	s.progressf("ready: configuration in force, endpoints known, contracts in use")
	if err := s.measureAddedLatency(); err != nil {
		_ = d.stop()
		return nil, err
	}
	if err := s.drive(); err != nil {
		_ = d.stop()
		return nil, err
	}
	return s.finish()
}

func (s *script) progressf(format string, args ...any) {
	fmt.Fprintf(s.opt.Progress, "%7.2fs  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// drive sends traffic and runs the steps one after the other, at intervals of an
// eighth of the duration.
func (s *script) drive() error {
	entries := make([]string, 0, len(s.d.nodes))
	for _, x := range s.d.nodes[1:] { // the first one is shut down under traffic
		entries = append(entries, x.caller)
	}
	s.t = startTraffic(entries, kinds(s.d.conf, s.d.keys), s.opt.Seed)
	s.progressf("traffic through %d-deep chains", chainDepth)
	pause := s.opt.Duration / 8
	steps := []func() error{s.withdrawKey, s.drainEndpoint, s.storeOutage, s.changeConfiguration, s.stopDaemon}
	for _, step := range steps {
		time.Sleep(pause)
		if err := step(); err != nil {
			s.t.stop()
			return err
		}
	}
	time.Sleep(pause)
	s.t.stop()
	s.progressf("traffic ended")
	return nil
}

// withdrawKey withdraws a key and measures the time until all daemons refuse it.
func (s *script) withdrawKey() error {
	victim := s.d.conf.Organisations[1].Name
	key := s.d.keys[victim]
	next := *s.d.conf
	next.Keys = slices.DeleteFunc(slices.Clone(next.Keys), func(k config.Key) bool {
		return k.Organisation == victim && k.Note != ""
	})
	if err := s.d.apply(&next); err != nil {
		return err
	}
	s.d.conf = &next
	applied := time.Now()
	took := s.until(applied, func() bool { return s.refusedEverywhere(key) })
	s.sum.KeyWithdrawn = took.Seconds()
	s.progressf("key of %s withdrawn: refused everywhere after %s", victim, took.Round(time.Millisecond))
	return nil
}

// until polls done and returns the time from start until it returned true, or a
// time above noticeFailsafe if it did not within noticeFailsafe.
func (s *script) until(start time.Time, done func() bool) time.Duration {
	for time.Since(start) < noticeFailsafe {
		if done() {
			return time.Since(start)
		}
		time.Sleep(probeEvery)
	}
	return time.Since(start) + noticeFailsafe
}

func (s *script) refusedEverywhere(key string) bool {
	read, _, _, _ := pickRoutes(s.d.conf)
	for _, x := range s.d.nodes {
		if x.stopped {
			continue
		}
		status, err := get(x.caller, read.Prefix+"/probe", key)
		if err != nil || status != fasthttp.StatusUnauthorized {
			return false
		}
	}
	return true
}

func get(address, path, key string) (int, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	if key != "" {
		req.Header.Set(instance.HeaderKey, key)
	}
	req.SetConnectionClose()
	err := fasthttp.DoTimeout(req, resp, probeTimeout)
	return resp.StatusCode(), err
}

// drainEndpoint drains one backend server and counts the calls that reach it
// afterwards.
func (s *script) drainEndpoint() error {
	x := s.d.nodes[len(s.d.nodes)-1]
	x.backend.Drain()
	began := time.Now()
	took := s.until(began, func() bool {
		st, err := x.daemon.Status(time.Second)
		return err == nil && st.Gate.Draining && st.Gate.InFlight == 0
	})
	time.Sleep(max(0, drainSettle-time.Since(began)))
	before := x.backend.Served()
	time.Sleep(s.opt.Duration / 16)
	s.sum.WorkAfterDrain = x.backend.Served() - before
	s.sum.Drained = took.Seconds()
	s.progressf("backend server of %s drained in %s, %d calls reached it afterwards", x.set.Instance, took.Round(time.Millisecond), s.sum.WorkAfterDrain)
	return nil
}

// storeOutage makes the platform's store fail for a fifth of the duration.
func (s *script) storeOutage() error {
	s.d.store.SetFaults(memory.Faults{Down: true})
	s.progressf("platform down")
	time.Sleep(s.opt.Duration / 5)
	s.d.store.SetFaults(memory.Faults{})
	s.progressf("platform up again")
	return nil
}

// changeConfiguration applies a change and waits until it is in force at all
// daemons.
func (s *script) changeConfiguration() error {
	next := *s.d.conf
	next.Organisations = slices.Clone(next.Organisations)
	next.Organisations[0].Weight++
	if err := s.d.apply(&next); err != nil {
		return err
	}
	s.d.conf = &next
	applied := time.Now()
	took := s.until(applied, func() bool {
		for _, x := range s.d.nodes {
			if !x.stopped && x.daemon.Weight(next.Organisations[0].Name) != next.Organisations[0].Weight {
				return false
			}
		}
		return true
	})
	s.sum.InForce = took.Seconds()
	s.progressf("changed configuration in force everywhere after %s", took.Round(time.Millisecond))
	return nil
}

// stopDaemon shuts one daemon down gracefully under traffic.
func (s *script) stopDaemon() error {
	x := s.d.nodes[0]
	began := time.Now()
	err := x.shutdown()
	if err != nil {
		s.sum.CutAtShutdown++
	}
	s.progressf("graceful shutdown of %s in %s", x.set.Instance, time.Since(began).Round(time.Millisecond))
	return nil
}

// finish stops the deployment and fills in the summary.
func (s *script) finish() (*Summary, error) {
	if err := s.d.stop(); err != nil {
		s.sum.CutAtShutdown++
		s.progressf("shutdown: %v", err)
	}
	services := make([]string, 0, len(s.d.conf.Services))
	for i := range s.d.conf.Services {
		services = append(services, s.d.conf.Services[i].Name)
	}
	s.sum.fill(s.d, s.t.callers, services)
	if s.sum.Requests == 0 {
		return nil, eris.New("no request was sent: give --duration more time")
	}
	return &s.sum, nil
}
