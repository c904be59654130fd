// Package bench measures the decision code against the bounds of the stated
// target, beside a naive version that serves the same demand from the same
// seed.
//
// # Experiments
//
// An Experiment runs in virtual time: an event queue in place of a clock, no
// goroutines, and fakes at the interfaces. The fakes are backend servers with
// slots, links with a latency and a bandwidth, and callers. What decides is the
// real code: request.EntryControl, request.Allowance, service.Picker,
// service.RetryBudget and backend.Core.
//
// The naive version has a FIFO queue of fixed length before a fixed limit,
// round robin over all endpoints, a timeout and three retries at each level,
// and neither deadlines nor cancellation below the entry.
//
// # Figures
//
// Goodput counts whole requests that were answered in time. Work is the time
// for which backend servers worked themselves, without the time for which they
// waited for others; it is wasted when its request fails in the end.
//
// Each measure is printed with the worst value of three seeds.
package bench
