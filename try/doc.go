// Package try runs a whole deployment in one process on loopback addresses: a
// platform stand-in, sixteen daemons, sixteen backend server stand-ins and
// callers. It sends traffic through chains of three services, injects failures
// and checks invariants.
package try
