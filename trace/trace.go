// Package trace collects the log lines of one request from the logs of daemons,
// and finds the line that explains why the request failed.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one log line about a request. Fields that do not apply to its step are
// zero.
type Line struct {
	Time         time.Time `json:"time"`
	Instance     string    `json:"instance"`
	Step         string    `json:"step"` // choice, attempt, retry, gate, end
	Request      string    `json:"request"`
	Organisation string    `json:"organisation"`
	Route        string    `json:"route"`
	Service      string    `json:"service"`
	Outcome      string    `json:"outcome"`
	Reason       string    `json:"reason"`
	Endpoint     string    `json:"endpoint"`
	Why          string    `json:"why"`
	Locality     string    `json:"locality"`
	Status       int       `json:"status"`
	TookMicros   int64     `json:"took_us"`
	LeftMillis   int64     `json:"left_ms"`
	AgeMillis    int64     `json:"age_ms"` // age of the configuration
	Generation   uint64    `json:"generation"`
	Queued       int       `json:"queued"`
	Running      int       `json:"running"`
	Limit        int       `json:"limit"`
	BackendState string    `json:"backend_state"`
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 64 << 10

// Collect returns the log lines of the request with the given id and of the calls
// below it (whose ids have the prefix id + "."), sorted by time. Lines that are
// not JSON objects are skipped. A line longer than maxLine is an error.
func Collect(id string, logs ...io.Reader) ([]Line, error) {
	var found []Line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(make([]byte, 0, maxLine), maxLine)
		for s.Scan() {
			var l Line
			if json.Unmarshal(s.Bytes(), &l) != nil {
				continue // not written by a daemon
			}
			if l.Request == id || strings.HasPrefix(l.Request, id+".") {
				found = append(found, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("cannot read log, pass files with one JSON object per line: %w", err)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found, nil
}

// failed reports whether the line records a failure.
func (l *Line) failed() bool {
	switch l.Step {
	case "end":
		return l.Reason != "" || l.Status >= 400
	case "gate", "attempt":
		return l.Outcome != "admitted"
	default:
		return false
	}
}

// Cause returns the line that explains why the request failed: the first failure
// in lines of the deepest call that has one. ok is false when no line records a
// failure.
func Cause(lines []Line) (cause Line, ok bool) {
	depth := -1
	for _, l := range lines {
		if d := strings.Count(l.Request, "."); l.failed() && d > depth {
			cause, depth, ok = l, d, true
		}
	}
	return cause, ok
}

// String formats the line for people, indented by the depth of its call.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s%s %s %s", l.Time.Format("15:04:05.000"), strings.Repeat("  ", strings.Count(l.Request, ".")), l.Instance, l.Step, l.Service)
	for _, field := range []struct{ name, value string }{
		{"outcome", l.Outcome},
		{"reason", l.Reason},
		{"endpoint", l.Endpoint},
		{"why", l.Why},
		{"locality", l.Locality},
		{"organisation", l.Organisation},
		{"backend", l.BackendState},
	} {
		if field.value != "" {
			fmt.Fprintf(&b, " %s=%s", field.name, field.value)
		}
	}
	for _, field := range []struct {
		name  string
		value int64
	}{
		{"status", int64(l.Status)},
		{"took_us", l.TookMicros},
		{"left_ms", l.LeftMillis},
		{"age_ms", l.AgeMillis},
		{"generation", int64(l.Generation)},
		{"queued", int64(l.Queued)},
		{"running", int64(l.Running)},
		{"limit", int64(l.Limit)},
	} {
		if field.value != 0 {
			fmt.Fprintf(&b, " %s=%d", field.name, field.value)
		}
	}
	return b.String()
}
