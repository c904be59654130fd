package bench

import (
	"time"
)

// link carries bytes out of one region in the order of their sending, and
// counts them.
type link struct {
	rate   float64 // bytes a second, 0 for no limit
	free   time.Duration
	budget bucket
	sent   series
}

// linkShare is the part of a link's rate that pickers may use; the rest is for
// bursts and for control.
const linkShare = 0.9

func newLink(rate float64) *link {
	return &link{rate: rate, budget: bucket{rate: rate * linkShare, burst: rate * (1 - linkShare), left: rate * (1 - linkShare)}}
}

// send returns how long bytes wait for the link and pass it.
func (l *link) send(at time.Duration, bytes int64) time.Duration {
	l.sent.add(at, float64(bytes))
	if l.rate == 0 {
		return 0
	}
	l.free = max(l.free, at) + time.Duration(float64(bytes)/l.rate*float64(time.Second))
	return l.free - at
}

// linkBudget is the budget that the pickers of one region see.
type linkBudget struct {
	w    *world
	from string
}

// Take charges both directions of the link to region.
func (b linkBudget) Take(region string, out, back int64) bool {
	now := b.w.clock.elapsed()
	there, here := &b.w.links[b.from].budget, &b.w.links[region].budget
	if there.rate == 0 {
		return true
	}
	if !there.has(now, float64(out)) || !here.has(now, float64(back)) {
		return false
	}
	there.left -= float64(out)
	here.left -= float64(back)
	return true
}

// bucket is a token bucket.
type bucket struct {
	rate, burst, left float64
	at                time.Duration
}

// has refills the bucket and reports whether n tokens are there.
func (b *bucket) has(now time.Duration, n float64) bool {
	b.left = min(b.burst, b.left+(now-b.at).Seconds()*b.rate)
	b.at = now
	return b.left >= n
}

// take takes n tokens if they are there.
func (b *bucket) take(now time.Duration, n float64) bool {
	if !b.has(now, n) {
		return false
	}
	b.left -= n
	return true
}
