package bench

import (
	"wisteriafold/request"
	"wisteriafold/service"
)

// daemon is the entry and the sender beside one backend server.
type daemon struct {
	w       *world
	self    service.Location
	entries []*request.EntryControl // by the service that a route leads to
	pickers []*service.Picker
	budgets []*service.RetryBudget
	known   [][]service.Endpoint // round robin of the naive version
	turn    []int
}

// connect makes the decision code of the daemon.
func (d *daemon) connect() {
	n := len(d.w.spec.services)
	d.known = make([][]service.Endpoint, n)
	d.turn = make([]int, n)
	for i := range d.turn {
		d.turn[i] = d.w.rng.IntN(1 << 10)
	}
	if d.w.policy.naive {
		return
	}
	for range n {
		d.entries = append(d.entries, request.NewEntryControl(request.EntryConfig{}))
		p := service.NewPicker(epoch, d.w.policy.picker, d.self, 1)
		if !d.w.policy.noLink {
			p.SetLinkBudget(linkBudget{w: d.w, from: d.self.Region})
		}
		d.pickers = append(d.pickers, p)
		burst := retryBurst
		if d.w.policy.noBudget {
			burst = 1 << 30
		}
		d.budgets = append(d.budgets, service.NewRetryBudget(retryRatio, burst))
	}
}

func (d *daemon) setEndpoints(i int, known []service.Endpoint) {
	d.known[i] = known
	if !d.w.policy.naive {
		d.pickers[i].SetEndpoints(known)
	}
}

// enter takes in one outside request. done is called once with its end.
func (d *daemon) enter(s *demandSpec, done func(ok bool, why request.Reason)) {
	w := d.w
	t := &tree{w: w, id: request.Tree(w.rng.Uint64()), demand: s, done: done}
	c := request.Call{
		Tree: t.id, Organisation: s.organisation, Importance: s.importance,
		Deadline: w.clock.now.Add(w.spec.deadline), Idempotent: true, BodyBytes: s.body,
	}
	if b := w.buckets[s.organisation]; b != nil && !b.take(w.clock.elapsed(), 1) {
		t.end(false, request.ReasonRate)
		return
	}
	if !d.admit(c, s) {
		t.end(false, request.ReasonShedEntry)
		return
	}
	w.clock.after(w.spec.deadline, t.expire)
	o := &outgoing{from: d, tree: t, call: c, service: s.service, position: 1, allowance: request.NewAllowance(w.spec.allowance)}
	o.done = func(r reply) {
		if !w.policy.naive {
			d.entries[s.service].Observe(w.clock.now, r.feedback)
		}
		t.end(r.err == nil, r.reason())
	}
	o.first()
}

// admit asks the entry control.
func (d *daemon) admit(c request.Call, s *demandSpec) bool {
	p, weight := &d.w.policy, s.weight
	if p.naive || p.noEntry {
		return true
	}
	if p.noImportance {
		c.Importance = request.Normal
	}
	if p.noFairness {
		c.Organisation, weight = "", 1
	}
	return d.entries[s.service].Admit(d.w.clock.now, &c, weight)
}

// reply is the answer to one attempt or call.
type reply struct {
	err      *request.Error // nil when it was answered
	direct   bool           // the failure is the addressed endpoint's own
	below    bool           // the failure comes from a call below it
	feedback request.Feedback
	load     *service.Load
	result   service.Result
	left     uint32 // allowance that comes back
}

func (r *reply) reason() request.Reason {
	if r.err == nil {
		return ""
	}
	return r.err.Reason
}

// outgoing is one call from a daemon, with its attempts.
type outgoing struct {
	from      *daemon
	tree      *tree
	call      request.Call
	service   int
	position  uint64 // place in the tree, the same for every attempt
	allowance *request.Allowance
	tried     []string
	tries     int
	feedback  request.Feedback
	done      func(reply)
}

// first makes the first attempt.
func (o *outgoing) first() {
	if !o.from.w.policy.naive {
		o.from.budgets[o.service].Attempt()
	}
	o.try()
}

// try makes one attempt.
func (o *outgoing) try() {
	w := o.from.w
	e, err := o.pick()
	if err != nil {
		o.done(reply{err: err, feedback: o.feedback})
		return
	}
	o.tries++
	a := &attempt{
		out: o, tree: o.tree, at: e, call: o.call, begun: w.clock.now,
		lent: o.allowance.Lend(),
	}
	a.kids = request.NewAllowance(a.lent)
	a.disguise(&w.policy)
	o.tree.live = append(o.tree.live, a)
	o.tree.count(o.position, o.tries > 1)
	w.account.sent(e)
	w.clock.after(w.oneWay(o.from.self, e.location(), o.call.BodyBytes), a.arrive)
	if w.policy.naive {
		w.clock.after(naiveTimeout, a.timeOut)
	}
}

// pick chooses the endpoint of one attempt.
func (o *outgoing) pick() (*endpoint, *request.Error) {
	d, w := o.from, o.from.w
	if w.policy.naive {
		known := d.known[o.service]
		if len(known) == 0 {
			return nil, request.NewNotRunError(request.ReasonNoEndpoint, "start one")
		}
		d.turn[o.service]++
		return w.byPeer[known[d.turn[o.service]%len(known)].Peer], nil
	}
	e, _, err := d.pickers[o.service].Pick(w.clock.now, w.rng, &o.call, o.tried)
	if err != nil {
		return nil, request.AsError(err)
	}
	d.pickers[o.service].Begin(e.Peer)
	return w.byPeer[e.Peer], nil
}

// answered takes the answer to one attempt.
func (o *outgoing) answered(a *attempt, r reply) {
	if a.answered {
		return
	}
	a.answered = true
	o.observe(a, r)
	o.allowance.Return(a.lent, r.left)
	o.feedback = r.feedback
	if r.err == nil {
		o.done(r)
		return
	}
	w := o.from.w
	w.account.failed(a.at)
	if o.tree.ended && !w.policy.naive {
		return
	}
	if !o.again(r) {
		o.done(r)
		return
	}
	o.tried = append(o.tried, a.at.Peer)
	o.try()
}

// again decides whether another attempt is made.
func (o *outgoing) again(r reply) bool {
	p := &o.from.w.policy
	if p.naive {
		return o.tries <= naiveRetries
	}
	left := o.allowance.Left()
	if p.noAllowance {
		left = uint32(max(naiveRetries+1-o.tries, 0))
		r.direct = true
	}
	if service.MayRetry(&o.call, r.err, r.direct, left, o.from.budgets[o.service]) != service.RetryAllowed {
		return false
	}
	return p.noAllowance || o.allowance.Spend()
}

// observe tells the picker what an attempt has shown.
func (o *outgoing) observe(a *attempt, r reply) {
	if o.from.w.policy.naive {
		return
	}
	now := o.from.w.clock.now
	o.from.pickers[o.service].Observe(now, a.at.Peer, service.Observation{
		Result: r.result, Duration: now.Sub(a.begun), Bytes: o.tree.demand.answer, Report: r.load,
	})
}

func (e *endpoint) location() service.Location { return e.daemon.self }
