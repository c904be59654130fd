// Package response reads HTTP/1.1 responses strictly, as RFC 9110 and RFC 9112 define
// them. All responses that the product reads pass through it: those of backend servers,
// of health checks, of the platform's store and of the operator listener.
//
// A server in trouble sends bytes that look like a response. A lenient reader makes a
// response of them, which a proxy then passes on as that of the server, or takes their
// rest for the response to the next request. This reader rejects what the grammar does
// not allow:
//
//   - a status that is not three digits from 100 to 599, or a status line without its
//     spaces, also when only the reason is missing
//   - a field name that is no token, a value with control characters, a folded line
//   - lines that do not end with CR LF, and a head that does not end
//   - a 101 response, as no upgrade is ever asked for
//   - framing that is ambiguous: lengths that are repeated or no number, a length beside a
//     transfer coding, a transfer coding other than chunked
//   - a body that ends before its framing says so
//
// A response that it rejects says nothing about its request, which may have run. The
// connection must not be used again.
//
// Two things remain with the user of the package, who knows the connection: whether a
// body without a length ended with an orderly close (FramingClose), and whether the
// response belongs to the request.
package response
