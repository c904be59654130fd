// Package backend implements the admission gate of one backend server. All
// calls to the server pass through its gate.
//
// # Policy
//
// A backend server has a fixed number of slots. Calls beyond them do not finish
// sooner: they queue inside the server, where they can no longer be ordered. The
// gate therefore holds the queue itself and keeps it short. It answers four
// questions.
//
// How many calls run at once? Limiter holds a concurrency limit, which never
// exceeds the declared slots or connections. A call that the backend server
// sheds cuts the limit (multiplicative decrease); growth then slows down near
// the limit at which the last call was shed. Rising latency alone cuts the limit
// only as a trial: latency that rises with concurrency may be queueing inside
// the backend server, in which case a lower limit costs no throughput, or slow
// service, in which case it does. The cut is kept only when the throughput that
// follows confirms it. The latency statistic is a median, because a mean over
// long-tailed service times reacts to single calls. Reported load and health may
// lag or be wrong; they are used only until a service time has been observed.
//
// Which calls wait? The queue is bounded. When it is full, a new call replaces a
// less important waiting call. Among calls of equal importance, the organisation
// with the longest backlog relative to its weight loses the call whose tree has
// the lowest hash. The hash is the same at every gate, so that full gates drop
// the same trees. A call that cannot be answered before its deadline, judging by
// the observed service time, is refused before it runs.
//
// Which call runs next? Calls of higher importance run first. Within a class,
// calls of trees for which a backend server has already worked precede new
// trees, because refusing them wastes that work. Organisations then share the
// gate by contract weight (start-time fair queueing), so that none starves in
// its class. Calls of one organisation run in order of arrival. Under standing
// overload (the queue has not been empty for a whole interval) new trees run
// newest first and wait only briefly, because the oldest have the least time left
// before their deadlines.
//
// What do callers learn? The gate reports an admission level, a threshold on
// priorities. While calls are shed, the level rises until the demand at or above
// it matches the throughput of the gate; while there is spare capacity, it
// falls. Entries apply the level, so that excess requests are refused before any
// work is done for them.
//
// # Use
//
// Core makes the decisions: it has no clock, no goroutine and no lock. Gate
// wraps it for concurrent callers that block.
package backend
