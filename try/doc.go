// Package try runs a whole deployment in one process on loopback addresses: a
// platform stand-in, sixteen daemons, sixteen backend server stand-ins and
// callers. It drives traffic through three-deep chains, causes failures and
// checks invariants.
package try
