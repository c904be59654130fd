package bench

import (
	"math"
	"time"
)

// Sizes and bounds of the configuration experiments. Bounds come from the
// stated targets: 2 s, 2 KB a second for a daemon, and a part of the store's
// 2,000 reads a second for each of 20 data centres.
const (
	configCentres   = 4
	configEach      = 100
	configKeys      = 50
	configSettle    = 20 * time.Second
	configChanges   = 40
	configInForce   = 2.0    // seconds
	configBytes     = 2000.0 // a second, for one daemon
	configReads     = 100.0  // a second, for one data centre
	changesPerDay   = 62_000
	secondsPerDay   = 86_400
	configNever     = 60 * time.Second
	configCostAfter = 20 * time.Second
)

// Configuration measures how fast a change is in force and what that costs.
// The naive version is one in which every daemon reads the store by itself, as
// often as 2,000 reads a second for 16,000 daemons allow: every 8 s. Its figures
// are worked out, not run.
func Configuration(_ Params, seed uint64) Outcome { return configuration(seed, configEach) }

// configuration measures with so many daemons in each data centre.
func configuration(seed uint64, each int) Outcome {
	const naivePoll = 8.0
	all := configTimes(seed, each, false)
	one := configTimes(seed, each, true)
	cost := ConfigSpread(seed, each, float64(changesPerDay)/secondsPerDay, time.Minute)
	return Outcome{Measures: []Measure{
		{Name: "config-in-force", Unit: "s", Sense: AtMost, Value: all.Seconds(), Bound: configInForce, Naive: naivePoll},
		{Name: "config-in-force-one-reaches-store", Unit: "s", Sense: AtMost, Value: one.Seconds(), Bound: configInForce, Naive: math.NaN()},
		{Name: "config-busiest-daemon", Unit: "B/s", Sense: AtMost, Value: cost.BusiestBytes, Bound: configBytes, Naive: math.NaN()},
		{Name: "config-store-reads-per-data-centre", Unit: "/s", Sense: AtMost, Value: cost.Reads, Bound: configReads, Naive: float64(each) / naivePoll},
	}}
}

// configTimes returns the longest time that one of many changes took to be in
// force at every daemon. With oneSighted only one daemon reaches the store.
func configTimes(seed uint64, each int, oneSighted bool) time.Duration {
	f := newConfigFleet(seed, configCentres, each)
	f.apply()
	f.run(configSettle)
	if oneSighted {
		reader := f.reader()
		f.sighted = func(peer string) bool { return peer == reader }
		f.run(configSettle)
	}
	var worst time.Duration
	for range configChanges {
		f.run(time.Duration(f.random.Int64N(int64(time.Second))))
		begin := f.clock.now
		f.apply()
		f.run(configNever / configChanges * 2)
		took, done := f.slowest(begin)
		if !done || f.err != nil {
			return configNever
		}
		worst = max(worst, took)
	}
	return worst
}

// reader returns the address of one daemon that reads the store.
func (f *configFleet) reader() string {
	for _, d := range f.daemons {
		if d.Status(f.clock.now).Relay {
			return d.peer
		}
	}
	return ""
}

// ConfigCost is the cost of the configuration's spread in one data centre.
type ConfigCost struct {
	Bytes        float64 // sent by a daemon in a second, on average, with framing up to yamux
	BusiestBytes float64 // sent by the daemon that sends most
	Messages     float64 // sent by a daemon in a second, on average
	Reads        float64 // of the store in a second, by all daemons together
	Core         float64 // part of a core that a daemon takes, machines and codec
}

// ConfigSpread measures the cost in a data centre of so many daemons at so
// many changes a second, over a span of virtual time.
func ConfigSpread(seed uint64, daemons int, changes float64, span time.Duration) ConfigCost {
	f := newConfigFleet(seed, 1, daemons)
	f.apply()
	f.run(configCostAfter)
	f.reads, f.work = 0, 0
	for _, d := range f.daemons {
		d.bytes, d.sent = 0, 0
	}
	if changes > 0 {
		every := time.Duration(float64(time.Second) / changes)
		for passed := every; passed <= span; passed += every {
			f.run(every)
			f.apply()
		}
	}
	f.run(configCostAfter + span - f.clock.elapsed())
	return f.cost(span)
}

func (f *configFleet) cost(span time.Duration) ConfigCost {
	var c ConfigCost
	s, n := span.Seconds(), float64(len(f.daemons))
	for _, d := range f.daemons {
		c.Bytes += float64(d.bytes) / s / n
		c.Messages += float64(d.sent) / s / n
		c.BusiestBytes = max(c.BusiestBytes, float64(d.bytes)/s)
	}
	c.Reads = float64(f.reads) / s
	c.Core = f.work.Seconds() / s / n
	return c
}
