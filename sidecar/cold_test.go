package sidecar

import (
	"io"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"wisteriafold/backend"
	"wisteriafold/membership"
	"wisteriafold/request"
	"wisteriafold/routing"
)

type coldDialect struct{ Dialect }

func (coldDialect) HeaderNames() HeaderNames {
	return HeaderNames{ColdRemaining: "Cold", BackendID: "Backend"}
}

// coldDaemon returns a daemon that is not started, with a configuration for its service.
func coldDaemon(t *testing.T, rate float64) *Daemon {
	t.Helper()
	d, err := New(Settings{Listen: Listen{Peers: "10.0.0.1:7000"}, DataCentre: "a", Region: "r", Service: "s"}, Options{Dialect: coldDialect{}, Store: unusedStore{}})
	require.NoError(t, err)
	c := &routing.Configuration{Generation: 1, Services: []routing.Service{{Name: "s", ColdRate: rate, ColdStart: 3 * time.Second}}}
	require.NoError(t, c.Prepare())
	d.table.Store(routing.NewTable(c, rand.New(rand.NewPCG(1, 2))))
	d.control.configureCold()
	return d
}

func beat(d *Daemon, id string, born int64, seq uint64, cold time.Duration) {
	d.control.handleHeartbeat(membership.Heartbeat{ID: id, StartMs: born, Sequence: seq, State: membership.Ready, Service: "s", Slots: 8, Cold: cold})
	d.control.publishColdness()
}

func answer(d *Daemon, status int, cold string, sentAt time.Time) {
	var r fasthttp.Response
	r.SetStatusCode(status)
	r.Header.Set("Cold", cold)
	d.noteAnswered(&r, sentAt)
	d.control.publishColdness()
}

// Failure: a backend server that has restarted gets requests as if it were warm.
func TestSignsOfARestartMakeBackendColdUntilItSaysOtherwise(t *testing.T) {
	refused := &request.Error{Reason: request.ReasonNoEndpoint, Cause: syscall.ECONNREFUSED}
	broken := &request.Error{Reason: request.ReasonBroken, Cause: io.EOF}
	for name, sign := range map[string]func(*Daemon){
		"refused": func(d *Daemon) { d.noteLost(refused) },
		"reset":   func(d *Daemon) { d.noteLost(broken); d.noteLost(broken); d.noteLost(broken) },
		"idle connections ended": func(d *Daemon) {
			d.noteEnded(time.Millisecond)
			d.noteEnded(time.Millisecond)
			d.noteEnded(time.Millisecond)
		},
		"other id": func(d *Daemon) { answer(d, fasthttp.StatusMisdirectedRequest, "", d.now()) },
	} {
		t.Run(name, func(t *testing.T) {
			d := coldDaemon(t, 14)
			require.True(t, d.gate.ColdState().UntilTold, "a daemon that has heard nothing")
			beat(d, "b", 100, 1, 0)
			require.False(t, d.gate.ColdState().Cold)
			d.noteLost(broken)
			d.noteLost(broken)
			answer(d, fasthttp.StatusOK, "", d.now())
			d.noteLost(broken)
			d.noteEnded(time.Minute)
			require.False(t, d.gate.ColdState().Cold, "connections are lost one at a time")

			sign(d)
			d.control.publishColdness()
			require.True(t, d.gate.ColdState().UntilTold)
			require.Positive(t, d.gate.Report().Cold)
			require.True(t, d.control.mustAskColdness())
			require.False(t, d.control.mustAskColdness(), "health checks cost the backend server time")
			beat(d, "b", 100, 2, 0)
			require.True(t, d.gate.ColdState().Cold, "the heartbeat may have been sent before the sign")
			beat(d, "b", 200, 1, 2*time.Second)
			require.InDelta(t, 2, d.gate.ColdState().Remaining.Seconds(), 0.2)
			d.control.hearHealth(health{id: "b", coldTold: true}, d.now())
			require.False(t, d.gate.ColdState().Cold)
		})
	}
}

func TestColdnessInAnswersIsHeardAndImplausibleFiguresAreNot(t *testing.T) {
	d := coldDaemon(t, 14)
	beat(d, "b", 100, 1, 0)
	sentAt := d.now()
	for _, odd := range []string{"", "-1", "1e300", "NaN", "soon", "+Inf", "0x", "3 s"} {
		answer(d, fasthttp.StatusOK, odd, sentAt)
		require.False(t, d.gate.ColdState().Cold, odd)
	}
	answer(d, fasthttp.StatusOK, "1500", sentAt)
	require.InDelta(t, 1.5, d.gate.ColdState().Remaining.Seconds(), 0.2)
	answer(d, fasthttp.StatusOK, "0", sentAt)
	require.True(t, d.gate.ColdState().Cold, "the answer may have been written before the backend server became cold")
}

// Failure: daemons learn of the coldness too late, or each answer causes messages to
// all daemons and a write to the store.
func TestColdnessIsAnnouncedOnce(t *testing.T) {
	d := coldDaemon(t, 14)
	beat(d, "b", 100, 1, 0)
	require.Zero(t, d.self().ColdUntil)
	answer(d, fasthttp.StatusOK, "3000", d.now())
	first := d.self()
	require.InDelta(t, 3000, first.ColdUntil-time.Now().UnixMilli(), 300)
	for range 10 {
		answer(d, fasthttp.StatusOK, "2900", d.now())
		d.noteLost(&request.Error{Reason: request.ReasonNoEndpoint, Cause: syscall.ECONNREFUSED})
	}
	require.Same(t, first, d.self())
	require.Zero(t, d.control.row.pending.ColdUntil)
	eps := d.endpointEntries("s")
	require.Len(t, eps, 1)
	require.InDelta(t, 14, eps[0].ColdShare, 0.001)
	require.Equal(t, first.ColdUntil, eps[0].ColdUntil.UnixMilli())
	require.Equal(t, d.epoch, d.coldUntil(&membership.Entry{ColdUntil: time.Now().Add(time.Hour).UnixMilli()}, 14))
}

func TestWithoutRateNothingIsCold(t *testing.T) {
	d := coldDaemon(t, 0)
	beat(d, "b", 100, 1, 3*time.Second)
	answer(d, fasthttp.StatusOK, "3000", d.now())
	d.suspectCold(backend.ColdRefused)
	require.False(t, d.gate.ColdState().Cold)
	require.Zero(t, d.self().ColdUntil)
	require.Empty(t, d.control.mailbox)
}

// Failure: all slots of a backend server that has just started are used at once, or those
// of one that has run for long are not because its daemon has restarted.
func TestOnlyBackendThatHasJustStartedBeginsWithALowLimit(t *testing.T) {
	for name, x := range map[string]struct {
		rate  float64
		born  time.Time
		limit uint32
	}{
		"just started":     {14, time.Now(), 2},
		"started long ago": {14, time.Now().Add(-time.Hour), 8},
	} {
		d := coldDaemon(t, x.rate)
		beat(d, "b", x.born.UnixMilli(), 1, 0)
		require.Equal(t, x.limit, d.gate.Report().Limit, name)
	}
	late, err := New(Settings{Listen: Listen{Peers: "10.0.0.1:7000"}, Service: "s"}, Options{Dialect: coldDialect{}, Store: unusedStore{}})
	require.NoError(t, err)
	beat(late, "b", time.Now().UnixMilli(), 1, 0)
	require.Equal(t, uint32(8), late.gate.Report().Limit)
	c := &routing.Configuration{Generation: 1, Services: []routing.Service{{Name: "s", ColdStart: 3 * time.Second}}}
	late.table.Store(routing.NewTable(c, rand.New(rand.NewPCG(1, 2))))
	late.control.configureCold()
	require.Equal(t, uint32(2), late.gate.Report().Limit, "the configuration came after the heartbeat")
}

// Failure: a daemon that has restarted sends calls at full rate before it has read the
// configuration.
func TestBoundHoldsBeforeAConfigurationIsRead(t *testing.T) {
	d, err := New(Settings{Listen: Listen{Peers: "10.0.0.1:7000"}, Service: "s", ColdSlack: 8}, Options{Dialect: coldDialect{}, Store: unusedStore{}})
	require.NoError(t, err)
	call := &request.Call{Importance: request.Normal, Deadline: time.Now().Add(100 * time.Millisecond)}
	_, err = d.gate.Enter(t.Context(), call, 1)
	require.Equal(t, request.ReasonCold, request.AsError(err).Reason, "the allowance of the first second is empty")
	beat(d, "b", 100, 1, 0)
	require.False(t, d.gate.ColdState().Cold)
	d.table.Store(routing.NewTable(&routing.Configuration{Generation: 1, Services: []routing.Service{{Name: "s"}}}, rand.New(rand.NewPCG(1, 2))))
	d.control.configureCold()
	require.False(t, d.gate.ColdOn(), "the bound stays on although the configuration gives no rate")
}

// Failure: a backend server that becomes cold while it runs is known to be cold only at
// its own gate, because its heartbeat changes nothing else that is announced.
func TestColdnessInAHeartbeatIsAnnounced(t *testing.T) {
	d := coldDaemon(t, 14)
	beat(d, "b", 100, 1, 0)
	require.Zero(t, d.self().ColdUntil)
	beat(d, "b", 100, 2, 3*time.Second)
	require.True(t, d.gate.ColdState().Cold)
	require.InDelta(t, 3000, d.self().ColdUntil-time.Now().UnixMilli(), 300)
	first := d.self()
	beat(d, "b", 100, 3, 3*time.Second)
	require.Same(t, first, d.self(), "the end has hardly changed")
	beat(d, "b", 100, 4, 0)
	require.Zero(t, d.self().ColdUntil)
}

// Failure: calls whose connections take long to open reach a cold backend server together
// with those of the next second, and exceed the bound of the deployment.
func TestRateOfColdBackendsIsAtMostHalfOfTheBound(t *testing.T) {
	for _, x := range []struct{ rate, overshoot, slack, want float64 }{
		{14, 1.5, 8, 14},
		{16, 1.5, 8, 16},
		{60, 1.5, 8, 49},
		{60, 0, 0, 60}, // the settings give no bound
		{4, 1, 0, 2},
		{0, 1.5, 8, 0},
	} {
		s := Settings{ColdOvershoot: x.overshoot, ColdSlack: x.slack}
		got := s.coldConfig(&routing.Service{ColdRate: x.rate}).Rate
		require.Equal(t, x.want, got)
		if x.overshoot+x.slack > 0 {
			require.LessOrEqual(t, 2*got, x.rate*x.overshoot+x.slack)
		}
	}
}
