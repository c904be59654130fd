package organisation

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/config"
)

func testKey(t testing.TB, seed byte) (string, KeyID) {
	t.Helper()
	key, id, err := NewKey(rand.NewChaCha8([32]byte{seed}))
	require.NoError(t, err)
	return key, id
}

func TestKeyIsFoundByItsDigestOnly(t *testing.T) {
	key, id := testKey(t, 1)
	require.NoError(t, CheckKey(key))
	require.Equal(t, KeyID(sha256.Sum256([]byte(key))), id)
	parsed, err := ParseKeyID(id.String())
	require.NoError(t, err)
	require.Equal(t, id, parsed)

	ring := NewKeyring(&config.Configuration{Keys: []config.Key{{Digest: id.String(), Organisation: "museum"}}})
	owner, ok := ring.Lookup([]byte(key))
	require.True(t, ok)
	require.Equal(t, "museum", owner)
	for _, wrong := range []string{"", key[:len(key)-1], key + "a", id.String(), string(make([]byte, MaxKeyBytes+1))} {
		_, ok := ring.Lookup([]byte(wrong))
		require.False(t, ok, wrong)
	}
}

func TestEarlyWithdrawalDoesNotChangeTheOldKeyring(t *testing.T) {
	k1, id1 := testKey(t, 1)
	k2, id2 := testKey(t, 2)
	ring := NewKeyring(&config.Configuration{Keys: []config.Key{
		{Digest: id1.String(), Organisation: "a"}, {Digest: id2.String(), Organisation: "b"},
	}})
	less := ring.Without([]string{id1.String()})
	_, ok := less.Lookup([]byte(k1))
	require.False(t, ok)
	_, ok = less.Lookup([]byte(k2))
	require.True(t, ok)
	_, ok = ring.Lookup([]byte(k1))
	require.True(t, ok)
	require.Equal(t, []KeyID{id1}, Withdrawn(ring, less))
}

func TestKeyringIsSharedOnlyWithTheSameListOfKeys(t *testing.T) {
	_, id := testKey(t, 1)
	c := &config.Configuration{Keys: []config.Key{{Digest: id.String(), Organisation: "a"}}}
	ring := NewKeyring(c)
	same := *c
	require.Same(t, ring, ring.For(&same))
	other := config.Configuration{Keys: []config.Key{{Digest: id.String(), Organisation: "b"}}}
	owner, _ := ring.For(&other).Owner(id)
	require.Equal(t, "b", owner)
	less := ring.Without([]string{id.String()})
	owner, _ = less.For(c).Owner(id)
	require.Equal(t, "a", owner)
}

func TestKeyOfAnotherOrganisationCountsAsWithdrawn(t *testing.T) {
	_, id := testKey(t, 1)
	before := NewKeyring(&config.Configuration{Keys: []config.Key{{Digest: id.String(), Organisation: "a"}}})
	after := NewKeyring(&config.Configuration{Keys: []config.Key{{Digest: id.String(), Organisation: "b"}}})
	require.Equal(t, []KeyID{id}, Withdrawn(before, after))
}

// FuzzCheckKey checks that CheckKey accepts only texts that NewKey can return.
func FuzzCheckKey(f *testing.F) {
	key, _ := testKey(f, 3)
	f.Add(key)
	f.Add(key[:len(key)-1] + "z")
	f.Add(KeyPrefix)
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		if CheckKey(text) != nil {
			return
		}
		raw, err := encoding.DecodeString(text[len(KeyPrefix):])
		require.NoError(t, err)
		again, _, err := NewKey(&fixedReader{raw[:secretBytes]})
		require.NoError(t, err)
		require.Equal(t, again, text)
	})
}

type fixedReader struct{ b []byte }

func (r *fixedReader) Read(p []byte) (int, error) {
	n := copy(p, r.b)
	r.b = r.b[n:]
	return n, nil
}

func TestEveryMistypedCharacterIsRejected(t *testing.T) {
	key, _ := testKey(t, 4)
	for i := range key {
		b := []byte(key)
		b[i] = 'a' + (b[i]-'a'+1)%26
		require.Error(t, CheckKey(string(b)), "position %d", i)
	}
}

func BenchmarkLookup(b *testing.B) {
	key, id := testKey(b, 1)
	ring := NewKeyring(&config.Configuration{Keys: []config.Key{{Digest: id.String(), Organisation: "museum"}}})
	raw := []byte(key)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := ring.Lookup(raw); !ok {
			b.Fatal("key not found")
		}
	}
}

// BenchmarkNewKeyring measures the cost of rebuilding the keyring after a key has
// changed, for several numbers of keys.
func BenchmarkNewKeyring(b *testing.B) {
	for _, keys := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			c := &config.Configuration{}
			for i := range keys {
				c.Keys = append(c.Keys, config.Key{Digest: fmt.Sprintf("sha256:%064x", i), Organisation: "a"})
			}
			b.ReportAllocs()
			for b.Loop() {
				if NewKeyring(c).Len() != keys {
					b.Fatal("wrong number of keys")
				}
			}
		})
	}
}
