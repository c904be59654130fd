package service

import (
	"sync"
	"time"
)

// WindowBudget limits the retries of one daemon to one service to a fraction of its
// first attempts in a window of time. Unlike RetryBudget it counts the attempts of the
// busiest recent window: when a service fails, trees of calls end early and attempts
// become fewer, just when retries are needed to complete some trees. It is safe for
// concurrent use.
//
// A first attempt earns ratio retries. In a slot of time with fewer attempts than the
// average of the busiest window, the missing attempts are credited as well. Attempts and
// credits of one window together earn no more than the attempts of the busiest one.
type WindowBudget struct {
	ratio float64
	burst float64 // retries that can be saved in addition to those earned in savedTime
	slot  time.Duration

	mu       sync.Mutex
	current  int64 // index of the slot in progress
	attempts [2 * slotsPerWindow]float64
	credits  [2 * slotsPerWindow]float64
	left     float64
}

const (
	slotsPerWindow = 20
	savedTime      = time.Second // retries earned in this time can be saved
)

// NewWindowBudget returns a budget that starts with burst retries.
func NewWindowBudget(ratio float64, window time.Duration, burst int) *WindowBudget {
	return &WindowBudget{ratio: ratio, burst: float64(burst), slot: window / slotsPerWindow, left: float64(burst)}
}

// Attempt records a first attempt. now is the time since any fixed moment.
func (b *WindowBudget) Attempt(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.attempts[b.index(0)]++
	b.earn(max(0, min(1, 1+b.room())))
}

// WithdrawWithReserve takes one retry and reports whether it did. It does so only if
// the balance covers that retry plus a reserve: part, from 0 to 1, is the fraction of
// the remaining capacity to reserve, as for RetryBudget.
func (b *WindowBudget) WithdrawWithReserve(now time.Duration, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.left < 1+part*max(b.capacity()-1, 0) {
		return false
	}
	b.left--
	return true
}

// index returns the position of the slot that began `ago` slots before the current one.
func (b *WindowBudget) index(ago int64) int {
	n := int64(len(b.attempts))
	return int(((b.current-ago)%n + n) % n)
}

// sum adds up the values of one window: of the slots up to the one that began `ago`
// slots before the current one.
func (b *WindowBudget) sum(values *[2 * slotsPerWindow]float64, ago int64) (total float64) {
	for i := range int64(slotsPerWindow) {
		total += values[b.index(ago+i)]
	}
	return total
}

// busiest returns the attempts of the busier of this window and the one half a window
// before it.
func (b *WindowBudget) busiest() float64 {
	return max(b.sum(&b.attempts, 0), b.sum(&b.attempts, slotsPerWindow/2))
}

func (b *WindowBudget) capacity() float64 {
	return b.burst + b.ratio*b.busiest()*float64(savedTime)/float64(b.slot*slotsPerWindow)
}

func (b *WindowBudget) earn(attempts float64) {
	b.left = min(b.left+b.ratio*attempts, b.capacity())
}

// advance credits and clears the slots that have passed.
func (b *WindowBudget) advance(now time.Duration) {
	at := int64(now / b.slot)
	if at-b.current > int64(len(b.attempts)) {
		b.attempts, b.credits = [2 * slotsPerWindow]float64{}, [2 * slotsPerWindow]float64{}
		b.current = at
		return
	}
	for b.current < at {
		b.creditSlot()
		b.current++
		b.attempts[b.index(0)], b.credits[b.index(0)] = 0, 0
	}
}

// room returns how many more attempts can be credited in this window.
func (b *WindowBudget) room() float64 {
	return b.busiest() - b.sum(&b.attempts, 0) - b.sum(&b.credits, 0)
}

// creditSlot credits the attempts that are missing in the slot that ends.
func (b *WindowBudget) creditSlot() {
	missing := b.busiest()/slotsPerWindow - b.attempts[b.index(0)]
	credit := max(0, min(missing, b.room()))
	b.credits[b.index(0)] = credit
	b.earn(credit)
}

// Left returns the number of retries that could be taken at now. It changes nothing.
func (b *WindowBudget) Left(now time.Duration) float64 {
	b.mu.Lock()
	c := WindowBudget{
		ratio: b.ratio, burst: b.burst, slot: b.slot,
		current: b.current, attempts: b.attempts, credits: b.credits, left: b.left,
	}
	b.mu.Unlock()
	c.advance(now)
	return c.left
}
