package bench

import "time"

// gossipEvery is the time between two rounds of gossiped counters.
const gossipEvery = 500 * time.Millisecond

// staticWay gives each daemon the same fixed part of every contract.
type staticWay struct{ buckets [][]tokenBucket }

func newStaticWay() *staticWay {
	w := &staticWay{}
	n := float64(contractSites * contractDaemons)
	for range contractSites * contractDaemons {
		var own []tokenBucket
		for _, c := range contractsOfExample() {
			own = append(own, tokenBucket{rate: c.Rate / n, burst: c.Burst / n, level: c.Burst / n})
		}
		w.buckets = append(w.buckets, own)
	}
	return w
}

func (w *staticWay) step(time.Duration) {}

func (w *staticWay) take(now time.Duration, a arrival, decide func(time.Duration, bool)) {
	decide(now, w.buckets[a.daemon][a.contract].take(now))
}

// gossipWay gives each daemon a bucket of the whole contract, from which it
// takes what the others say they have admitted.
type gossipWay struct {
	buckets [][]tokenBucket
	fresh   [][]float64 // admitted since the last round
	next    time.Duration
	inbox   []gossipRound
}

type gossipRound struct {
	at       time.Duration
	from     int
	admitted []float64
}

func newGossipWay() *gossipWay {
	w := &gossipWay{next: gossipEvery}
	for range contractSites * contractDaemons {
		var own []tokenBucket
		for _, c := range contractsOfExample() {
			own = append(own, tokenBucket{rate: c.Rate, burst: c.Burst, level: c.Burst})
		}
		w.buckets = append(w.buckets, own)
		w.fresh = append(w.fresh, make([]float64, len(own)))
	}
	return w
}

func (w *gossipWay) step(now time.Duration) {
	for len(w.inbox) > 0 && w.inbox[0].at <= now {
		w.apply(now, w.inbox[0])
		w.inbox = w.inbox[1:]
	}
	if now < w.next {
		return
	}
	w.next = now + gossipEvery
	for i, admitted := range w.fresh {
		w.inbox = append(w.inbox, gossipRound{now + contractFar, i, admitted})
		w.fresh[i] = make([]float64, len(admitted))
	}
}

// apply takes one daemon's admissions from the buckets of all others.
func (w *gossipWay) apply(now time.Duration, r gossipRound) {
	for i := range w.buckets {
		if i == r.from {
			continue
		}
		for c, n := range r.admitted {
			b := &w.buckets[i][c]
			b.refill(now)
			b.level -= n
		}
	}
}

func (w *gossipWay) take(now time.Duration, a arrival, decide func(time.Duration, bool)) {
	ok := w.buckets[a.daemon][a.contract].take(now)
	if ok {
		w.fresh[a.daemon][a.contract]++
	}
	decide(now, ok)
}
