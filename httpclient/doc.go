// Package httpclient is an HTTP/1.1 client of one server over kept connections: of a
// backend server, and of the platform's store. Bodies are bounded and counted towards a
// memory account, a cancelled call closes its connection, and each error tells whether the
// server can have received the request. Package response reads what the server answers.
package httpclient
