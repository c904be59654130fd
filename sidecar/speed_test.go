package sidecar_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/standin/endpoint"
)

// Failure: the work percent on the answers of a backend server is not read, or a report
// without one or with an odd one is taken for a figure.
func TestWorkPercentIsReadFromAnswers(t *testing.T) {
	reports := map[string]string{"1,0,8,240": "240", "1,0,8": "0", "1,0,8,-240": "0", "": "0"}
	for report, percent := range reports {
		d := deploy(t, endpoint.Config{Service: "archive", Slots: 8, Load: report}, ledger())
		n := d.nodes[1] // next to the ledger service, so the request is forwarded to another daemon
		for i := range 3 {
			require.Equal(t, 200, n.send(t, "GET", "/view/1", fmt.Sprint("v", i), "", "X-Credential", "key-1").status)
		}
		require.Equal(t, percent, metric(t, d.nodes[0], "backend_work_percent"), "report %q", report)
	}
}
