package request

import "sync/atomic"

// Allowance is the number of extra attempts (retries) that one call and its child
// calls may still make. It is safe for concurrent use.
//
// The part lent to a child is deducted from the parent at once. The unused rest
// comes back only with the child's answer; if the answer is lost, so is the rest.
// The sum over a request tree therefore never exceeds the allowance of its root,
// whatever the depth, the fan-out and the number of lost messages.
type Allowance struct{ left atomic.Uint32 }

// NewAllowance returns an allowance of n extra attempts.
func NewAllowance(n uint32) *Allowance {
	a := new(Allowance)
	a.left.Store(n)
	return a
}

// Left returns the number of extra attempts that are neither spent nor lent.
func (a *Allowance) Left() uint32 { return a.left.Load() }

// Spend takes one extra attempt and reports whether one was available.
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

// Lend deducts and returns the part that the next child call carries: half of the
// remaining allowance, rounded up. The rest stays for later and concurrent child
// calls.
func (a *Allowance) Lend() uint32 {
	for {
		n := a.left.Load()
		part := n - n/2
		if a.left.CompareAndSwap(n, n-part) {
			return part
		}
	}
}

// Return adds the unused part of a lent allowance, as stated in the child's answer.
// It adds no more than was lent.
func (a *Allowance) Return(lent, unused uint32) {
	a.left.Add(min(lent, unused))
}
