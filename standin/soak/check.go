package soak

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// Bounds of the platform's pages, as the settings of the daemons state them.
const (
	drainBound  = 2500 * time.Millisecond // drainMs
	stableBound = 3 * time.Second         // stableMs
	revokeBound = 5 * time.Second         // revokeMs

	// clockMargin covers the time between an event and its record in this process.
	clockMargin = 200 * time.Millisecond
)

// Violation is one promise that was broken.
type Violation struct {
	Promise string // name of the checker
	Detail  string
	Request string // id of the request, empty when there is none
}

// Check returns the promises that a history breaks.
func Check(h *History) []Violation {
	var out []Violation
	for _, check := range []func(*History) []Violation{checkOnce, checkRefusals, checkAnswers, checkDrains, checkKeys, checkEnds} {
		out = append(out, check(h)...)
	}
	return out
}

// runsByID returns the runs of each request.
func runsByID(h *History) map[string][]Execution {
	out := make(map[string][]Execution)
	for _, r := range h.Runs {
		out[r.ID] = append(out[r.ID], r)
	}
	return out
}

// attemptsByID returns the attempts of each request in the order of sending.
func attemptsByID(h *History) map[string][]Attempt {
	out := make(map[string][]Attempt)
	for _, a := range h.Attempts {
		out[a.ID] = append(out[a.ID], a)
	}
	for _, list := range out {
		sort.Slice(list, func(i, j int) bool { return list[i].Sent < list[j].Sent })
	}
	return out
}

// checkOnce: a request that is not idempotent runs at most once. A caller that gets no
// promise does not send it again, so each run beyond the first is the system's.
func checkOnce(h *History) []Violation {
	var out []Violation
	runs := runsByID(h)
	for id, attempts := range attemptsByID(h) {
		if n := len(runs[id]); n > 1 && !attempts[0].Idempotent {
			out = append(out, Violation{"once", fmt.Sprintf("ran %d times", n), id})
		}
	}
	return out
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkRefusals: a request that was refused has not run, and does not until its caller
// sends it again.
func checkRefusals(h *History) []Violation {
	const forever = time.Duration(1<<63 - 1)
	var out []Violation
	runs := runsByID(h)
	for id, attempts := range attemptsByID(h) {
		for i, a := range attempts {
			if a.Idempotent || !isPromise(a.Status) {
				continue
			}
			until := forever
			if i+1 < len(attempts) {
				until = attempts[i+1].Sent
			}
			for _, r := range runs[id] {
				if r.At >= a.Sent && r.At < until {
					out = append(out, Violation{"refusal", fmt.Sprintf("answered %d at %s and ran at %s on server %d", a.Status, a.Ended, r.At, r.Server), id})
				}
			}
		}
	}
	return out
}

// checkAnswers: what a caller gets is the whole answer of a backend server to this
// request, or an answer of the system.
func checkAnswers(h *History) []Violation {
	var out []Violation
	for _, a := range h.Attempts {
		if a.Fault != "" {
			out = append(out, Violation{"answer", a.Fault, a.ID})
		}
	}
	return out
}

// calm reports whether none of the spans reaches into the time from stableBound before at.
func calm(spans []Span, at time.Duration) bool {
	for _, s := range spans {
		if s.From <= at && at-stableBound <= s.To {
			return false
		}
	}
	return true
}

// checkDrains: no request runs on a backend server later than drainBound after the
// acknowledgement of its leaving, if it was taken and sent on by daemons in touch. A
// daemon that has not been disturbed since its acknowledgement is bound by it also while
// the store is disturbed.
func checkDrains(h *History) []Violation {
	type life struct{ server, life int }
	acknowledged := make(map[life]time.Duration)
	for _, l := range h.Leavings {
		k := life{l.Server, l.Life}
		if at, ok := acknowledged[k]; !ok || l.Acknowledged < at {
			acknowledged[k] = l.Acknowledged
		}
	}
	entries := make(map[string]int)
	for _, a := range h.Attempts {
		entries[a.ID] = a.Entry
	}
	var out []Violation
	for _, r := range h.Runs {
		at, left := acknowledged[life{r.Server, r.Life}]
		entry, sent := entries[r.ID]
		if !left || !sent || r.At <= at+drainBound+clockMargin {
			continue
		}
		inTouch := calm(h.Disturbed[entry], r.At) && calm(h.Disturbed[r.Server], r.At)
		undisturbed := true
		for _, s := range h.Disturbed[r.Server] {
			undisturbed = undisturbed && (s.To < at || s.From > r.At)
		}
		if inTouch && (undisturbed || calm(h.Store, r.At)) {
			out = append(out, Violation{"drain", fmt.Sprintf("ran on server %d %s after its leaving was acknowledged", r.Server, r.At-at), r.ID})
		}
	}
	return out
}

// checkKeys: no request that was sent later than revokeBound after its key was withdrawn
// runs.
func checkKeys(h *History) []Violation {
	withdrawn := make(map[string]time.Duration)
	for _, w := range h.Withdrawals {
		if at, ok := withdrawn[w.Key]; !ok || w.At < at {
			withdrawn[w.Key] = w.At
		}
	}
	attempts := attemptsByID(h)
	var out []Violation
	for _, r := range h.Runs {
		list := attempts[r.ID]
		if len(list) == 0 {
			continue
		}
		if at, ok := withdrawn[list[0].Key]; ok && list[0].Sent > at+revokeBound {
			out = append(out, Violation{"key", fmt.Sprintf("sent %s after its key was withdrawn, and ran on server %d", list[0].Sent-at, r.Server), r.ID})
		}
	}
	return out
}

// checkEnds: no process ends by itself.
func checkEnds(h *History) []Violation {
	var out []Violation
	for _, e := range h.Ends {
		out = append(out, Violation{Promise: "process", Detail: e})
	}
	return out
}
