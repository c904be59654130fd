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

// ErrRowChanged reports that the row of a claim has changed since its holder wrote it.
// Only the holder changes a held row, so another program has changed the table, or
// the row was removed by age.
var ErrRowChanged = errors.New("the claim's row was changed or removed by another writer: inspect the key with `wisteriafold claim`")

// MayDispatch returns nil if the request may still be passed to a gate. It returns
// an error if the holder was paused for so long that its row may have been removed;
// the caller must then call Release. It must be called right before the dispatch.
func (h *Held) MayDispatch() error {
	if time.Since(h.takenAt) <= h.claims.cfg.MaxHold {
		return nil
	}
	return request.NewNotRunError(request.ReasonDeadline, "send it again with the same Idempotency-Key: this instance was held up after it had taken the claim")
}

// Release releases the claim of a request that was certainly never passed to a gate
// or was refused by one. If the table can't be reached, Maintain releases the claim
// later; until then retries are told that a run is in progress.
func (h *Held) Release(ctx context.Context) error {
	l := abandonedClaim{key: h.key, expect: h.version, nonce: h.row.Nonce}
	done, err := h.claims.release(ctx, l)
	if !done {
		h.claims.addUnsettled(l)
	}
	return err
}

// Record stores the answer for later retries. If it fails, retries are told that the
// outcome is unknown, unless the write takes effect late.
func (h *Held) Record(ctx context.Context, a *Answer) error {
	row := h.row
	row.State = Answered
	b, err := json.Marshal(a)
	if err != nil {
		return eris.Wrap(err, "encode answer of claimed request")
	}
	switch {
	case len(b) <= h.claims.cfg.MaxInlineBytes:
		row.Answer = a
	case len(b) <= h.claims.cfg.MaxAnswerBytes:
		row.Object = objectKey(h.key, row.Nonce)
		if err := h.claims.put(ctx, row.Object, b); err != nil {
			return errors.Join(err, h.RecordLost(ctx))
		}
	default:
		row.State = Unknown
		row.Note = fmt.Sprintf("answered with status %d; %d bytes are too many to keep", a.Status, len(b))
	}
	return h.end(ctx, row)
}

// RecordLost records that the request may have run and that its answer was lost.
func (h *Held) RecordLost(ctx context.Context) error {
	row := h.row
	row.State = Unknown
	return h.end(ctx, row)
}

// end replaces the held row with its final row. It repeats the write while its
// result is ambiguous and ctx has not ended.
func (h *Held) end(ctx context.Context, row Row) error {
	row.Write = h.claims.newWriteID()
	w := Write{Key: h.key, Expect: h.version, Row: row}
	for {
		out, err := h.claims.submit.Submit(ctx, w)
		var ambiguous *platform.AmbiguousError
		switch {
		case err == nil && out.Committed:
			return nil
		case err == nil:
			return ErrRowChanged
		case !errors.As(err, &ambiguous) || ctx.Err() != nil:
			return eris.Wrap(err, "record outcome of claimed request")
		}
	}
}

// objectKey returns the key of a claim's recorded answer in the object store.
func objectKey(row, nonce string) string { return "claims/" + row + "/" + nonce }

// put stores an object. It repeats the write while its result is ambiguous and ctx
// has not ended.
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

// release releases a claim whose request was never dispatched. It writes a released
// row in place of the claim, or changes the claim's row to released if the claim has
// been committed. It returns true when that is done or when the row now belongs to
// another claim, so that nothing is left to release.
func (c *Claims) release(ctx context.Context, l abandonedClaim) (bool, error) {
	w := Write{Key: l.key, Expect: l.expect, Row: Row{
		State: Released, Claimant: c.claimant, Write: c.newWriteID(), Nonce: l.nonce,
	}}
	// The released row may be the first row of the key. It must carry the current
	// epoch as well, because clean-up removes it by age.
	w.RequiresEpoch = true
	for {
		out, err := c.submit.Submit(ctx, w)
		if err != nil {
			return false, err
		}
		landed := out.Row != nil && out.Row.State == InProgress && out.Row.Nonce == l.nonce
		if out.Committed || !landed {
			return true, nil
		}
		w.Expect = out.Version
	}
}
