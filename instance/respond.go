package instance

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// writeRefusal answers a caller whose request was not run or whose outcome is
// unknown.
func (d *Daemon) writeRefusal(hc *fasthttp.RequestCtx, id string, err *request.Error) {
	d.stats.count(err)
	body, _ := json.Marshal(refusalBody{
		Outcome:   err.Outcome.String(),
		Reason:    string(err.Reason),
		Remedy:    err.Remedy,
		RequestID: id,
	})
	closing := hc.Response.ConnectionClose()
	hc.Response.Reset()
	if closing || err.Reason == request.ReasonTooLarge {
		hc.SetConnectionClose()
	}
	hc.SetStatusCode(statusOf(err))
	hc.SetContentType("application/json")
	h := &hc.Response.Header
	h.Set(HeaderOutcome, err.Outcome.String())
	h.Set(HeaderReason, string(err.Reason))
	h.Set(HeaderRequestID, id)
	if err.RetryAfter > 0 {
		h.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	hc.SetBody(body)
}

// refusalBody is the JSON body of such an answer.
type refusalBody struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Remedy    string `json:"remedy"`
	RequestID string `json:"request_id"`
}

// writeCaller sends an answer to the caller. When the body is truncated, the
// connection closes before its declared end, so that the caller detects it.
func (d *Daemon) writeCaller(hc *fasthttp.RequestCtx, e *entry, ans *answer, cancel context.CancelFunc) {
	d.stats.answered.Add(1)
	fillAnswer(hc, ans.head, e.call.ID)
	if !ans.head.BodyFollows {
		if !hc.IsHead() {
			hc.SetBody(ans.head.Body)
		}
		ans.close(true)
		cancel()
		return
	}
	d.inFlight.Add(1)
	hc.SetBodyStream(&closingBody{d: d, Reader: ans.body, ans: ans, cancel: cancel}, int(max(ans.head.BodyBytes, -1)))
}

func fillAnswer(hc *fasthttp.RequestCtx, head *wire.AnswerHead, id string) {
	closing := hc.Response.ConnectionClose()
	hc.Response.Reset()
	if closing {
		hc.SetConnectionClose()
	}
	hc.SetStatusCode(int(head.Status))
	h := &hc.Response.Header
	h.SetNoDefaultContentType(true)
	for _, f := range head.Headers {
		h.Add(f.Name, f.Value)
	}
	h.Set(HeaderOutcome, request.Answered.String())
	h.Set(HeaderRequestID, id)
	if hc.IsHead() && head.BodyBytes >= 0 {
		hc.Response.SkipBody = true
		h.SetContentLength(int(head.BodyBytes))
	}
}

// closingBody is a response body that releases its answer when fasthttp has
// sent it or given up.
type closingBody struct {
	io.Reader
	d        *Daemon
	ans      *answer
	cancel   context.CancelFunc
	complete bool
	once     sync.Once
}

// Read implements io.Reader.
func (b *closingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.complete = err == io.EOF
	return n, err
}

// WriteTo implements io.WriterTo, which keeps fasthttp from buffering the whole
// body.
func (b *closingBody) WriteTo(w io.Writer) (int64, error) {
	n, err := io.Copy(w, struct{ io.Reader }{b})
	if bw, ok := w.(*bufio.Writer); ok && err == nil {
		err = bw.Flush()
	}
	return n, err
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	b.once.Do(func() {
		b.ans.close(b.complete)
		b.cancel()
		b.d.inFlight.Add(-1)
	})
	return nil
}
