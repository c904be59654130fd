package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"wisteriafold/standin/rowstore"
)

// Config describes a run.
type Config struct {
	Program string        // path of wisteriafoldd
	Dir     string        // folder for settings, logs, schedule and verdict
	Seed    uint64        // of the schedule
	For     time.Duration // length of the schedule
	Daemons int           // number of daemons, each beside a backend server
	Kinds   []Kind        // kinds of faults, empty for all
}

const (
	readyWait    = 30 * time.Second
	recoveryWait = 20 * time.Second // until all daemons serve again after the last fault

	// tooSlow is the delay of a timer from which on the times of a run tell nothing.
	tooSlow  = time.Second
	lagEvery = 50 * time.Millisecond
)

// Verdict is the result of a run.
type Verdict struct {
	Seed       uint64       `json:"seed"`
	Requests   int          `json:"requests"`
	Answered   int          `json:"answered"` // with 200
	Runs       int          `json:"runs"`
	Faults     map[Kind]int `json:"faults"`
	Leavings   int          `json:"leavings"` // that were acknowledged
	WorstLag   string       `json:"worst_lag"`
	TooSlow    bool         `json:"too_slow"` // the machine was too slow for the run to tell anything
	Violations []Violation  `json:"violations"`
	Dir        string       `json:"dir"`
}

// Passed reports whether no promise was broken and the machine was fast enough to tell.
func (v *Verdict) Passed() bool { return !v.TooSlow && len(v.Violations) == 0 }

// soak is a run in progress.
type soak struct {
	cfg     Config
	rec     *recorder
	store   *rowstore.Store
	daemons []*daemon
	servers []*server
	in      *injector
	wg      sync.WaitGroup
	lag     atomic.Int64 // largest delay of a timer, ns
}

// Run carries out a run. It ends every process that it has started, also when ctx ends
// early. The error is not nil only when the run could not begin.
func Run(ctx context.Context, cfg Config) (*Verdict, error) {
	s := &soak{cfg: cfg, rec: newRecorder(), store: rowstore.New()}
	defer s.close()
	if err := s.begin(); err != nil {
		return nil, err
	}
	background, endBackground := context.WithCancel(ctx)
	traffic, endTraffic := context.WithCancel(ctx)
	defer s.wg.Wait()
	defer endBackground()
	defer endTraffic()
	s.startBackground(background)
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	s.startCallers(traffic)
	s.play(ctx, Schedule(cfg.Seed, cfg.For, cfg.Daemons, cfg.Kinds))
	recovered := s.awaitService(ctx)
	endTraffic()
	time.Sleep(lagEvery) // attempts that have just been answered
	return s.verdict(recovered)
}

// begin writes the configuration and starts the processes.
func (s *soak) begin() error {
	faults, err := json.MarshalIndent(Schedule(s.cfg.Seed, s.cfg.For, s.cfg.Daemons, s.cfg.Kinds), "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(s.cfg.Dir, "schedule.json"), faults, 0o600); err != nil {
		return err
	}
	for i := range s.cfg.Daemons {
		server, err := newServer(s.rec, i, "archive", s.cfg.Seed)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, server)
		d, err := newDaemon(s.rec, i, s.cfg.Program, s.cfg.Dir, s.store.Address(), server.ln.Addr().String(), server.service)
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
		server.control = d.heartbeat
		server.begin(false)
	}
	s.in = newInjector(s.rec, s.store, s.daemons, s.servers)
	s.in.withdraw() // the first key
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return eris.Wrapf(err, "start %s: build it, or name another with --program", s.cfg.Program)
		}
	}
	return nil
}

// startBackground starts what goes on until the end of the run.
func (s *soak) startBackground(ctx context.Context) {
	for _, server := range s.servers {
		s.wg.Go(func() { server.beat(ctx) })
	}
	s.wg.Go(func() { s.in.keepCopies(ctx) })
	s.wg.Go(func() {
		for ctx.Err() == nil {
			began := time.Now()
			time.Sleep(lagEvery)
			s.lag.Store(max(s.lag.Load(), int64(time.Since(began)-lagEvery)))
		}
	})
}

func (s *soak) startCallers(ctx context.Context) {
	for _, d := range s.daemons {
		for n := range callersEach {
			s.wg.Go(func() { newCaller(s.rec, d, n, s.cfg.Seed, s.in.key).run(ctx) })
		}
	}
}

// awaitReady waits until all daemons are ready.
func (s *soak) awaitReady(ctx context.Context) error {
	until := time.Now().Add(readyWait)
	for _, d := range s.daemons {
		for !d.isReady(ctx) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if time.Now().After(until) {
				return eris.Errorf("daemon %d is not ready after %s: read %s", d.index, readyWait, d.log)
			}
			time.Sleep(lagEvery)
		}
	}
	return nil
}

// play carries out the schedule and waits for the end of all faults.
func (s *soak) play(ctx context.Context, faults []Fault) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(f.At))):
			wg.Go(func() { s.in.inject(ctx, f) })
		}
	}
	wg.Wait()
}

// awaitService waits until callers get answers of backend servers from all daemons again.
// It returns the daemons from which they get none.
func (s *soak) awaitService(ctx context.Context) (missing []int) {
	from := s.rec.now()
	for until := from + recoveryWait; ; time.Sleep(lagEvery) {
		served := make(map[int]bool)
		s.rec.record(func(h *History) {
			for _, a := range h.Attempts {
				if a.Sent > from && a.Status == http.StatusOK {
					served[a.Entry] = true
				}
			}
		})
		missing = missing[:0]
		for _, d := range s.daemons {
			if !served[d.index] {
				missing = append(missing, d.index)
			}
		}
		if len(missing) == 0 || s.rec.now() > until || ctx.Err() != nil {
			return missing
		}
	}
}

// verdict checks the history and writes the verdict.
func (s *soak) verdict(missing []int) (*Verdict, error) {
	v := &Verdict{Seed: s.cfg.Seed, Faults: s.in.played, Dir: s.cfg.Dir, Violations: []Violation{}}
	s.rec.record(func(h *History) {
		v.Violations = append(v.Violations, Check(h)...)
		v.Requests, v.Runs, v.Leavings = len(h.Attempts), len(h.Runs), len(h.Leavings)
		for _, a := range h.Attempts {
			if a.Status == http.StatusOK {
				v.Answered++
			}
		}
	})
	for _, i := range missing {
		v.Violations = append(v.Violations, Violation{Promise: "recovery", Detail: fmt.Sprintf("no answer from daemon %d in %s after the last fault", i, recoveryWait)})
	}
	lag := time.Duration(s.lag.Load())
	v.WorstLag, v.TooSlow = lag.Round(time.Millisecond).String(), lag > tooSlow
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return nil, err
	}
	return v, os.WriteFile(filepath.Join(s.cfg.Dir, "verdict.json"), text, 0o600)
}

// close ends the processes and the stand-ins.
func (s *soak) close() {
	for _, d := range s.daemons {
		d.kill()
	}
	for _, server := range s.servers {
		server.close()
	}
	s.store.Close()
}
