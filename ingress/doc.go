// Package ingress is the HTTP/1.1 server for callers that nobody controls.
//
// It reads requests ahead on a connection, runs idempotent ones without a body side
// by side and sends the answers in the order of the requests. It bounds what one
// connection and all of them together can make the process hold, and learns at once
// when a caller leaves. Heads are parsed and answers are formatted by fasthttp.
//
// One goroutine reads a connection and each running request has its own. The
// goroutine whose request ends first in order writes the answers that are ready.
// docs/design/callers-listener.md describes the states and limits.
package ingress
