package sidecar

import (
	"context"
	"errors"

	"wisteriafold/link"
	"wisteriafold/memaccount"
	"wisteriafold/request"
	"wisteriafold/wire"
)

const (
	// heldAnswerFraction is the fraction of the memory limit of the process that the
	// answers held at the same time may take, those of the local backend server and
	// those of other daemons together. Beside it, the Go runtime needs room for request
	// bodies (heldBodyFraction), for copies while a body of unknown length grows, and
	// for garbage between two collections; cmd/wisteriafoldd gives it 0.6 in all.
	heldAnswerFraction = 1.0 / 4

	// answerReserve is the number of bytes that an entry reserves before it sends a call
	// to another daemon. It covers most answers.
	answerReserve = 16 << 10
)

// answerAccounts are the memory account of the answers that this daemon holds and its
// parts.
type answerAccounts struct {
	account *memaccount.Account

	// entry is for answers to callers of this daemon, from the local backend server or
	// from other daemons. It may take the whole account.
	entry *memaccount.Part

	// gate is for answers to other daemons, until they have them. It is limited to a part
	// of the account: two daemons whose accounts were filled by answers for each other
	// could never hand them on.
	gate *memaccount.Part
}

// answerLimit returns the maximum number of bytes of one answer.
func (s *Settings) answerLimit() int64 { return s.heldBodyLimit() }

func newAnswerAccounts(s *Settings) answerAccounts {
	total := int64(heldAnswerFraction / heldBodyFraction * float64(s.heldBodyLimit()))
	a := memaccount.New(total)
	return answerAccounts{account: a, entry: a.Part(total), gate: a.Part(total - s.answerLimit())}
}

// heldAnswers are the holdings of the answers of one request, of which there are
// several after retries.
type heldAnswers []*memaccount.Holding

// hold returns a further holding of the request.
func (h *heldAnswers) hold(p *memaccount.Part) *memaccount.Holding {
	x := p.Hold()
	*h = append(*h, x)
	return x
}

// Close releases what is held. It implements io.Closer.
func (h *heldAnswers) Close() error {
	for _, x := range *h {
		x.Release()
	}
	*h = nil
	return nil
}

// holdUntilWritten keeps what is held for the answer until it has been written to the
// caller.
func (e *entry) holdUntilWritten(h *heldAnswers) { e.http.CloseWhenReleased(h) }

// answersHeldError returns the refusal of a call for whose answer there is no room.
func answersHeldError() *request.Error {
	err := request.NewNotRunError(request.ReasonBusy, "this daemon holds too many answers, try again later or raise its memory limit")
	err.RetryAfter = shedRetryAfter
	return err
}

// noRoomError returns the error of a call whose answer found no room after the call
// was sent, and nil when err has another cause.
func noRoomError(err error) *request.Error {
	if errors.Is(err, memaccount.ErrNoRoom) || errors.Is(err, memaccount.ErrTooLarge) {
		return request.NewUnknownError(request.ReasonBusy, "there was no memory for the answer, try again later or raise the memory limit of the daemon", err)
	}
	return nil
}

// readAnswer reads an answer with its whole body. Its bytes count towards held. A body
// that is sent in chunks is not read before there is room for it, so that the daemon
// that sends it is slowed down.
func readAnswer(ctx context.Context, s *link.Stream, held *memaccount.Holding) (*wire.AnswerHead, error) {
	f, err := s.Read()
	if err != nil {
		return nil, err
	}
	k, ok := f.Kind.(*wire.Frame_Answer)
	if !ok {
		return nil, errors.New("unexpected frame kind, want answer: run the same version on both daemons")
	}
	a := k.Answer
	reserved := held.Bytes()
	reserve := func(n int64) error {
		if n <= reserved {
			return nil
		}
		err := held.Reserve(ctx, n-reserved)
		if err == nil {
			reserved = n
		}
		return err
	}
	if !a.BodyFollows {
		err := reserve(int64(len(a.Body)))
		held.Trim(int64(len(a.Body)))
		return a, err
	}
	if err := reserve(a.BodyBytes); err != nil {
		return nil, err
	}
	var read int64
	a.Body, err = readChunks(s, a.BodyBytes, reserved, func(n int) error {
		read += int64(n)
		return reserve(read)
	})
	if err != nil {
		return nil, err
	}
	held.Trim(int64(len(a.Body)))
	return a, nil
}
