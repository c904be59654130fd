package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"wisteriafold/platform"
	"wisteriafold/request"
)

// ErrMoved reports that the row of a claim is no longer as its holder left it,
// which only damage from outside brings about.
var ErrMoved = errors.New("the claim's row was changed by another writer: look at it with explain")

// MayDispatch reports whether the request may still be handed to a gate. A
// holder that was paused for so long that its row may have been removed must
// Release instead. It is asked right before the dispatch.
func (h *Held) MayDispatch() error {
	if time.Since(h.taken) <= h.claims.cfg.MaxHold {
		return nil
	}
	return request.Refuse(request.ReasonDeadline, "send it again with the same Idempotency-Key: this instance was held up after it had taken the claim")
}

// Release gives the claim back for a request that was certainly never handed to
// a gate, or refused by one. When the table can't be reached, Maintain does it
// later; until then retries are told that a run is in progress.
func (h *Held) Release(ctx context.Context) error {
	l := loose{key: h.key, expect: h.version, nonce: h.row.Nonce}
	done, err := h.claims.release(ctx, l)
	if !done {
		h.claims.remember(l)
	}
	return err
}

// Record keeps the answer for later retries. When it fails, they are told that
// the outcome is not known, unless the record lands late.
func (h *Held) Record(ctx context.Context, a *Answer) error {
	row := h.row
	row.State = Answered
	b, err := json.Marshal(a)
	if err != nil {
		return eris.Wrap(err, "encode answer")
	}
	switch {
	case len(b) <= h.claims.cfg.Inline:
		row.Answer = a
	case len(b) <= h.claims.cfg.MaxAnswer:
		row.Object = objectKey(h.key, row.Nonce)
		if err := h.claims.put(ctx, row.Object, b); err != nil {
			return errors.Join(err, h.Lost(ctx))
		}
	default:
		row.State = Unknown
		row.Note = fmt.Sprintf("answered with status %d; %d bytes are too many to keep", a.Status, len(b))
	}
	return h.end(ctx, row)
}

// Lost records that the request may have run and its answer is lost.
func (h *Held) Lost(ctx context.Context) error {
	row := h.row
	row.State = Unknown
	return h.end(ctx, row)
}

// end replaces the held row for good.
func (h *Held) end(ctx context.Context, row Row) error {
	row.Write = h.claims.draw()
	w := Write{Key: h.key, Expect: h.version, Row: row}
	for {
		out, err := h.claims.submit.Submit(ctx, w)
		var ambiguous *platform.AmbiguousError
		switch {
		case err == nil && out.Landed:
			return nil
		case err == nil:
			return ErrMoved
		case !errors.As(err, &ambiguous) || ctx.Err() != nil:
			return eris.Wrap(err, "record outcome of claim")
		}
	}
}

// objectKey names the recorded answer of one claim.
func objectKey(row, nonce string) string { return "claims/" + row + "/" + nonce }

// put stores an object, again while the answer to that is lost.
func (c *Claims) put(ctx context.Context, key string, value []byte) error {
	for {
		err := c.objects.Put(ctx, key, value)
		var ambiguous *platform.AmbiguousError
		if !errors.As(err, &ambiguous) || ctx.Err() != nil {
			return err
		}
		pause(ctx, c.cfg.RetryWait)
	}
}

// release brings a claim that was never dispatched to rest: either a released
// row takes its place, or its own row is released. It reports whether that is
// done, or the row has moved on in another way.
func (c *Claims) release(ctx context.Context, l loose) (bool, error) {
	w := Write{Key: l.key, Expect: l.expect, Row: Row{
		State: Released, Claimant: c.claimant, Write: c.draw(), Nonce: l.nonce,
	}}
	// A released row may be the first one of its key, and its age counts too.
	w.Claims = true
	for {
		out, err := c.submit.Submit(ctx, w)
		if err != nil {
			return false, err
		}
		landed := out.Row != nil && out.Row.State == InProgress && out.Row.Nonce == l.nonce
		if out.Landed || !landed {
			return true, nil
		}
		w.Expect = out.Version
	}
}
