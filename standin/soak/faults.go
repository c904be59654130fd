package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"

	"wisteriafold/platform/memory"
	"wisteriafold/standin/rowstore"
)

const (
	restartDelay = 300 * time.Millisecond // between the end of a process and its next start
	leaveRetries = 8                      // of a deregistration without an acknowledgement
	copyEvery    = 500 * time.Millisecond
	copiesKept   = 8
	rewriteAfter = 1500 * time.Millisecond // at most, until the operator writes again after a drill
)

// injector carries out the faults of a schedule. A fault whose target is in another one
// of the same sort is left out.
type injector struct {
	rec     *recorder
	store   *rowstore.Store
	daemons []*daemon
	servers []*server

	processes []sync.Mutex // held while a process is being ended and started
	lives     []sync.Mutex // held while a backend server changes its life
	habits    []sync.Mutex
	storeBusy sync.Mutex
	played    map[Kind]int
	playedMu  sync.Mutex

	operator sync.Mutex // guards the configuration
	version  int
	keys     []string // in force; the last one is used by new requests
	copies   []*memory.Copy
}

func newInjector(rec *recorder, store *rowstore.Store, daemons []*daemon, servers []*server) *injector {
	return &injector{
		rec: rec, store: store, daemons: daemons, servers: servers, played: make(map[Kind]int),
		processes: make([]sync.Mutex, len(daemons)), lives: make([]sync.Mutex, len(servers)), habits: make([]sync.Mutex, len(servers)),
	}
}

// inject carries out one fault and returns when it has ended.
func (in *injector) inject(ctx context.Context, f Fault) {
	var done bool
	switch f.Kind {
	case Kill:
		done = in.restart(f.Target, func(d *daemon) { d.kill() }, f.For)
	case Stop:
		done = in.restart(f.Target, (*daemon).stop, restartDelay)
	case KillAll:
		done = in.killAll()
	case Pause:
		done = in.pause(f)
	case Leave, LeaveKill:
		done = in.leave(ctx, f)
	case Crash:
		done = in.crash(f)
	case Foreign:
		done = in.foreign(f)
	case Habit:
		done = in.habit(f)
	case StoreAway, StoreLoses, StoreDrill:
		done = in.disturbStore(f)
	case Withdraw:
		in.withdraw()
		done = true
	}
	if done {
		in.playedMu.Lock()
		in.played[f.Kind]++
		in.playedMu.Unlock()
	}
}

// restart ends a process and starts it again after a pause.
func (in *injector) restart(i int, end func(*daemon), pause time.Duration) bool {
	if !in.processes[i].TryLock() {
		return false
	}
	defer in.processes[i].Unlock()
	defer in.rec.disturb(i)()
	d := in.daemons[i]
	end(d)
	time.Sleep(pause)
	in.startAgain(d)
	return true
}

// startAgain starts a process that the soak has ended.
func (in *injector) startAgain(d *daemon) {
	if err := d.start(); err != nil {
		in.rec.record(func(h *History) {
			h.Ends = append(h.Ends, fmt.Sprintf("daemon %d cannot be started: %v", d.index, err))
		})
		return
	}
	time.Sleep(startDisturbance)
}

// killAll kills all processes at once.
func (in *injector) killAll() bool {
	for i := range in.processes {
		if !in.processes[i].TryLock() {
			for j := range i {
				in.processes[j].Unlock()
			}
			return false
		}
	}
	var wg sync.WaitGroup
	for _, d := range in.daemons {
		d.signal(syscall.SIGKILL)
	}
	for i, d := range in.daemons {
		wg.Go(func() {
			defer in.processes[i].Unlock()
			defer in.rec.disturb(i)()
			d.kill()
			time.Sleep(restartDelay)
			in.startAgain(d)
		})
	}
	wg.Wait()
	return true
}

func (in *injector) pause(f Fault) bool {
	if !in.processes[f.Target].TryLock() {
		return false
	}
	defer in.processes[f.Target].Unlock()
	defer in.rec.disturb(f.Target)()
	d := in.daemons[f.Target]
	d.signal(syscall.SIGSTOP)
	time.Sleep(f.For)
	d.signal(syscall.SIGCONT)
	return true
}

// leave lets a backend server leave and come again. A heartbeat of before arrives late.
func (in *injector) leave(ctx context.Context, f Fault) bool {
	if !in.lives[f.Target].TryLock() {
		return false
	}
	defer in.lives[f.Target].Unlock()
	s := in.servers[f.Target]
	late := s.next("ready")
	state := "draining"
	if f.Choice&1 == 0 {
		state = "gone"
	}
	s.setState(state)
	acknowledged := false
	for try := 0; try < leaveRetries && !acknowledged && ctx.Err() == nil; try++ {
		if acknowledged = s.announce(state); !acknowledged {
			time.Sleep(heartbeatEvery / 2)
		}
	}
	if f.Kind == LeaveKill && acknowledged {
		in.killAll()
	}
	time.Sleep(f.For)
	s.send(late)
	time.Sleep(drainBound + f.For)
	if state == "draining" {
		s.announce("gone")
	}
	s.end()
	time.Sleep(restartDelay)
	s.begin(f.Choice&2 == 0)
	return true
}

func (in *injector) crash(f Fault) bool {
	if !in.lives[f.Target].TryLock() {
		return false
	}
	defer in.lives[f.Target].Unlock()
	s := in.servers[f.Target]
	s.end()
	time.Sleep(f.For)
	s.begin(f.Choice&1 == 0)
	return true
}

// foreign sends reports of another writer: without a start time, with a high sequence.
func (in *injector) foreign(f Fault) bool {
	s := in.servers[f.Target]
	r := s.next("ready")
	delete(r.body, "born")
	r.body["sequence"] = time.Now().Unix()
	if f.Choice&1 == 0 {
		r.path = "Instances.Heartbeat/i-99"
	}
	s.send(r)
	return true
}

func (in *injector) habit(f Fault) bool {
	if !in.habits[f.Target].TryLock() {
		return false
	}
	defer in.habits[f.Target].Unlock()
	s := in.servers[f.Target]
	s.setHabit(sound + 1 + habit(f.Choice%uint64(habits-1)))
	time.Sleep(f.For)
	s.setHabit(sound)
	return true
}

func (in *injector) disturbStore(f Fault) bool {
	if !in.storeBusy.TryLock() {
		return false
	}
	defer in.storeBusy.Unlock()
	defer in.rec.disturbStore()()
	switch f.Kind {
	case StoreDrill:
		in.drill(f)
		return true
	case StoreLoses:
		in.store.SetFaults(rowstore.Faults{LoseWrites: true, Late: []time.Duration{0, time.Second}[f.Choice%2]})
	default:
		in.store.SetFaults([]rowstore.Faults{{Status: 503}, {Reset: true}, {Slow: 400 * time.Millisecond}}[f.Choice%3])
	}
	time.Sleep(f.For)
	in.store.SetFaults(rowstore.Faults{})
	return true
}

// keepCopies takes copies of the store for drills until ctx ends.
func (in *injector) keepCopies(ctx context.Context) {
	for ctx.Err() == nil {
		in.operator.Lock()
		in.copies = append(in.copies, in.store.Copy())
		if len(in.copies) > copiesKept {
			in.copies = in.copies[1:]
		}
		in.operator.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(copyEvery):
		}
	}
}

// drill lets the store be away for a moment and come back from a copy. The operator writes
// the configuration again.
func (in *injector) drill(f Fault) {
	in.operator.Lock()
	copied := in.copies[f.Choice%uint64(len(in.copies))]
	in.operator.Unlock()
	in.store.SetFaults(rowstore.Faults{Reset: true})
	time.Sleep(min(f.For, time.Second))
	in.operator.Lock()
	in.store.Restore(copied)
	in.copies = []*memory.Copy{copied}
	in.operator.Unlock()
	in.store.SetFaults(rowstore.Faults{})
	time.Sleep(time.Duration(f.Choice % uint64(rewriteAfter)))
	in.operator.Lock()
	defer in.operator.Unlock()
	in.put()
}

// withdraw replaces the key in use. The former one is withdrawn by the next call.
func (in *injector) withdraw() {
	in.operator.Lock()
	defer in.operator.Unlock()
	withdrawn := in.keys
	in.version++
	in.keys = []string{fmt.Sprintf("key-%d", in.version)}
	if n := len(withdrawn); n > 0 {
		in.keys = append(withdrawn[n-1:n:n], in.keys...)
		withdrawn = withdrawn[:n-1]
	}
	in.put()
	at := in.rec.now()
	in.rec.record(func(h *History) {
		for _, key := range withdrawn {
			h.Withdrawals = append(h.Withdrawals, Withdrawal{key, at})
		}
	})
}

// put writes the configuration. The caller holds operator.
func (in *injector) put() {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 2000,
			"targetLatencyMs": 1000, "service": service, "maxAttempts": 2,
		}
	}
	document, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", in.version),
		"routes":  []any{route("view", "/view/", "idempotent", "archive"), route("order", "/order/", "non_idempotent", "archive")},
		"services": []any{
			map[string]any{"name": "archive", "healthPath": "/health", "maxConnections": 50},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20},
		"tenants": []any{map[string]any{"name": "o1", "apiKeys": in.keys}},
	})
	if err != nil {
		panic("soak: the configuration cannot be encoded: " + err.Error())
	}
	in.store.Put("op", "config", document)
}

// key returns the key that new requests carry: the one that has been in force longest, so
// that some are still sent when it is withdrawn.
func (in *injector) key() string {
	in.operator.Lock()
	defer in.operator.Unlock()
	return in.keys[0]
}
