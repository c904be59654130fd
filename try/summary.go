package try

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"wisteriafold/standin"
)

// Summary holds the results of one run. Times are in seconds unless the JSON name
// ends in _ms.
type Summary struct {
	Requests       int64   `json:"requests"`
	Completed      int64   `json:"completed"`
	RefusedNotRun  int64   `json:"refused_not_run"`
	Unknown        int64   `json:"unknown"`
	WrongAnswers   int64   `json:"wrong_answers"`
	SecondRuns     int     `json:"second_runs"`
	FalseNotRun    int     `json:"false_not_run"`
	KeysSeen       int     `json:"keys_seen_by_backends"`
	Overshoot      int     `json:"contract_overshoot"`
	WithinRate     int64   `json:"refused_within_rate"`
	AddedP99       float64 `json:"added_p99_ms"`
	AddedP50       float64 `json:"added_p50_ms"`
	KeyWithdrawn   float64 `json:"key_withdrawn_s"`
	Drained        float64 `json:"drained_s"`
	WorkAfterDrain int64   `json:"work_after_drain"`
	InForce        float64 `json:"in_force_s"`
	CutAtShutdown  int     `json:"cut_at_shutdown"`
	LatencyP50     float64 `json:"latency_p50_ms"`
	LatencyP99     float64 `json:"latency_p99_ms"`

	Kinds   map[string]standin.Tally `json:"kinds"`
	Reasons map[string]int64         `json:"reasons"`
	Broken  []string                 `json:"broken"`
}

// probeError reports a probe with an answer other than 200.
type probeError struct {
	address string
	status  int
	reason  string
}

// Error returns the address, the status, the reason and the remedy.
func (e *probeError) Error() string {
	return fmt.Sprintf("probe of %s was answered %d %s: look at the daemon's log with --log", e.address, e.status, e.reason)
}

func (s *Summary) fill(d *deployment, c *standin.Callers, services []string) {
	s.Kinds = c.Tallies()
	s.Reasons = c.Reasons()
	for name, t := range s.Kinds {
		s.Requests += t.Sent
		s.Completed += t.Completed
		s.RefusedNotRun += t.NotRun
		s.Unknown += t.Unknown
		s.WrongAnswers += t.Wrong
		if name != heavyKind {
			s.WithinRate += t.OverRate
		}
	}
	totals := d.ledger.Totals()
	s.SecondRuns = totals.SecondRuns
	s.KeysSeen = totals.KeysSeen
	s.FalseNotRun = c.FalseNotRun(d.ledger, services)
	s.Overshoot = d.excess.Overshoot()
	s.LatencyP50 = float64(c.Latency(50).Microseconds()) / 1000
	s.LatencyP99 = float64(c.Latency(tailPercentile).Microseconds()) / 1000
	s.checkInvariants()
}

// checkInvariants records the invariants that are broken.
func (s *Summary) checkInvariants() {
	check := func(ok bool, format string, args ...any) {
		if !ok {
			s.Broken = append(s.Broken, fmt.Sprintf(format, args...))
		}
	}
	check(s.WrongAnswers == 0, "%d wrong or cut answers", s.WrongAnswers)
	check(s.SecondRuns == 0, "%d second runs of a non-idempotent request", s.SecondRuns)
	check(s.FalseNotRun == 0, "%d requests ran although their caller was told not-run", s.FalseNotRun)
	check(s.KeysSeen == 0, "a key reached a backend server %d times", s.KeysSeen)
	check(s.Overshoot <= 0, "an organisation got %d requests more than its contract", s.Overshoot)
	check(s.CutAtShutdown == 0, "%d graceful shutdowns cut a request", s.CutAtShutdown)
	check(s.WorkAfterDrain == 0, "%d calls reached a drained backend server", s.WorkAfterDrain)
	check(s.KeyWithdrawn <= noticeFailsafe.Seconds(), "a withdrawn key was taken for %.2f s", s.KeyWithdrawn)
	check(s.Drained <= noticeFailsafe.Seconds(), "a backend server took %.2f s to drain", s.Drained)
	check(s.InForce <= noticeFailsafe.Seconds(), "a configuration took %.2f s to be in force", s.InForce)
	check(s.Completed > 0, "no request completed")
}

// Print writes the summary as text, with the same summary as JSON in the last line.
func (s *Summary) Print(w io.Writer) error {
	names := make([]string, 0, len(s.Kinds))
	for name := range s.Kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-12s %9s %10s %9s %9s %9s %9s\n", "KIND", "SENT", "COMPLETED", "OVER RATE", "SHED", "UNKNOWN", "HELD")
	for _, name := range names {
		t := s.Kinds[name]
		fmt.Fprintf(&b, "%-12s %9d %10d %9d %9d %9d %9d\n", name, t.Sent, t.Completed, t.OverRate, t.Shed, t.Unknown, t.Held)
	}
	fmt.Fprintf(&b, "\nlatency of completed requests: %.1f ms for half, %.1f ms for 99 in 100\n", s.LatencyP50, s.LatencyP99)
	fmt.Fprintf(&b, "refused within rate: %d; contract overshoot: %d; second runs: %d; wrong answers: %d\n", s.WithinRate, s.Overshoot, s.SecondRuns, s.WrongAnswers)
	for _, x := range s.Broken {
		fmt.Fprintf(&b, "BROKEN: %s\n", x)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return err
	}
	return json.NewEncoder(w).Encode(s)
}
