// Package backend is the gate of one backend server: the only place where
// calls are let in to it.
//
// # Policy
//
// A backend server has a number of slots. Work beyond them does not finish
// sooner, it only waits where it can no longer be ordered, so the gate keeps
// the queue on its own side and short. It answers four questions.
//
// How many calls run at once? Limiter holds a concurrency limit, never above
// the declared slots or connections. The backend server's own sheds cut it
// (multiplicative decrease, then growth that slows down near the point of the
// last shed). Latency alone cuts it only on trial: latency that rises with
// concurrency may be queueing inside the backend server, in which case a lower
// limit costs no throughput, or slow service, in which case it does. So a cut
// made for latency is kept only when the throughput that follows confirms it.
// The statistic is a median, because a mean over long-tailed service times
// reacts to single calls. Reported load and health may lag or lie; they matter
// only while calls have shown nothing yet or agree with them.
//
// Who waits? The queue is bounded. A call that is more important than the
// least important one waiting takes its place; among equals the organisation
// with the longest backlog for its weight gives way, with its tree of the lowest
// hash. The hash is the same at every gate, so gates that are full drop the
// same trees. A call that cannot be answered before its deadline, judged by
// the observed service time, is refused before it runs.
//
// Who is next? Importance decides first. Inside a class, calls of trees for
// which a backend server has already worked go before new trees, because
// refusing them wastes that work. Then organisations take turns by contract
// weight (start-time fair queueing), so that none starves in its class. Inside
// one organisation calls run in the order of arrival. Under standing overload
// (the queue has not been empty for a whole interval) new trees are taken newest
// first and wait only briefly: the oldest have the least of their deadline left.
//
// What do callers learn? The gate reports an admission level, a threshold on
// priorities. While calls are shed it rises to where the demand above it is
// what the gate gets done; while there is room it falls. Entries follow it, so
// that the excess is refused before any work is done for it.
//
// # Use
//
// Core is the decision code: it has no clock, no goroutine and no lock. Gate
// wraps it for concurrent callers that block.
package backend
