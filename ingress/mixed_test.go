package ingress_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"wisteriafold/ingress"
)

// Failure: under many connections at once an answer reaches another request, two
// requests are taken for one, or something is held after the callers have left.
func TestAnswersBelongToTheirRequestsInAnyMix(t *testing.T) {
	const connections, rounds = 48, 8
	f := start(t, func(o *ingress.Options) {
		o.ReadAhead, o.HeldBack = 4, 4<<10
		o.Handler = func(r *ingress.Request) {
			r.Admitted()
			for range len(r.Header.RequestURI()) * 7 % 50 {
				runtime.Gosched()
			}
			if len(r.Header.Peek("X-Wait")) > 0 {
				<-r.Context().Done()
			}
			answer(r)
		}
	})
	var wg sync.WaitGroup
	for i := range connections {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		wg.Go(func() {
			for range rounds {
				mix(t, f.connect(), rng)
			}
		})
	}
	wg.Wait()
	f.eventually(func() bool { s := f.s.Stats(); return s.Open == 0 && s.HeldBytes == 0 && f.s.Waiting() == 0 })
}

// mix sends requests of all kinds ahead on one connection and reads the answers to
// them, or leaves before.
func mix(t *testing.T, c *caller, rng *rand.Rand) {
	defer func() { _ = c.Close() }()
	var text strings.Builder
	var want []string
	for i := range 1 + rng.IntN(12) {
		id := fmt.Sprintf("/%d-%d", rng.IntN(1000), i)
		switch n := rng.IntN(2000); rng.IntN(6) {
		case 0:
			text.WriteString(request("POST", "/once"+id, fmt.Sprint("Content-Length: ", n+1)) + strings.Repeat("b", n+1))
			want = append(want, fmt.Sprintf("/once%s body %d false", id, n+1))
		case 1:
			text.WriteString(request("PUT", "/once"+id, "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", n+1, strings.Repeat("b", n+1)))
			want = append(want, fmt.Sprintf("/once%s body %d false", id, n+1))
		case 2:
			text.WriteString(request("GET", "/safe"+id, fmt.Sprint("X-Size: ", 20*n)))
			want = append(want, strings.Repeat("x", 20*n))
		case 3:
			text.WriteString(request("DELETE", "/once"+id))
			want = append(want, "/once"+id)
		default:
			text.WriteString(request("GET", "/safe"+id))
			want = append(want, "/safe"+id)
		}
	}
	leaves := rng.IntN(3) == 0
	if leaves {
		text.WriteString(request("GET", "/safe/left", "X-Wait: 1"))
		want = want[:rng.IntN(len(want)+1)]
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(c.Conn, text.String()) // the test may leave first
	}()
	for _, w := range want {
		resp, err := http.ReadResponse(c.br, nil)
		if !assert.NoError(t, err) {
			break
		}
		b, err := io.ReadAll(resp.Body)
		assert.NoError(t, err)
		if !assert.True(t, string(b) == w, "%.60s is the answer to %.60s", b, w) {
			break
		}
	}
	_ = c.Close()
	<-sent
}
