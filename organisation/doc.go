// Package organisation generates and checks the API keys of organisations and
// finds the organisation that owns a key.
//
// A key consists of a prefix, which lets secret scanners find it, and the printable
// form of 256 random bits and a checksum. The checksum distinguishes a mistyped key
// from an unknown one. Only the SHA-256 digest of a key is stored. A slow or salted
// hash would add no security: it protects secrets that can be guessed, and 256 random
// bits can't be guessed.
package organisation
