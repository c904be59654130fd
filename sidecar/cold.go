package sidecar

import (
	"errors"
	"maps"
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriafold/backend"
	"wisteriafold/httpclient"
	"wisteriafold/membership"
	"wisteriafold/request"
	"wisteriafold/routing"
)

const (
	// maxColdMillis is the largest plausible remaining time of a cold phase in a
	// header field. A larger one says nothing.
	maxColdMillis = 3_600_000

	// maxAnnouncedCold bounds the coldness that another daemon announces. A later end
	// comes from a clock that is far off.
	maxAnnouncedCold = time.Minute

	// coldAnnounceStep is the least change of the end of a coldness that is announced
	// again. Answers carry the exact figure.
	coldAnnounceStep = 500 * time.Millisecond

	// coldAskInterval is the minimum time between two health checks that ask whether
	// the backend server is cold. Each takes some of its processor time.
	coldAskInterval = 500 * time.Millisecond

	// lostInARow is the number of connections to the backend server that are lost in a
	// row, without an answer in between and within lostWindow, from which it may have
	// restarted. Single ones are lost for other reasons.
	lostInARow = 3
	lostWindow = time.Second

	// recentlyUsed is the maximum idle time of a connection whose end is a sign of a
	// restart. Backend servers close connections that have been idle for longer.
	recentlyUsed = time.Second
)

// coldControl is the part of control that concerns the coldness of the local backend
// server.
type coldControl struct {
	state     backend.ColdState // as last logged
	announced int64             // end of the coldness in this daemon's entry, Unix ms; 0 if not cold
	askedAt   time.Time         // start of the last health check

	pacedBorn int64 // start time of the incarnation for which a pace has begun, Unix ms
	paced     bool  // as last logged

	told  bool // a heartbeat has said whether the backend server is cold
	until time.Time
}

// parseCold decodes a header field with the remaining time of a cold phase in
// milliseconds. A missing, malformed or implausible one says nothing.
func parseCold(v []byte) (left time.Duration, told bool) {
	if len(v) == 0 {
		return 0, false
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(string(v)), 64)
	if err != nil || math.IsNaN(ms) || ms < 0 || ms > maxColdMillis {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// configureColdAtStart bounds the calls to the backend server until a configuration
// is known, if the settings give the slack of the bound.
func (d *Daemon) configureColdAtStart() {
	d.gate.ConfigureCold(backend.ColdConfig{Rate: d.settings.ColdSlack})
}

// configureCold applies the configuration in force to the gate and to the choice of
// endpoints.
func (c *control) configureCold() {
	t := c.d.table.Load()
	cfg := c.d.settings.coldConfig(t.Service(c.d.settings.Service))
	was := c.d.gate.ColdState().On
	c.d.gate.ConfigureCold(cfg)
	if !was && cfg.Rate > 0 && c.cold.told {
		left := c.cold.until.Sub(c.d.now())
		c.d.gate.HearCold(backend.ColdWord{Source: backend.ColdHeartbeat, Remaining: max(left, 0)})
	}
	before := c.d.coldServices.of(c.d.settings.Service)
	if !c.d.coldServices.update(&c.d.settings, t) {
		return
	}
	if before.Pace == 0 && cfg.Pace > 0 && c.local.StartMs() > 0 {
		c.beginPace(time.UnixMilli(c.local.StartMs()))
	}
	c.DirectoryChanged()
}

// coldConfig returns what a configuration says about cold backend servers of a service.
//
// The rate is at most half of what the settings allow in any second: a call counts from
// when the gate starts it and reaches the backend server up to backendDialTimeout later,
// so that the calls of two windows may arrive in one second.
func (s *Settings) coldConfig(x *routing.Service) backend.ColdConfig {
	if x == nil {
		return backend.ColdConfig{}
	}
	rate := x.ColdRate
	if bound := s.ColdOvershoot*x.ColdRate + s.ColdSlack; rate > 0 && bound > 0 {
		rate = min(rate, max(bound/2, 1))
	}
	return backend.ColdConfig{Rate: rate, Start: x.ColdStart, Pace: x.ColdStart}
}

// coldServices holds what the configuration says about cold backend servers, by service.
type coldServices struct {
	mu    sync.Mutex
	known map[string]backend.ColdConfig
}

// update reads a configuration, and reports whether anything changed.
func (s *coldServices) update(settings *Settings, t *routing.Table) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]backend.ColdConfig)
	for _, x := range t.ColdServices() {
		known[x.Name] = settings.coldConfig(x)
	}
	changed = !maps.Equal(known, s.known)
	s.known = known
	return changed
}

// of returns what the configuration says about cold backend servers of a service.
func (s *coldServices) of(name string) backend.ColdConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[name]
}

// coldShare returns the rate that this daemon may send to a cold endpoint of a service.
func (d *Daemon) coldShare(name string) float64 {
	return d.coldServices.of(name).Rate / float64(max(len(*d.members.Load()), 1))
}

// coldUntil returns the end of the coldness that another daemon has announced.
func (d *Daemon) coldUntil(e *membership.Entry, share float64) time.Time {
	if share == 0 || e.ColdUntil <= 0 {
		return d.epoch
	}
	until := time.UnixMilli(e.ColdUntil)
	if time.Until(until) > maxAnnouncedCold {
		return d.epoch
	}
	return until
}

// hearHeartbeat passes the coldness in a heartbeat to the gate. It reports whether the
// coldness in this daemon's entry must be announced.
func (c *control) hearHeartbeat(h membership.Heartbeat, restarted bool) bool {
	if h.State == membership.Ready && h.StartMs > c.cold.pacedBorn {
		c.cold.pacedBorn = h.StartMs
		c.beginPace(time.UnixMilli(h.StartMs))
	}
	switch {
	case h.State == membership.Gone:
		return false
	case !h.ColdUnknown:
		c.cold.told, c.cold.until = true, c.d.now().Add(h.Cold)
		c.d.gate.HearCold(backend.ColdWord{Source: backend.ColdHeartbeat, Remaining: h.Cold, NewIncarnation: restarted})
	case restarted:
		c.cold.told = false
		c.d.gate.SuspectCold(backend.ColdHeartbeat)
	}
	return c.updateAnnouncedCold()
}

// beginPace makes the limit of the gate start low if the backend server has started less
// than the usual length of the slow phase ago.
func (c *control) beginPace(born time.Time) {
	start := c.d.coldServices.of(c.d.settings.Service).Start
	if age := time.Since(born); age < start {
		c.d.gate.BeginPace()
	}
}

// logPace logs the begin and the end of a pace.
func (c *control) logPace() {
	paced := c.d.gate.IsPaced()
	if paced == c.cold.paced {
		return
	}
	c.cold.paced = paced
	line := "backend server at its usual pace"
	if paced {
		line = "backend server starts or recovers, limit held low"
	}
	c.d.log.Info(line, "limit", c.d.gate.Report().Limit)
}

// hearHealth passes the coldness in the response to a health check to the gate.
func (c *control) hearHealth(h health, askedAt time.Time) {
	if h.coldTold {
		c.d.gate.HearCold(backend.ColdWord{Source: backend.ColdHealth, Remaining: h.cold, AskedAt: askedAt})
	}
}

// mustAskColdness reports whether a health check is due because the backend server is
// taken for cold until it says otherwise.
func (c *control) mustAskColdness() bool {
	if !c.cold.state.Cold || c.local.State() == membership.Gone {
		return false
	}
	now := c.d.now()
	if !c.d.gate.ColdState().UntilTold || now.Sub(c.cold.askedAt) < coldAskInterval {
		return false
	}
	c.cold.askedAt = now
	return true
}

// publishColdness logs the begin and the end of a coldness, and announces them.
func (c *control) publishColdness() {
	c.logPace()
	s := c.d.gate.ColdState()
	if !s.On && !c.cold.state.On {
		return
	}
	if s.Cold != c.cold.state.Cold {
		line := "backend server no longer cold"
		if s.Cold {
			line = "backend server cold"
		}
		c.d.log.Info(line, "sign", s.By.String(), "remaining_ms", s.Remaining.Milliseconds(), "until_told", s.UntilTold, "refused", c.d.gate.Counts().Cold)
	}
	c.cold.state = s
	if c.updateAnnouncedCold() && c.local.State() == membership.Ready {
		c.announce()
	}
}

// updateAnnouncedCold updates the end of the coldness in this daemon's entry, and
// reports whether it must be announced. While the end is not known, it is announced
// again only when the announced one has passed.
func (c *control) updateAnnouncedCold() bool {
	s, now := c.d.gate.ColdState(), time.Now()
	left := time.UnixMilli(c.cold.announced).Sub(now)
	switch {
	case !s.Cold && left > coldAnnounceStep:
		c.cold.announced = 0
	case s.Cold && left <= 0, s.Cold && !s.UntilTold && s.Remaining-left > coldAnnounceStep:
		c.cold.announced = now.Add(s.Remaining).UnixMilli()
	default:
		return false
	}
	return true
}

// withoutColdness returns e without its coldness, for the store: it is over before
// other daemons read it there.
func withoutColdness(e *membership.Entry) *membership.Entry {
	if e.ColdUntil == 0 {
		return e
	}
	row := clone(e)
	row.ColdUntil = 0
	return row
}

// lostConnections counts the connections to the backend server that are lost in a row.
type lostConnections struct {
	some  atomic.Bool // n is not 0
	mu    sync.Mutex
	n     int
	first time.Time
}

// add counts a lost connection and reports whether the backend server may have
// restarted.
func (l *lostConnections) add(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.n == 0 || now.Sub(l.first) > lostWindow {
		l.n, l.first = 0, now
	}
	l.n++
	l.some.Store(true)
	return l.n >= lostInARow
}

// reset ends the row.
func (l *lostConnections) reset() {
	if !l.some.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n = 0
	l.some.Store(false)
}

// noteLost records the error of a call to the backend server. A refused connection or
// several lost ones are signs of a restart.
func (d *Daemon) noteLost(e *request.Error) {
	if !d.gate.ColdOn() {
		return
	}
	switch {
	case e.Reason == request.ReasonNoEndpoint && errors.Is(e.Cause, syscall.ECONNREFUSED):
		d.suspectCold(backend.ColdRefused)
	case e.Reason == request.ReasonBroken && httpclient.IsConnectionLost(e.Cause) && d.lost.add(d.now()):
		d.suspectCold(backend.ColdReset)
	}
}

// noteEnded records an idle connection that the backend server has ended.
func (d *Daemon) noteEnded(idle time.Duration) {
	if idle < recentlyUsed && d.gate.ColdOn() && d.lost.add(d.now()) {
		d.suspectCold(backend.ColdReset)
	}
}

// noteAnswered records the coldness in an answer of the backend server to a call that
// was sent at sentAt.
func (d *Daemon) noteAnswered(r *fasthttp.Response, sentAt time.Time) {
	if !d.gate.ColdOn() {
		return
	}
	d.lost.reset()
	if r.StatusCode() == fasthttp.StatusMisdirectedRequest {
		// The call may have been sent before the heartbeat of the present backend server.
		if string(r.Header.Peek(d.names.BackendID)) != d.backendSnapshot.Load().id {
			d.suspectCold(backend.ColdOtherID)
		}
		return
	}
	if left, told := parseCold(r.Header.Peek(d.names.ColdRemaining)); told {
		d.gate.HearCold(backend.ColdWord{Source: backend.ColdAnswer, Remaining: left, AskedAt: sentAt})
	}
}

// suspectCold takes the backend server for cold until it says otherwise, and asks it.
func (d *Daemon) suspectCold(by backend.ColdSource) {
	if !d.gate.SuspectCold(by) {
		return
	}
	d.control.post(func() {
		d.control.publishColdness()
		d.control.probe()
	})
}
