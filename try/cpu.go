package try

import (
	"io"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/standin"
)

// warmUpCalls is the number of calls before the measurement begins.
const warmUpCalls = 500

// CallCost is the processor time that daemons add to a number of calls.
type CallCost struct {
	Calls int
	CPU   time.Duration // of the whole process, less that of as many direct calls
}

// MeasureCPU sends, for each of counts, that number of calls through two daemons
// and as many directly to the backend server. It returns the difference in
// processor time for each.
func MeasureCPU(deployment string, counts []int) ([]CallCost, error) {
	s := &script{opt: Options{Deployment: deployment, Progress: io.Discard, Log: io.Discard}, started: time.Now()}
	d, err := start(deployment, io.Discard)
	if err != nil {
		return nil, err
	}
	s.d = d
	defer func() { _ = d.stop() }() // the measurement is complete
	if err := d.ready(); err != nil {
		return nil, err
	}
	open, target := s.openRoute()
	entry := s.entryFor(target).caller
	if _, err := cpuOf(entry, open, warmUpCalls); err != nil {
		return nil, err
	}
	var out []CallCost
	for _, n := range counts {
		direct, err := cpuOf(target.direct, open, n)
		if err != nil {
			return nil, err
		}
		through, err := cpuOf(entry, open, n)
		if err != nil {
			return nil, err
		}
		out = append(out, CallCost{n, through - direct})
	}
	return out, nil
}

// cpuOf returns the processor time that this process uses for n calls.
func cpuOf(address, path string, n int) (time.Duration, error) {
	c := &fasthttp.HostClient{Addr: address, MaxConns: 4}
	defer c.CloseIdleConnections()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	before := processTime()
	for range n {
		req.Reset()
		req.SetRequestURI("http://" + address + path)
		req.Header.Set(standin.HeaderIdle, "1")
		if err := c.DoTimeout(req, resp, probeTimeout); err != nil {
			return 0, err
		}
	}
	return processTime() - before, nil
}

// processTime returns the user and system time of this process so far.
func processTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // never fails with these arguments
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
