package instance_test

import (
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkCall compares a direct call with calls through one and two daemons.
// Two daemons may add at most 1.8 ms at the 99th percentile, which the path
// experiment in bench checks.
func BenchmarkCall(b *testing.B) {
	f := shared
	for _, c := range []struct{ name, address, path string }{
		{"direct", f.sets[2].Backend.Address, "/open-deep"},
		{"one-daemon", f.sets[2].Listen.Callers, "/open-deep"},
		{"two-daemons", f.sets[0].Listen.Callers, "/open-deep"},
	} {
		b.Run(c.name, func(b *testing.B) {
			client := &fasthttp.HostClient{Addr: c.address}
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + c.address + c.path)
			b.ReportAllocs()
			for b.Loop() {
				if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
					b.Fatal(err, resp.StatusCode(), string(resp.Body()))
				}
			}
			client.CloseIdleConnections()
		})
	}
}
