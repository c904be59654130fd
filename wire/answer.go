package wire

import (
	"fmt"

	"wisteriafold/response"
)

// firstFinalStatus is the lowest status of a final response.
const firstFinalStatus = 200

// InvalidAnswerError reports the answer of another daemon that is no HTTP response.
type InvalidAnswerError struct {
	Field string
	Value any
}

// Error names the field and the remedy.
func (e *InvalidAnswerError) Error() string {
	return fmt.Sprintf("%s of the answer is invalid (%.80q): run the same version on both daemons", e.Field, fmt.Sprint(e.Value))
}

// CheckAnswer returns an InvalidAnswerError if the answer of a backend server, passed on by
// another daemon, is no HTTP response. nameOf returns the name of a field as callers see it.
func CheckAnswer(h *AnswerHead, nameOf func(string) string) error {
	if h.Outcome != Outcome_OUTCOME_ANSWERED {
		return nil
	}
	if h.Status < firstFinalStatus || !response.ValidStatus(int(h.Status)) {
		return &InvalidAnswerError{"status", h.Status}
	}
	for _, f := range h.Headers {
		if name := nameOf(f.Name); !response.ValidField(name, f.Value) {
			return &InvalidAnswerError{"field " + name, f.Value}
		}
	}
	return nil
}
