package sidecar

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/fleet"
	"wisteriafold/quota"
	"wisteriafold/routing"
	"wisteriafold/wire"
)

// Failure: numbers out of range in a message of another daemon overflow: a configuration
// looks fresh for good, a rate is never used up, a call never ends.
func TestNumbersOutOfRangeInMessagesChangeNothing(t *testing.T) {
	freshness := func(age int64) *wire.Fleet {
		return &wire.Fleet{Kind: &wire.Fleet_Freshness{Freshness: &wire.Freshness{AgeUs: age}}}
	}
	for name, m := range map[string]*wire.Fleet{
		"age":             freshness(math.MaxInt64),
		"amount asked":    tokenRequest("o", math.NaN(), true, time.Second),
		"amount granted":  tokenGrant("o", math.Inf(1), 1),
		"negative amount": tokenGrant("o", -1, 1),
		"time asked":      tokenGrant("o", 1, math.MaxUint64),
	} {
		var invalid *invalidMessageError
		require.ErrorAs(t, checkMessage(m), &invalid, name)
	}
	for _, m := range []*wire.Fleet{freshness(-1), freshness(0), freshness(5_000_000), tokenRequest("o", 2.5, false, time.Second), tokenGrant("o", 0, notAsked)} {
		require.NoError(t, checkMessage(m))
	}

	d, err := New(Settings{Listen: Listen{Peers: "10.0.0.1:7000"}, Service: "s"}, Options{Dialect: unusedDialect{}, Store: unusedStore{}})
	require.NoError(t, err)
	d.tokens.clock = func() time.Duration { return time.Hour }
	d.tokens.members, d.tokens.self, d.tokens.complete = []quota.Member{{Peer: "other:1"}}, quota.Member{Peer: "10.0.0.1:7000"}, true
	d.tokens.apply([]routing.Organisation{{Name: "o", Rate: 10, Burst: 10}})
	future := 2 * time.Hour // a grant for a request that has not been made yet would not expire
	d.ReceiveControl("other:1", &wire.Control{Kind: &wire.Control_Fleet{Fleet: tokenGrant("o", 5, uint64(future.Microseconds()))}})
	require.Zero(t, d.tokens.accounts["o"].WholeTokens())
	d.ReceiveControl("other:1", &wire.Control{Kind: &wire.Control_Fleet{Fleet: tokenGrant("o", math.NaN(), uint64(time.Hour.Microseconds()))}})
	require.Zero(t, d.tokens.accounts["o"].WholeTokens())

	d.ReceiveControl("other:1", &wire.Control{Kind: &wire.Control_Fleet{Fleet: freshness(math.MaxInt64)}})
	require.Empty(t, d.control.mailbox)
	require.Equal(t, uint64(2), d.metrics.messagesIgnored.Get())

	for _, left := range []int64{math.MaxInt64, math.MinInt64} {
		c := d.callOf(&wire.CallHead{RemainingUs: left})
		require.GreaterOrEqual(t, c.Remaining, time.Duration(0))
		require.LessOrEqual(t, c.Remaining, maxRemaining)
	}
}

type (
	unusedDialect struct{ Dialect }
	unusedStore   struct{ Store }
)

func (unusedDialect) HeaderNames() HeaderNames { return HeaderNames{} }

// Failure: a set of evacuated data centres with a version that no later one exceeds
// stays in force for good.
func TestSetsOutOfRangeInMessagesAreIgnored(t *testing.T) {
	freshness := func(version uint64, names ...string) *wire.Fleet {
		return &wire.Fleet{Kind: &wire.Fleet_Freshness{Freshness: &wire.Freshness{OperatorVersion: version, Evacuated: names}}}
	}
	require.NoError(t, checkMessage(freshness(1<<40, "a", "b")))
	require.Error(t, checkMessage(freshness(math.MaxUint64, "a")))
	require.Error(t, checkMessage(freshness(1, "")))
	require.Error(t, checkMessage(freshness(1, strings.Repeat("a", 40<<10))))
}

// oneCallStore answers the one call that a daemon without evacuations makes today.
type oneCallStore struct{ Store }

func (oneCallStore) Configuration(context.Context) ([]byte, uint64, error) {
	return []byte("{}"), 5, nil
}

// Failure: a deployment without evacuations pays for them in its reads of the store.
func TestReadOfTheStoreIsUnchangedWithoutEvacuations(t *testing.T) {
	d := &Daemon{store: oneCallStore{}}
	r, err := d.readOperatorRows(t.Context())
	require.NoError(t, err)
	require.Equal(t, fleet.Reading{Document: []byte("{}"), Version: 5}, r)
}
