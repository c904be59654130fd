package organisation

import (
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
	"encoding/hex"
	"hash/crc32"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// KeyPrefix begins every key.
	KeyPrefix = "wfk_"

	// MaxKeyBytes is the longest text that is looked up as a key, in bytes.
	MaxKeyBytes = 256

	secretBytes   = 32
	checksumBytes = 4
	digestPrefix  = "sha256:"
)

var encoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// KeyID is the SHA-256 digest of a key. It can be kept and logged.
type KeyID [sha256.Size]byte

// String returns the form that configuration files use.
func (id KeyID) String() string { return digestPrefix + hex.EncodeToString(id[:]) }

// ParseKeyID reads the form that String returns.
func ParseKeyID(s string) (KeyID, error) {
	var id KeyID
	var digits [2 * len(id)]byte
	rest, found := strings.CutPrefix(s, digestPrefix)
	if found && copy(digits[:], rest) == len(rest) && len(rest) == len(digits) {
		if _, err := hex.Decode(id[:], digits[:]); err == nil {
			return id, nil
		}
	}
	return KeyID{}, &KeyFormatError{What: "the digest is not sha256: and 64 hexadecimal digits"}
}

// IDOf returns the digest of a key as a caller sent it.
func IDOf(key []byte) KeyID { return sha256.Sum256(key) }

// KeyFormatError reports a text that is not a key or a digest of this system.
type KeyFormatError struct{ What string }

// Error names the fault and the remedy. It never contains the key.
func (e *KeyFormatError) Error() string {
	return e.What + ": copy it again as `wisteriafold key new` printed it"
}

// NewKey makes a key from 32 bytes of random, which must come from a
// cryptographic source, and returns it with its digest.
func NewKey(random io.Reader) (key string, id KeyID, err error) {
	raw := make([]byte, secretBytes, secretBytes+checksumBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", id, eris.Wrap(err, "read random bytes for a key")
	}
	raw = binary.BigEndian.AppendUint32(raw, crc32.ChecksumIEEE(raw))
	key = KeyPrefix + encoding.EncodeToString(raw)
	return key, IDOf([]byte(key)), nil
}

// CheckKey tells whether text has the form of a key and its checksum is right.
// It fails with KeyFormatError. It says nothing about whether the key is in
// force.
func CheckKey(text string) error {
	rest, found := strings.CutPrefix(text, KeyPrefix)
	if !found {
		return &KeyFormatError{What: "the key does not begin with " + KeyPrefix}
	}
	raw, err := encoding.DecodeString(rest)
	if err != nil || len(raw) != secretBytes+checksumBytes {
		return &KeyFormatError{What: "the key has characters that are wrong, missing or too many"}
	}
	if encoding.EncodeToString(raw) != rest {
		return &KeyFormatError{What: "the key's last character is wrong"}
	}
	sum := crc32.ChecksumIEEE(raw[:secretBytes])
	if binary.BigEndian.Uint32(raw[secretBytes:]) != sum {
		return &KeyFormatError{What: "the key's checksum is wrong"}
	}
	return nil
}
