package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"wisteriafold/httpclient"
	"wisteriafold/request"
	"wisteriafold/response"
)

const (
	callerPause = 40 * time.Millisecond // between two requests of one caller
	callerWait  = 2500 * time.Millisecond
	maxRepeats  = 3                // of a request that was refused
	idleLimit   = 10 * time.Second // of a caller's connection
	callersEach = 4                // callers at each daemon
)

// caller sends requests to one daemon over kept connections until the process is gone.
type caller struct {
	rec    *recorder
	entry  int
	name   string
	client *httpclient.Client
	key    func() string // key in use
	rng    *rand.Rand
	sent   int
}

func newCaller(rec *recorder, d *daemon, n int, seed uint64, key func() string) *caller {
	return &caller{
		rec: rec, entry: d.index, name: fmt.Sprintf("c%d-%d", d.index, n), key: key,
		rng:    rand.New(rand.NewPCG(seed, uint64(d.index*100+n))),
		client: httpclient.New(httpclient.Config{Address: d.callers, MaxConnections: 1, DialTimeout: time.Second, IdleTimeout: idleLimit}),
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.Close()
	for ctx.Err() == nil {
		c.sent++
		a := Attempt{ID: c.name + "-" + strconv.Itoa(c.sent), Idempotent: c.rng.IntN(3) == 0, Entry: c.entry, Key: c.key()}
		for repeat := 0; ; repeat++ {
			done := c.attempt(ctx, a)
			c.rec.record(func(h *History) { h.Attempts = append(h.Attempts, done) })
			if !isPromise(done.Status) || repeat == maxRepeats || ctx.Err() != nil {
				break
			}
			c.pause(ctx) // the same request, with the same id
		}
		c.pause(ctx)
	}
}

func (c *caller) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(callerPause/2 + time.Duration(c.rng.Int64N(int64(callerPause)))):
	}
}

// attempt sends a request once.
func (c *caller) attempt(ctx context.Context, a Attempt) Attempt {
	ctx, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	method, path, body := "POST", "/order/1", "body of "+a.ID
	if a.Idempotent {
		method, path, body = "GET", "/view/1", ""
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: %d\r\n", method, path, a.ID, a.Key, callerWait.Milliseconds())
	if !a.Idempotent {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	a.Sent = c.rec.now()
	ans, err := c.client.DoRaw(ctx, &httpclient.RawCall{Head: []byte(head + "\r\n"), Body: []byte(body)})
	a.Ended = c.rec.now()
	var malformed *response.MalformedError
	switch {
	case errors.As(err, &malformed):
		a.Fault = malformed.Error()
	case err != nil:
		var e *request.Error
		if errors.As(err, &e) && e.Reason == request.ReasonBusy {
			a.Fault = "the caller ran out of memory: " + e.Error()
		}
	default:
		defer ans.Release()
		a.Status = ans.Response.StatusCode()
		a.Fault = faultOf(&a, ans, answerBody(a.ID, []byte(body)))
	}
	return a
}

// faultOf returns what is wrong with an answer, empty for nothing.
func faultOf(a *Attempt, ans *httpclient.RawAnswer, want string) string {
	h := &ans.Response.Header
	signed := len(h.Peek("X-Server-Signature")) > 0
	id := string(h.Peek("X-Attempt-Id"))
	switch {
	case id != "" && id != a.ID:
		return "answer to another request: " + id
	case a.Status < http.StatusMultipleChoices && !signed:
		return fmt.Sprintf("status %d without a signature", a.Status)
	case a.Status < http.StatusMultipleChoices && string(ans.Body) != want:
		return fmt.Sprintf("body %.60q in place of %.60q", ans.Body, want)
	case a.Status != http.StatusOK && signed:
		return fmt.Sprintf("status %d with the signature of an answer that had 200", a.Status)
	}
	return ""
}
