package request

import "sync/atomic"

// Allowance is the number of extra attempts that one call and the calls below
// it may still make. It is safe for concurrent use.
//
// What a child is lent leaves the parent at once and comes back only with the
// child's answer; what a lost answer would have brought back is gone. The sum
// over a tree therefore never exceeds what its root started with, whatever
// the depth, the fan-out and the messages that are lost.
type Allowance struct{ left atomic.Uint32 }

// NewAllowance returns an allowance of n extra attempts.
func NewAllowance(n uint32) *Allowance {
	a := new(Allowance)
	a.left.Store(n)
	return a
}

// Left returns the extra attempts that are neither spent nor lent.
func (a *Allowance) Left() uint32 { return a.left.Load() }

// Spend takes one extra attempt and reports whether there was one.
func (a *Allowance) Spend() bool {
	for {
		n := a.left.Load()
		if n == 0 {
			return false
		}
		if a.left.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// Lend takes the part that the next child call carries: half of what is left,
// rounded up, so that children which follow or run beside it still find some.
func (a *Allowance) Lend() uint32 {
	for {
		n := a.left.Load()
		part := n - n/2
		if a.left.CompareAndSwap(n, n-part) {
			return part
		}
	}
}

// Return gives back what an answer says is unused of a part that was lent.
// More than was lent is never taken back.
func (a *Allowance) Return(lent, unused uint32) {
	a.left.Add(min(lent, unused))
}
