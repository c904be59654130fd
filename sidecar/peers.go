package sidecar

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"wisteriafold/link"
	"wisteriafold/membership"
	"wisteriafold/request"
	"wisteriafold/wire"
)

// maxChunkedBodyBytes limits the size of a body that is received in chunks.
const maxChunkedBodyBytes = 64 << 20

var errTooLong = errors.New("body received in chunks exceeds the size limit of a daemon; send a smaller one")

// writeCall sends a call with its whole body. A body of more than wire.ChunkBytes
// follows the head in chunks.
func writeCall(s *link.Stream, h *wire.CallHead, body []byte) error {
	h.BodyBytes = int64(len(body))
	h.Body, h.BodyFollows = nil, false
	if len(body) <= wire.ChunkBytes {
		h.Body = body
		return s.Write(&wire.Frame{Kind: &wire.Frame_Call{Call: h}})
	}
	h.BodyFollows = true
	if err := s.Write(&wire.Frame{Kind: &wire.Frame_Call{Call: h}}); err != nil {
		return err
	}
	return writeChunks(s, body)
}

func writeChunks(s *link.Stream, body []byte) error {
	for rest := body; len(rest) > 0; {
		n := min(len(rest), wire.ChunkBytes)
		if err := s.Write(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: rest[:n]}}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return s.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Bytes: uint64(len(body))}}})
}

// preallocatedBytes is the largest announced size of a body for which memory is
// allocated before the body arrives, unless that size has been reserved.
const preallocatedBytes = 64 << 10

// readChunks reads a body that is sent in chunks. It fails when the stream ends
// before the end frame, or when the end frame gives another size. keep is called
// with the size of each chunk; when it fails, readChunks discards the rest of the
// body and returns that error. reserved is the part of size for which memory has been
// reserved.
func readChunks(s *link.Stream, size, reserved int64, keep func(n int) error) ([]byte, error) {
	body := make([]byte, 0, max(min(size, max(reserved, preallocatedBytes)), 0))
	var discarded error
	read := 0
	for {
		f, err := s.Read()
		if err != nil {
			return nil, err
		}
		switch k := f.Kind.(type) {
		case *wire.Frame_Chunk:
			read += len(k.Chunk)
			if read > maxChunkedBodyBytes {
				return nil, errTooLong
			}
			if discarded == nil {
				discarded = keep(len(k.Chunk))
			}
			if discarded != nil {
				body = nil
				continue
			}
			body = append(body, k.Chunk...)
		case *wire.Frame_End:
			if k.End.Bytes != uint64(read) {
				return nil, io.ErrUnexpectedEOF
			}
			return body, discarded
		default:
			return nil, errors.New("unexpected frame kind in a body, want chunk or end: run the same version on both daemons")
		}
	}
}

// writeAnswer sends an answer with its whole body.
func writeAnswer(s *link.Stream, h *wire.AnswerHead) error {
	body := h.Body
	if len(body) <= wire.ChunkBytes {
		return s.Write(&wire.Frame{Kind: &wire.Frame_Answer{Answer: h}})
	}
	h.Body, h.BodyFollows = nil, true
	if err := s.Write(&wire.Frame{Kind: &wire.Frame_Answer{Answer: h}}); err != nil {
		return err
	}
	return writeChunks(s, body)
}

// ServeCall implements link.Handler. It runs a call from another daemon on the local
// backend server and sends the answer.
func (d *Daemon) ServeCall(ctx context.Context, s *link.Stream, first *wire.Frame) {
	k, ok := first.Kind.(*wire.Frame_Call)
	if !ok {
		return // the peer does not follow the protocol; returning closes the stream
	}
	defer d.recoverPanic("call from another daemon", "request", k.Call.RequestId, "peer", s.Peer())
	d.beginRequest() // from the head on, so that a stop waits for the body
	defer d.inFlight.Add(-1)
	h, c := k.Call, d.callOf(k.Call)
	held := heldBytes{d: d}
	defer held.release()
	answer := d.answers.gate.Hold()
	defer answer.Release() // when the asking daemon has the answer
	body, err := receiveBody(s, h, &held)
	if err != nil && !errors.Is(err, errHeldLimit) {
		return // returning closes the stream without an answer
	}
	var ans *wire.AnswerHead
	switch {
	case err != nil:
		ans = d.refusal(c, bodiesHeldError())
	case d.refusesRequests(d.now()):
		ans = d.refusal(c, shutdownError())
	default:
		ans = d.runLocally(ctx, c, h, body, answer)
	}
	if err := writeAnswer(s, ans); err != nil && ctx.Err() == nil {
		d.log.Warn("could not send the answer to the entry", "request", h.RequestId, "peer", s.Peer(), "error", err)
	}
}

// receiveBody returns the body of a call. Its bytes count towards held.
func receiveBody(s *link.Stream, h *wire.CallHead, held *heldBytes) ([]byte, error) {
	if !h.BodyFollows {
		return h.Body, held.add(len(h.Body))
	}
	keep := held.add
	if err := held.reserve(h.BodyBytes); err != nil {
		keep = func(int) error { return err }
	}
	return readChunks(s, h.BodyBytes, 0, keep)
}

// callOf decodes the head of a call from another daemon.
func (d *Daemon) callOf(h *wire.CallHead) *request.Call {
	left := time.Duration(min(max(h.RemainingUs, 0), maxRemaining.Microseconds())) * time.Microsecond
	deadline := d.now().Add(left)
	if !h.Idempotent { // the entry sends others to another endpoint when the stop cuts them off
		deadline = d.finishableDeadline(deadline)
	}
	return &request.Call{
		ID:           h.RequestId,
		Tree:         treeFromWire(h),
		Organisation: h.Organisation,
		KeyID:        string(h.KeyId),
		Route:        h.Route,
		Service:      h.Service,
		Importance:   min(request.Importance(h.Importance), request.Critical),
		Deadline:     deadline,
		Idempotent:   h.Idempotent,
		WorkSpent:    h.WorkSpent,
		BodyBytes:    h.BodyBytes,
		Regions:      h.Regions,
		Remaining:    left,
	}
}

// ReceiveControl implements link.Handler. It passes token messages to the token
// accounts and all others to the control goroutine.
func (d *Daemon) ReceiveControl(from string, m *wire.Control) {
	defer d.recoverPanic("control message", "peer", from)
	k, ok := m.Kind.(*wire.Control_Fleet)
	if !ok {
		return
	}
	if err := checkMessage(k.Fleet); err != nil {
		d.metrics.messagesIgnored.Inc()
		if d.metrics.trouble.allow(d.now()) {
			d.log.Warn("message ignored", "from", from, "error", err)
		}
		return
	}
	switch m := k.Fleet.Kind.(type) {
	case *wire.Fleet_TokenRequest, *wire.Fleet_TokenGrant:
		d.tokens.receive(from, k.Fleet)
	default:
		if s, ok := m.(*wire.Fleet_Sidecars); ok {
			s.Sidecars.Entries = d.validEntries(from, s.Sidecars.Entries)
		}
		d.control.post(func() { d.control.fleet.Receive(sinceBoot(), from, k.Fleet) })
	}
}

// validEntries returns the entries of a message that may come from daemons. A daemon
// of an earlier version may pass on what it read from an invalid row.
func (d *Daemon) validEntries(from string, entries []*membership.Entry) []*membership.Entry {
	return slices.DeleteFunc(entries, func(e *membership.Entry) bool {
		err := membership.Check(e)
		if err != nil {
			d.metrics.entriesIgnored.Inc()
			if d.metrics.trouble.allow(d.now()) {
				d.log.Warn("entry ignored", "peer", e.GetPeer(), "from", from, "error", err)
			}
		}
		return err != nil
	})
}

// sendFleet sends a control message to another daemon. Delivery is best effort and
// sendFleet does not wait for it.
func (d *Daemon) sendFleet(peer string, m *wire.Fleet) {
	d.links.SendControl(peer, &wire.Control{Kind: &wire.Control_Fleet{Fleet: m}})
}
