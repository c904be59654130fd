package try

import (
	"io"
	"runtime"
	"time"

	"wisteriafold/instance"
)

const (
	settleFor = 4 * time.Second // wait after the start until control traffic is steady
	idleFor   = 6 * time.Second // time over which the cost of idle control is measured
)

// Figures holds the cost of the daemons of an example deployment, measured in real
// time on loopback.
type Figures struct {
	OneHopP50, OneHopP99   time.Duration // latency added to a call through one daemon, which is entry and gate
	TwoHopP50, TwoHopP99   time.Duration // latency added to a call through two daemons
	ControlCPU             float64       // of the busiest idle daemon's control goroutine, as a fraction of a core
	ControlSent            float64       // by the idle daemon that sends most, in bytes per second
	Goroutines, HeapDaemon float64       // per daemon, with its backend server stand-in; heap in bytes
}

// Measure starts a deployment without other traffic and measures its figures.
func Measure(deployment string) (Figures, error) {
	var f Figures
	s := &script{opt: Options{Deployment: deployment, Progress: io.Discard, Log: io.Discard}, started: time.Now()}
	d, err := start(deployment, io.Discard)
	if err != nil {
		return f, err
	}
	s.d = d
	err = s.measureFigures(&f)
	if stopErr := d.stop(); err == nil {
		err = stopErr
	}
	return f, err
}

func (s *script) measureFigures(f *Figures) error {
	if err := s.d.ready(); err != nil {
		return err
	}
	open, target := s.openRoute()
	direct, err := probe(target.direct, open)
	if err != nil {
		return err
	}
	one, err := probe(target.caller, open)
	if err != nil {
		return err
	}
	two, err := probe(s.entryFor(target).caller, open)
	if err != nil {
		return err
	}
	added := func(v, w int64) time.Duration { return time.Duration(v-w) * time.Microsecond }
	f.OneHopP50 = added(one.ValueAtQuantile(50), direct.ValueAtQuantile(50))
	f.OneHopP99 = added(one.ValueAtQuantile(tailPercentile), direct.ValueAtQuantile(tailPercentile))
	f.TwoHopP50 = added(two.ValueAtQuantile(50), direct.ValueAtQuantile(50))
	f.TwoHopP99 = added(two.ValueAtQuantile(tailPercentile), direct.ValueAtQuantile(tailPercentile))
	s.measureIdleControl(f)
	return nil
}

// measureIdleControl measures the cost of control while there are no requests.
func (s *script) measureIdleControl(f *Figures) {
	time.Sleep(settleFor)
	before := make([]instance.ControlCost, len(s.d.nodes))
	for i, x := range s.d.nodes {
		before[i] = x.daemon.ControlCost()
	}
	time.Sleep(idleFor)
	for i, x := range s.d.nodes {
		now := x.daemon.ControlCost()
		f.ControlCPU = max(f.ControlCPU, (now.Busy-before[i].Busy).Seconds()/idleFor.Seconds())
		f.ControlSent = max(f.ControlSent, float64(now.Sent-before[i].Sent)/idleFor.Seconds())
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	n := float64(len(s.d.nodes))
	f.HeapDaemon = float64(m.HeapAlloc) / n
	f.Goroutines = float64(runtime.NumGoroutine()) / n
}
