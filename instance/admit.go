package instance

import (
	"context"
	"time"

	"wisteriafold/request"
	"wisteriafold/wire"
)

const (
	shedRetryAfter   = time.Second      // told with a shed by a gate, a backend server or the entry
	cutOffRetryAfter = 10 * time.Second // told while a data centre is cut off
)

// admit decides at the entry whether a request may start, and runs it.
func (e *entry) admit(ctx context.Context) (*answer, *request.Error) {
	d := e.d
	if !d.entryControl(e.match.Route).Admit(d.now(), e.call, e.view.weight(e.call.Organisation)) {
		err := request.NewNotRunError(request.ReasonShedEntry, "a service on this route is overloaded, try again later")
		err.RetryAfter = shedRetryAfter
		return nil, err
	}
	giveBack, err := e.takeToken(ctx)
	if err != nil {
		return nil, err
	}
	ans, fail := e.runClaimed(ctx)
	if fail != nil && fail.Outcome == request.NotRun {
		giveBack()
	}
	return ans, fail
}

// takeToken takes one token of the organisation's contract, waiting shortly for
// tokens that are on the way. The result gives it back.
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
		if e.d.hooks.GivenBack != nil { // first: the token may be taken again at once
			e.d.hooks.GivenBack(e.call.Organisation, now)
		}
		e.d.limiter.GiveBackAt(now, v)
	}, nil
}

// run forwards the request to its service.
func (e *entry) run(ctx context.Context) (*answer, *request.Error) {
	ans, fail := e.d.forward(ctx, e.out)
	if fail != nil {
		return nil, overLimit(fail.err, e.limit)
	}
	return ans, nil
}

// entryControl returns the admission level of a route at this entry.
func (d *Daemon) entryControl(route string) *request.EntryControl {
	if c, ok := d.entries.Load(route); ok {
		return c.(*request.EntryControl)
	}
	c, _ := d.entries.LoadOrStore(route, request.NewEntryControl(request.EntryConfig{}))
	return c.(*request.EntryControl)
}

// observeEntry folds what an answer says about the gates on its way.
func (d *Daemon) observeEntry(route string, a *wire.AnswerHead) {
	f := request.Feedback{
		Gate:  request.Priority(a.GateLevel).Clamp(),
		Downstream: request.Priority(a.WorstLevel).Clamp(),
	}
	d.entryControl(route).Observe(d.now(), f)
}
