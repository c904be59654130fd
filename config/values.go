package config

import (
	"fmt"
	"strconv"
	"strings"

	"wisteriafold/request"
)

// Bytes is a size in bytes. Files give it as a number or with the suffix KiB,
// MiB or GiB.
type Bytes int64

var byteUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}

// maxBytes keeps sums of sizes far from overflow.
const maxBytes = 1 << 50

// MarshalText returns the size as a decimal number.
func (b Bytes) MarshalText() ([]byte, error) { return strconv.AppendInt(nil, int64(b), 10), nil }

// UnmarshalText reads a number with an optional suffix.
func (b *Bytes) UnmarshalText(text []byte) error {
	s, unit := string(text), int64(1)
	for _, u := range byteUnits {
		if rest, found := strings.CutSuffix(s, u.suffix); found {
			s, unit = strings.TrimSpace(rest), u.bytes
			break
		}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > maxBytes/unit {
		return fmt.Errorf("%q is not a size: use a whole number of bytes, or one with KiB, MiB or GiB", text)
	}
	*b = Bytes(n * unit)
	return nil
}

// Importance is a request.Importance that files give by its name.
type Importance request.Importance

// Class returns the importance as the rest of the system uses it.
func (i Importance) Class() request.Importance { return request.Importance(i) }

// MarshalText returns the name.
func (i Importance) MarshalText() ([]byte, error) { return []byte(i.Class().String()), nil }

// UnmarshalText reads the name: sheddable, normal, high or critical.
func (i *Importance) UnmarshalText(text []byte) error {
	class, err := request.ParseImportance(string(text))
	*i = Importance(class)
	return err
}

// CutOff says whether keys are honoured while nothing can confirm that they
// have not been withdrawn.
type CutOff string

// Choices for keys at a daemon that is cut off. The empty value stands for the
// choice in the settings.
const (
	CutOffServe  CutOff = "serve"  // continue to accept the keys that are known
	CutOffRefuse CutOff = "refuse" // refuse keys once the configuration age exceeds keys.refuse_after
)

// StoreDown says what happens to a request with an idempotency key whose claim
// can't be written.
type StoreDown string

// Choices for claims while the store is down.
const (
	StoreDownRefuse StoreDown = "refuse" // refuse, not run, with Retry-After
	StoreDownRun    StoreDown = "run"    // run without a claim: a retry through another instance may run twice
)
