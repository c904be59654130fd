package try

import (
	"io"
	"runtime"
	"time"

	"wisteriafold/instance"
)

const (
	settleFor = 4 * time.Second // after the start, until control traffic is steady
	idleFor   = 6 * time.Second // over which idle control is measured
)

// Figures are what daemons at the sizes of today cost, measured in real time
// on loopback.
type Figures struct {
	OneHopP50, OneHopP99   time.Duration // added to a call that its entry daemon also gates
	TwoHopP50, TwoHopP99   time.Duration // added to a call through two daemons
	ControlCPU             float64       // busiest idle daemon's control goroutine, as a part of a core
	ControlSent            float64       // busiest idle daemon, bytes per second sent
	Goroutines, HeapDaemon float64       // per daemon, with its backend server stand-in; heap in bytes
}

// Measure runs a deployment without other traffic and takes its figures.
func Measure(deployment string) (Figures, error) {
	var f Figures
	s := &script{opt: Options{Deployment: deployment, Progress: io.Discard, Log: io.Discard}, started: time.Now()}
	d, err := start(deployment, io.Discard)
	if err != nil {
		return f, err
	}
	s.d = d
	err = s.takeFigures(&f)
	if stopErr := d.stop(); err == nil {
		err = stopErr
	}
	return f, err
}

func (s *script) takeFigures(f *Figures) error {
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
	two, err := probe(s.otherThan(target).caller, open)
	if err != nil {
		return err
	}
	less := func(v, w int64) time.Duration { return time.Duration(v-w) * time.Microsecond }
	f.OneHopP50 = less(one.ValueAtQuantile(50), direct.ValueAtQuantile(50))
	f.OneHopP99 = less(one.ValueAtQuantile(quantile), direct.ValueAtQuantile(quantile))
	f.TwoHopP50 = less(two.ValueAtQuantile(50), direct.ValueAtQuantile(50))
	f.TwoHopP99 = less(two.ValueAtQuantile(quantile), direct.ValueAtQuantile(quantile))
	s.idle(f)
	return nil
}

// idle measures what control costs while no request comes.
func (s *script) idle(f *Figures) {
	time.Sleep(settleFor)
	before := make([]instance.ControlCost, len(s.d.sites))
	for i, x := range s.d.sites {
		before[i] = x.daemon.ControlCost()
	}
	time.Sleep(idleFor)
	for i, x := range s.d.sites {
		now := x.daemon.ControlCost()
		f.ControlCPU = max(f.ControlCPU, (now.Busy-before[i].Busy).Seconds()/idleFor.Seconds())
		f.ControlSent = max(f.ControlSent, float64(now.Sent-before[i].Sent)/idleFor.Seconds())
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	n := float64(len(s.d.sites))
	f.HeapDaemon = float64(m.HeapAlloc) / n
	f.Goroutines = float64(runtime.NumGoroutine()) / n
}
