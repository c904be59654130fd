package instance

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// HTTP header fields of wisteriafold. Callers may send only HeaderKey,
// HeaderTimeout and HeaderIdempotencyKey; any other field with the prefix is
// refused on the callers listener.
const (
	headerPrefix = "Wisteriafold-"

	HeaderKey            = "Wisteriafold-Key"          // caller: key of the organisation
	HeaderTimeout        = "Wisteriafold-Timeout-Ms"   // caller: a shorter deadline, milliseconds
	HeaderIdempotencyKey = "Idempotency-Key"           // caller: identity of a non-idempotent request
	HeaderCall           = "Wisteriafold-Call"         // to and from the backend server: call token
	HeaderOrganisation   = "Wisteriafold-Organisation" // to the backend server: organisation of the key
	HeaderDeadline       = "Wisteriafold-Deadline-Ms"  // to the backend server: milliseconds left
	HeaderImportance     = "Wisteriafold-Importance"   // to the backend server: class of the request
	HeaderOutcome        = "Wisteriafold-Outcome"      // answers: answered, not-run or unknown
	HeaderReason         = "Wisteriafold-Reason"       // errors: stable name of the cause
	HeaderRequestID      = "Wisteriafold-Request-Id"   // answers: id for explain
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110,
// 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func isHopByHop(name string) bool {
	for _, h := range hopByHop {
		if strings.EqualFold(name, h) {
			return true
		}
	}
	return false
}

func isReserved(name string) bool {
	return len(name) >= len(headerPrefix) && strings.EqualFold(name[:len(headerPrefix)], headerPrefix)
}

// bearer returns the key of an Authorization: Bearer field, or nil.
func bearer(v []byte) []byte {
	const scheme = "bearer "
	if len(v) <= len(scheme) || !strings.EqualFold(string(v[:len(scheme)]), scheme) {
		return nil
	}
	return bytes.TrimSpace(v[len(scheme):])
}

// requestHeaders returns the header fields to forward with a call: all but the
// hop-by-hop ones, Content-Length, those of wisteriafold and, when dropAuth is
// set, Authorization, which held the key.
func requestHeaders(h *fasthttp.RequestHeader, dropAuth bool) []*wire.Header {
	listed := connectionListed(h.Peek(fasthttp.HeaderConnection))
	var out []*wire.Header
	for k, v := range h.All() {
		name := string(k)
		switch {
		case isHopByHop(name), isReserved(name), listed[strings.ToLower(name)]:
			continue
		case strings.EqualFold(name, fasthttp.HeaderContentLength):
			continue
		case dropAuth && strings.EqualFold(name, fasthttp.HeaderAuthorization):
			continue
		}
		out = append(out, &wire.Header{Name: name, Value: string(v)})
	}
	return out
}

// connectionListed returns the field names that a Connection field declares as
// hop-by-hop, in lower case.
func connectionListed(v []byte) map[string]bool {
	if len(v) == 0 {
		return nil
	}
	out := make(map[string]bool)
	for _, name := range strings.Split(string(v), ",") {
		out[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return out
}

// responseHeaders returns the header fields of an answer to forward to the
// caller.
func responseHeaders(h *fasthttp.ResponseHeader) []*wire.Header {
	var out []*wire.Header
	for k, v := range h.All() {
		name := string(k)
		if isHopByHop(name) || isReserved(name) || strings.EqualFold(name, fasthttp.HeaderContentLength) {
			continue
		}
		out = append(out, &wire.Header{Name: name, Value: string(v)})
	}
	return out
}

// statusOf returns the HTTP status for an error.
func statusOf(e *request.Error) int {
	switch e.Reason {
	case request.ReasonNoRoute:
		return fasthttp.StatusNotFound
	case request.ReasonNoKey, request.ReasonBadKey:
		return fasthttp.StatusUnauthorized
	case request.ReasonKeyOnOpen, request.ReasonBadRequest, request.ReasonBadToken:
		return fasthttp.StatusBadRequest
	case request.ReasonTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case request.ReasonRate:
		return fasthttp.StatusTooManyRequests
	case request.ReasonClaimHeld:
		return fasthttp.StatusConflict
	case request.ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	}
	if e.Outcome == request.NotRun {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadGateway
}

// parseMillis reads a positive number of milliseconds from a header value.
func parseMillis(v []byte) (int64, bool) {
	n, err := strconv.ParseInt(string(v), 10, 32)
	return n, err == nil && n > 0
}
