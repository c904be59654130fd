package bench

import (
	"time"

	"wisteriafold/backend"
	"wisteriafold/service"
)

// policy is what decides in one run: the naive version, or the real code with
// single mechanisms switched off.
type policy struct {
	name  string
	naive bool

	noEntry      bool // entries shed nothing
	noAllowance  bool // three retries at each level
	noBudget     bool // no retry budget for each service
	noCancel     bool // what runs for an ended request runs on
	noDeadline   bool // gates do not know the deadline
	noTree       bool // each call has its own priority within its class
	noWorkSpent  bool // gates do not know that work was done for the tree
	noImportance bool // gates and entries do not know the importance
	noFairness   bool // gates and entries do not know the organisation
	noLink       bool // pickers do not know the link's budget
	fifoGate     bool // FIFO queue and fixed limit in place of the gate

	gate   backend.Config // Slots and Connections are set for each service
	picker service.Config
}

// Settings of the naive version.
const (
	naiveRetries = 3
	naiveTimeout = time.Second
	naiveQueue   = 1000
)

// Retry budget of a daemon for a service.
const (
	retryRatio = 0.1
	retryBurst = 10
)

// ours is the real code as it is delivered.
func ours() policy {
	c := service.DefaultConfig()
	c.Latency = roundTrips
	return policy{name: "ours", picker: c}
}

// naive is the version to compare with.
func naive() policy { return policy{name: "naive", naive: true} }

// ablations are the real code with one mechanism switched off each.
func ablations() []policy {
	off := func(name string, change func(*policy)) policy {
		p := ours()
		p.name = name
		change(&p)
		return p
	}
	return []policy{
		off("entry-shedding", func(p *policy) { p.noEntry = true }),
		off("allowance", func(p *policy) { p.noAllowance = true }),
		off("retry-budget", func(p *policy) { p.noBudget = true }),
		off("allowance+budget", func(p *policy) { p.noAllowance, p.noBudget = true, true }),
		off("cancellation", func(p *policy) { p.noCancel = true }),
		off("deadline-drop", func(p *policy) { p.noDeadline = true }),
		off("same-fate", func(p *policy) { p.noTree = true }),
		off("work-spent-first", func(p *policy) { p.noWorkSpent = true }),
		off("importance", func(p *policy) { p.noImportance = true }),
		off("fair-queueing", func(p *policy) { p.noFairness = true }),
		off("gate", func(p *policy) { p.fifoGate = true }),
		off("short-queue", func(p *policy) { p.gate.MaxQueue = naiveQueue }),
		off("two-choices", func(p *policy) { p.picker.Choices = 1 }),
		off("load-reports", func(p *policy) { p.picker.ReportTTL = 0 }),
		off("slow-endpoints", func(p *policy) { p.picker.SlowFactor = 1e9 }),
		off("loss-charge", func(p *policy) { p.picker.LossCap = 0 }),
		off("ejection", func(p *policy) { p.picker.EjectAfter = 0 }),
		off("gradual-spill", func(p *policy) { p.picker.SpillSpan = 0 }),
		off("headroom", func(p *policy) { p.picker.Headroom = [4]float64{1e9, 1e9, 1e9, 1e9} }),
		off("link-budget", func(p *policy) { p.noLink = true }),
	}
}
