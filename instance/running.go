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

// running is a call that the backend server beside this daemon works on. Its
// fields are written before it is registered, the atomics at any time.
type running struct {
	call  *request.Call
	token string
	keyID []byte
	ctx   context.Context // ends with the call, and with it every call below

	allowance    *request.Allowance // extra attempts that calls below may still use
	worst        atomic.Uint32      // tightest admission level met below
	attempts     atomic.Uint32      // attempts made below
	childRan     atomic.Bool        // a call below was answered or its outcome is unknown
	childRefused atomic.Bool        // a call below was refused after its own retries
}

// fold records the tightest level that a call below has met.
func (r *running) fold(level uint32) {
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

// add registers r under a fresh token. The token is unguessable; it is worth
// nothing after remove.
func (g *registry) add(r *running) {
	var b [tokenBytes]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the process instead
	r.token = hex.EncodeToString(b[:])
	g.calls.Store(r.token, r)
	g.n.Add(1)
}

func (g *registry) remove(r *running) {
	if _, had := g.calls.LoadAndDelete(r.token); had {
		g.n.Add(-1)
	}
}

// find returns the running call with that token, or nil.
func (g *registry) find(token string) *running {
	v, ok := g.calls.Load(token)
	if !ok {
		return nil
	}
	return v.(*running)
}
