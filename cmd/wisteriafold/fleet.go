package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"wisteriafold/instance"
	"wisteriafold/request"
)

const askTimeout = 3 * time.Second

// fleet names the operator listeners to ask.
type fleet struct {
	operators []string
	settings  string
}

func (f *fleet) flags(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.operators, "operator", nil, "operator listeners to ask, host:port")
	c.Flags().StringVar(&f.settings, "settings-dir", "", "directory of daemon settings files whose operator listeners to ask")
}

// addresses returns the operator listeners, those of the settings files included.
func (f *fleet) addresses() ([]string, error) {
	out := slices.Clone(f.operators)
	if f.settings != "" {
		files, err := filepath.Glob(filepath.Join(f.settings, "*.yaml"))
		if err != nil {
			return nil, withCode(exitUsage, err)
		}
		for _, file := range files {
			set, err := instance.LoadSettings(file)
			if err != nil {
				return nil, withCode(exitUsage, err)
			}
			out = append(out, set.Listen.Operator)
		}
	}
	if len(out) == 0 {
		return nil, withCode(exitUsage, eris.New("no daemon to ask: give --operator or --settings-dir"))
	}
	return out, nil
}

// ask reads one page of an operator listener as JSON.
func ask(address, path string, into any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+path, askTimeout)
	if err != nil {
		return eris.Wrapf(err, "ask %s: start the daemon or correct the address", address)
	}
	if status != fasthttp.StatusOK {
		return eris.Errorf("ask %s: it answered %d: %s", address, status, body)
	}
	return json.Unmarshal(body, into)
}

func statusCommand() *cobra.Command {
	var f fleet
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show what daemons know: configuration, gates, members, shares, links",
		Example: "  wisteriafold status --operator 127.0.0.1:7401\n  wisteriafold status --settings-dir examples/kurume/daemons --json",
		Args:    usage(cobra.NoArgs),
	}
	f.flags(c)
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		addresses, err := f.addresses()
		if err != nil {
			return err
		}
		var all []instance.Status
		var faults []error
		for _, a := range addresses {
			var st instance.Status
			if err := ask(a, instance.PathStatus, &st); err != nil {
				faults = append(faults, err)
				continue
			}
			all = append(all, st)
		}
		if err := output(cmd, all, statusText(all)); err != nil {
			return err
		}
		return errors.Join(faults...)
	}
	return c
}

// cellGap is the number of spaces between two columns.
const cellGap = 2

// statusText returns a table with a line for each daemon.
func statusText(all []instance.Status) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, cellGap, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tSERVICE\tGENERATION\tAGE\tIN FLIGHT\tQUEUED\tLIMIT\tLEVEL\tANNOUNCED\tSTATE")
	for i := range all {
		s := &all[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n",
			s.Instance, s.DataCentre, s.Backend.Service, s.Config.Generation, ageOf(s),
			s.Gate.InFlight, s.Gate.Queued, s.Gate.Limit, levelText(s.Gate.Level), announcedText(s), stateOf(s))
	}
	_ = w.Flush() // a strings.Builder takes everything
	return strings.TrimRight(b.String(), "\n")
}

// ageOf returns the age of the daemon's knowledge of the configuration.
func ageOf(s *instance.Status) string {
	if !s.Config.Confirmed {
		return "never"
	}
	return s.Config.Age.Round(time.Millisecond).String()
}

// levelText tells which calls a gate sheds: none, all, or those below a class
// and a part of that class.
func levelText(level request.Priority) string {
	switch {
	case level == request.LevelOpen:
		return "open"
	case level >= request.LevelShut:
		return "shut"
	}
	return fmt.Sprintf("%s %d%%", level.Importance(), 100*(level%request.ClassWidth)/request.ClassWidth)
}

// announcedText tells how many registrars hold the endpoint in its newest state.
func announcedText(s *instance.Status) string {
	if s.Members.Announced == nil {
		return "no"
	}
	return fmt.Sprintf("to %d", len(s.Members.Acknowledged))
}

func stateOf(s *instance.Status) string {
	switch {
	case s.Stopping:
		return "shutting down"
	case s.Gate.Draining:
		return "draining"
	case !s.Backend.Announced:
		return "no backend server"
	default:
		return "serving"
	}
}

func explainCommand() *cobra.Command {
	var f fleet
	c := &cobra.Command{
		Use:     "explain REQUEST_ID",
		Short:   "Show a request's story from the daemons that saw it",
		Example: "  wisteriafold explain 5f0c6d0e5a1b2c3d --settings-dir examples/kurume/daemons",
		Args:    usage(cobra.ExactArgs(1)),
	}
	f.flags(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		addresses, err := f.addresses()
		if err != nil {
			return err
		}
		var all []instance.Decision
		var faults []error
		for _, a := range addresses {
			var ds []instance.Decision
			if err := ask(a, instance.PathExplain+"?id="+url.QueryEscape(args[0]), &ds); err != nil {
				faults = append(faults, err)
				continue
			}
			all = append(all, ds...)
		}
		slices.SortStableFunc(all, func(a, b instance.Decision) int { return a.At.Compare(b.At) })
		if len(all) == 0 {
			faults = append(faults, eris.Errorf("no daemon that answered knows request %s: ask all daemons, or look into their logs, it may be too old", args[0]))
			return errors.Join(faults...)
		}
		if err := output(cmd, all, storyText(all)); err != nil {
			return err
		}
		return errors.Join(faults...)
	}
	return c
}

func storyText(all []instance.Decision) string {
	var b strings.Builder
	for _, x := range all {
		indent := strings.Repeat("  ", int(x.Depth))
		fmt.Fprintf(&b, "%s %s%s %s at %s: %s", x.At.Format("15:04:05.000000"), indent, x.Step, x.Service, x.Instance, x.Why)
		if x.Endpoint != "" {
			fmt.Fprintf(&b, " -> %s", x.Endpoint)
		}
		if x.PassedOver != "" {
			fmt.Fprintf(&b, " (passed over %s)", x.PassedOver)
		}
		if x.Outcome != "" {
			fmt.Fprintf(&b, " [%s]", x.Outcome)
		}
		if x.Took > 0 {
			fmt.Fprintf(&b, " in %s", x.Took.Round(time.Microsecond))
		}
		b.WriteByte('\n')
	}
	return strings.TrimRight(b.String(), "\n")
}
