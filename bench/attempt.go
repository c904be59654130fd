package bench

import (
	"time"

	"wisteriafold/backend"
	"wisteriafold/request"
	"wisteriafold/service"
)

// tree is one outside request with all calls below it.
type tree struct {
	w      *world
	id     request.Tree
	demand *demandSpec
	done   func(ok bool, why request.Reason)
	live   []*attempt
	ended  bool
	ok     bool
	work   time.Duration

	extra    int            // attempts beyond the first of a call
	attempts map[uint64]int // by position, kept only when the account asks
}

// count records one attempt at a position.
func (t *tree) count(position uint64, extra bool) {
	if extra {
		t.extra++
	}
	t.w.account.tree(t, position)
}

// end answers the caller.
func (t *tree) end(ok bool, why request.Reason) {
	if t.ended {
		return
	}
	t.ended, t.ok = true, ok
	t.w.account.ended(t)
	t.cancel()
	t.w.clock.after(callerTrip, func() { t.done(ok, why) })
}

// expire ends the tree at its deadline.
func (t *tree) expire() { t.end(false, request.ReasonDeadline) }

// cancel stops what still waits or runs.
func (t *tree) cancel() {
	if t.w.policy.naive || t.w.policy.noCancel {
		return
	}
	for len(t.live) > 0 {
		t.live[len(t.live)-1].abort()
	}
}

// positions numbers the calls that one call may make.
const positions = 8

// attempt is one attempt of a call at one endpoint.
type attempt struct {
	out    *outgoing
	tree   *tree
	at     *endpoint
	call   request.Call
	ticket backend.Ticket
	begun  time.Time
	lent   uint32
	kids   *request.Allowance

	waiting  bool // at the gate
	running  bool // in a slot
	working  bool // by itself
	ended    bool // at the endpoint
	answered bool // at the sender
	since    time.Time
	feedback request.Feedback
	below    reply // failure of a call below, or success
	place    int   // in at.here
}

// disguise hides from the gate what an ablation switches off.
func (a *attempt) disguise(p *policy) {
	if p.noDeadline {
		a.call.Deadline = a.call.Deadline.Add(time.Hour)
	}
	if p.noTree {
		a.call.Tree = request.Tree(a.tree.w.rng.Uint64())
	}
	if p.noWorkSpent {
		a.call.WorkSpent = false
	}
	if p.noImportance {
		a.call.Importance = request.Normal
	}
	if p.noFairness {
		a.call.Organisation = ""
	}
}

// arrive reaches the gate.
func (a *attempt) arrive() {
	if a.ended {
		return
	}
	if a.at.dead {
		a.leave()
		a.send(reply{err: request.NewNotRunError(request.ReasonUnreachable, "ask another"), direct: true, result: service.Unreachable, left: a.lent})
		return
	}
	a.waiting = true
	a.place = len(a.at.here)
	a.at.here = append(a.at.here, a)
	a.at.gate.offer(a)
}

// start runs in a slot: first the endpoint's own work, then the calls below.
func (a *attempt) start() {
	a.waiting, a.running, a.working = false, true, true
	a.since = a.tree.w.clock.now
	a.tree.w.clock.after(a.at.work(), func() {
		if a.ended {
			return
		}
		a.stopWorking()
		if a.at.failing {
			a.finish(reply{err: request.NewUnknownError(request.ReasonBroken, "failed", nil), direct: true, result: service.Failed})
			return
		}
		a.child(0)
	})
}

// stopWorking accounts for the work that was done.
func (a *attempt) stopWorking() {
	if a.working {
		a.working = false
		a.tree.w.account.worked(a.tree, a.tree.w.clock.now.Sub(a.since))
	}
}

// child makes the i-th call of those that the endpoint's service makes.
func (a *attempt) child(i int) {
	if i == len(a.at.spec.calls) {
		a.finish(a.below)
		return
	}
	o := &outgoing{
		from: a.at.daemon, tree: a.tree, call: a.out.call, service: a.at.spec.calls[i],
		position: a.out.position*positions + uint64(i) + 1, allowance: a.kids,
	}
	o.call.Depth++
	o.call.WorkSpent = true
	o.done = func(r reply) {
		if a.ended {
			return
		}
		a.feedback = a.feedback.Fold(r.feedback)
		if r.err != nil {
			a.below = reply{err: r.err, below: true, result: service.FailedDownstream}
		}
		if r.err != nil && !a.at.spec.tolerant {
			a.finish(a.below)
			return
		}
		a.child(i + 1)
	}
	o.first()
}

// finish frees the slot and answers.
func (a *attempt) finish(r reply) {
	a.leave()
	a.at.gate.done(a, backend.Result{Failed: r.err != nil && !r.below})
	a.answer(r)
}

// refuse answers that the gate did not run it.
func (a *attempt) refuse(err *request.Error) {
	a.leave()
	a.answer(reply{err: err, direct: true, result: service.Refused})
}

// answer adds the endpoint's report and sends r back.
func (a *attempt) answer(r reply) {
	load := a.at.load()
	r.load = &load
	r.feedback = a.at.feedback()
	r.feedback.Downstream = a.feedback.Downstream
	r.left = a.kids.Left()
	a.send(r)
}

// send carries r to the sender.
func (a *attempt) send(r reply) {
	bytes := int64(0)
	if r.err == nil {
		bytes = a.tree.demand.answer
	}
	w := a.tree.w
	w.clock.after(w.oneWay(a.at.location(), a.out.from.self, bytes), func() { a.out.answered(a, r) })
}

// leave takes the attempt off every list.
func (a *attempt) leave() {
	a.ended = true
	a.stopWorking()
	for i, x := range a.tree.live {
		if x == a {
			a.tree.live = append(a.tree.live[:i], a.tree.live[i+1:]...)
			break
		}
	}
	here := a.at.here
	if a.place < len(here) && here[a.place] == a {
		last := here[len(here)-1]
		here[a.place] = last
		last.place = a.place
		a.at.here = here[:len(here)-1]
	}
}

// abort ends the attempt because its tree has ended.
func (a *attempt) abort() {
	waiting, running := a.waiting, a.running
	a.leave()
	switch {
	case running:
		a.at.gate.done(a, backend.Result{Cancelled: true})
	case waiting:
		a.at.gate.cancel(a)
	}
	if !a.answered {
		a.answered = true
		a.out.observe(a, reply{result: service.Expired})
	}
}

// lose ends the attempt because its endpoint has died.
func (a *attempt) lose() {
	delete(a.tree.w.waiting, &a.ticket)
	a.leave()
	a.send(reply{err: request.NewUnknownError(request.ReasonBroken, "its connection broke", nil), direct: true, result: service.Unreachable})
}

// timeOut gives up an attempt of the naive version; what runs runs on.
func (a *attempt) timeOut() {
	if a.answered {
		return
	}
	a.out.answered(a, reply{err: request.NewUnknownError(request.ReasonDeadline, "timed out", nil)})
}
