package contract

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// microPerToken is the number of units per token in a bucket's counters.
	microPerToken = 1e6

	// closed is the value of used in a bucket that the control goroutine has closed.
	closed = math.MaxInt64
)

// bucket is the token bucket of one loan. Requests take tokens from it with
// compare-and-swap. The control goroutine closes it with one swap, which also
// returns what is left in it, and publishes another bucket in its place.
type bucket struct {
	lender string
	amount Amount
	start  int64   // nanoseconds since the epoch
	first  int64   // micro tokens at start; negative if requests took tokens at a time later than start
	rate   float64 // micro tokens per nanosecond
	size   int64   // micro tokens

	used  atomic.Int64 // micro tokens spent or overflowed since start
	until atomic.Int64 // nanoseconds since the epoch
	high  atomic.Int64 // time of the last take that found the bucket more than half full, in nanoseconds since the epoch

	returns  sync.Mutex // guards interval and returned
	interval int64      // number of the interval of length returnWithin that returned[0] counts
	returned [2]int64   // micro tokens given back in interval and in the one before
}

// returnWithin is the longest time between taking a token and giving it back;
// a token that is given back later is discarded.
const returnWithin = time.Second

func newBucket(lender string, a Amount, tokens float64, start, until time.Duration) *bucket {
	b := &bucket{
		lender: lender,
		amount: a,
		start:  int64(start),
		first:  int64(math.Floor(tokens * microPerToken)),
		rate:   a.Rate * microPerToken / float64(time.Second),
		size:   int64(math.Floor(a.Cap * microPerToken)),
	}
	b.until.Store(int64(until))
	return b
}

// available returns the micro tokens at the time now after used have been spent,
// not limited by the cap.
func (b *bucket) available(now, used int64) int64 {
	return b.first + int64(b.rate*float64(max(0, now-b.start))) - used
}

// take spends n micro tokens and reports whether it could. It checks the expiry at
// now, the time that counts as the admission in the package's invariants.
func (b *bucket) take(now, n int64) bool {
	if now >= b.until.Load() {
		return false
	}
	for {
		used := b.used.Load()
		if used == closed {
			return false
		}
		have := b.available(now, used)
		next := used + n
		if have > b.size {
			next += have - b.size
			have = b.size
		}
		if have < n {
			return false
		}
		if have > b.size/2 && b.high.Load() < now {
			b.high.Store(now)
		}
		if b.used.CompareAndSwap(used, next) {
			return true
		}
	}
}

// giveBack returns n micro tokens that were taken at the time at. At any time,
// the tokens in the bucket plus those taken before that time and given back after
// it must not exceed the cap; otherwise a window that begins between taking and
// giving back could admit more than its bound. Tokens are therefore discarded if
// the bucket was found more than half full since they were taken, or if more than
// half of the cap would be given back in the present and the previous interval of
// length returnWithin.
func (b *bucket) giveBack(now, at, n int64) {
	if now-at >= int64(returnWithin) || b.high.Load() >= at || !b.mayReturn(now, n) {
		return
	}
	for {
		used := b.used.Load()
		if used == closed || b.used.CompareAndSwap(used, used-n) {
			return
		}
	}
}

func (b *bucket) mayReturn(now, n int64) bool {
	b.returns.Lock()
	defer b.returns.Unlock()
	i := now / int64(returnWithin)
	switch {
	case i == b.interval+1:
		b.returned = [2]int64{0, b.returned[0]}
	case i > b.interval:
		b.returned = [2]int64{}
	}
	b.interval = max(i, b.interval)
	if b.returned[0]+b.returned[1]+n > b.size/2 {
		return false
	}
	b.returned[0] += n
	return true
}

// level returns the tokens at the time now, and 0 for a closed bucket.
func (b *bucket) level(now int64) float64 {
	used := b.used.Load()
	if used == closed {
		return 0
	}
	return float64(min(b.size, b.available(now, used))) / microPerToken
}

// close ends the use of the bucket and returns the tokens that were left.
func (b *bucket) close(now int64) float64 {
	used := b.used.Swap(closed)
	if used == closed {
		return 0
	}
	return float64(min(b.size, b.available(now, used))) / microPerToken
}

// f32 rounds down to a value that a message's float32 field represents exactly; a
// negative value becomes 0.
func f32(x float64) float64 {
	f := float32(x)
	if float64(f) > x {
		f = math.Nextafter32(f, 0)
	}
	return max(0, float64(f))
}

func (a Amount) f32() Amount { return Amount{f32(a.Rate), f32(a.Cap)} }

// f32up rounds up to a value that a message's float32 field represents exactly.
func f32up(x float64) float32 {
	f := float32(x)
	if float64(f) < x {
		f = math.Nextafter32(f, math.MaxFloat32)
	}
	return f
}
