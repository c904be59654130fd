package wire

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	_ = Write(&b, &Frame{Kind: &Frame_Chunk{Chunk: []byte("abc")}})
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("GET / HTTP/1.1\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		fr, err := Read(bytes.NewReader(in))
		if err != nil {
			return
		}
		var out bytes.Buffer
		require.NoError(t, Write(&out, fr))
		again, err := Read(&out)
		require.NoError(t, err)
		require.True(t, proto.Equal(fr, again))
	})
}

func TestFramesAreReadInOrderWithSameContent(t *testing.T) {
	var b bytes.Buffer
	sent := []*Frame{
		{Kind: &Frame_Call{Call: &CallHead{RequestId: "r1", Allowance: 3}}},
		{Kind: &Frame_Chunk{Chunk: bytes.Repeat([]byte{7}, ChunkBytes)}},
		{Kind: &Frame_End{End: &End{Bytes: ChunkBytes}}},
	}
	for _, f := range sent {
		require.NoError(t, Write(&b, f))
	}
	for _, f := range sent {
		got, err := Read(&b)
		require.NoError(t, err)
		require.True(t, proto.Equal(f, got))
	}
	_, err := Read(&b)
	require.Equal(t, io.EOF, err)
}

func TestFrameOverMaxFrameBytesIsRefusedBeforeItIsRead(t *testing.T) {
	_, err := Read(bytes.NewReader([]byte{0x7f, 0, 0, 0}))
	var tooLarge *FrameTooLargeError
	require.True(t, errors.As(err, &tooLarge))
	require.Error(t, Write(io.Discard, &Frame{Kind: &Frame_Chunk{Chunk: make([]byte, MaxFrameBytes+1)}}))
}
