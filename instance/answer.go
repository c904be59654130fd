package instance

import (
	"bytes"
	"io"
	"sync"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// answer is a whole answer of a backend server on its way back to the caller.
type answer struct {
	head *wire.AnswerHead
	body io.Reader // fails when the answer is cut short

	// close releases what the answer holds; complete says that the body was
	// read to its end. It may be called more than once.
	close func(complete bool)
}

// newAnswer returns an answer whose release runs at most once.
func newAnswer(head *wire.AnswerHead, body io.Reader, release func(complete bool)) *answer {
	var once sync.Once
	if body == nil {
		body = bytes.NewReader(head.Body)
	}
	return &answer{
		head:  head,
		body:  body,
		close: func(complete bool) { once.Do(func() { release(complete) }) },
	}
}

// failure is the answer to one attempt that did not bring a whole answer.
type failure struct {
	err  *request.Error
	head *wire.AnswerHead // what the gate said, nil when it said nothing

	// transport is set when the connection and not the gate or the backend
	// server failed.
	transport bool
}

// headOf returns the answer head that tells a failure to the sender of a call.
func headOf(err *request.Error) *wire.AnswerHead {
	h := &wire.AnswerHead{
		Outcome:      wire.Outcome_OUTCOME_UNKNOWN,
		Reason:       string(err.Reason),
		Remedy:       err.Remedy,
		RetryAfterMs: uint32(err.RetryAfter.Milliseconds()),
	}
	if err.Outcome == request.NotRun {
		h.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	}
	return h
}

// errorOf returns the error that an answer head tells, or nil for an answer.
func errorOf(h *wire.AnswerHead) *request.Error {
	switch h.Outcome {
	case wire.Outcome_OUTCOME_ANSWERED:
		return nil
	case wire.Outcome_OUTCOME_NOT_RUN:
		e := request.NewNotRunError(request.Reason(h.Reason), h.Remedy)
		e.RetryAfter = millis(h.RetryAfterMs)
		return e
	default:
		return request.NewUnknownError(request.Reason(h.Reason), h.Remedy, nil)
	}
}
