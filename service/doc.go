// Package service chooses the endpoint that serves a call and decides whether a
// failed attempt may be repeated.
//
// # Choice
//
// A Picker knows a bounded subset of one service's endpoints, drawn by
// rendezvous hashing, so that daemons spread over a large service and keep few
// connections each. From the subset it draws two usable endpoints in each of
// three localities (own data centre, own region, another region) and compares
// their expected cost:
//
//	cost = network latency + service time * (1 + outstanding / limit) / (1 - loss)
//
// Outstanding is the work that the endpoint has: what it reported, corrected by
// what was sent there since, and never less than what is in flight from here.
// The service time is the usual one of the service, except for an endpoint
// whose calls have shown to take much longer. Loss is the recent ratio of
// failed and refused attempts, so that an endpoint which fails at once does not
// look like the fastest one. A report can therefore raise a cost but never
// lower it below what calls show: an endpoint that reports no load while it is
// slow or failing attracts no traffic. What calls have shown fades while an
// endpoint is not used, and one attempt at a time tries it again.
//
// # Spill
//
// A farther locality is taken with a probability that grows with its advantage
// in cost, so that load moves gradually. Another region is asked only while
// its endpoint has headroom by its own recent report, the less important the
// call the more of it, and while the link's byte budget has room. Large bodies
// cross regions only when no endpoint of the own region can serve.
//
// # Failures
//
// A failing endpoint is ejected for a time that doubles; the ejected share of
// the subset is capped, past which failing endpoints stay in use. A report of
// health or load alone never ejects. A call that is lost on a connection while
// a fresh dial works is the connection's fault and is not held against the
// backend server.
//
// # Retries
//
// An attempt is repeated only if the first certainly did not run, or the call
// is idempotent; only by the daemon next to the refusal; and only while both
// the tree's allowance and the budget of this daemon for the service last.
package service
