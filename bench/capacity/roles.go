package capacity

import (
	"fmt"
	"strings"
)

// Term is one product of a figure: a slope, or a stated cost, times a size.
type Term struct {
	Slope string  // name of a measured slope, empty for a stated cost
	Base  bool    // takes the line's base instead of its slope
	Cost  float64 // stated cost when Slope is empty
	Size  float64
	What  string  // the size in words
	Per   float64 // factor that turns the slope's unit into the figure's, 0 for 1
}

// Row is one figure of a role at the target size.
type Row struct {
	Role      string
	Figure    string
	Unit      string
	Terms     []Term
	Budget    float64 // 0 for none
	Mechanism string
}

const (
	perMicro = 1e-6 // microseconds to seconds
	perMilli = 1e-3
)

// Rows returns the figures of all roles.
func Rows() []Row {
	return append(append(trafficRows(), controlRows()...), storeRows()...)
}

func trafficRows() []Row {
	return []Row{
		{
			"entry, gate and router", "CPU for calls of a daemon", "core",
			[]Term{{Slope: "forwarded-call", Size: callsPerDaemon, What: "calls a second of a daemon", Per: perMicro}},
			0, "each call passes two daemons; both are in the slope",
		},
		{
			"gate", "CPU of decisions", "core",
			[]Term{{Slope: "gate-decision", Size: callsPerDaemon, What: "calls a second of a daemon", Per: perMicro}},
			0, "one decision under one short lock",
		},
		{
			"router", "CPU of decisions", "core",
			[]Term{{Slope: "route-decision", Size: callsPerDaemon, What: "calls a second of a daemon", Per: perMicro}},
			0, "power of two choices on a bounded subset",
		},
		{
			"entry, gate and router", "CPU of the decision log", "core",
			[]Term{{Slope: "log-line", Size: callsPerDaemon * linesPerCall, What: "lines a second of a daemon", Per: perMicro}},
			0, "bounded queue, lines are dropped and counted",
		},
		{
			"router", "heap for endpoints of called services", "B",
			[]Term{
				{Slope: "endpoint-heap", Base: true, Size: servicesCalled, What: "services called"},
				{Slope: "endpoint-heap", Size: perService * servicesCalled, What: "endpoints of these services"},
			},
			budgetMemory, "only services that are called are subscribed to",
		},
	}
}

func controlRows() []Row {
	return []Row{
		{
			"any daemon", "bytes sent for configuration, busiest", "B/s",
			[]Term{
				{Slope: "spread-daemons", Base: true, Size: 1, What: "daemon"},
				{Slope: "spread-daemons", Size: perDataCentre, What: "daemons of a data centre"},
			},
			budgetSent, "two trees with a bounded fan-out over the roster",
		},
		{
			"any daemon", "CPU for configuration", "core",
			[]Term{
				{Slope: "spread-core", Base: true, Size: 1, What: "daemon", Per: perMilli},
				{Slope: "spread-core", Size: changeRate, What: "changes a second", Per: perMilli},
			},
			budgetCore, "deltas; a snapshot is built once for each change",
		},
		{
			"any daemon", "heap for configuration", "B",
			[]Term{
				{Slope: "config-organisation", Size: organisations, What: "organisations"},
				{Slope: "config-key", Size: keys, What: "keys"},
			},
			budgetMemory, "every daemon has the whole configuration",
		},
		{
			"member and registrar", "bytes sent for members", "B/s",
			[]Term{
				{Slope: "member-daemons", Base: true, Size: 1, What: "daemon"},
				{Slope: "member-daemons", Size: perDataCentre, What: "daemons of a data centre"},
				{Slope: "member-called", Size: servicesCalled - 2, What: "further services called"},
			},
			budgetSent, "two registrars for each service, heartbeats that grow rarer with their number",
		},
		{
			"share holder and borrower", "bytes sent for contracts", "B/s",
			[]Term{{Slope: "loan-active", Size: activePerDaemon, What: "organisations served at a time"}},
			budgetSent, "one ask for all organisations of a holder, renewed once a second",
		},
	}
}

func storeRows() []Row {
	return []Row{
		{
			"relay", "reads of the store for configuration, all data centres", "/s",
			[]Term{
				{Slope: "spread-reads", Base: true, Size: dataCentres, What: "data centres"},
				{Slope: "spread-reads", Size: endpoints, What: "daemons"},
			},
			budgetReads, "two relays read for each data centre",
		},
		{
			"relay", "reads of the store for rosters, all data centres", "/s",
			[]Term{{Cost: 1, Size: dataCentres, What: "two relays that read every 2 s, a data centre"}},
			budgetReads, "changes since a version, one table of 20 rows",
		},
		{
			"claim writer", "commits for claims", "/s",
			[]Term{{Slope: "claim-commits", Size: claimRate, What: "claims a second"}},
			budgetWrites, "a claim and its end, grouped by daemon when they come together",
		},
		{
			"operator tool", "commits for configuration", "/s",
			[]Term{{Cost: 1, Size: changeRate, What: "changes a second"}},
			budgetWrites, "one transaction for each apply",
		},
		{
			"members", "commits for rosters", "/s",
			[]Term{{Cost: 2, Size: (replacedPerDay + failedPerDay) / secondsPerDay, What: "replacements and failures a second, a leave and a join each"}},
			budgetWrites, "joins and leaves are collected by relays for 0.3 s",
		},
	}
}

// Value works a row out from measured slopes.
func (r Row) Value(of map[string]Measured) float64 {
	sum := 0.0
	for _, t := range r.Terms {
		sum += t.cost(of) * t.Size
	}
	return sum
}

func (t Term) cost(of map[string]Measured) float64 {
	c := t.Cost
	if t.Slope != "" {
		c = of[t.Slope].part(t.Base)
	}
	if t.Per != 0 {
		c *= t.Per
	}
	return c
}

// part returns the base or the slope of the line. A cost that falls with size
// is not carried on beyond the range: it counts as constant.
func (m Measured) part(base bool) float64 {
	if base {
		return max(0, m.Base)
	}
	return max(0, m.Fit.Slope)
}

// Working shows the products, so that a reader can redo them by hand.
func (r Row) Working(of map[string]Measured) string {
	var parts []string
	for _, t := range r.Terms {
		parts = append(parts, fmt.Sprintf("%s x %s %s", short(t.cost(of)), short(t.Size), t.What))
	}
	return strings.Join(parts, " + ")
}

// Source names where the costs of a row come from.
func (r Row) Source() string {
	var out []string
	for _, t := range r.Terms {
		name := t.Slope
		if name == "" {
			name = "reckoned"
		}
		if len(out) == 0 || out[len(out)-1] != name {
			out = append(out, name)
		}
	}
	return strings.Join(out, ", ")
}

// Verdict compares a value with the row's budget.
func (r Row) Verdict(value float64) string {
	switch {
	case r.Budget == 0:
		return "-"
	case value <= r.Budget:
		return "ok"
	default:
		return "red"
	}
}

// short prints a number with four digits.
func short(v float64) string { return fmt.Sprintf("%.4g", v) }
