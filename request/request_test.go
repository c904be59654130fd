package request

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUntypedErrorIsNeverReportedAsNotRun(t *testing.T) {
	require.Equal(t, Unknown, AsError(errors.New("reset by peer")).Outcome)
	wrapped := fmt.Errorf("call: %w", NewNotRunError(ReasonRate, "wait"))
	require.Equal(t, NotRun, AsError(wrapped).Outcome)
}

func TestImportanceNamesRoundTrip(t *testing.T) {
	for i := Sheddable; i < Classes; i++ {
		got, err := ParseImportance(i.String())
		require.NoError(t, err)
		require.Equal(t, i, got)
	}
	_, err := ParseImportance("urgent")
	require.ErrorContains(t, err, "use sheddable")
}
