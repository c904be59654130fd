package instance

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"

	"wisteriafold/request"
)

const tokenBytes = 16 // random bytes of a call token

// runningCall is a call that this daemon's backend server is working on. Its
// fields are set before it is registered; only the atomics change after that.
type runningCall struct {
	call  *request.Call
	token string
	keyID []byte
	ctx   context.Context // cancelled when the call ends, which also cancels its child calls

	allowance    *request.Allowance // extra attempts that child calls may still use
	worst        atomic.Uint32      // tightest admission level met in the subtree
	attempts     atomic.Uint32      // attempts made in the subtree
	childRan     atomic.Bool        // a child call was answered or its outcome is unknown
	childRefused atomic.Bool        // a child call was refused after its own retries
}

// raiseWorst records the tightest admission level that a child call has met.
func (r *runningCall) raiseWorst(level uint32) {
	for {
		have := r.worst.Load()
		if level <= have || r.worst.CompareAndSwap(have, level) {
			return
		}
	}
}

// registry finds running calls by their token.
type registry struct {
	calls sync.Map // token -> *running
	n     atomic.Int64
}

// add registers r under a new random token, which cannot be guessed and is
// invalid after remove.
func (g *registry) add(r *runningCall) {
	var b [tokenBytes]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the process instead
	r.token = hex.EncodeToString(b[:])
	g.calls.Store(r.token, r)
	g.n.Add(1)
}

func (g *registry) remove(r *runningCall) {
	if _, had := g.calls.LoadAndDelete(r.token); had {
		g.n.Add(-1)
	}
}

// find returns the running call with that token, or nil.
func (g *registry) find(token string) *runningCall {
	v, ok := g.calls.Load(token)
	if !ok {
		return nil
	}
	return v.(*runningCall)
}
