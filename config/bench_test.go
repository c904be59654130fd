package config

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/platform/memory"
)

// BenchmarkTake measures the cost of putting a change of one key in force, by
// the number of keys.
func BenchmarkTake(b *testing.B) {
	for _, keys := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			c := newContent()
			store, r := memory.New(), rand.NewChaCha8([32]byte{1})
			mustApply(b, store, withKeys(marked(1), keys), r)
			s := mustRead(b, store)
			require.NoError(b, c.apply(Head{Generation: 1, Digest: s.Snapshot.Digest}, 1, s.content.all()))
			key := rowKey(KindKey, s.Snapshot.Configuration.Keys[keys/2].Digest)
			value := c.rows[key]
			rows := []Row{{Key: key, Deleted: true}}
			b.ReportAllocs()
			for b.Loop() {
				h := Head{Generation: c.snapshot.Generation + 1, Digest: c.digestAfter(rows)}
				require.NoError(b, c.apply(h, 1, rows))
				rows[0].Deleted = !rows[0].Deleted
				rows[0].Value = value
			}
		})
	}
}

// BenchmarkLargeDirectory reads, checks and applies a directory of many keys
// to an empty store, then applies it with one key withdrawn.
func BenchmarkLargeDirectory(b *testing.B) {
	for _, keys := range []int{1000, 10_000} {
		text, err := withKeys(marked(1), keys).YAML()
		require.NoError(b, err)
		less, err := withKeys(marked(1), keys-1).YAML()
		require.NoError(b, err)
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				store, r := memory.New(), rand.NewChaCha8([32]byte{1})
				mustApply(b, store, parse(b, string(text)), r)
				res := mustApply(b, store, parse(b, string(less)), r)
				require.Equal(b, 1, res.Changes)
			}
		})
	}
}

// BenchmarkContentHeap measures the heap that one key takes in a daemon, without
// the text of its row key, which is shared with the in-memory store.
func BenchmarkContentHeap(b *testing.B) {
	const keys = 20_000
	store, r := memory.New(), rand.NewChaCha8([32]byte{1})
	mustApply(b, store, withKeys(marked(1), keys), r)
	var held []*Stored
	before := heapBytes()
	for b.Loop() {
		held = append(held, mustRead(b, store))
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(keys*len(held)), "B/key")
	runtime.KeepAlive(held)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
