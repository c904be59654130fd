package try

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"wisteriafold/instance"
	"wisteriafold/standin"
)

const (
	probeCount     = 400
	probeGap       = 2 * time.Millisecond // 500 calls per second
	probeMaxUs     = int64(10 * time.Second / time.Microsecond)
	probeDigits    = 3
	tailPercentile = 99
)

// measureAddedLatency measures the latency that two daemons add: it compares calls
// through them with direct calls to the same backend server, without a service
// time and without other traffic.
func (s *script) measureAddedLatency() error {
	open, target := s.openRoute()
	entry := s.entryFor(target)
	direct, err := probe(target.direct, open)
	if err != nil {
		return err
	}
	through, err := probe(entry.caller, open)
	if err != nil {
		return err
	}
	s.sum.AddedP99 = float64(through.ValueAtQuantile(tailPercentile)-direct.ValueAtQuantile(tailPercentile)) / 1000
	s.sum.AddedP50 = float64(through.ValueAtQuantile(50)-direct.ValueAtQuantile(50)) / 1000
	s.progressf("added by two daemons: %.2f ms for 99 in 100, %.2f ms for half", s.sum.AddedP99, s.sum.AddedP50)
	return nil
}

// openRoute returns the prefix of the open route and a node of its service, or the
// first node if no node runs the service.
func (s *script) openRoute() (string, *node) {
	_, _, open, _ := pickRoutes(s.d.conf)
	for _, x := range s.d.nodes {
		if x.set.Backend.Service == open.Service {
			return open.Prefix, x
		}
	}
	return open.Prefix, s.d.nodes[0]
}

// entryFor returns a node of another service in the data centre of x, so that a
// request for x that enters there passes two daemons. It returns x if there is
// none.
func (s *script) entryFor(x *node) *node {
	for _, y := range s.d.nodes {
		if y.set.DataCentre == x.set.DataCentre && y.set.Backend.Service != x.set.Backend.Service {
			return y
		}
	}
	return x
}

func probe(address, path string) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, probeMaxUs, probeDigits)
	c := &fasthttp.HostClient{Addr: address, MaxConns: 4}
	defer c.CloseIdleConnections()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	for range probeCount {
		req.Reset()
		req.SetRequestURI("http://" + address + path)
		req.Header.Set(standin.HeaderIdle, "1")
		started := time.Now()
		if err := c.DoTimeout(req, resp, probeTimeout); err != nil {
			return nil, err
		}
		if err := h.RecordValue(time.Since(started).Microseconds()); err != nil {
			return nil, err
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return nil, &probeError{address, resp.StatusCode(), string(resp.Header.Peek(instance.HeaderReason))}
		}
		time.Sleep(probeGap)
	}
	return h, nil
}
