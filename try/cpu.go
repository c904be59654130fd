package try

import (
	"io"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/standin"
)

// warmUp is the number of calls before the first that counts.
const warmUp = 500

// CallCost is the processor time of a number of calls.
type CallCost struct {
	Calls int
	CPU   time.Duration // of the whole process, direct calls taken off
}

// MeasureCPU sends so many calls through two daemons, and as many directly to
// the backend server, and returns the difference in processor time of each.
func MeasureCPU(deployment string, counts []int) ([]CallCost, error) {
	s := &script{opt: Options{Deployment: deployment, Progress: io.Discard, Log: io.Discard}, started: time.Now()}
	d, err := start(deployment, io.Discard)
	if err != nil {
		return nil, err
	}
	s.d = d
	defer func() { _ = d.stop() }() // the figures are taken
	if err := d.ready(); err != nil {
		return nil, err
	}
	open, target := s.openRoute()
	entry := s.otherThan(target).caller
	if _, err := cpuOf(entry, open, warmUp); err != nil {
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

// cpuOf returns the processor time that n calls take in this process.
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

// processTime returns the processor time of this process so far.
func processTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // never fails with these arguments
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
