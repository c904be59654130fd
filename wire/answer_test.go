package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure: another daemon passes on what is no response, and the caller gets it.
func TestAnswersThatAreNoResponsesAreInvalid(t *testing.T) {
	answered := func(status uint32, name, value string) *AnswerHead {
		return &AnswerHead{Outcome: Outcome_OUTCOME_ANSWERED, Status: status, Headers: []*Header{{Name: name, Value: value}}}
	}
	same := func(name string) string { return name }
	for name, h := range map[string]*AnswerHead{
		"no status":            answered(0, "X", "y"),
		"interim status":       answered(101, "X", "y"),
		"status out of range":  answered(600, "X", "y"),
		"huge status":          answered(1<<32-1, "X", "y"),
		"blank in a name":      answered(200, "X Y", "y"),
		"empty name":           answered(200, "", "y"),
		"line end in a value":  answered(200, "X", "y\r\nZ: a"),
		"control byte in name": answered(200, "\x01", "y"),
	} {
		var invalid *InvalidAnswerError
		require.ErrorAs(t, CheckAnswer(h, same), &invalid, name)
	}
	require.NoError(t, CheckAnswer(answered(200, "X", "y"), same))
	require.NoError(t, CheckAnswer(answered(599, "X", ""), same))
	require.NoError(t, CheckAnswer(answered(200, "\x01", "y"), func(string) string { return "Host" }))
	require.NoError(t, CheckAnswer(&AnswerHead{Outcome: Outcome_OUTCOME_NOT_RUN}, same))
}
