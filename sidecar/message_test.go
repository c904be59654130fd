package sidecar

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"wisteriafold/wire"
)

var testNames = newFieldNames(HeaderNames{
	AttemptID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", Organisation: "X-Org", CallerService: "X-From",
	ExpectedBackendID: "X-Expect", Signature: "X-Signature", NotRun: "X-Not-Run", BackendID: "X-Backend", Load: "X-Load",
})

func TestUnpackReversesPack(t *testing.T) {
	for _, name := range append([]string{"X-Something", "x", ""}, testNames.nameByCode...) {
		require.Equal(t, name, testNames.unpack(testNames.pack([]byte(name))))
	}
	require.Len(t, testNames.pack([]byte("X-Signature")), 1)
	for name := range testNames.system {
		require.False(t, isCode(testNames.pack([]byte(name))), "%s is set by the daemons and must not have a code", name)
	}
	require.Equal(t, "\x1f", testNames.unpack("\x1f"), "a code that is not assigned is returned unchanged")
}

// Failure: header names and the repeated request id dominate the size of many small
// calls between data centres, which are billed by volume.
func TestHeadOfSmallCallIsCompact(t *testing.T) {
	d := &Daemon{names: testNames}
	id := strings.Repeat("0123456789abcdef.", 3) + "0123456789abcdef"
	var req fasthttp.RequestHeader
	for _, f := range [][2]string{{"User-Agent", "sdk-client/1.9.3"}, {"Accept", "*/*"}, {"Accept-Encoding", "identity"}, {"X-Id", id}, {"X-Org", "forged"}, {"\x02", "forged"}} {
		req.Set(f[0], f[1])
	}
	var resp fasthttp.ResponseHeader
	resp.SetNoDefaultContentType(true)
	for _, f := range [][2]string{{"Content-Type", "application/octet-stream"}, {"X-Signature", "e.171.258.0.51fa3f0b8d945f5e"}, {"X-Load", "14,0,39"}, {"X-Id", id}} {
		resp.Set(f[0], f[1])
	}
	call := &wire.CallHead{
		RequestId: id, Service: "rano11d", Importance: 2, RemainingUs: 616958, Idempotent: true, WorkSpent: true,
		Method: "GET", Path: "/mino836/1324b7", Headers: d.requestFields(&req), Route: "r-dc55t5k", Generation: 2, CallerService: "zise85c",
	}
	answer := &wire.AnswerHead{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 200, Headers: d.responseFields(&resp), InFlight: 13, Limit: 39, ServiceUs: 18184, BodyBytes: 600}
	require.Len(t, call.Headers, 3, "the id, fields that the daemons set and names that look like a code are omitted")
	require.Len(t, answer.Headers, 3)
	require.Contains(t, string(d.requestHead(call, "", 1, 0)), "\r\nX-Id: "+id+"\r\nX-From: zise85c\r\n")

	plainCall, plainAnswer := proto.Clone(call).(*wire.CallHead), proto.Clone(answer).(*wire.AnswerHead)
	for _, fields := range []*[]*wire.Header{&plainCall.Headers, &plainAnswer.Headers} {
		for _, f := range *fields {
			f.Name = testNames.unpack(f.Name)
		}
		*fields = append(*fields, &wire.Header{Name: "X-Id", Value: id})
	}
	plainCall.Tree = uint64(treeOf(id))
	require.Less(t, proto.Size(call), proto.Size(plainCall)*2/3)
	require.Less(t, proto.Size(answer), proto.Size(plainAnswer)*2/3)
}
