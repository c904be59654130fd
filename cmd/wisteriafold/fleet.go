package main

import (
	"context"
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

	"wisteriafold/httpclient"
	"wisteriafold/instance"
	"wisteriafold/request"
)

const (
	operatorTimeout = 3 * time.Second

	// maxPageBytes limits the bytes that are read of a page of a daemon.
	maxPageBytes = 64 << 20
)

// operatorFlags holds the flags that select the daemons whose operator listeners are
// queried.
type operatorFlags struct {
	operators []string
	settings  string
}

func (f *operatorFlags) flags(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.operators, "operator", nil, "operator listeners to query, host:port")
	c.Flags().StringVar(&f.settings, "settings-dir", "", "directory of daemon settings files; queries the operator listener of each")
}

// addresses returns the addresses given with --operator and those in the
// settings files of --settings-dir.
func (f *operatorFlags) addresses() ([]string, error) {
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
		return nil, withCode(exitUsage, eris.New("no daemon to query: give --operator or --settings-dir"))
	}
	return out, nil
}

// get fetches a page of a listener of a daemon.
func get(address, path string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	resp, err := httpclient.Get(ctx, httpclient.GetRequest{Address: address, Path: path, MaxBytes: maxPageBytes})
	if err != nil {
		return 0, nil, err
	}
	return resp.Header.StatusCode(), resp.Body, nil
}

// getJSON fetches a page of an operator listener and decodes its JSON into into.
func getJSON(address, path string, into any) error {
	status, body, err := get(address, path)
	if err != nil {
		return eris.Wrapf(err, "query %s: start the daemon or correct the address", address)
	}
	if status != fasthttp.StatusOK {
		return eris.Errorf("query %s: it answered %d: %s", address, status, body)
	}
	return json.Unmarshal(body, into)
}

func statusCommand() *cobra.Command {
	var f operatorFlags
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show the state of daemons: configuration, gates, members, shares, links",
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
			if err := getJSON(a, instance.PathStatus, &st); err != nil {
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

// columnGap is the number of spaces between two columns.
const columnGap = 2

// statusText returns a table with one line per daemon.
func statusText(all []instance.Status) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tSERVICE\tGENERATION\tAGE\tIN FLIGHT\tQUEUED\tLIMIT\tLEVEL\tANNOUNCED\tSTATE")
	for i := range all {
		s := &all[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n",
			s.Instance, s.DataCentre, s.Backend.Service, s.Config.Generation, ageOf(s),
			s.Gate.InFlight, s.Gate.Queued, s.Gate.Limit, levelText(s.Gate.Level), announcedText(s), stateOf(s))
	}
	_ = w.Flush() // writing to a strings.Builder never fails
	return strings.TrimRight(b.String(), "\n")
}

// ageOf returns the time since the daemon last confirmed that its configuration
// is current.
func ageOf(s *instance.Status) string {
	if !s.Config.Confirmed {
		return "never"
	}
	return s.Config.Age.Round(time.Millisecond).String()
}

// levelText describes which calls a gate sheds: "open" for none, "shut" for all,
// otherwise an importance class and the percentage of that class that is shed
// with all classes below it.
func levelText(level request.Priority) string {
	switch {
	case level == request.LevelOpen:
		return "open"
	case level >= request.LevelShut:
		return "shut"
	}
	return fmt.Sprintf("%s %d%%", level.Importance(), 100*(level%request.ClassWidth)/request.ClassWidth)
}

// announcedText returns the number of registrars that have acknowledged the
// newest state of the endpoint, or "no" when none is announced.
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
	case s.Gate.Evacuated:
		return "evacuated"
	case s.Gate.Draining:
		return "draining"
	case !s.Backend.Announced:
		return "no backend server"
	default:
		return "serving"
	}
}

func explainCommand() *cobra.Command {
	var f operatorFlags
	var asked explainFlags
	c := &cobra.Command{
		Use:   "explain [REQUEST_ID]",
		Short: "Show the decisions about a request at the daemons that handled it, or where one would go",
		Long: `With a request id, explain shows the decisions about the request at the daemons
that handled it. With --metrics it shows where a request would go now from a
daemon of the platform, and why, without sending it.`,
		Example: "  wisteriafold explain 5f0c6d0e5a1b2c3d --settings-dir examples/kurume/daemons\n" +
			"  wisteriafold explain --metrics 127.0.0.1:7405 --host h.example --path /view/1 --organisation o1",
		Args: usage(asked.arguments),
	}
	f.flags(c)
	asked.flags(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		if asked.metrics != "" {
			return asked.run(cmd)
		}
		addresses, err := f.addresses()
		if err != nil {
			return err
		}
		var all []instance.Decision
		var faults []error
		for _, a := range addresses {
			var ds []instance.Decision
			if err := getJSON(a, instance.PathExplain+"?id="+url.QueryEscape(args[0]), &ds); err != nil {
				faults = append(faults, err)
				continue
			}
			all = append(all, ds...)
		}
		slices.SortStableFunc(all, func(a, b instance.Decision) int { return a.At.Compare(b.At) })
		if len(all) == 0 {
			faults = append(faults, eris.Errorf("no daemon that answered knows request %s: query all daemons, or search their logs if the request is too old", args[0]))
			return errors.Join(faults...)
		}
		if err := output(cmd, all, decisionsText(all)); err != nil {
			return err
		}
		return errors.Join(faults...)
	}
	return c
}

func decisionsText(all []instance.Decision) string {
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
