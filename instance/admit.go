package instance

import (
	"context"
	"time"

	"wisteriafold/request"
	"wisteriafold/wire"
)

const (
	shedRetryAfter   = time.Second      // when a gate, a backend server or the entry sheds the request
	cutOffRetryAfter = 10 * time.Second // while the data centre cannot confirm its configuration
)

// admit decides at the entry whether a request may start, and runs it.
func (e *entry) admit(ctx context.Context) (*answer, *request.Error) {
	d := e.d
	if !d.entryControl(e.match.Route).Admit(d.now(), e.call, e.view.weight(e.call.Organisation)) {
		err := request.NewNotRunError(request.ReasonShedEntry, "a service on this route is overloaded, try again later")
		err.RetryAfter = shedRetryAfter
		return nil, err
	}
	returnToken, err := e.takeToken(ctx)
	if err != nil {
		return nil, err
	}
	ans, fail := e.runClaimed(ctx)
	if fail != nil && fail.Outcome == request.NotRun {
		returnToken()
	}
	return ans, fail
}

// takeToken takes one token of the organisation's contract, waiting up to
// limits.entry_wait for one to become available. The returned function gives
// the token back. A request without an organisation takes no token.
func (e *entry) takeToken(ctx context.Context) (func(), *request.Error) {
	if e.call.Organisation == "" {
		return func() {}, nil
	}
	v, err := e.d.limiter.Wait(ctx, e.call.Organisation)
	if err != nil {
		return nil, request.AsError(err)
	}
	if e.d.hooks.Admitted != nil {
		e.d.hooks.Admitted(e.call.Organisation, e.d.limiter.TakenAt(v))
	}
	return func() {
		now := e.d.now()
		if e.d.hooks.GivenBack != nil { // before GiveBackAt, after which another request may take the token
			e.d.hooks.GivenBack(e.call.Organisation, now)
		}
		e.d.limiter.GiveBackAt(now, v)
	}, nil
}

// run forwards the request to its service.
func (e *entry) run(ctx context.Context) (*answer, *request.Error) {
	ans, fail := e.d.forward(ctx, e.out)
	if fail != nil {
		return nil, replaceIfTooLarge(fail.err, e.limit)
	}
	return ans, nil
}

// entryControl returns the admission control of a route at this entry and
// creates it on first use.
func (d *Daemon) entryControl(route string) *request.EntryControl {
	if c, ok := d.entries.Load(route); ok {
		return c.(*request.EntryControl)
	}
	c, _ := d.entries.LoadOrStore(route, request.NewEntryControl(request.EntryConfig{}))
	return c.(*request.EntryControl)
}

// observeEntry updates the route's admission control with the gate levels that
// an answer reports.
func (d *Daemon) observeEntry(route string, a *wire.AnswerHead) {
	f := request.Feedback{
		Gate:       request.Priority(a.GateLevel).Clamp(),
		Downstream: request.Priority(a.WorstLevel).Clamp(),
	}
	d.entryControl(route).Observe(d.now(), f)
}
