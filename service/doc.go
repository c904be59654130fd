// Package service chooses the endpoint for each call to a service and decides
// whether a failed attempt may be retried.
//
// # Choice
//
// A Picker uses a bounded subset of one service's endpoints, chosen by
// rendezvous hashing, so that the daemons together cover a large service while
// each keeps few connections. From the subset it draws two usable endpoints in
// each of three localities (same data centre, same region, another region) and
// compares their expected cost:
//
//	cost = network latency + service time * (1 + outstanding / limit) / (1 - loss)
//
// Outstanding is the number of calls at the endpoint: the number that it
// reported plus the attempts that this daemon has sent since that report, and at
// least the number of attempts in flight from this daemon. The service time is
// the typical one of the service, except for an endpoint whose measured response
// time is much longer. Loss is the recent ratio of failed and refused attempts;
// it keeps an endpoint that fails quickly from looking like the fastest one. A
// load report can therefore raise a cost but never lower it below what this
// daemon has measured: an endpoint that reports no load while it is slow or
// failing does not attract traffic. Measurements lose weight while an endpoint
// is unused; once an attempt is in flight, the full weight applies again, so
// that one attempt at a time probes the endpoint.
//
// Where endpoints report a work percent, the service time is corrected for the speed
// of the endpoint: by how the service time that its gate measures compares with that
// of the other gates over some seconds, and by how the reported percent compares with
// its average. A reported percent never lowers the time below the measured response
// time.
//
// # Spill
//
// A farther locality is chosen with a probability that grows with its cost
// advantage, so that load shifts gradually. While a nearer endpoint is usable, a
// call goes to another region only if the endpoint there has headroom according
// to its recent load report; less important calls need more headroom. Large
// bodies cross regions only when no endpoint of this region is usable. Every
// call to another region also needs room in the link's byte budget.
//
// # Failures
//
// A failing endpoint is ejected for a time that doubles with each consecutive
// ejection. The ejected fraction of the subset is capped; once the cap is
// reached, failing endpoints stay in use. A health or load report alone never
// ejects an endpoint. A call that is lost with its connection, while a new dial
// succeeds, is not counted against the backend server, because only the
// connection failed.
//
// # Retries
//
// A failed attempt is retried only if it certainly did not run or the call is
// idempotent; only by the daemon that sent the attempt to the endpoint that
// failed or refused it; and only while both the retry allowance of the request
// tree and this daemon's retry budget for the service last.
package service
