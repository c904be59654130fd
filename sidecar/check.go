package sidecar

import (
	"fmt"
	"math"
	"time"

	"wisteriafold/wire"
)

const (
	// maxConfigurationAge is the largest age of a configuration in a message. Older
	// ones cannot be used anyway.
	maxConfigurationAge = 24 * time.Hour

	// maxRemaining limits the time that a call from another daemon may have left. It is
	// longer than any timeout of a route.
	maxRemaining = time.Hour
)

// invalidMessageError reports a control message that no daemon sends.
type invalidMessageError struct {
	field string
	value any
}

// Error names the field and the remedy.
func (e *invalidMessageError) Error() string {
	return fmt.Sprintf("%s of the message is invalid (%v): run the same version on both daemons", e.field, e.value)
}

// checkMessage returns an error if a number in a message is out of range. An age that
// overflows would make a configuration look fresh for good, and an amount that is not a
// number would never be used up.
func checkMessage(m *wire.Fleet) error {
	switch k := m.Kind.(type) {
	case *wire.Fleet_Freshness:
		if k.Freshness.AgeUs > maxConfigurationAge.Microseconds() {
			return &invalidMessageError{"age_us", k.Freshness.AgeUs}
		}
		return checkEvacuatedNames(k.Freshness)
	case *wire.Fleet_TokenRequest:
		return checkTokens(k.TokenRequest.Amount, k.TokenRequest.AskedUs)
	case *wire.Fleet_TokenGrant:
		return checkTokens(k.TokenGrant.Amount, k.TokenGrant.AskedUs)
	}
	return nil
}

func checkTokens(amount float64, askedUs uint64) error {
	if math.IsNaN(amount) || math.IsInf(amount, 0) || amount < 0 {
		return &invalidMessageError{"amount", amount}
	}
	if askedUs > math.MaxInt64/uint64(time.Microsecond) {
		return &invalidMessageError{"asked_us", askedUs}
	}
	return nil
}
