package instance

import (
	"bytes"
	"io"
	"sync"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// answer is the answer of a backend server, to be sent back to the caller.
type answer struct {
	head *wire.AnswerHead
	body io.Reader // returns an error when the answer is truncated

	// close releases the resources of the answer. complete reports whether the
	// body was read to its end. Calls after the first have no effect.
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

// failure is the result of an attempt that did not return an answer.
type failure struct {
	err  *request.Error
	head *wire.AnswerHead // the head that the gate sent, nil when none arrived

	// transport is set when the connection failed, and not the gate or the
	// backend server.
	transport bool
}

// headOf returns the answer head that reports err to the sender of a call.
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

// errorOf returns the error that an answer head reports, or nil when the call
// was answered.
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
