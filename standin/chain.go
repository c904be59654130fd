package standin

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/instance"
)

// callNext calls the next service of the chain through the egress listener of the
// daemon. It reports whether the call succeeded; if not, it has set the answer
// to 502.
func (b *Backend) callNext(ctx *fasthttp.RequestCtx) bool {
	chain := string(ctx.Request.Header.Peek(HeaderChain))
	if chain == "" {
		return true
	}
	next, rest, _ := strings.Cut(chain, ",")
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	b.setNextRequest(ctx, req, next, rest)
	timeout := nextCallTimeout
	if left := deadlineOf(ctx); left > 0 {
		timeout = left
	}
	if err := b.client.DoTimeout(req, resp, timeout+time.Second); err != nil {
		ctx.Error("calling "+next+": "+err.Error(), fasthttp.StatusBadGateway)
		return false
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		ctx.Error("calling "+next+": "+string(resp.Body()), fasthttp.StatusBadGateway)
		return false
	}
	return true
}

func (b *Backend) setNextRequest(ctx *fasthttp.RequestCtx, req *fasthttp.Request, next, rest string) {
	req.SetRequestURI("http://" + b.cfg.Egress + "/" + next)
	req.Header.SetHost(next)
	req.UseHostHeader = true
	req.Header.SetMethodBytes(ctx.Method())
	for _, name := range []string{instance.HeaderCall, HeaderNonce, HeaderOrder} {
		req.Header.SetBytesV(name, ctx.Request.Header.Peek(name))
	}
	if rest != "" {
		req.Header.Set(HeaderChain, rest)
	}
}
