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
	// KeyPrefix is the prefix of every key.
	KeyPrefix = "wfk_"

	// MaxKeyBytes is the maximum length, in bytes, of a text that is looked up as a
	// key. Longer texts are rejected without computing a digest.
	MaxKeyBytes = 256

	secretBytes   = 32
	checksumBytes = 4
	digestPrefix  = "sha256:"
)

var encoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// KeyID is the SHA-256 digest of a key. Unlike the key, it may be stored and logged.
type KeyID [sha256.Size]byte

// String returns the digest in the form used in configuration files: "sha256:" and
// 64 hexadecimal digits.
func (id KeyID) String() string { return digestPrefix + hex.EncodeToString(id[:]) }

// ParseKeyID parses the form that String returns. It fails with KeyFormatError.
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

// IDOf returns the digest of a key. key is the key as the caller sent it.
func IDOf(key []byte) KeyID { return sha256.Sum256(key) }

// KeyFormatError reports that a text does not have the format of a key or of
// a digest.
type KeyFormatError struct{ What string }

// Error returns what is wrong with the text and the remedy. It never contains the
// key.
func (e *KeyFormatError) Error() string {
	return e.What + ": copy it again as `wisteriafold key new` printed it"
}

// NewKey generates a key from 32 bytes that it reads from random, and returns it with
// its digest. random must be a cryptographically secure source.
func NewKey(random io.Reader) (key string, id KeyID, err error) {
	raw := make([]byte, secretBytes, secretBytes+checksumBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", id, eris.Wrap(err, "read random bytes for a key")
	}
	raw = binary.BigEndian.AppendUint32(raw, crc32.ChecksumIEEE(raw))
	key = KeyPrefix + encoding.EncodeToString(raw)
	return key, IDOf([]byte(key)), nil
}

// CheckKey returns nil if text has the format of a key and its checksum is correct,
// and a KeyFormatError otherwise. It does not check whether any organisation owns the
// key.
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
