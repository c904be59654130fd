package contract

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// micro is the number of units in which a part counts one token.
	micro = 1e6

	// closed marks a part that the control goroutine has taken out of use.
	closed = math.MaxInt64
)

// part is the token bucket of one loan. Traffic spends from it with
// compare-and-swap; control takes it out of use with one swap, which also tells
// what is left in it, and publishes another one in its place.
type part struct {
	lender string
	amount Amount
	start  int64   // nanoseconds since the epoch
	first  int64   // micro tokens at start; negative when traffic ran ahead of control's clock
	rate   float64 // micro tokens per nanosecond
	size   int64   // micro tokens

	used  atomic.Int64 // micro tokens spent or overflowed since start
	until atomic.Int64 // nanoseconds since the epoch
	high  atomic.Int64 // last take that found it more than half full

	returns  sync.Mutex // of traffic only
	interval int64      // number of the interval that returned counts
	returned [2]int64   // micro tokens given back in it and in the one before
}

// returnWithin is the longest time between taking a token and giving it back.
const returnWithin = time.Second

func newPart(lender string, a Amount, tokens float64, start, until time.Duration) *part {
	p := &part{
		lender: lender,
		amount: a,
		start:  int64(start),
		first:  int64(math.Floor(tokens * micro)),
		rate:   a.Rate * micro / float64(time.Second),
		size:   int64(math.Floor(a.Cap * micro)),
	}
	p.until.Store(int64(until))
	return p
}

// available returns the micro tokens at now when used have been spent, before
// the cap is applied.
func (p *part) available(now, used int64) int64 {
	return p.first + int64(p.rate*float64(max(0, now-p.start))) - used
}

// take spends n micro tokens. The expiry is checked at now, which is the moment
// that the invariant counts as the admission.
func (p *part) take(now, n int64) bool {
	if now >= p.until.Load() {
		return false
	}
	for {
		used := p.used.Load()
		if used == closed {
			return false
		}
		have := p.available(now, used)
		next := used + n
		if have > p.size {
			next += have - p.size
			have = p.size
		}
		if have < n {
			return false
		}
		if have > p.size/2 && p.high.Load() < now {
			p.high.Store(now)
		}
		if p.used.CompareAndSwap(used, next) {
			return true
		}
	}
}

// giveBack returns n micro tokens that were taken at the time at. What is in
// the part at any moment and what is given back later of the tokens taken
// before that moment must fit under the cap together: otherwise a window that
// begins between taking and giving back could admit more than its bound. So a
// token is lost when the part was more than half full since it was taken, and
// when half the cap has been given back within the last returnWithin.
func (p *part) giveBack(now, at, n int64) {
	if now-at >= int64(returnWithin) || p.high.Load() >= at || !p.mayReturn(now, n) {
		return
	}
	for {
		used := p.used.Load()
		if used == closed || p.used.CompareAndSwap(used, used-n) {
			return
		}
	}
}

func (p *part) mayReturn(now, n int64) bool {
	p.returns.Lock()
	defer p.returns.Unlock()
	i := now / int64(returnWithin)
	switch {
	case i == p.interval+1:
		p.returned = [2]int64{0, p.returned[0]}
	case i > p.interval:
		p.returned = [2]int64{}
	}
	p.interval = max(i, p.interval)
	if p.returned[0]+p.returned[1]+n > p.size/2 {
		return false
	}
	p.returned[0] += n
	return true
}

// level returns the tokens at now, 0 when the part is out of use.
func (p *part) level(now int64) float64 {
	used := p.used.Load()
	if used == closed {
		return 0
	}
	return float64(min(p.size, p.available(now, used))) / micro
}

// close takes the part out of use and returns the tokens that were left.
func (p *part) close(now int64) float64 {
	used := p.used.Swap(closed)
	if used == closed {
		return 0
	}
	return float64(min(p.size, p.available(now, used))) / micro
}

// f32 rounds down to a value that a message carries exactly.
func f32(x float64) float64 {
	f := float32(x)
	if float64(f) > x {
		f = math.Nextafter32(f, 0)
	}
	return max(0, float64(f))
}

func (a Amount) f32() Amount { return Amount{f32(a.Rate), f32(a.Cap)} }

// f32up rounds up to a value that a message carries exactly.
func f32up(x float64) float32 {
	f := float32(x)
	if float64(f) < x {
		f = math.Nextafter32(f, math.MaxFloat32)
	}
	return f
}
