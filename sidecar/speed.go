package sidecar

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// workPercentSeparators is the number of commas in a load report that has a work
// percent. Other reports on answers are not parsed.
const workPercentSeparators = 3

// workPercentOf returns the work percent in the load report of a response of the
// backend server, or 0 if it has none.
func (d *Daemon) workPercentOf(h *fasthttp.ResponseHeader) uint32 {
	report := h.Peek(d.names.Load)
	if bytes.Count(report, []byte(",")) != workPercentSeparators {
		return 0
	}
	l, ok := d.dialect.ParseLoad(string(report))
	if !ok {
		return 0
	}
	return l.WorkPercent
}
