package try

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"wisteriafold/config"
	"wisteriafold/examples"
	"wisteriafold/instance"
	"wisteriafold/organisation"
	"wisteriafold/platform/host"
	"wisteriafold/platform/memory"
	"wisteriafold/standin"
	"wisteriafold/standin/rowstore"
)

const (
	serviceTime    = 3 * time.Millisecond
	platformWait   = 2 * time.Second
	readyTimeout   = time.Minute // failsafe, several times what the fences of a cold start take
	readyPoll      = 50 * time.Millisecond
	operationLimit = 5 * time.Second
)

// deployment holds all parts of a running deployment.
type deployment struct {
	store    *memory.Store
	platform *http.Server
	client   *host.Store
	conf     *config.Configuration
	keys     map[string]string // organisation -> key created for this run
	nodes    []*node
	ledger   *standin.Ledger
	excess   *standin.Excess
}

// node is one instance: a daemon and its backend server.
type node struct {
	set     instance.Settings
	daemon  *instance.Daemon
	backend *standin.Backend
	caller  string // address of the callers listener
	direct  string // address of the backend server
	stopped bool
}

// start starts a deployment from the example with the given name. All daemons
// write their logs to log.
func start(name string, log io.Writer) (*deployment, error) {
	conf, err := examples.Configuration(name)
	if err != nil {
		return nil, err
	}
	settings, err := examples.Settings(name)
	if err != nil {
		return nil, err
	}
	d := &deployment{conf: conf, keys: make(map[string]string), ledger: standin.NewLedger(), excess: standin.NewExcess(conf)}
	if err := d.addKeys(); err != nil {
		return nil, err
	}
	address, err := d.startPlatform()
	if err != nil {
		return nil, err
	}
	if err := d.apply(conf); err != nil {
		return nil, err
	}
	return d, d.startNodes(settings, address, log)
}

// addKeys adds a new key for each organisation, because the examples hold only the
// digests of keys.
func (d *deployment) addKeys() error {
	for i := range d.conf.Organisations {
		name := d.conf.Organisations[i].Name
		key, id, err := organisation.NewKey(rand.Reader)
		if err != nil {
			return err
		}
		d.keys[name] = key
		d.conf.Keys = append(d.conf.Keys, config.Key{Digest: id.String(), Organisation: name, Note: "made by try"})
	}
	return nil
}

func (d *deployment) startPlatform() (string, error) {
	ln, err := loopback()
	if err != nil {
		return "", err
	}
	d.store = memory.New()
	d.platform = &http.Server{Handler: rowstore.NewHandler(d.store), ReadHeaderTimeout: platformWait}
	go func() { _ = d.platform.Serve(ln) }() // ends with Close
	d.client = host.NewStore(ln.Addr().String(), platformWait)
	return ln.Addr().String(), nil
}

func loopback() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	return ln, eris.Wrap(err, "no free loopback address: close some programs")
}

// apply writes a configuration to the store.
func (d *deployment) apply(c *config.Configuration) error {
	ctx, cancel := context.WithTimeout(context.Background(), operationLimit)
	defer cancel()
	base, err := config.Read(ctx, d.client)
	if err != nil {
		return err
	}
	id, err := config.NewApplyID(base, rand.Reader)
	if err != nil {
		return err
	}
	_, err = config.Apply(ctx, d.client, base, c, id)
	return err
}

// startNodes opens the loopback listeners of all daemons before it starts any of
// them, because each daemon needs the addresses of others as seeds.
func (d *deployment) startNodes(settings []instance.Settings, platform string, log io.Writer) error {
	listeners := make([]*instance.Listeners, len(settings))
	for i := range settings {
		ls, err := openListeners(&settings[i])
		if err != nil {
			return err
		}
		listeners[i] = ls
		settings[i].Platform.Address = platform
		settings[i].Backend.HealthEvery = 200 * time.Millisecond
	}
	for i := range settings {
		settings[i].Seeds, settings[i].FarSeeds = seedsOf(settings, &settings[i])
	}
	for i := range settings {
		s, err := d.startNode(settings[i], listeners[i], uint64(i)+1, log)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, s)
	}
	return nil
}

func openListeners(set *instance.Settings) (*instance.Listeners, error) {
	ls := &instance.Listeners{}
	for _, x := range []struct {
		into *net.Listener
		addr *string
	}{
		{&ls.Callers, &set.Listen.Callers},
		{&ls.Egress, &set.Listen.Egress},
		{&ls.Peers, &set.Listen.Peers},
		{&ls.Operator, &set.Listen.Operator},
	} {
		ln, err := loopback()
		if err != nil {
			return nil, err
		}
		*x.into = ln
		*x.addr = ln.Addr().String()
	}
	return ls, nil
}

// seedsOf returns the peer addresses of all daemons in the data centre of self, and
// of one daemon in each other data centre.
func seedsOf(all []instance.Settings, self *instance.Settings) (local, remote []string) {
	seen := make(map[string]bool)
	for i := range all {
		s := &all[i]
		if s.DataCentre == self.DataCentre {
			local = append(local, s.Listen.Peers)
		} else if !seen[s.DataCentre] {
			seen[s.DataCentre] = true
			remote = append(remote, s.Listen.Peers)
		}
	}
	return local, remote
}

func (d *deployment) startNode(set instance.Settings, ls *instance.Listeners, seed uint64, log io.Writer) (*node, error) {
	ln, err := loopback()
	if err != nil {
		return nil, err
	}
	b := standin.NewBackend(standin.BackendConfig{
		Service:     set.Backend.Service,
		Slots:       set.Backend.Slots,
		Connections: set.Backend.Connections,
		ServiceTime: serviceTime,
		ReportLag:   time.Second,
		Egress:      set.Listen.Egress,
		Seed:        seed,
	}, d.ledger)
	go func() { _ = b.Serve(ln) }() // ends with Close
	set.Backend.Address = ln.Addr().String()
	client := host.NewStore(set.Platform.Address, set.Platform.Timeout)
	daemon, err := instance.New(set, instance.Options{
		Log:       log,
		Table:     client,
		Objects:   client.Objects(),
		Listeners: ls,
		Hooks:     instance.Hooks{Admitted: d.excess.Admitted, GivenBack: d.excess.GivenBack},
	})
	if err != nil {
		return nil, err
	}
	s := &node{set: set, daemon: daemon, backend: b, caller: set.Listen.Callers, direct: ln.Addr().String()}
	return s, daemon.Start()
}

// ready waits until every daemon has the configuration, knows all endpoints and
// may use all contracts. It fails after readyTimeout.
func (d *deployment) ready() error {
	deadline := time.Now().Add(readyTimeout)
	for {
		missing := d.missing()
		if missing == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Errorf("the deployment was not ready within %s: %s", readyTimeout, missing)
		}
		time.Sleep(readyPoll)
	}
}

// missing returns the first daemon that is not ready and what it lacks, or an empty
// string if all are ready.
func (d *deployment) missing() string {
	for _, s := range d.nodes {
		if lack := s.daemon.Ready(len(d.nodes)); lack != "" {
			return s.set.Instance + ": " + lack
		}
	}
	return ""
}

// stop shuts down all parts that still run.
func (d *deployment) stop() error {
	faults := make([]error, len(d.nodes))
	var wg sync.WaitGroup
	for i, s := range d.nodes {
		if s.stopped {
			continue
		}
		wg.Go(func() { faults[i] = s.shutdown() })
	}
	wg.Wait()
	for _, s := range d.nodes {
		_ = s.backend.Close()
	}
	d.client.Close()
	_ = d.platform.Close()
	return errors.Join(faults...)
}

func (s *node) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.set.Limits.Shutdown)
	defer cancel()
	s.stopped = true
	return s.daemon.Shutdown(ctx)
}
