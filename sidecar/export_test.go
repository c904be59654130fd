package sidecar

import (
	"io"
	"time"

	"wisteriafold/ingress"
)

// NewLineWriterForTest returns the writer of log lines.
func NewLineWriterForTest(out io.Writer) io.Writer { return newLineWriter(out) }

// DroppedForTest returns the number of lines that a writer has dropped.
func DroppedForTest(w io.Writer) uint64 { return w.(*lineWriter).dropped.Load() }

// LineLimiterForTest returns the allow method of a limiter of log lines per second.
func LineLimiterForTest(limit uint32) func(time.Time) bool {
	a := &lineLimiter{limit: limit}
	return a.allow
}

// CallerLimitsForTest returns the limits on the connections of callers.
func (d *Daemon) CallerLimitsForTest() ingress.Limits { return d.callerLimits() }

// MarkDirectoryCompleteForTest marks the directory of the daemon as complete.
func (d *Daemon) MarkDirectoryCompleteForTest() { d.rowsRead.Store(true) }

// AdoptForTest puts a configuration document in force and returns the generation in
// force.
func (d *Daemon) AdoptForTest(document []byte) uint64 { return d.control.Adopt(document) }

// ConfirmForTest marks the configuration as confirmed to be the newest now.
func (d *Daemon) ConfirmForTest() { d.confirmed.Store(int64(sinceBoot())) }

// ReadyForTest reports whether readiness checks succeed.
func (d *Daemon) ReadyForTest() bool { return d.isReady() }

// BreakTableForTest makes the handling of every request on a known route panic.
func (d *Daemon) BreakTableForTest() {
	t := *d.table.Load()
	t.Configuration = nil
	d.table.Store(&t)
}
