package instance

import (
	"expvar"
	"sync"
	"sync/atomic"

	"wisteriafold/request"
)

// stats counts what a daemon did since its start. It is published through
// expvar under "wisteriafold" on the operator listener.
type stats struct {
	requests    expvar.Int // outside requests
	answered    expvar.Int // answers whose transfer to the caller has started
	notRun      expvar.Int
	unknown     expvar.Int
	attempts    expvar.Int // attempts to reach a gate, including the daemon's own
	reasons     expvar.Map // errors sent to callers, by reason
	mailboxFull expvar.Int // events dropped because the mailbox was full
	controlBusy expvar.Int // nanoseconds that the control goroutine was busy
}

func newStats() *stats {
	s := new(stats)
	s.reasons.Init()
	return s
}

func (s *stats) count(e *request.Error) {
	if e.Outcome == request.NotRun {
		s.notRun.Add(1)
	} else {
		s.unknown.Add(1)
	}
	s.reasons.Add(string(e.Reason), 1)
}

// vars returns the counters by name, for expvar.
func (s *stats) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("requests", &s.requests)
	m.Set("answered", &s.answered)
	m.Set("refused_not_run", &s.notRun)
	m.Set("unknown", &s.unknown)
	m.Set("attempts", &s.attempts)
	m.Set("reasons", &s.reasons)
	m.Set("mailbox_full", &s.mailboxFull)
	m.Set("control_ns", &s.controlBusy)
	return m
}

// published holds the counters that expvar shows. expvar is global, so of
// several daemons in one process only the first is published there. Each daemon
// also serves its own counters at PathCounts.
var (
	publishOnce sync.Once
	published   atomic.Pointer[stats]
)

func publish(s *stats) {
	published.CompareAndSwap(nil, s)
	publishOnce.Do(func() {
		expvar.Publish("wisteriafold", expvar.Func(func() any {
			return expvarJSON{published.Load().vars()}
		}))
	})
}

// expvarJSON marshals an expvar.Map as the JSON that it prints.
type expvarJSON struct{ m *expvar.Map }

// MarshalJSON implements json.Marshaler.
func (j expvarJSON) MarshalJSON() ([]byte, error) { return []byte(j.m.String()), nil }
