package config

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/platform/memory"
)

// A page of changes may end inside one commit. Its rows must not be taken for the
// whole commit.
func TestReaderNeverSplitsACommit(t *testing.T) {
	store, r := memory.New(), rand.NewChaCha8([32]byte{9})
	mustApply(t, store, marked(1), r)
	since := mustRead(t, store).Snapshot.Version
	c := marked(2)
	c.Organisations = append(c.Organisations, manyOrganisations(pageRows-10)...)
	mustApply(t, store, c, r)
	more := *c
	more.Organisations = append(manyOrganisations(pageRows + 300)[pageRows-10:], c.Organisations...)
	mustApply(t, store, &more, r)
	want := mustRead(t, store)
	for _, from := range []uint64{since, since + 1, 0} {
		u, err := Reader{store}.Read(context.Background(), from)
		require.NoError(t, err)
		require.Equal(t, want.Snapshot.Generation, u.Head.Generation)
		if from == since {
			require.Len(t, u.Rows, pageRows-10+310+2)
		}
	}
}

// The store drops its history of changes while a relay is disconnected.
func TestReaderReadsTheWholeTableWhenTheHistoryIsGone(t *testing.T) {
	store, r := memory.New(), rand.NewChaCha8([32]byte{9})
	mustApply(t, store, marked(1), r)
	since := mustRead(t, store).Snapshot.Version
	mustApply(t, store, marked(2), r)
	store.ForgetHistory(Table)
	u, err := Reader{store}.Read(context.Background(), since)
	require.NoError(t, err)
	require.True(t, u.Full)
	require.Equal(t, uint64(2), u.Head.Generation)
	again, err := Reader{store}.Read(context.Background(), u.Version)
	require.NoError(t, err)
	require.False(t, again.Changed)
}
