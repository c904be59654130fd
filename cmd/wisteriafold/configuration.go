package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"wisteriafold/config"
	"wisteriafold/instance"
	"wisteriafold/platform"
	"wisteriafold/platform/host"
)

const (
	storeTimeout = 5 * time.Second
	pollInterval = 250 * time.Millisecond
)

// storeFlags holds the flags that select the platform's store.
type storeFlags struct{ address string }

func (s *storeFlags) flags(c *cobra.Command) {
	c.Flags().StringVar(&s.address, "platform", "127.0.0.1:6000", "address of the platform's table service")
}

func (s *storeFlags) open() *host.Store { return host.NewStore(s.address, storeTimeout) }

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check DIR",
		Short:   "Check a configuration directory without applying it",
		Example: "  wisteriafold check examples/kurume/configuration",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := config.LoadDirectory(args[0])
			if err != nil {
				return withCode(exitUsage, err)
			}
			sum := checked{len(c.Organisations), len(c.Keys), len(c.Services), len(c.Routes), len(c.DataCentres), len(c.Links)}
			return output(cmd, sum, sum.String())
		},
	}
}

// checked counts the objects of a valid configuration.
type checked struct {
	Organisations int `json:"organisations"`
	Keys          int `json:"keys"`
	Services      int `json:"services"`
	Routes        int `json:"routes"`
	DataCentres   int `json:"data_centres"`
	Links         int `json:"links"`
}

// String returns the counts in one line.
func (c checked) String() string {
	return fmt.Sprintf("valid: %d organisations, %d keys, %d services, %d routes, %d data centres, %d links",
		c.Organisations, c.Keys, c.Services, c.Routes, c.DataCentres, c.Links)
}

func diffCommand() *cobra.Command {
	var s storeFlags
	c := &cobra.Command{
		Use:     "diff DIR",
		Short:   "Show what applying a configuration directory would change",
		Example: "  wisteriafold diff examples/kurume/configuration --platform 127.0.0.1:6000",
		Args:    usage(cobra.ExactArgs(1)),
	}
	s.flags(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		next, base, err := s.load(cmd.Context(), args[0])
		if err != nil {
			return err
		}
		d := difference{base.Snapshot.Generation, config.Changes{}}
		d.Changes = append(d.Changes, config.Diff(base.Snapshot.Configuration, next)...)
		return output(cmd, d, d.String())
	}
	return c
}

// difference lists what applying a configuration directory would change.
type difference struct {
	Generation uint64         `json:"generation"` // generation that the directory was compared with
	Changes    config.Changes `json:"changes"`
}

// String returns the generation and one line for each change.
func (d difference) String() string {
	if len(d.Changes) == 0 {
		return fmt.Sprintf("no difference to generation %d", d.Generation)
	}
	return fmt.Sprintf("compared with generation %d:\n%s", d.Generation, d.Changes)
}

// load reads a configuration directory, and from the store the configuration
// that is in force.
func (s *storeFlags) load(ctx context.Context, dir string) (*config.Configuration, *config.Stored, error) {
	next, err := config.LoadDirectory(dir)
	if err != nil {
		return nil, nil, withCode(exitUsage, err)
	}
	client := s.open()
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	base, err := config.Read(ctx, client)
	return next, base, err
}

func showCommand() *cobra.Command {
	var s storeFlags
	c := &cobra.Command{
		Use:     "show",
		Short:   "Show the configuration in the store",
		Example: "  wisteriafold show --platform 127.0.0.1:6000",
		Args:    usage(cobra.NoArgs),
	}
	s.flags(c)
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		client := s.open()
		defer client.Close()
		ctx, cancel := context.WithTimeout(cmd.Context(), storeTimeout)
		defer cancel()
		got, err := config.Read(ctx, client)
		if err != nil {
			return err
		}
		y, err := got.Snapshot.Configuration.YAML()
		if err != nil {
			return err
		}
		text := fmt.Sprintf("# generation %d\n%s", got.Snapshot.Generation, strings.TrimRight(string(y), "\n"))
		return output(cmd, struct {
			Generation    uint64                `json:"generation"`
			Configuration *config.Configuration `json:"configuration"`
		}{got.Snapshot.Generation, got.Snapshot.Configuration}, text)
	}
	return c
}

// applyFlags are the flags of apply.
type applyFlags struct {
	storeFlags
	operatorFlags
	wait    bool
	timeout time.Duration
	outcome string
	pinned  bool   // whether --base was given
	base    uint64 // generation that must be in force if pinned
}

func applyCommand() *cobra.Command {
	var f applyFlags
	c := &cobra.Command{
		Use:   "apply DIR",
		Short: "Apply a configuration atomically",
		Long: `apply validates the whole directory and writes the difference in one
transaction that is conditional on the generation it was based on. The outcome
is accepted, rejected or unknown; when it is unknown, apply prints the command
that asks for it again. With --base the apply is rejected unless exactly that
generation is in force. diff prints the generation, so only a change that was
reviewed is applied.`,
		Example: "  wisteriafold apply examples/kurume/configuration --wait --settings-dir examples/kurume/daemons\n  wisteriafold apply examples/kurume/configuration --base 6\n  wisteriafold apply --outcome 0000000000000007-1f2e3d4c5b6a7988",
		Args:    usage(cobra.MaximumNArgs(1)),
	}
	f.storeFlags.flags(c)
	f.operatorFlags.flags(c)
	c.Flags().BoolVar(&f.wait, "wait", false, "wait until all instances have confirmed the generation, and list those that have not")
	c.Flags().DurationVar(&f.timeout, "timeout", 30*time.Second, "longest time that --wait waits")
	c.Flags().Uint64Var(&f.base, "base", 0, "apply only when this generation is in force, as printed by diff")
	c.Flags().StringVar(&f.outcome, "outcome", "", "show the outcome of the apply with this ID")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		f.pinned = cmd.Flags().Changed("base")
		return f.run(cmd, args)
	}
	return c
}

func (f *applyFlags) run(cmd *cobra.Command, args []string) error {
	if (len(args) == 1) == (f.outcome != "") {
		return withCode(exitUsage, eris.New("give either a directory or --outcome ID"))
	}
	if f.pinned && f.outcome != "" {
		return withCode(exitUsage, eris.New("--base goes with a directory, not with --outcome"))
	}
	var daemons []string
	if f.wait {
		var err error
		if daemons, err = f.addresses(); err != nil {
			return err // nothing has been written yet
		}
	}
	client := f.open()
	defer client.Close()
	res, err := f.apply(cmd.Context(), client, args)
	if res.Outcome != "" {
		text := fmt.Sprintf("%s: generation %d, apply %s, %d objects written", res.Outcome, res.Generation, res.ID, res.Changes)
		if perr := output(cmd, res, text); perr != nil {
			return perr
		}
	}
	if err != nil {
		return withCode(applyCode(err), err)
	}
	if f.wait {
		return f.await(cmd, daemons, res.Generation)
	}
	return nil
}

func (f *applyFlags) apply(ctx context.Context, table platform.Table, args []string) (config.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if f.outcome != "" {
		return config.Resolve(ctx, table, f.outcome)
	}
	next, err := config.LoadDirectory(args[0])
	if err != nil {
		return config.Result{}, withCode(exitUsage, err)
	}
	base, err := config.Read(ctx, table)
	if err != nil {
		return config.Result{}, err
	}
	id, err := config.NewApplyID(base, rand.Reader)
	if err != nil {
		return config.Result{}, err
	}
	if now := base.Snapshot.Generation; f.pinned && now != f.base {
		return config.Result{ID: id, Outcome: config.Rejected, Generation: now}, &config.RaceError{Base: f.base, Now: now}
	}
	return config.Apply(ctx, table, base, next, id)
}

func applyCode(err error) int {
	var race *config.RaceError
	var fenced *config.FencedError
	var unknown *config.UnknownError
	var coded *exitError
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &race), errors.As(err, &fenced):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknown
	}
	return exitFailed
}

// await polls the daemons in turn until all instances have confirmed the
// generation or f.timeout is over.
func (f *applyFlags) await(cmd *cobra.Command, daemons []string, generation uint64) error {
	deadline := time.Now().Add(f.timeout)
	var last []config.DataCentreStatus
	for i := 0; time.Now().Before(deadline); i++ {
		var now []config.DataCentreStatus
		if err := getJSON(daemons[i%len(daemons)], instance.PathConfirmed, &now); err == nil {
			last = now
		}
		if confirmedEverywhere(last, generation) {
			return output(cmd, last, fmt.Sprintf("generation %d is in force at all instances", generation))
		}
		time.Sleep(pollInterval)
	}
	return withCode(exitPartial, eris.Errorf("generation %d is accepted, but not all instances confirmed it within %s: %s", generation, f.timeout, laggards(last, generation)))
}

func confirmedEverywhere(all []config.DataCentreStatus, generation uint64) bool {
	for i := range all {
		if !all[i].Confirmed(generation) {
			return false
		}
	}
	return len(all) > 0
}

func laggards(all []config.DataCentreStatus, generation uint64) string {
	if len(all) == 0 {
		return "no daemon answered, see --operator"
	}
	var out []string
	for i := range all {
		s := &all[i]
		if s.Confirmed(generation) {
			continue
		}
		line := fmt.Sprintf("data centre %s: %d of %d report", s.DataCentre, s.Members, s.Roster)
		for _, l := range s.Laggards {
			line += fmt.Sprintf(", %s has %d", l.Instance, l.Generation)
		}
		out = append(out, line)
	}
	return strings.Join(out, "; ")
}
