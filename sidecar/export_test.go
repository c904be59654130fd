package sidecar

import (
	"io"
	"time"
)

// NewLineWriterForTest returns the writer of log lines.
func NewLineWriterForTest(out io.Writer) io.Writer { return newLineWriter(out) }

// DroppedForTest returns the lines that a writer has dropped.
func DroppedForTest(w io.Writer) uint64 { return w.(*lineWriter).dropped.Load() }

// AllowanceForTest returns the decision of an allowance of lines in a second.
func AllowanceForTest(limit uint32) func(time.Time) bool {
	a := &allowance{limit: limit}
	return a.take
}

// KnowDirectoryForTest makes the daemon believe that it knows all daemons.
func (d *Daemon) KnowDirectoryForTest() { d.rowsRead.Store(true) }

// AdoptForTest puts a document in force and returns its generation.
func (d *Daemon) AdoptForTest(document []byte) uint64 { return d.control.Adopt(document) }

// ConfirmForTest tells that the configuration is the newest now.
func (d *Daemon) ConfirmForTest() { d.confirmed.Store(int64(sinceBoot())) }

// ReadyForTest returns what readiness checks are told.
func (d *Daemon) ReadyForTest() bool { return d.isReady() }
