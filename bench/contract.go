package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wisteriafold/contract"
	"wisteriafold/contract/scenario"
)

const (
	contractSites   = 4 // data centres
	contractDaemons = 4 // in each of them
	contractStep    = 10 * time.Millisecond
	contractWarmUp  = 6 * time.Second
	contractFor     = 60 * time.Second // virtual time within the rate
	contractOverFor = 20 * time.Second // virtual time over the rate
	contractMove    = 8 * time.Second  // demand moves to another data centre this often
	contractLoad    = 0.8              // demand within the rate, as a part of it
	contractExcess  = 3.0              // demand over the rate, as a part of it
	contractNear    = time.Millisecond
	contractFar     = 20 * time.Millisecond
)

// contractsOfExample are the sizes of the example deployment: a few large
// organisations, bursts of half a second to a second.
func contractsOfExample() []contract.Contract {
	sizes := []struct{ rate, burst float64 }{{120, 60}, {90, 45}, {40, 20}, {30, 15}, {10, 10}, {10, 10}, {150, 80}, {25, 12}}
	var all []contract.Contract
	for i, s := range sizes {
		all = append(all, contract.Contract{
			Name: fmt.Sprintf("org%d", i), Rate: s.rate, Burst: s.burst, Shares: scenario.EvenShares(contractSites),
		})
	}
	return all
}

// arrival is one request.
type arrival struct {
	contract int
	daemon   int
}

// contractDemand draws arrivals: nine in ten of an organisation's requests come
// to one data centre, which changes.
type contractDemand struct {
	rng       *rand.Rand
	contracts []contract.Contract
	load      float64
	home      []int
	moveAt    time.Duration
}

func newContractDemand(seed uint64, load float64) *contractDemand {
	d := &contractDemand{rng: rand.New(rand.NewPCG(seed, 3)), contracts: contractsOfExample(), load: load}
	d.home = make([]int, len(d.contracts))
	return d
}

func (d *contractDemand) next(now, step time.Duration) []arrival {
	if now >= d.moveAt {
		d.moveAt = now + contractMove
		for i := range d.home {
			d.home[i] = d.rng.IntN(contractSites)
		}
	}
	var all []arrival
	for i, c := range d.contracts {
		for range poisson(d.rng, c.Rate*d.load*step.Seconds()) {
			dc := d.home[i]
			if d.rng.IntN(10) == 0 {
				dc = d.rng.IntN(contractSites)
			}
			all = append(all, arrival{i, dc*contractDaemons + d.rng.IntN(contractDaemons)})
		}
	}
	return all
}

func poisson(rng *rand.Rand, mean float64) int {
	limit, p, n := math.Exp(-mean), rng.Float64(), 0
	for p > limit {
		p *= rng.Float64()
		n++
	}
	return n
}

// tokenBucket is one central bucket.
type tokenBucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *tokenBucket) refill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

func (b *tokenBucket) take(now time.Duration) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// contractResult counts what one way of limiting did with a demand.
type contractResult struct {
	Within    int     // requests that one central bucket admits
	Refused   int     // of these, refused
	Admitted  int     // after the warm-up
	Overshoot float64 // tokens over the bound in the worst window
}

// wrongful is the part of the requests within the rate that were refused.
func (r contractResult) wrongful() float64 { return float64(r.Refused) / max(1, float64(r.Within)) }

// use is what was admitted as a part of what one central bucket admits.
func (r contractResult) use() float64 { return float64(r.Admitted) / max(1, float64(r.Within)) }

// contractWay is a way of limiting. decide is called back with each verdict.
type contractWay interface {
	step(now time.Duration)
	take(now time.Duration, a arrival, decide func(now time.Duration, ok bool))
}

// runContracts gives a way of limiting and one central bucket for each
// contract the same demand.
func runContracts(w contractWay, check *scenario.Checker, seed uint64, load float64, lasts time.Duration) contractResult {
	demand := newContractDemand(seed, load)
	central := make([]tokenBucket, len(demand.contracts))
	for i, c := range demand.contracts {
		central[i] = tokenBucket{rate: c.Rate, burst: c.Burst, level: c.Burst}
	}
	var r contractResult
	for now := contractStep; now <= lasts; now += contractStep {
		w.step(now)
		for _, a := range demand.next(now, contractStep) {
			counted := now > contractWarmUp
			within := central[a.contract].take(now)
			if within && counted {
				r.Within++
			}
			w.take(now, a, func(at time.Duration, ok bool) {
				if ok {
					check.Admit(at, demand.contracts[a.contract].Name, 1)
				}
				if ok && counted {
					r.Admitted++
				}
				if !ok && within && counted {
					r.Refused++
				}
			})
		}
	}
	r.Overshoot = check.Overshoot
	return r
}

// sharesWay is package contract.
type sharesWay struct {
	fleet   *scenario.Fleet
	names   []string
	waiting []sharesWait
	faults  func(f *scenario.Fleet)
}

type sharesWait struct {
	daemon *scenario.Daemon
	waiter *contract.Waiter
	decide func(time.Duration, bool)
}

func newSharesWay(seed uint64) *sharesWay {
	cs := contractsOfExample()
	w := &sharesWay{fleet: scenario.New(scenario.Options{
		Seed: seed, DataCentres: contractSites, Daemons: contractDaemons, Step: contractStep,
		Near: contractNear, Far: contractFar, Poll: time.Second, LateBy: time.Second,
	}, cs)}
	for _, c := range cs {
		w.names = append(w.names, c.Name)
	}
	return w
}

func (w *sharesWay) step(time.Duration) {
	if w.faults != nil {
		w.faults(w.fleet)
	}
	w.fleet.Run(w.retry)
}

// retry lets waiting requests try again.
func (w *sharesWay) retry() {
	left := w.waiting[:0]
	for _, x := range w.waiting {
		if !x.daemon.Running() {
			left = append(left, x)
			continue
		}
		v, over := x.waiter.Try(x.daemon.Clock())
		if !over {
			left = append(left, x)
			continue
		}
		x.waiter.Stop(v)
		x.decide(w.fleet.Now, v.OK)
	}
	w.waiting = left
}

// take sends the request to its daemon, or to the next one that runs.
func (w *sharesWay) take(now time.Duration, a arrival, decide func(time.Duration, bool)) {
	all := w.fleet.Daemons
	for i := range all {
		d := all[(a.daemon+i)%len(all)]
		if !d.Running() {
			continue
		}
		waiter, v := d.Machine.Limiter().Await(d.Clock(), w.names[a.contract], 1)
		if v.OK || !waiter.Waiting() {
			waiter.Stop(v)
			decide(now, v.OK)
			return
		}
		w.waiting = append(w.waiting, sharesWait{d, waiter, decide})
		return
	}
	decide(now, false)
}

// contracts compares conserved shares with one central bucket for each
// organisation, and beside it static parts and gossiped counters.
func contracts(_ Params, seed uint64) Outcome {
	run := func(load float64, lasts time.Duration) (ours, static, gossip contractResult) {
		w := newSharesWay(seed)
		ours = runContracts(w, w.fleet.Check, seed, load, lasts)
		static = runContracts(newStaticWay(), allowed(), seed, load, lasts)
		gossip = runContracts(newGossipWay(), allowed(), seed, load, lasts)
		return ours, static, gossip
	}
	ours, static, gossip := run(contractLoad, contractFor)
	over, staticOver, gossipOver := run(contractExcess, contractOverFor)
	return Outcome{Measures: []Measure{
		{Name: "contract-refused-within-rate", Sense: AtMost, Bound: 0.001, Value: ours.wrongful(), Naive: static.wrongful()},
		{Name: "contract-refused-gossip", Sense: AtMost, Bound: 0.001, Value: ours.wrongful(), Naive: gossip.wrongful()},
		{Name: "contract-overshoot-within-rate", Sense: AtMost, Bound: 0, Value: ours.Overshoot, Naive: gossip.Overshoot, Unit: " tokens"},
		{Name: "contract-overshoot-over-rate", Sense: AtMost, Bound: 0, Value: over.Overshoot, Naive: gossipOver.Overshoot, Unit: " tokens"},
		{Name: "contract-use-over-rate", Bound: 0.95, Value: over.use(), Naive: staticOver.use()},
	}}
}

// allowed is a checker of the example's contracts.
func allowed() *scenario.Checker {
	c := scenario.NewChecker()
	for _, k := range contractsOfExample() {
		k.Version = 1
		c.Allow(k)
	}
	return c
}
