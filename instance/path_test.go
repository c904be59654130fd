package instance_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/instance"
)

func TestBackendServerSeesOrganisationAndNeverTheKey(t *testing.T) {
	f := shared
	for name, headers := range map[string][]string{
		"own field": f.keyed("X-Other", "stays"),
		"bearer":    {"Authorization", "Bearer " + f.key, "X-Other", "stays"},
	} {
		t.Run(name, func(t *testing.T) {
			f.handle(t, "front", func(w http.ResponseWriter, r *http.Request) {
				for k, v := range r.Header {
					if strings.Contains(strings.Join(v, ""), f.key) {
						t.Errorf("the key came in %s", k)
					}
				}
				fmt.Fprint(w, r.Header.Get(instance.HeaderOrganisation), r.Header.Get("X-Other"), r.URL.RequestURI())
			})
			a := f.send(t, 2, "GET", "/read/a%20b?c=d", nil, headers...)
			require.Equal(t, "museumstays/read/a%20b?c=d", a.body)
		})
	}
}

// callDeep calls the deep service on behalf of the request r through the egress
// listener of daemon n.
func (f *fleet) callDeep(r *http.Request, n int, path string) (answer, error) {
	return f.try(r.Context(), f.sets[n].Listen.Egress, "GET", path, nil, "Host", "deep", instance.HeaderCall, r.Header.Get(instance.HeaderCall))
}

func TestCallerDisconnectCancelsTheWholeTree(t *testing.T) {
	f := shared
	begun, ended := make(chan struct{}), make(chan struct{})
	for n := range 2 {
		f.handle(t, fmt.Sprintf("front-%d", n), func(_ http.ResponseWriter, r *http.Request) { _, _ = f.callDeep(r, n, "/x") })
	}
	f.handle(t, "deep", func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	_, err := f.try(ctx, f.sets[2].Listen.Callers, "GET", "/read", nil, f.keyed()...)
	require.Error(t, err)
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Fatal("the deep backend server went on working")
	}
}

func TestCallTokenEndsWithItsCall(t *testing.T) {
	f := shared
	var token atomic.Value
	for n := range 2 {
		f.handle(t, fmt.Sprintf("front-%d", n), func(w http.ResponseWriter, r *http.Request) {
			token.Store([2]string{r.Header.Get(instance.HeaderCall), f.sets[n].Listen.Egress})
			a, err := f.callDeep(r, n, "/y?z=1")
			fmt.Fprint(w, a.body, err)
		})
	}
	f.handle(t, "deep", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get(instance.HeaderOrganisation), r.URL.RequestURI())
	})
	require.Equal(t, "museum/y?z=1<nil>", f.send(t, 0, "GET", "/read", nil, f.keyed()...).body)
	old := token.Load().([2]string)
	a, err := f.try(t.Context(), old[1], "GET", "/x", nil, "Host", "deep", instance.HeaderCall, old[0])
	require.NoError(t, err)
	require.Equal(t, "bad-call-token", a.header.Get(instance.HeaderReason))
}

// sizedReader yields left bytes; their content is not set.
type sizedReader struct{ left int64 }

func (e *sizedReader) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n := min(int64(len(p)), e.left)
	e.left -= n
	return int(n), nil
}

func TestLargeUploadIsNotHeldInMemory(t *testing.T) {
	f := shared
	const size = 64 << 20
	f.handle(t, "front", func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n, err)
	})
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	peak := uint64(0)
	body := io.TeeReader(&sizedReader{left: size}, writerFunc(func(p []byte) {
		if time.Now().UnixNano()%64 == 0 {
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapAlloc)
		}
	}))
	a := f.send(t, 2, "POST", "/upload", body, f.keyed()...)
	require.Equal(t, fmt.Sprint(size, nil), a.body)
	require.Less(t, peak, before.HeapAlloc+size/2)
}

type writerFunc func(p []byte)

func (f writerFunc) Write(p []byte) (int, error) {
	f(p)
	return len(p), nil
}

func TestTruncatedAnswerFailsForTheCaller(t *testing.T) {
	f := shared
	f.handle(t, "front", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(make([]byte, 60000))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	a := f.send(t, 2, "GET", "/read", nil, f.keyed()...)
	require.Error(t, a.bodyErr, "%d bytes looked whole", len(a.body))
	f.handle(t, "front", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 100000)) })
	a = f.send(t, 2, "GET", "/read", nil, f.keyed()...)
	require.NoError(t, a.bodyErr)
	require.Len(t, a.body, 100000)
}

// drop closes the connection without an answer.
func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestOnlyIdempotentCallsAreRepeatedAfterALoss(t *testing.T) {
	f := shared
	var runs atomic.Int64
	f.handle(t, "front", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		drop(w, r)
	})
	a := f.send(t, 2, "POST", "/order", strings.NewReader("x"), f.keyed()...)
	require.Equal(t, "unknown", a.header.Get(instance.HeaderOutcome), a.body)
	require.EqualValues(t, 1, runs.Load())
	runs.Store(0)
	a = f.send(t, 2, "GET", "/read", nil, f.keyed()...)
	require.Equal(t, "unknown", a.header.Get(instance.HeaderOutcome), a.body)
	require.Greater(t, runs.Load(), int64(1))
	require.LessOrEqual(t, runs.Load(), int64(1+2), "one attempt and the route's allowance")
}

func TestDeclaredShedIsBelievedOnlyWhenNothingBelowRan(t *testing.T) {
	f := shared
	shed := func(w http.ResponseWriter) {
		w.Header().Set(instance.HeaderOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f.handle(t, "front", func(w http.ResponseWriter, _ *http.Request) { shed(w) })
	a := f.send(t, 2, "POST", "/order", nil, f.keyed()...)
	require.Equal(t, "not-run", a.header.Get(instance.HeaderOutcome))
	for n := range 2 {
		f.handle(t, fmt.Sprintf("front-%d", n), func(w http.ResponseWriter, r *http.Request) {
			_, _ = f.callDeep(r, n, "/x")
			shed(w)
		})
	}
	a = f.send(t, 2, "POST", "/order", nil, f.keyed()...)
	require.Equal(t, "unknown", a.header.Get(instance.HeaderOutcome), a.body)
}

func TestIdempotencyKeyRunsOnceWhicheverDaemonIsReached(t *testing.T) {
	f := shared
	var runs atomic.Int64
	f.handle(t, "front", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "run ", runs.Add(1)) })
	once := f.keyed(instance.HeaderIdempotencyKey, "order-7")
	var wg sync.WaitGroup
	for i := range 9 {
		wg.Go(func() {
			a, err := f.try(t.Context(), f.sets[i%3].Listen.Callers, "POST", "/order", strings.NewReader("7"), once...)
			if err != nil || (a.body != "run 1" && a.header.Get(instance.HeaderReason) != "claim-held") {
				t.Errorf("%v %+v", err, a)
			}
		})
	}
	wg.Wait()
	a := f.send(t, 1, "POST", "/order", strings.NewReader("7"), once...)
	require.Equal(t, "run 1", a.body)
	require.Equal(t, "true", a.header.Get(instance.HeaderReplayed))
	require.EqualValues(t, 1, runs.Load())
	a = f.send(t, 1, "POST", "/order", strings.NewReader("8"), once...)
	require.Equal(t, "not-run", a.header.Get(instance.HeaderOutcome), "another body under the same key")
}

func TestExplainReturnsEntryGateAndAnswerSteps(t *testing.T) {
	f := shared
	a := f.send(t, 2, "GET", "/read", nil, f.keyed()...)
	id := a.header.Get(instance.HeaderRequestID)
	require.Eventually(t, func() bool {
		steps := map[string]bool{}
		for _, d := range f.daemons {
			for _, x := range d.Explain(id) {
				steps[x.Step] = true
			}
		}
		return steps["entry"] && steps["gate"] && steps["answer"]
	}, waitLimit, 5*time.Millisecond)
}
