// Package organisation knows the customers' keys: how a key is made, how it is
// checked, and which organisation owns it.
//
// A key is 256 random bits in printable form with a prefix, by which secret
// scanners find it, and a checksum, by which a mistyped key is told apart from
// an unknown one. Only its SHA-256 digest is ever stored. A slow or salted hash
// would bring nothing: it protects guessable secrets, and 256 random bits can't
// be guessed.
package organisation
