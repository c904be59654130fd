package config

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/platform/memory"
)

// BenchmarkTake is the cost of putting a change of one key in force, by the
// number of keys.
func BenchmarkTake(b *testing.B) {
	for _, keys := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			c := newContent()
			store, r := memory.New(), rand.NewChaCha8([32]byte{1})
			mustApply(b, store, withKeys(marked(1), keys), r)
			s := mustRead(b, store)
			require.NoError(b, c.take(Head{Generation: 1, Digest: s.Snapshot.Digest}, 1, s.content.all()))
			key := rowKey(KindKey, s.Snapshot.Configuration.Keys[keys/2].Digest)
			value := c.rows[key]
			rows := []Row{{Key: key, Deleted: true}}
			b.ReportAllocs()
			for b.Loop() {
				h := Head{Generation: c.snapshot.Generation + 1, Digest: c.digestAfter(rows)}
				require.NoError(b, c.take(h, 1, rows))
				rows[0].Deleted = !rows[0].Deleted
				rows[0].Value = value
			}
		})
	}
}
