package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"wisteriafold/backend"
	"wisteriafold/bench"
	"wisteriafold/claim"
	"wisteriafold/config"
	"wisteriafold/contract"
	"wisteriafold/contract/scenario"
	"wisteriafold/instance"
	"wisteriafold/organisation"
	"wisteriafold/platform"
	"wisteriafold/platform/memory"
	"wisteriafold/request"
	"wisteriafold/service"
	"wisteriafold/try"
)

const (
	micro  = 1e6 // seconds to microseconds
	milli  = 1e3
	seed   = 1
	settle = 10 * time.Second
	span   = 30 * time.Second
)

// Slopes returns all slopes in the order of the page.
func Slopes() []Slope {
	return []Slope{
		{"gate-decision", "CPU of a gate for a call", "µs", micro, gateDecisions},
		{"route-decision", "CPU of an endpoint choice", "µs", micro, routeDecisions},
		{"forwarded-call", "CPU of both daemons of a call, direct call taken off", "µs", micro, forwardedCalls},
		{"log-line", "CPU of a decision line", "µs", micro, logLines},
		{"spread-changes", "bytes sent for configuration by the busiest of 100 daemons, for each change a second", "B/s", 1, spreadChanges},
		{"spread-daemons", "bytes sent for configuration by the busiest daemon, for each daemon of its data centre", "B/s", 1, spreadDaemons},
		{"spread-reads", "store reads a second of a data centre, for each of its daemons", "/s", 1, spreadReads},
		{"spread-core", "CPU for configuration of one daemon, for each change a second", "ms/s", milli, spreadCore},
		{"member-daemons", "bytes sent for members by a daemon, for each daemon of its data centre (4 services)", "B/s", 1, memberDaemons},
		{"member-called", "bytes sent for members by a daemon, for each service that it calls", "B/s", 1, memberServices},
		{"loan-active", "bytes sent for contracts by a daemon, for each organisation that it serves", "B/s", 1, loanActive},
		{"config-organisation", "heap for an organisation with a key", "B", 1, organisationHeap},
		{"config-key", "heap for a key", "B", 1, keyHeap},
		{"endpoint-heap", "heap for an endpoint in a picker", "B", 1, endpointHeap},
		{"claim-commits", "commits of one daemon's claims, for each claim (two writes)", "commits", 1, claimCommits},
	}
}

// timed returns the seconds that n calls of do take.
func timed(n int, do func(i int)) float64 {
	runtime.GC()
	begin := time.Now()
	for i := range n {
		do(i)
	}
	return time.Since(begin).Seconds()
}

// perCount measures do at growing counts.
func perCount(do func(i int)) []Point {
	do(0)
	var out []Point
	for _, n := range []int{50_000, 100_000, 150_000, 200_000} {
		out = append(out, Point{float64(n), timed(n, do)})
	}
	return out
}

func gateDecisions() ([]Point, error) {
	core := backend.NewCore(backend.Config{Slots: 50, MaxConnections: 400})
	now := time.Unix(1, 0)
	call := request.Call{Organisation: "museum", Deadline: now.Add(time.Hour), Importance: request.Normal}
	return perCount(func(i int) {
		now = now.Add(time.Millisecond)
		call.Tree = request.Tree(i * 7919)
		call.Deadline = now.Add(time.Second)
		t := backend.Ticket{Call: &call, Weight: 1}
		core.Offer(now, &t)
		core.Finish(now.Add(time.Millisecond), &t, backend.Result{Latency: time.Millisecond})
	}), nil
}

func endpointsOf(n int) []service.Endpoint {
	out := make([]service.Endpoint, n)
	for i := range out {
		out[i] = service.Endpoint{
			Peer: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Service: "archive",
			DataCentre: fmt.Sprintf("dc%d", i%4), Region: fmt.Sprintf("r%d", i%2), Slots: 50, Connections: 400,
		}
	}
	return out
}

func routeDecisions() ([]Point, error) {
	now := time.Unix(1, 0)
	p := service.NewPicker(now, service.DefaultConfig(), service.Location{Peer: "10.9.9.9:7000", DataCentre: "dc0", Region: "r0"}, seed)
	p.SetEndpoints(endpointsOf(perService))
	rng := rand.New(rand.NewPCG(seed, seed))
	call := request.Call{Importance: request.Normal}
	return perCount(func(int) {
		now = now.Add(time.Millisecond)
		e, _, err := p.Pick(now, rng, &call, nil)
		if err != nil {
			return
		}
		p.Begin(e.Peer)
		p.Observe(now, e.Peer, service.Observation{Result: service.Succeeded, Duration: time.Millisecond})
	}), nil
}

func forwardedCalls() ([]Point, error) {
	costs, err := try.MeasureCPU("kurume", []int{500, 1000, 1500, 2000})
	var out []Point
	for _, c := range costs {
		out = append(out, Point{float64(c.Calls), c.CPU.Seconds()})
	}
	return out, err
}

// discard takes lines; unlike io.Discard, the log library formats them for it.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

func logLines() ([]Point, error) {
	return perCount(instance.DecisionWriter(discard{})), nil
}

func spreadChanges() ([]Point, error) {
	return each([]float64{0, 0.5, 1, 2}, func(x float64) float64 { return bench.ConfigSpread(seed, 100, x, span).BusiestBytes })
}

func spreadDaemons() ([]Point, error) {
	return each([]float64{50, 100, 200, 400}, func(x float64) float64 {
		return bench.ConfigSpread(seed, int(x), changeRate, span).BusiestBytes
	})
}

func spreadReads() ([]Point, error) {
	return each([]float64{50, 100, 200, 400}, func(x float64) float64 { return bench.ConfigSpread(seed, int(x), changeRate, span).Reads })
}

func spreadCore() ([]Point, error) {
	return each([]float64{0, 0.5, 1, 2}, func(x float64) float64 { return bench.ConfigSpread(seed, 100, x, span).Core })
}

func each(xs []float64, cost func(x float64) float64) ([]Point, error) {
	var out []Point
	for _, x := range xs {
		out = append(out, Point{x, cost(x)})
	}
	return out, nil
}

// loanActive lets sixteen daemons of one data centre serve each of some
// organisations now and then, within their rates.
func loanActive() ([]Point, error) {
	return each([]float64{5, 10, 20, 40}, loanBytes)
}

func loanBytes(active float64) float64 {
	var cs []contract.Contract
	for i := range int(active) {
		cs = append(cs, contract.Contract{Name: fmt.Sprintf("o%d", i), Rate: 400, Burst: 400, Shares: scenario.EvenShares(1)})
	}
	f := scenario.New(scenario.Options{
		Seed: seed, DataCentres: 1, Daemons: 16, Step: 20 * time.Millisecond,
		Near: time.Millisecond, Far: 20 * time.Millisecond, Poll: time.Second, CountBytes: true,
	}, cs)
	rng := rand.New(rand.NewPCG(seed, 2))
	traffic := func() {
		for _, d := range f.Daemons {
			for i := range cs {
				if rng.IntN(10) == 0 { // five requests a second
					f.Take(d, cs[i].Name)
				}
			}
		}
	}
	until := func(t time.Duration) {
		for f.Now < t {
			f.Run(traffic)
		}
	}
	until(settle)
	before := f.Bytes
	until(settle + span/3)
	return float64(f.Bytes-before) / (span / 3).Seconds() / float64(len(f.Daemons))
}

// heapOf returns the bytes that what build returns keeps.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// held is what a daemon keeps of a configuration.
type held struct {
	snap *config.Snapshot
	keys *organisation.Keyring
}

func configOf(orgs, keysEach int) any {
	c := &config.Configuration{}
	for i := range orgs {
		name := fmt.Sprintf("organisation-%d", i)
		c.Organisations = append(c.Organisations, config.Organisation{Name: name, Rate: 10, Burst: 10, Weight: 1})
		for k := range keysEach {
			id := organisation.IDOf([]byte(fmt.Sprint(name, k)))
			c.Keys = append(c.Keys, config.Key{Digest: id.String(), Organisation: name})
		}
	}
	return held{config.NewSnapshot(1, 1, 1, c), organisation.NewKeyring(c)}
}

func organisationHeap() ([]Point, error) {
	return each([]float64{500, 1000, 2000, 4000}, func(x float64) float64 {
		return heapOf(func() any { return configOf(int(x), 1) })
	})
}

func keyHeap() ([]Point, error) {
	return each([]float64{1, 5, 10, 20}, func(x float64) float64 {
		return heapOf(func() any { return configOf(500, int(x)) }) / 500
	})
}

func endpointHeap() ([]Point, error) {
	return each([]float64{500, 1000, 2000, 4000}, func(x float64) float64 {
		return heapOf(func() any {
			p := service.NewPicker(time.Unix(1, 0), service.DefaultConfig(), service.Location{Peer: "a"}, seed)
			p.SetEndpoints(endpointsOf(int(x)))
			return p
		})
	})
}

// counting counts the commits that reach a table.
type counting struct {
	platform.Table
	commits int
}

// Commit implements platform.Table.
func (c *counting) Commit(ctx context.Context, tx platform.Tx) (uint64, error) {
	c.commits++
	return c.Table.Commit(ctx, tx)
}

func claimCommits() ([]Point, error) {
	var out []Point
	for _, n := range []int{20, 40, 80, 160} {
		store := memory.New()
		table := &counting{Table: store}
		claims := claim.New(claim.Config{}, table, store.Objects(), "a", rand.New(rand.NewPCG(seed, seed)))
		if err := takeAndRecord(claims, n); err != nil {
			return nil, err
		}
		out = append(out, Point{float64(n), float64(table.commits)})
	}
	return out, nil
}

// takeAndRecord claims one request after the other, as a daemon with little
// such traffic does.
func takeAndRecord(claims *claim.Claims, n int) error {
	for i := range n {
		h, _, err := claims.Take(context.Background(), claim.Key{Organisation: "o", Route: "r", Value: fmt.Sprint(i), Digest: "d"})
		if err != nil {
			return err
		}
		if err := h.Record(context.Background(), &claim.Answer{Status: 200}); err != nil {
			return err
		}
	}
	return nil
}
