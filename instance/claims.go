package instance

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriafold/claim"
	"wisteriafold/config"
	"wisteriafold/datacentre"
	"wisteriafold/request"
	"wisteriafold/wire"
)

// HeaderReplayed marks an answer that was recorded by an earlier run.
const HeaderReplayed = "Wisteriafold-Replayed"

const (
	claimWriteTimeout     = 3 * time.Second // for the write that ends a claim
	claimMaintainInterval = 5 * time.Second
	claimCleaners         = 2       // instances per data centre that remove old claims
	maxRecordedAnswer     = 1 << 20 // bytes; a larger answer is not recorded
	claimsRoleName        = "claims"
)

// claimRunner runs requests that carry an idempotency key at most once.
type claimRunner struct {
	d      *Daemon
	claims *claim.Claims
}

func newClaimRunner(d *Daemon) *claimRunner {
	rng := rand.New(rand.NewPCG(d.random(), d.random()))
	cfg := claim.Config{MaxAnswerBytes: maxRecordedAnswer}
	return &claimRunner{d: d, claims: claim.New(cfg, d.table, d.objects, d.self.Peer, rng)}
}

// runClaimed runs a request, under a claim when it has an idempotency key and
// its route is not idempotent.
func (e *entry) runClaimed(ctx context.Context) (*answer, *request.Error) {
	value := e.http.Request.Header.Peek(HeaderIdempotencyKey)
	if len(value) == 0 || e.match.Idempotent {
		return e.run(ctx)
	}
	held, recorded, err := e.d.claims.claims.Take(ctx, e.claimKey(value))
	if err != nil {
		r := request.AsError(err)
		if r.Reason == request.ReasonStoreDown && e.match.StoreDown == config.StoreDownRun {
			e.d.decide(e.call, "claim", "", "store-down: run without a claim", "")
			return e.run(ctx)
		}
		return nil, r
	}
	if recorded != nil {
		return replay(recorded), nil
	}
	e.call.Claimed = true
	return e.runWithClaim(ctx, held)
}

// claimKey returns the claim key of the request. Its digest detects that an
// idempotency key is reused for another request. The digest covers method,
// path, the size of the body and, unless the body streams, its content.
func (e *entry) claimKey(value []byte) claim.Key {
	body := e.out.body
	h := sha256.New()
	h.Write(body.inline)
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(body.size)))
	return claim.Key{
		Organisation: e.call.Organisation,
		Route:        e.match.Route,
		Value:        string(value),
		Digest:       claim.Digest(e.out.head.Method, e.out.head.Path, h.Sum(nil)),
	}
}

// runWithClaim runs a request whose claim is held and ends the claim according
// to the outcome.
func (e *entry) runWithClaim(ctx context.Context, held *claim.Held) (*answer, *request.Error) {
	if err := held.MayDispatch(); err != nil {
		e.endClaim("release", held.Release)
		return nil, request.AsError(err)
	}
	ans, fail := e.run(ctx)
	switch {
	case fail != nil && fail.Outcome == request.NotRun:
		e.endClaim("release", held.Release)
	case fail != nil:
		e.endClaim("lost", held.RecordLost)
	default:
		e.record(held, ans)
	}
	return ans, fail
}

// endClaim writes the end of a claim, even when the caller has disconnected.
func (e *entry) endClaim(how string, end func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(e.d.background), claimWriteTimeout)
	defer cancel()
	if err := end(ctx); err != nil {
		e.d.log.Warn("failed to end claim", "request_id", e.call.ID, "how", how, "err", err)
	}
}

// record stores the answer before it is sent to the caller, so that a caller
// that has seen an answer can get it again. The claim ends as lost when the
// answer cannot be buffered. A failed write is logged, and the caller still
// gets the answer.
func (e *entry) record(held *claim.Held, ans *answer) {
	if !e.bufferAnswer(ans) {
		e.endClaim("answer too large to keep", held.RecordLost)
		return
	}
	kept := &claim.Answer{Status: int(ans.head.Status), Body: ans.head.Body}
	for _, h := range ans.head.Headers {
		kept.Headers = append(kept.Headers, claim.Header{Name: h.Name, Value: h.Value})
	}
	e.endClaim("record", func(ctx context.Context) error { return held.Record(ctx, kept) })
}

// bufferAnswer reads a streaming answer into its head. It returns false when
// the answer is too large or truncated; ans.body then still yields all that
// arrived.
func (e *entry) bufferAnswer(ans *answer) bool {
	if !ans.head.BodyFollows {
		return true
	}
	b, err := io.ReadAll(io.LimitReader(ans.body, maxRecordedAnswer+1))
	if err != nil || len(b) > maxRecordedAnswer {
		ans.body = io.MultiReader(bytes.NewReader(b), &failingReader{rest: ans.body, err: err})
		return false
	}
	ans.head.Body = b
	ans.head.BodyFollows = false
	return true
}

// failingReader fails with err when that is set, and reads from rest otherwise.
type failingReader struct {
	rest io.Reader
	err  error
}

// Read implements io.Reader.
func (r *failingReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	return r.rest.Read(p)
}

// replay returns a recorded answer.
func replay(a *claim.Answer) *answer {
	head := &wire.AnswerHead{
		Outcome: wire.Outcome_OUTCOME_ANSWERED,
		Status:  uint32(a.Status),
		Body:    a.Body,
	}
	for _, h := range a.Headers {
		head.Headers = append(head.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	head.Headers = append(head.Headers, &wire.Header{Name: HeaderReplayed, Value: "true"})
	return newAnswer(head, nil, func(bool) {})
}

// maintainClaims periodically releases abandoned claims and removes old ones.
func (d *Daemon) maintainClaims(ctx context.Context) {
	t := time.NewTicker(claimMaintainInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		work, cancel := context.WithTimeout(ctx, claimMaintainInterval)
		done, err := d.claims.claims.Maintain(work, d.cleansClaims())
		cancel()
		if err != nil {
			d.log.Debug("claim maintenance failed", "err", err)
		}
		if done.Released+done.Removed > 0 {
			d.log.Info("claim maintenance done", "released", done.Released, "removed", done.Removed)
		}
	}
}

// cleansClaims reports whether this instance is one of the claimCleaners of its
// data centre.
func (d *Daemon) cleansClaims() bool {
	r, ok := d.control.members.Snapshot().Roster()
	return ok && slices.Contains(datacentre.Place(r.Addresses, claimsRoleName, claimCleaners), d.self.Peer)
}
